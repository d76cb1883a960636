//! The loop of a run in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::admission::{Admission, AdmissionConfig};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::planner::{
    AllMixed, CostConfig, CostPlanner, FixedSplit, Oracle, Planner, Split, Threshold,
};
use tealsaddle_core::route::{MeanRequest, Router, RouterConfig};

use super::Run;
use super::measure::{BIN_US, Outcome};
use super::scenario::{Deployment, Fault, PolicyKind, S, Scenario};
use super::traffic::{Attempt, Request};
use super::workload::{self, Arrival};
use super::zone::{EngineSlot, Zone};
use crate::engine::sim::{Engine, SimConfig};

/// Time between two polls of an engine.
const POLL_US: u64 = 100_000;
/// Time between two rounds of the planner.
const PLAN_US: u64 = S;
/// Time ahead of a shift at which the oracle acts. A full drain and change ahead, 15 s, is too early: the
/// old mix still needs the old split (0.976 of the requests on time in the swings, 0.985 with 5 s).
const ORACLE_LEAD_US: u64 = 5 * S;
/// Time after the last arrival in which answers may still end.
const TAIL_US: u64 = 60 * S;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Engine { zone: usize, engine: usize },
    Arrival(usize),
    Poll,
    Plan,
    FaultBegins,
    FaultEnds,
    Crash { zone: usize, engine: usize },
}

/// State of a run.
pub(super) struct World {
    pub(super) deployment: Arc<Deployment>,
    scenario: Arc<Scenario>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) requests: Vec<Request>,
    pub(super) attempts: HashMap<u64, Attempt>,
    pub(super) next_attempt: u64,
    pub(super) zones: Vec<Zone>,
    pub(super) router: Router,
    pub(super) rng: ChaCha8Rng,
    pub(super) outcome: Outcome,
    /// Output relative to the most that the caller accepts, as learned from answers.
    pub(super) output_share: f64,
    /// Mean of the requests of late.
    pub(super) mean_request: MeanRequest,
    can_order: bool,
    crash: CrashState,
    queue: BinaryHeap<Reverse<(u64, u64, Wake)>>,
    sequence: u64,
    planned_us: u64,
}

/// Progress of [`Fault::CrashInChange`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashState {
    None,
    WaitingForChange,
    Scheduled,
    Down { zone: usize, engine: usize },
}

/// Simulates one run.
pub fn simulate(run: &Run) -> Outcome {
    let mut world = World::new(run);
    let end_us = run.scenario.length_us + TAIL_US;
    while let Some(Reverse((now_us, _, wake))) = world.queue.pop() {
        if now_us > end_us {
            break;
        }
        world.on_wake(wake, now_us);
    }
    let open = world.requests.iter().filter(|request| request.is_open);
    world.outcome.failed += open.count() as u64;
    world.outcome
}

impl World {
    fn new(run: &Run) -> Self {
        let deployment = Arc::clone(&run.deployment);
        let scenario = Arc::clone(&run.scenario);
        let arrivals = workload::arrivals(&deployment, &scenario, run.seed);
        let zones = (0..deployment.zones.len())
            .map(|zone| new_zone(run, zone))
            .collect();
        let mut world = Self {
            requests: Vec::with_capacity(arrivals.len()),
            arrivals,
            attempts: HashMap::default(),
            next_attempt: 0,
            zones,
            router: Router::new(RouterConfig::default()),
            rng: ChaCha8Rng::seed_from_u64(run.seed ^ 0x005a_dd1e),
            outcome: Outcome::new(scenario.length_us),
            output_share: 0.75,
            mean_request: MeanRequest::default(),
            can_order: true,
            crash: CrashState::None,
            queue: BinaryHeap::new(),
            sequence: 0,
            planned_us: 0,
            deployment,
            scenario,
        };
        if let Some(arrival) = world.arrivals.first() {
            world.wake_at(arrival.at_us, Wake::Arrival(0));
        }
        world.wake_at(POLL_US, Wake::Poll);
        world.wake_at(PLAN_US, Wake::Plan);
        if let Some((from_us, to_us, _)) = world.scenario.fault {
            world.wake_at(from_us, Wake::FaultBegins);
            world.wake_at(to_us.max(from_us + 1), Wake::FaultEnds);
        }
        world
    }

