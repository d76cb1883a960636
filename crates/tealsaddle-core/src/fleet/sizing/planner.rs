//! Orders that are due for the runners of one service.
//!
//! Runners are ordered at once when those that are there, or were ordered and are still expected, would not leave enough
//! after the worst loss. Otherwise, cheaper ones are ordered first and dearer ones given up once these are there, in small
//! steps, and only while nothing else changes among the runners. What was ordered counts for a limited time: afterwards
//! only what has registered does, whatever the answer to the order was.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::demand::ServiceDemand;
use super::layout;
use super::need::{IN_USE_SHARE, NeedHistory, REFUSED_SHARE, ReadyRunners, needed};
use super::numbers::{Numbers, with_headroom};
use super::{Counts, RunnerKind, Subject};
use crate::collections::HashMap;
use crate::fleet::Runner;
use crate::fleet::config::{EngineLimits, Scaling};
use crate::name::Name;

/// What is ordered beyond the expected need when runners are lacking, so that a steady rise does not cause an order each second.
const RAISE_HEADROOM: f64 = 1.15;
/// Share of the price that a change has to save. It exceeds what the two headrooms differ by.
const MIN_SAVING: f64 = 0.12;
/// Shortest time between two orders that lower a number, in microseconds.
const MIN_LOWER_PAUSE_US: u64 = 4_000_000;
/// Shortest time from an order that raises a number to one that lowers the same one.
const RAISE_TO_LOWER_US: u64 = 15_000_000;
/// Shortest time from an order that lowers a number to one that raises the same one, if other zones and kinds can give
/// what is needed.
const LOWER_TO_RAISE_US: u64 = 15_000_000;
/// The same if they cannot. It exceeds the time for which an order may still be under way.
const MIN_LOWER_TO_RAISE_US: u64 = 5_000_000;
/// Share of what is aimed at from which cheaper runners are ordered while dearer ones can be given up as well. Otherwise a
/// steady rise would have a few ordered every some seconds, and none given up meanwhile.
const CHEAPER_SHARE: f64 = 0.25;
/// Shortest time between two orders for cheaper runners.
const CHEAPER_PAUSE_US: u64 = 6_000_000;
/// Time after a change among the runners for which none are given up.
const SETTLE_US: u64 = 3_000_000;
/// Demand has to be known for this long before runners are given up.
const MIN_HISTORY_US: u64 = 8_000_000;
/// Share of the nodes whose demand has to be known for that.
const MIN_KNOWN_SHARE: f64 = 0.6;
/// Share of late answers from which no runners are given up, if most are in use.
const LATE_SHARE: f64 = 0.1;
/// Time that the platform may take to carry out an order for fewer runners.
const LOWER_WAIT_US: u64 = 15_000_000;
/// Time that an order for more runners may take beyond the time that they need to start.
const RAISE_SLACK_US: u64 = 2_000_000;
/// First time for which a subject of which none is to be had is left alone; it doubles each time, up to the longest.
const FIRST_BLOCK_US: u64 = 10_000_000;
const LONGEST_BLOCK_US: u64 = 120_000_000;
/// The same after an order that the platform refused for another reason, or did not take.
const FIRST_RETRY_US: u64 = 1_000_000;
const LONGEST_RETRY_US: u64 = 16_000_000;
/// Time from an order to the next look at what it does to the split of stages, beside the time of a switch.
const SPLIT_ROUND_US: u64 = 2_500_000;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderOutcome {
    /// The platform has taken it.
    Accepted,
    /// There are no such runners in this zone now.
    NoneAvailable,
    /// The platform has not taken it, for another reason.
    Refused,
    /// It may or may not have been taken.
    Unknown,
}

/// Why a number is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderReason {
    /// Callers need more runners.
    Needed,
    /// These runners replace dearer ones.
    Cheaper,
    /// Fewer are enough.
    Surplus,
}

/// An order that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// What it is about.
    pub subject: Subject,
    /// Number that is to run.
    pub runners: u32,
    /// Number that counts now.
    pub before: u32,
    /// Why it is ordered.
    pub reason: OrderReason,
}

/// What is known of a service.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Registered runners of the service.
    pub runners: &'a [Arc<Runner>],
    /// Demand of the fleet; `None` while it is not known.
    pub demand: Option<&'a ServiceDemand>,
    /// Bounds and prices.
    pub scaling: &'a Scaling,
    /// Capacities of a model service's runners.
    pub engine: Option<&'a EngineLimits>,
    /// Whether runners have been ordered to change their stage and have not yet.
    pub has_stage_moves: bool,
}

