//! Event loop of a run in virtual time.

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
use super::scenario::{Deployment, Fault, PolicyKind, Scenario, US_PER_S};
use super::traffic::{Attempt, Request};
use super::workload::{self, Arrival};
use super::zone::{EngineSlot, Zone};
use crate::engine::sim::{Engine, SimConfig};

/// Interval between two polls of an engine.
const POLL_INTERVAL_US: u64 = 100_000;
/// Interval between two rounds of the planner.
const PLAN_INTERVAL_US: u64 = US_PER_S;
/// Time before a shift at which the oracle acts. The time of a full drain and change, 15 s, is too
/// early, since the old mix still needs the old split: in the scenario `swings`, 0.976 of the
/// requests are on time with 15 s and 0.985 with 5 s.
const ORACLE_LEAD_US: u64 = 5 * US_PER_S;
/// Time after the last arrival during which answers may still complete.
const COMPLETION_PERIOD_US: u64 = 60 * US_PER_S;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wakeup {
    Engine { zone: usize, engine: usize },
    Arrival(usize),
    Poll,
    Plan,
    FaultBegins,
    FaultEnds,
    Crash { zone: usize, engine: usize },
}

/// State of a run.
pub(super) struct Simulation {
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
    /// Moving average of the output length relative to the maximum that the caller accepts.
    pub(super) output_share: f64,
    /// Moving average of the demand of a request.
    pub(super) mean_request: MeanRequest,
    /// Whether orders can be issued; false while the key-value service is down.
    can_order: bool,
    crash: CrashState,
    /// Wakeups by time; at the same time, by the sequence number that they got when scheduled.
    queue: BinaryHeap<Reverse<(u64, u64, Wakeup)>>,
    sequence: u64,
    /// Time of the last round of the planners.
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
    let mut simulation = Simulation::new(run);
    let end_us = run.scenario.length_us + COMPLETION_PERIOD_US;
    while let Some(Reverse((now_us, _, wake))) = simulation.queue.pop() {
        if now_us > end_us {
            break;
        }
        simulation.on_wakeup(wake, now_us);
    }
    let pending = simulation
        .requests
        .iter()
        .filter(|request| request.is_pending);
    simulation.outcome.failed += pending.count() as u64;
    simulation.outcome
}

