//! Simulated platform, nodes and callers around the decisions on one service.
//!
//! The load is the number of runners that the requests keep busy without a pause. The platform starts and drains runners as
//! ordered, takes spot runners away, has none to give, answers late or not at all.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::sizing::demand::{FleetDemand, NodeLoad};
use tealsaddle_core::fleet::sizing::need::{ReadyRunners, needed};
use tealsaddle_core::fleet::sizing::planner::{Observation, OrderOutcome, ServiceSizer};
use tealsaddle_core::fleet::sizing::{RunnerKind, Subject};
use tealsaddle_core::fleet::{Runner, Stage};
use tealsaddle_core::name::Name;

use super::{engine, scaling};
use crate::fleet::{SECOND_US, runner};

pub const ZONES: [&str; 3] = ["a", "b", "c"];
const TICK_US: u64 = SECOND_US / 4;
const BOOT_US: u64 = 4 * SECOND_US;
const DRAIN_US: u64 = 2_500_000;
const NODES: usize = 12;
/// Part of the load that is reading; the rest generates output.
const READING_PART: f64 = 0.4;

/// What happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The platform takes the spot runners of a zone away, and has none to give for this long.
    Reclaim { zone: usize, for_us: u64 },
    /// The platform has no spot runners in a zone for this long.
    NoSpot { zone: usize, for_us: u64 },
    /// All runners and nodes of a zone are gone; the nodes are back after this long.
    LoseZone { zone: usize, for_us: u64 },
    /// The nodes of a zone cannot be asked for this long; their callers are served.
    CutNodes { zone: usize, for_us: u64 },
    /// The holder vanishes; another one decides after this long.
    ChangeHolder { after_us: u64 },
    /// All runners are replaced, one after the other with a new one beside the draining one.
    Release,
}

/// How the platform answers orders: shares of those that it answers late but carries out, and of those that it loses.
#[derive(Debug, Clone, Copy, Default)]
pub struct Answers {
    pub late: f64,
    pub lost: f64,
}

/// A history to simulate.
pub struct History {
    pub seed: u64,
    pub seconds: u64,
    /// Busy runners at a time in seconds.
    pub load: Box<dyn Fn(f64) -> f64>,
    /// Regular runners in each zone at the start.
    pub at_start: u32,
    pub answers: Answers,
    pub events: Vec<(u64, Event)>,
}

/// What a history has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Smallest ratio of the runners that are ready to those that the load keeps busy.
    pub least_ready: f64,
    /// The same of the ready runners to those needed at the planned use.
    pub least_of_needed: f64,
    pub orders: usize,
    /// Orders that reverse one of the same subject within ten seconds.
    pub reversals: usize,
    /// Orders for fewer runners while runners were being replaced.
    pub lowered_in_release: usize,
    /// Price of all runners, as a share of that of those at the start.
    pub price_share: f64,
    pub ready_at_end: u32,
    pub most_in_zone: u32,
}

struct SimRunner {
    registration: Arc<Runner>,
    ready_us: u64,
    gone_us: Option<u64>,
}

impl SimRunner {
    fn is_leaving(&self) -> bool {
        self.gone_us.is_some()
    }
}

struct Sim {
    random: ChaCha8Rng,
    now_us: u64,
    runners: Vec<SimRunner>,
    desired: BTreeMap<Subject, u32>,
    /// Orders that are carried out later.
    delayed: Vec<(u64, Subject, u32)>,
    no_spot_until_us: [u64; 3],
    zone_gone_until_us: [u64; 3],
    cut_until_us: [u64; 3],
    next_id: u64,
    loads: [NodeLoad; NODES],
    demand: FleetDemand<usize>,
    sizer: ServiceSizer,
    records: BTreeMap<Subject, (u32, u32)>,
    holder_from_us: u64,
    to_replace: Vec<Name>,
    last: BTreeMap<Subject, (u64, bool)>,
}