    fn wake_at(&mut self, at_us: u64, wake: Wake) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, wake)));
    }

    /// Makes sure that the engine is looked at when its next event is due.
    pub(super) fn wake_engine(&mut self, zone: usize, engine: usize) {
        let slot = &mut self.zones[zone].engines[engine];
        let Some(next_us) = slot.sim.next_event_us() else {
            return;
        };
        if slot.wake_us.is_none_or(|wake_us| next_us < wake_us) {
            slot.wake_us = Some(next_us);
            self.wake_at(next_us, Wake::Engine { zone, engine });
        }
    }

    /// Brings an engine up to now and handles what happened in it.
    pub(super) fn advance_engine(&mut self, zone: usize, engine: usize, now_us: u64) {
        let events = self.zones[zone].engines[engine].sim.advance(now_us);
        for event in events {
            self.on_engine_event(&event);
        }
    }

    fn on_wake(&mut self, wake: Wake, now_us: u64) {
        match wake {
            Wake::Engine { zone, engine } => {
                let slot = &mut self.zones[zone].engines[engine];
                // An earlier wake-up replaced this one.
                if slot.wake_us == Some(now_us) {
                    slot.wake_us = None;
                    self.advance_engine(zone, engine, now_us);
                    self.wake_engine(zone, engine);
                }
            }
            Wake::Arrival(i) => {
                if let Some(next) = self.arrivals.get(i + 1) {
                    self.wake_at(next.at_us, Wake::Arrival(i + 1));
                }
                self.on_arrival(i, now_us);
            }
            Wake::Poll => self.poll(now_us),
            Wake::Plan => {
                let elapsed_us = now_us - self.planned_us;
                self.planned_us = now_us;
                for zone in &mut self.zones {
                    zone.plan(&self.deployment, self.can_order, elapsed_us, now_us);
                }
                self.wake_at(now_us + PLAN_US, Wake::Plan);
            }
            Wake::FaultBegins => self.on_fault(true, now_us),
            Wake::FaultEnds => self.on_fault(false, now_us),
            Wake::Crash { zone, engine } => {
                for event in self.zones[zone].engines[engine].sim.crash(now_us) {
                    self.on_engine_event(&event);
                }
                self.crash = CrashState::Down { zone, engine };
                if let Some((.., Fault::CrashInChange { down_us })) = self.scenario.fault {
                    self.wake_at(now_us + down_us, Wake::FaultEnds);
                }
            }
        }
    }

    fn poll(&mut self, now_us: u64) {
        for (i, zone) in self.zones.iter_mut().enumerate() {
            // An engine that starts an order just now has to be up to date before.
            zone.poll(&self.deployment, self.can_order, now_us, &mut self.outcome);
            for engine in 0..self.deployment.engines_per_zone {
                let slot = &zone.engines[engine];
                let ordered_us = slot.role_move.as_ref().and_then(|m| m.ordered_us);
                if self.crash == CrashState::WaitingForChange && ordered_us == Some(now_us) {
                    self.crash = CrashState::Scheduled;
                    self.sequence += 1;
                    let wake = Wake::Crash { zone: i, engine };
                    self.queue.push(Reverse((now_us + S, self.sequence, wake)));
                }
            }
        }
        for zone in 0..self.zones.len() {
            for engine in 0..self.deployment.engines_per_zone {
                self.wake_engine(zone, engine);
            }
        }
        self.exchange_capacities(now_us);
        if now_us.is_multiple_of(BIN_US) {
            let mut counts = [0; 3];
            for zone in &self.zones {
                zone.count_roles(&mut counts);
            }
            self.outcome.roles.push((now_us, counts));
        }
        self.wake_at(now_us + POLL_US, Wake::Poll);
    }

    fn exchange_capacities(&mut self, now_us: u64) {
        let names = &self.deployment.zones;
        let zone_capacities: Vec<_> = self
            .zones
            .iter()
            .enumerate()
            .map(|(i, zone)| zone.capacity(names[i], &self.deployment, now_us))
            .collect();
        let is_cut_off: Vec<bool> = self.zones.iter().map(|zone| zone.is_cut_off).collect();
        for (i, zone) in self.zones.iter_mut().enumerate() {
            zone.other_zones.clear();
            // The nearest zones are the next ones in the ring.
            for step in 1..zone_capacities.len() {
                let other = (i + step) % zone_capacities.len();
                if !is_cut_off[i] && !is_cut_off[other] {
                    zone.other_zones.push(zone_capacities[other].clone());
                }
            }
        }
    }

    fn on_fault(&mut self, begins: bool, now_us: u64) {
        let Some((.., fault)) = self.scenario.fault else {
            return;
        };
        if !begins {
            self.outcome.repaired_us = Some(now_us);
        }
        match fault {
            Fault::CrashInChange { .. } => match (begins, self.crash) {
                (true, _) => self.crash = CrashState::WaitingForChange,
                (false, CrashState::Down { zone, engine }) => {
                    self.zones[zone].engines[engine].sim.restart(now_us);
                    self.crash = CrashState::None;
                }
                // The repair is known only after the crash.
                (false, _) => self.outcome.repaired_us = None,
            },
            Fault::ReportsLate { lag_us } => {
                let lag_us = if begins {
                    lag_us
                } else {
                    self.deployment.engine.report_lag_us
                };
                let slots = self.zones.iter_mut().flat_map(|zone| &mut zone.engines);
                slots.for_each(|slot| slot.sim.set_report_lag_us(lag_us));
            }
            Fault::KeyValueDown => self.can_order = !begins,
            Fault::ZoneCutOff { zone } => self.zones[zone].is_cut_off = begins,
            Fault::EngineWithdrawn { engine } => {
                self.zones[0].engines[engine].is_withdrawn = begins;
            }
        }
    }
}