impl Simulation {
    fn new(run: &Run) -> Self {
        let deployment = Arc::clone(&run.deployment);
        let scenario = Arc::clone(&run.scenario);
        let arrivals = workload::arrivals(&deployment, &scenario, run.seed);
        let zones = (0..deployment.zones.len())
            .map(|zone| build_zone(run, zone))
            .collect();
        let mut simulation = Self {
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
        if let Some(arrival) = simulation.arrivals.first() {
            simulation.schedule(arrival.at_us, Wakeup::Arrival(0));
        }
        simulation.schedule(POLL_INTERVAL_US, Wakeup::Poll);
        simulation.schedule(PLAN_INTERVAL_US, Wakeup::Plan);
        if let Some((from_us, to_us, _)) = simulation.scenario.fault {
            simulation.schedule(from_us, Wakeup::FaultBegins);
            simulation.schedule(to_us.max(from_us + 1), Wakeup::FaultEnds);
        }
        simulation
    }

    fn schedule(&mut self, at_us: u64, wake: Wakeup) {
        self.sequence += 1;
        self.queue.push(Reverse((at_us, self.sequence, wake)));
    }

    /// Schedules a wakeup for the next event of an engine, unless one is scheduled already.
    pub(super) fn schedule_engine(&mut self, zone: usize, engine: usize) {
        let slot = &mut self.zones[zone].engines[engine];
        let Some(next_us) = slot.sim.next_event_us() else {
            return;
        };
        if slot.wake_us.is_none_or(|wake_us| next_us < wake_us) {
            slot.wake_us = Some(next_us);
            self.schedule(next_us, Wakeup::Engine { zone, engine });
        }
    }

    /// Advances an engine to `now_us` and handles its events.
    pub(super) fn advance_engine(&mut self, zone: usize, engine: usize, now_us: u64) {
        let events = self.zones[zone].engines[engine].sim.advance(now_us);
        for event in events {
            self.on_engine_event(&event);
        }
    }

    fn on_wakeup(&mut self, wake: Wakeup, now_us: u64) {
        match wake {
            Wakeup::Engine { zone, engine } => {
                let slot = &mut self.zones[zone].engines[engine];
                // A wakeup with another time was superseded by an earlier one.
                if slot.wake_us == Some(now_us) {
                    slot.wake_us = None;
                    self.advance_engine(zone, engine, now_us);
                    self.schedule_engine(zone, engine);
                }
            }
            Wakeup::Arrival(i) => {
                if let Some(next) = self.arrivals.get(i + 1) {
                    self.schedule(next.at_us, Wakeup::Arrival(i + 1));
                }
                self.on_arrival(i, now_us);
            }
            Wakeup::Poll => self.poll(now_us),
            Wakeup::Plan => {
                let elapsed_us = now_us - self.planned_us;
                self.planned_us = now_us;
                for zone in &mut self.zones {
                    zone.plan(&self.deployment, self.can_order, elapsed_us, now_us);
                }
                self.schedule(now_us + PLAN_INTERVAL_US, Wakeup::Plan);
            }
            Wakeup::FaultBegins => self.on_fault(true, now_us),
            Wakeup::FaultEnds => self.on_fault(false, now_us),
            Wakeup::Crash { zone, engine } => {
                for event in self.zones[zone].engines[engine].sim.crash(now_us) {
                    self.on_engine_event(&event);
                }
                self.crash = CrashState::Down { zone, engine };
                if let Some((.., Fault::CrashInChange { down_us })) = self.scenario.fault {
                    self.schedule(now_us + down_us, Wakeup::FaultEnds);
                }
            }
        }
    }

    fn poll(&mut self, now_us: u64) {
        for (i, zone) in self.zones.iter_mut().enumerate() {
            // Polled first, since an engine must be up to date when it receives an order; the loop
            // below detects the orders sent in this poll.
            zone.poll(&self.deployment, self.can_order, now_us, &mut self.outcome);
            for engine in 0..self.deployment.engines_per_zone {
                let slot = &zone.engines[engine];
                let ordered_us = slot
                    .role_change
                    .as_ref()
                    .and_then(|change| change.ordered_us);
                if self.crash == CrashState::WaitingForChange && ordered_us == Some(now_us) {
                    self.crash = CrashState::Scheduled;
                    self.sequence += 1;
                    let wake = Wakeup::Crash { zone: i, engine };
                    self.queue
                        .push(Reverse((now_us + US_PER_S, self.sequence, wake)));
                }
            }
        }
        for zone in 0..self.zones.len() {
            for engine in 0..self.deployment.engines_per_zone {
                self.schedule_engine(zone, engine);
            }
        }
        self.exchange_capacities(now_us);
        if now_us.is_multiple_of(BIN_US) {
            let mut counts = [0; 3];
            for zone in &self.zones {
                zone.count_roles(&mut counts);
            }
            self.outcome.role_counts.push((now_us, counts));
        }
        self.schedule(now_us + POLL_INTERVAL_US, Wakeup::Poll);
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
            // Zones form a ring; the next ones are the nearest.
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
                // The time of the repair is known only after the crash.
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

fn build_zone(run: &Run, zone: usize) -> Zone {
    let deployment = &run.deployment;
    let split = match run.policy {
        PolicyKind::Fixed(split) => split,
        PolicyKind::Mixed => Split {
            mixed: deployment.engines_per_zone,
            ..Split::default()
        },
        PolicyKind::Cost(_) | PolicyKind::Threshold | PolicyKind::Oracle => {
            deployment.initial_split
        }
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
            let coming = workload::demand_by_phase(deployment, &run.scenario);
            Box::new(Oracle::new(limits, coming, ORACLE_LEAD_US))
        }
    };
    let admission = Admission::new(AdmissionConfig {
        capacity_us_per_s: deployment.engines_per_zone as f64 * 1e6,
        ..AdmissionConfig::default()
    });
    Zone::new(engines.collect(), admission, planner)
}