fn subject(zone: usize, kind: RunnerKind) -> Subject {
    Subject {
        zone: Name::from(ZONES[zone]),
        kind,
    }
}

fn zone_of(name: &str) -> usize {
    ZONES.iter().position(|zone| *zone == name).expect("a zone")
}

/// Plays a history.
pub fn play(history: &History) -> Outcome {
    let mut sim = Sim::open(history.seed);
    for zone in 0..ZONES.len() {
        let of_zone = subject(zone, RunnerKind::Regular);
        for _ in 0..history.at_start {
            sim.start(&of_zone, 0);
        }
        sim.desired.insert(of_zone, history.at_start);
    }
    let mut outcome = Outcome {
        least_ready: f64::INFINITY,
        least_of_needed: f64::INFINITY,
        ..Outcome::default()
    };
    let (mut price, mut full_price) = (0.0, 0.0);
    let mut events = history.events.iter().peekable();
    while sim.now_us < history.seconds * SECOND_US {
        sim.now_us += TICK_US;
        while let Some((_, event)) = events.next_if(|(at, _)| at * SECOND_US <= sim.now_us) {
            sim.on_event(*event);
        }
        let load = (history.load)(sim.now_us as f64 / 1e6);
        sim.run_platform();
        sim.serve(load);
        sim.replace();
        if sim.now_us.is_multiple_of(SECOND_US) && sim.now_us >= sim.holder_from_us {
            sim.decide(history.answers, &mut outcome);
        }
        let ready = sim.ready();
        let all = f64::from(ready.all);
        outcome.least_ready = outcome.least_ready.min(all / load.max(0.01));
        outcome.least_of_needed = outcome.least_of_needed.min(all / at_planned_use(load));
        outcome.ready_at_end = ready.all;
        price += sim.price();
        full_price += f64::from(history.at_start) * 3.05;
        for zone in ZONES {
            outcome.most_in_zone = outcome.most_in_zone.max(sim.alive_in(zone));
        }
    }
    outcome.price_share = price / full_price;
    outcome
}

/// Runners that a load needs when they are used as much as planned.
fn at_planned_use(load: f64) -> f64 {
    (load * READING_PART / 0.6).max(2.0) + (load * (1.0 - READING_PART) / 0.7).max(2.0)
}