/// Result of a decision, with its inputs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Decision {
    /// Orders that are due; empty most of the time.
    pub orders: Vec<PlannedOrder>,
    /// Why no runners are given up; `None` if they may be.
    pub hold: Option<&'static str>,
    /// Number that the present demand needs.
    pub needed: f64,
    /// Number that is needed until runners ordered now would be ready; 0 while it is not known.
    pub expected: u32,
    /// Runners that accept requests.
    pub ready: u32,
    /// Runners that are left of the ready and the expected ones after the worst loss.
    pub left_after_loss: u32,
    /// Price of the ready and the expected ones.
    pub price: f64,
    /// Price of what is aimed at.
    pub aimed_price: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct SubjectState {
    /// Latest order, unless the platform is known not to have taken it.
    ordered: Option<Ordered>,
    raised_us: Option<u64>,
    lowered_us: Option<u64>,
    blocked_until_us: u64,
    refusals: u32,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    runners: u32,
    before: u32,
    at_us: u64,
    /// Whether the platform has answered that it has taken it.
    is_accepted: bool,
}

impl Ordered {
    const fn is_raise(&self) -> bool {
        self.runners > self.before
    }
}

/// Decides on the runners of one service.
#[derive(Debug, Default)]
pub struct ServiceSizer {
    history: NeedHistory,
    subjects: BTreeMap<Subject, SubjectState>,
    /// Processes of the runners, by id.
    processes: HashMap<Name, u64>,
    joined_us: Option<u64>,
    lowered_us: Option<u64>,
    cheaper_us: Option<u64>,
}

impl ServiceSizer {
    /// Takes over an order of an earlier holder, whose time is not known by this node's clock.
    pub fn adopt(&mut self, subject: &Subject, runners: u32, before: u32, now_us: u64) {
        self.on_order(subject, runners, before, now_us);
    }

    /// Records an order that is about to be sent.
    pub fn on_order(&mut self, subject: &Subject, runners: u32, before: u32, now_us: u64) {
        let state = self.subjects.entry(subject.clone()).or_default();
        state.ordered = Some(Ordered {
            runners,
            before,
            at_us: now_us,
            is_accepted: false,
        });
        if runners > before {
            state.raised_us = Some(now_us);
        } else {
            state.lowered_us = Some(now_us);
            self.lowered_us = Some(now_us);
        }
    }

    /// Records what became of an order.
    pub fn on_outcome(&mut self, subject: &Subject, outcome: OrderOutcome, now_us: u64) {
        let state = self.subjects.entry(subject.clone()).or_default();
        let (first_us, longest_us) = match outcome {
            OrderOutcome::Accepted => {
                if let Some(ordered) = &mut state.ordered {
                    ordered.is_accepted = true;
                }
                return;
            }
            OrderOutcome::Unknown => return,
            OrderOutcome::NoneAvailable => (FIRST_BLOCK_US, LONGEST_BLOCK_US),
            OrderOutcome::Refused => (FIRST_RETRY_US, LONGEST_RETRY_US),
        };
        state.ordered = None;
        let pause_us = first_us << state.refusals.min(7);
        state.refusals += 1;
        state.blocked_until_us = now_us + pause_us.min(longest_us);
    }

    /// Decides which orders are due.
    pub fn decide(&mut self, seen: &Observation<'_>, now_us: u64) -> Decision {
        self.follow_processes(seen.runners, now_us);
        self.on_reclaims(seen, now_us);
        let ready_runners = ReadyRunners::count(seen.runners.iter().map(|runner| &**runner));
        let mut need = 0.0;
        if let Some(demand) = seen.demand {
            need = needed(demand, seen.engine, &ready_runners);
            self.history.push(now_us, need);
        }
        let expected = self.history.expected(now_us, horizon_us(seen));
        let mut ready = Counts::default();
        for runner in seen.runners.iter().filter(|runner| !runner.is_draining) {
            ready.add(Subject::of(runner));
        }
        self.settle_orders(&ready, seen.scaling, now_us);
        let numbers = Numbers {
            scaling: seen.scaling,
            committed: self.committed(&ready),
            ready,
            expected: expected.map_or(0, |expected| expected.ceil() as u32),
            now_us,
        };
        let hold = self.hold(seen, &ready_runners, need, now_us);
        let aimed = layout::cheapest(
            with_headroom(numbers.expected),
            seen.scaling,
            |subject: &Subject| self.limit(&numbers, subject, None),
        );
        let orders = if numbers.is_lacking() {
            self.raise(&numbers)
        } else if expected.is_none() || hold == Some(DEMAND_UNKNOWN) {
            Vec::new()
        } else {
            self.save(&numbers, &aimed, hold)
        };
        Decision {
            orders,
            hold,
            needed: need,
            expected: numbers.expected,
            ready: ready_runners.all,
            left_after_loss: numbers.committed.left_after_loss(),
            price: numbers.committed.price(seen.scaling),
            aimed_price: aimed.price(seen.scaling),
        }
    }