fn new_zone(run: &Run, zone: usize) -> Zone {
    let deployment = &run.deployment;
    let split = match run.policy {
        PolicyKind::Fixed(split) => split,
        PolicyKind::Mixed => Split {
            mixed: deployment.engines_per_zone,
            ..Split::default()
        },
        PolicyKind::Cost(_) | PolicyKind::Threshold | PolicyKind::Oracle => deployment.first_split,
    };
    let roles = [Role::Prefill, Role::Mixed, Role::Decode];
    let roles = roles
        .iter()
        .flat_map(|role| std::iter::repeat_n(*role, split.get(*role)));
    let engines = roles.enumerate().map(|(i, role)| {
        let sim = Engine::new(SimConfig {
            role,
            ..deployment.engine.clone()
        });
        EngineSlot::new(sim, deployment.inventory_engine(zone, i, role))
    });
    let limits = deployment.limits;
    let planner: Box<dyn Planner> = match run.policy {
        PolicyKind::Cost(role_change_weight) => {
            let config = CostConfig {
                role_change_weight,
                ..CostConfig::default()
            };
            Box::new(CostPlanner::new(limits, config))
        }
        PolicyKind::Fixed(_) => Box::new(FixedSplit),
        PolicyKind::Threshold => Box::new(Threshold::new(limits)),
        PolicyKind::Mixed => Box::new(AllMixed::new(limits)),
        PolicyKind::Oracle => {
            let coming = workload::coming_demand(deployment, &run.scenario);
            Box::new(Oracle::new(limits, coming, ORACLE_LEAD_US))
        }
    };
    let admission = Admission::new(AdmissionConfig {
        capacity_us_per_s: deployment.engines_per_zone as f64 * 1e6,
        ..AdmissionConfig::default()
    });
    Zone::new(engines.collect(), admission, planner)
}