impl Sim {
    fn open(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            runners: Vec::new(),
            desired: BTreeMap::new(),
            delayed: Vec::new(),
            no_spot_until_us: [0; 3],
            zone_gone_until_us: [0; 3],
            cut_until_us: [0; 3],
            next_id: 0,
            loads: [NodeLoad::default(); NODES],
            demand: FleetDemand::default(),
            sizer: ServiceSizer::default(),
            records: BTreeMap::new(),
            holder_from_us: 0,
            to_replace: Vec::new(),
            last: BTreeMap::new(),
        }
    }

    fn start(&mut self, subject: &Subject, boot_us: u64) {
        self.next_id += 1;
        let stage = match self.next_id % 2 {
            0 => Stage::Prefill,
            _ => Stage::Decode,
        };
        let mut registration = Runner::clone(&runner(
            &format!("r{}", self.next_id),
            &subject.zone,
            Some(stage),
        ));
        registration.is_spot = subject.kind == RunnerKind::Spot;
        registration.slots = 32;
        self.runners.push(SimRunner {
            registration: Arc::new(registration),
            ready_us: self.now_us + boot_us,
            gone_us: None,
        });
    }

    fn drain(now_us: u64, runner: &mut SimRunner, leaves_ms: Option<u64>) {
        let mut registration = Runner::clone(&runner.registration);
        registration.is_draining = true;
        registration.leaves_ms = leaves_ms;
        runner.registration = Arc::new(registration);
        runner.gone_us = Some(now_us + DRAIN_US);
    }

    fn on_event(&mut self, event: Event) {
        let now_us = self.now_us;
        match event {
            Event::Reclaim { zone, for_us } => {
                self.no_spot_until_us[zone] = now_us + for_us;
                let is_taken = |r: &&mut SimRunner| {
                    r.registration.is_spot
                        && *r.registration.zone == *ZONES[zone]
                        && !r.is_leaving()
                };
                for runner in self.runners.iter_mut().filter(is_taken) {
                    Self::drain(now_us, runner, Some(2_300));
                }
            }
            Event::NoSpot { zone, for_us } => self.no_spot_until_us[zone] = now_us + for_us,
            Event::LoseZone { zone, for_us } => {
                self.zone_gone_until_us[zone] = now_us + for_us;
                self.cut_until_us[zone] = now_us + for_us;
                self.runners
                    .retain(|r| *r.registration.zone != *ZONES[zone]);
            }
            Event::CutNodes { zone, for_us } => self.cut_until_us[zone] = now_us + for_us,
            Event::ChangeHolder { after_us } => {
                self.holder_from_us = now_us + after_us;
                self.demand = FleetDemand::default();
                self.sizer = ServiceSizer::default();
                for (subject, (runners, before)) in &self.records {
                    self.sizer
                        .adopt(subject, *runners, *before, self.holder_from_us);
                }
            }
            Event::Release => {
                let staying = self.runners.iter().filter(|r| !r.is_leaving());
                let ids = staying.map(|r| Name::clone(&r.registration.id));
                self.to_replace = ids.collect();
            }
        }
    }

    fn run_platform(&mut self) {
        let now_us = self.now_us;
        self.runners
            .retain(|runner| runner.gone_us.is_none_or(|gone| gone > now_us));
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |(at, ..)| *at <= now_us)
            .collect();
        for (_at, subject, runners) in due {
            self.desired.insert(subject, runners);
        }
        for (subject, desired) in self.desired.clone() {
            let zone = zone_of(&subject.zone);
            let is_spot = subject.kind == RunnerKind::Spot;
            let has_none = is_spot && now_us < self.no_spot_until_us[zone]
                || now_us < self.zone_gone_until_us[zone];
            let alive: Vec<usize> = (0..self.runners.len())
                .filter(|i| {
                    let runner = &self.runners[*i];
                    Subject::of(&runner.registration) == subject && !runner.is_leaving()
                })
                .collect();
            let (alive_count, desired) = (alive.len(), desired as usize);
            for i in alive.into_iter().skip(desired) {
                Self::drain(now_us, &mut self.runners[i], None);
            }
            for _ in alive_count..if has_none { 0 } else { desired } {
                self.start(&subject, BOOT_US);
            }
        }
    }

    /// Replaces the next runner of a release: a new one starts, and the old one drains once it is ready.
    fn replace(&mut self) {
        if !self.now_us.is_multiple_of(SECOND_US) {
            return;
        }
        let Some(id) = self.to_replace.pop() else {
            return;
        };
        let old = self.runners.iter_mut().find(|r| r.registration.id == id);
        if let Some(old) = old.filter(|old| !old.is_leaving()) {
            let subject = Subject::of(&old.registration);
            Self::drain(self.now_us, old, None);
            self.start(&subject, 0);
        }
    }

    /// Spreads the load over the nodes, and has those report that can be asked, each every two seconds.
    fn serve(&mut self, load: f64) {
        let places = f64::from(engine().slots);
        let tick_us = TICK_US as f64;
        for node in 0..NODES {
            let part = load / NODES as f64;
            let node_load = &mut self.loads[node];
            let decode = part * (1.0 - READING_PART) * places;
            node_load.requests += 5;
            node_load.ended += 5;
            node_load.read_us += (part * READING_PART * tick_us) as u64;
            node_load.busy_us += (decode * tick_us) as u64;
            node_load.running = decode as u32;
            let is_cut = self.now_us < self.cut_until_us[node % 3];
            let is_asked = (self.now_us / TICK_US + node as u64).is_multiple_of(8);
            if is_asked && !is_cut {
                let load = self.loads[node];
                self.demand.on_report(node, load, self.now_us);
            }
        }
    }

    fn registered(&self) -> Vec<Arc<Runner>> {
        let ready = self.runners.iter().filter(|r| r.ready_us <= self.now_us);
        ready.map(|r| Arc::clone(&r.registration)).collect()
    }

    fn ready(&self) -> ReadyRunners {
        ReadyRunners::count(self.registered().iter().map(|runner| &**runner))
    }

    fn alive_in(&self, zone: &str) -> u32 {
        let alive = self.runners.iter().filter(|r| !r.is_leaving());
        alive.filter(|r| *r.registration.zone == *zone).count() as u32
    }

    fn price(&self) -> f64 {
        let scaling = scaling();
        let price = |runner: &SimRunner| {
            let share = if runner.registration.is_spot {
                0.18
            } else {
                1.0
            };
            scaling.zone_prices[&runner.registration.zone] * share
        };
        self.runners.iter().map(price).sum()
    }

    fn decide(&mut self, answers: Answers, outcome: &mut Outcome) {
        let runners = self.registered();
        let demand = self.demand.total(NODES, self.now_us);
        let (scaling, engine) = (scaling(), engine());
        let seen = Observation {
            runners: &runners,
            demand: demand.as_ref(),
            scaling: &scaling,
            engine: Some(&engine),
            has_stage_moves: false,
        };
        let decision = self.sizer.decide(&seen, self.now_us);
        for order in decision.orders {
            let is_raise = order.runners > order.before;
            outcome.orders += 1;
            outcome.lowered_in_release += usize::from(!is_raise && !self.to_replace.is_empty());
            let last = self
                .last
                .insert(order.subject.clone(), (self.now_us, is_raise));
            let is_reversal =
                |(at, raised): (u64, bool)| raised != is_raise && self.now_us < at + 5 * SECOND_US;
            outcome.reversals += usize::from(last.is_some_and(is_reversal));
            let subject = &order.subject;
            self.records
                .insert(subject.clone(), (order.runners, order.before));
            self.sizer
                .on_order(subject, order.runners, order.before, self.now_us);
            let answer = self.answer(subject, order.runners, answers);
            self.sizer.on_outcome(subject, answer, self.now_us);
        }
    }

    fn answer(&mut self, subject: &Subject, runners: u32, answers: Answers) -> OrderOutcome {
        let zone = zone_of(&subject.zone);
        let drawn = self.random.random_range(0.0..1.0);
        let is_more = self.desired.get(subject).is_none_or(|now| *now < runners);
        let is_spot = subject.kind == RunnerKind::Spot;
        if self.now_us < self.zone_gone_until_us[zone]
            || is_spot && is_more && self.now_us < self.no_spot_until_us[zone]
        {
            return OrderOutcome::NoneAvailable;
        }
        if drawn < answers.lost {
            return OrderOutcome::Unknown;
        }
        if drawn < answers.lost + answers.late {
            let at_us = self.now_us + 3 * SECOND_US;
            self.delayed.push((at_us, subject.clone(), runners));
            return OrderOutcome::Unknown;
        }
        self.desired.insert(subject.clone(), runners);
        OrderOutcome::Accepted
    }
}

/// The decisions' own view of a steady load, for comparison with [`at_planned_use`].
pub fn planned_need(load: f64) -> f64 {
    let demand = tealsaddle_core::fleet::sizing::demand::ServiceDemand {
        reading: load * READING_PART,
        running: load * (1.0 - READING_PART) * 32.0,
        ..Default::default()
    };
    let by_rule = needed(&demand, Some(&engine()), &ReadyRunners::default());
    assert!((by_rule - at_planned_use(load)).abs() < 1e-6);
    by_rule
}