    /// Notes when a runner's process was last seen for the first time.
    fn follow_processes(&mut self, runners: &[Arc<Runner>], now_us: u64) {
        let seen = runners
            .iter()
            .map(|runner| (Name::clone(&runner.id), runner.started_unix_ms));
        let seen: HashMap<Name, u64> = seen.collect();
        let is_new = |(id, started): (&Name, &u64)| self.processes.get(id) != Some(started);
        if seen.iter().any(is_new) {
            self.joined_us = Some(now_us);
        }
        self.processes = seen;
    }

    /// Leaves spot runners of a zone alone that are being taken away: those ordered now would follow them.
    fn on_reclaims(&mut self, seen: &Observation<'_>, now_us: u64) {
        let is_taken = |runner: &&Arc<Runner>| {
            runner.is_spot && runner.is_draining && runner.leaves_ms.is_some()
        };
        let pause_us = (2 * seen.scaling.boot_ms * 1_000).max(FIRST_BLOCK_US);
        for runner in seen.runners.iter().filter(is_taken) {
            let state = self.subjects.entry(Subject::of(runner)).or_default();
            state.ordered = None;
            state.blocked_until_us = state.blocked_until_us.max(now_us + pause_us);
        }
    }

    /// Drops the orders that have come about or no longer count. Runners that were accepted and have not come are not to be
    /// had for now; an order without an answer has been lost.
    fn settle_orders(&mut self, ready: &Counts, scaling: &Scaling, now_us: u64) {
        let raise_wait_us = scaling.boot_ms * 1_500 + RAISE_SLACK_US;
        let mut missing = Vec::new();
        for (subject, state) in &mut self.subjects {
            let Some(ordered) = state.ordered else {
                continue;
            };
            let present = ready.get(subject);
            let age_us = now_us.saturating_sub(ordered.at_us);
            let (is_done, wait_us) = if ordered.is_raise() {
                (present >= ordered.runners, raise_wait_us)
            } else {
                (present <= ordered.runners, LOWER_WAIT_US)
            };
            if is_done {
                state.refusals = 0;
            }
            if is_done || age_us >= wait_us {
                state.ordered = None;
            }
            if !is_done && age_us >= wait_us && ordered.is_raise() {
                missing.push((subject.clone(), ordered.is_accepted));
            }
        }
        for (subject, is_accepted) in missing {
            let outcome = if is_accepted {
                OrderOutcome::NoneAvailable
            } else {
                OrderOutcome::Refused
            };
            self.on_outcome(&subject, outcome, now_us);
        }
    }

    /// Numbers that count: what was ordered while it may still come about, and otherwise what has registered.
    fn committed(&self, ready: &Counts) -> Counts {
        let mut committed = ready.clone();
        for (subject, state) in &self.subjects {
            if let Some(ordered) = state.ordered {
                committed.set(subject.clone(), ordered.runners);
            }
        }
        committed
    }

    /// Why no runners may be given up now.
    fn hold(
        &self,
        seen: &Observation<'_>,
        ready: &ReadyRunners,
        need: f64,
        now_us: u64,
    ) -> Option<&'static str> {
        let Some(demand) = seen.demand else {
            return Some(DEMAND_UNKNOWN);
        };
        let is_in_use = need > IN_USE_SHARE * f64::from(ready.all);
        let is_short = demand.refused_share > REFUSED_SHARE || demand.late_share > LATE_SHARE;
        let is_recent =
            |at_us: Option<u64>, pause_us| at_us.is_some_and(|at| now_us < at + pause_us);
        let boot_us = seen.scaling.boot_ms * 1_000;
        if demand.known_share < MIN_KNOWN_SHARE || demand.requests_per_s <= 0.0 {
            Some(DEMAND_UNKNOWN)
        } else if self.history.span_us() < MIN_HISTORY_US {
            Some("demand known only briefly")
        } else if is_short && is_in_use {
            Some("shortage")
        } else if seen.has_stage_moves {
            Some("stage moves")
        } else if seen.runners.iter().any(|runner| runner.is_draining) {
            Some("runners leaving")
        } else if is_recent(self.joined_us, SETTLE_US) {
            Some("runners joining")
        } else if is_recent(self.lowered_us, MIN_LOWER_PAUSE_US.max(boot_us)) {
            Some("lowered lately")
        } else {
            None
        }
    }

    /// How many runners of a subject may be had. `reversal_us` is the time after an order for fewer in which no more are
    /// ordered; `None` if that does not matter.
    fn limit(&self, numbers: &Numbers<'_>, subject: &Subject, reversal_us: Option<u64>) -> u32 {
        let state = self.subjects.get(subject).copied().unwrap_or_default();
        let lowered_lately = state.lowered_us.zip(reversal_us);
        let is_reversal = lowered_lately.is_some_and(|(at, pause)| numbers.now_us < at + pause);
        if numbers.now_us < state.blocked_until_us || is_reversal {
            numbers.committed.get(subject)
        } else {
            u32::MAX
        }
    }

    /// Orders for what callers lack. Numbers that were lowered lately are raised only if others do not suffice.
    fn raise(&self, numbers: &Numbers<'_>) -> Vec<PlannedOrder> {
        let aim = (f64::from(numbers.expected) * RAISE_HEADROOM).ceil() as u32;
        let lay_out = |reversal_us: u64| {
            layout::cheapest(aim, numbers.scaling, |subject: &Subject| {
                self.limit(numbers, subject, Some(reversal_us))
            })
        };
        let mut aimed = lay_out(LOWER_TO_RAISE_US);
        if aimed.left_after_loss() < numbers.expected {
            aimed = lay_out(MIN_LOWER_TO_RAISE_US);
        }
        numbers.raises(&aimed, OrderReason::Needed)
    }

    /// Orders that save price: cheaper runners first, then fewer of the dearer ones.
    fn save(
        &mut self,
        numbers: &Numbers<'_>,
        aimed: &Counts,
        hold: Option<&'static str>,
    ) -> Vec<PlannedOrder> {
        let price = numbers.committed.price(numbers.scaling);
        let aimed_price = aimed.price(numbers.scaling);
        if aimed.left_after_loss() < numbers.expected || aimed_price > price * (1.0 - MIN_SAVING) {
            return Vec::new();
        }
        let now_us = numbers.now_us;
        let is_recent =
            |at_us: Option<u64>, pause_us| at_us.is_some_and(|at| now_us < at + pause_us);
        let state = |subject: &Subject| self.subjects.get(subject).copied().unwrap_or_default();
        let lowered = numbers.lower(aimed, |subject: &Subject| {
            is_recent(state(subject).raised_us, RAISE_TO_LOWER_US)
        });
        let mut cheaper = numbers.raises(aimed, OrderReason::Cheaper);
        cheaper.retain(|order| {
            let is_reversal = is_recent(state(&order.subject).lowered_us, LOWER_TO_RAISE_US);
            order.subject.kind == RunnerKind::Spot && !is_reversal
        });
        let missing: u32 = cheaper.iter().map(|o| o.runners - o.before).sum();
        let is_worth_it = f64::from(missing) >= f64::from(aimed.sum()) * CHEAPER_SHARE;
        if missing > 0 && (is_worth_it || lowered.is_none()) {
            if is_recent(self.cheaper_us, CHEAPER_PAUSE_US) {
                return Vec::new();
            }
            self.cheaper_us = Some(now_us);
            return cheaper;
        }
        lowered.filter(|_| hold.is_none()).into_iter().collect()
    }
}

/// The hold of a service whose demand is not known.
const DEMAND_UNKNOWN: &str = "demand unknown";

/// Time until a runner ordered now serves requests: it starts, and the split of stages takes it into account.
fn horizon_us(seen: &Observation<'_>) -> u64 {
    let split_us = |engine: &EngineLimits| engine.switch_ms * 1_000 + SPLIT_ROUND_US;
    seen.scaling.boot_ms * 1_000 + seen.engine.map_or(0, split_us)
}
