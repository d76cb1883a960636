//! Drawn histories of a runner that limits the requests of all nodes together for some time.
//!
//! Each node has a gate and a counter, as in the gateway; requests arrive at random, leave up to 0.9 s after their
//! permit, and their answers say whether the runner is in need.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::backpressure::{Backpressure, RateSignal};
use tealsaddle_core::fleet::permit_counter::{
    Ask, CounterRole, PermitCounter, Reply, RunnerTerms, TermsChange,
};
use tealsaddle_core::fleet::send_gate::{AnswerObservation, SendGate, Standing};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::{SECOND_US, runner};

/// When the need of the runner begins and ends.
const NEED_US: [u64; 2] = [5 * SECOND_US, 45 * SECOND_US];
/// End of the history.
const END_US: u64 = 60 * SECOND_US;
/// Time from the beginning of the need from which the limit binds.
const CONTACT_US: u64 = 3 * SECOND_US;
/// When a fault begins and ends.
const FAULT_US: [u64; 2] = [15 * SECOND_US, 35 * SECOND_US];
/// When a node that is frozen from the beginning of the fault is no longer in the lists of the others.
const DROPPED_US: u64 = FAULT_US[0] + 16 * SECOND_US;
/// Time in which all nodes list one that has registered.
const LIST_DELAY_US: u64 = 9 * SECOND_US;
/// A node that stands in for the first one and reaches all others.
const ALL_REACHED: CounterRole = CounterRole::Substitute { reach: 1.0 };
/// Time from the arrival of a request at the runner to its answer.
const ANSWER_US: u64 = SECOND_US / 20;
/// Length of the windows in which requests are counted.
const WINDOW_US: u64 = 4 * SECOND_US;

/// What happens to the nodes. The first node counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The first node starts again and knows what the second one tells.
    Restart,
    /// The first node does not answer, and is no longer registered later.
    Freeze,
    /// The last third of the nodes is cut off from the others.
    CutWithout,
    /// The first third of the nodes is cut off from the others.
    CutWith,
    /// The first node joins, and the others learn of it one by one.
    Join,
    /// The first node is told to stop, and the others learn of it one by one.
    Stop,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    limit_per_s: f64,
    demand_per_s: f64,
    /// Whether nine tenths of the requests come to a third of the nodes.
    is_skewed: bool,
    fault: Fault,
}

/// What came of a history.
#[derive(Debug)]
struct Outcome {
    /// Largest number of requests in a window while the limit binds.
    worst: usize,
    /// Share of the limit that was used.
    used: f64,
    /// When the last request was held back.
    last_held_us: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        node: usize,
    },
    AtRunner {
        node: usize,
        sent_us: u64,
    },
    Answer {
        node: usize,
        sent_us: u64,
        is_in_need: bool,
    },
}

#[derive(Debug, Default)]
struct Node {
    gate: SendGate,
    counter: PermitCounter,
    /// When it learns of the first node after that has registered, or has given up its registration.
    learns_after_us: u64,
}

struct World {
    scenario: Scenario,
    runner: Runner,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    scheduled: usize,
    rng: ChaCha8Rng,
    arrivals: Vec<u64>,
    last_held_us: u64,
    has_restarted: bool,
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |_| Node {
            learns_after_us: rng.random_range(0..8 * SECOND_US),
            ..Node::default()
        };
        Self {
            nodes: (0..scenario.nodes).map(node).collect(),
            scenario,
            runner: Runner::clone(&runner("r", "a", None)),
            events: BinaryHeap::new(),
            scheduled: 0,
            rng,
            arrivals: Vec::new(),
            last_held_us: 0,
            has_restarted: false,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn schedule_request(&mut self, now_us: u64) {
        let gap_s = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.scenario.demand_per_s;
        let third = self.scenario.nodes / 3;
        let is_busy = self.scenario.is_skewed && self.rng.random_bool(0.9);
        let end = if is_busy {
            third.max(1)
        } else {
            self.scenario.nodes
        };
        let node = self.rng.random_range(0..end);
        self.schedule(now_us + (gap_s * 1e6) as u64, Event::Request { node });
    }

    fn run(mut self) -> Outcome {
        self.schedule_request(0);
        while let Some(Reverse((now_us, _number, event))) = self.events.pop() {
            if now_us > END_US {
                break;
            }
            self.restart_first(now_us);
            match event {
                Event::Request { node } => {
                    self.schedule_request(now_us);
                    self.on_request(node, now_us);
                }
                Event::AtRunner { node, sent_us } => {
                    self.arrivals.push(now_us);
                    let is_in_need = (NEED_US[0]..NEED_US[1]).contains(&now_us);
                    let answer = Event::Answer {
                        node,
                        sent_us,
                        is_in_need,
                    };
                    self.schedule(now_us + ANSWER_US, answer);
                }
                Event::Answer {
                    node,
                    sent_us,
                    is_in_need,
                } => {
                    self.on_answer(node, sent_us, is_in_need, now_us);
                }
            }
        }
        self.outcome()
    }

    fn restart_first(&mut self, now_us: u64) {
        if self.scenario.fault == Fault::Restart && !self.has_restarted && now_us >= FAULT_US[0] {
            self.has_restarted = true;
            self.nodes[0] = Node::default();
            for terms in self.nodes[1].gate.all_known() {
                self.nodes[0].gate.on_told(&terms, now_us);
            }
        }
    }

    /// As [`counter_of`](Self::counter_of), since the first node has registered at `joined_us`.
    fn joined(&self, node: usize, joined_us: u64, now_us: u64) -> (usize, CounterRole) {
        let has_settled = |at_us: u64| now_us >= at_us + LIST_DELAY_US;
        let is_settled = has_settled(joined_us + LIST_DELAY_US);
        let ranks_first = |node: usize| has_settled(joined_us + self.nodes[node].learns_after_us);
        let asks_first = if node == 0 {
            is_settled
        } else {
            ranks_first(node)
        };
        match (asks_first, is_settled) {
            (true, true) => (0, CounterRole::First),
            (true, false) => (0, ALL_REACHED),
            (false, _) if ranks_first(1) => (1, ALL_REACHED),
            (false, _) => (1, CounterRole::First),
        }
    }

    /// The node that counts for another one, and its role.
    fn counter_of(&self, node: usize, now_us: u64) -> (usize, CounterRole) {
        let count = self.scenario.nodes;
        let third = count / 3;
        let is_in_fault = (FAULT_US[0]..FAULT_US[1]).contains(&now_us);
        let cut_off = |nodes: usize| CounterRole::Substitute {
            reach: nodes as f64 / count as f64,
        };
        match self.scenario.fault {
            Fault::Restart if (FAULT_US[0]..FAULT_US[0] + 2 * LIST_DELAY_US).contains(&now_us) => {
                (usize::from(node == 0), ALL_REACHED)
            }
            Fault::Freeze if is_in_fault && now_us < DROPPED_US => (1, ALL_REACHED),
            Fault::Freeze if is_in_fault => (1, CounterRole::First),
            Fault::Freeze if now_us >= FAULT_US[1] => self.joined(node, FAULT_US[1], now_us),
            Fault::CutWithout if is_in_fault && node >= count - third => {
                (count - third, cut_off(third))
            }
            Fault::CutWith if is_in_fault && node >= third => (third, cut_off(count - third)),
            Fault::Join if now_us < FAULT_US[0] => (1, CounterRole::First),
            Fault::Join => self.joined(node, FAULT_US[0], now_us),
            // Who still asks the first node is refused and asks the second one, which may not have learned of it itself.
            Fault::Stop if now_us >= FAULT_US[0] + self.nodes[1].learns_after_us => {
                (1, CounterRole::First)
            }
            Fault::Stop if now_us >= FAULT_US[0] => (1, ALL_REACHED),
            _ => (0, CounterRole::First),
        }
    }

    fn on_request(&mut self, node: usize, now_us: u64) {
        let is_in_fault = (FAULT_US[0]..FAULT_US[1]).contains(&now_us);
        if node == 0 && is_in_fault && self.scenario.fault == Fault::Freeze {
            return;
        }
        let standing = self.nodes[node].gate.standing(&self.runner, now_us);
        let is_sent = match standing {
            Standing::Open => true,
            Standing::Held(_) => false,
            Standing::Counted => self.ask(node, now_us),
        };
        if !is_sent {
            self.last_held_us = now_us;
            return;
        }
        let read_us = self.rng.random_range(0..9 * SECOND_US / 10);
        let sent_us = now_us + read_us;
        self.nodes[node].gate.on_send(&self.runner, sent_us);
        self.schedule(sent_us + 1_000, Event::AtRunner { node, sent_us });
    }

    fn ask(&mut self, node: usize, now_us: u64) -> bool {
        let known = self.nodes[node].gate.known(&self.runner);
        let (counter, role) = self.counter_of(node, now_us);
        self.tell(counter, &known, now_us);
        let ask = Ask {
            runner: Name::clone(&self.runner.id),
            max_wait_us: 0,
        };
        let reply = self.nodes[counter].counter.on_ask(&ask, role, now_us);
        let terms = self.nodes[counter].counter.terms(&self.runner.id);
        let terms = terms.expect("it was told before");
        let gate = &mut self.nodes[node].gate;
        gate.on_reply(&known, &terms, now_us);
        match reply {
            Reply::Granted { .. } => true,
            Reply::Denied { wait_us, .. } => {
                gate.on_full(&self.runner.id, now_us + wait_us);
                false
            }
        }
    }

    fn tell(&mut self, counter: usize, terms: &RunnerTerms, now_us: u64) {
        let TermsChange { has_begun, .. } = self.nodes[counter].counter.on_terms(terms, now_us);
        if has_begun {
            let known = self.nodes[counter].counter.terms(&self.runner.id);
            let known = known.expect("it was told before");
            for other in 0..self.nodes.len() {
                if self.counter_of(other, now_us).0 == counter {
                    self.nodes[other].gate.on_told(&known, now_us);
                }
            }
        }
    }

    fn on_answer(&mut self, node: usize, sent_us: u64, is_in_need: bool, now_us: u64) {
        let rate = if is_in_need {
            RateSignal::PerSecond(self.scenario.limit_per_s)
        } else {
            RateSignal::Unlimited
        };
        let answer = AnswerObservation {
            backpressure: Backpressure {
                rate,
                ..Backpressure::default()
            },
            is_refusal: false,
            sent_us,
            seen_us: now_us,
        };
        if let Some(terms) = self.nodes[node].gate.on_answer(&self.runner, &answer) {
            let (counter, _role) = self.counter_of(node, now_us);
            self.tell(counter, &terms, now_us);
        }
    }

    fn outcome(&self) -> Outcome {
        let [begin_us, end_us] = NEED_US;
        let bound = |at_us: &&u64| (begin_us + CONTACT_US..end_us).contains(*at_us);
        let bound: Vec<u64> = self.arrivals.iter().filter(bound).copied().collect();
        let mut worst = 0;
        for (first, at_us) in bound.iter().enumerate() {
            let rest = &bound[first..];
            worst = worst.max(rest.partition_point(|other| *other < at_us + WINDOW_US));
        }
        let bound_s = (end_us - begin_us - CONTACT_US) as f64 / SECOND_US as f64;
        Outcome {
            worst,
            used: bound.len() as f64 / (bound_s * self.scenario.limit_per_s),
            last_held_us: self.last_held_us,
        }
    }
}

fn play(scenario: Scenario) -> Vec<Outcome> {
    play_seeds(scenario, 3)
}

fn play_seeds(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| World::new(scenario, seed).run())
        .collect()
}

/// Largest number of requests in a window that a limit allows.
fn allowed_in_window(limit_per_s: f64) -> usize {
    (6.0 * limit_per_s) as usize + 5
}

/// Guards against a limit that all nodes together exceed, also where each node alone would be below it.
#[parameterized(
    one = { 1 },
    small = { 7 },
    grown = { 74 },
    large = { 360 },
)]
fn nodes_together_keep_to_a_limit(nodes: usize) {
    let faults = [
        Fault::None,
        Fault::Restart,
        Fault::Freeze,
        Fault::CutWithout,
        Fault::CutWith,
        Fault::Join,
        Fault::Stop,
    ];
    for fault in faults {
        for limit_per_s in [0.0, 0.1, 1.0, 4.2, 20.0] {
            for (demand, is_skewed) in [(3.0, false), (3.0, true), (30.0, false), (30.0, true)] {
                let scenario = Scenario {
                    nodes,
                    limit_per_s,
                    demand_per_s: demand * limit_per_s.max(1.0),
                    is_skewed,
                    // One node alone has no others that could be cut off.
                    fault: if nodes == 1 { Fault::None } else { fault },
                };
                let allowed = allowed_in_window(limit_per_s);
                for outcome in play(scenario) {
                    assert!(
                        outcome.worst <= allowed,
                        "{scenario:?}: {outcome:?}, {allowed} allowed"
                    );
                }
            }
        }
    }
}

/// Guards against a node that joins and stands in with half of a limit, beside the whole one of the node that counts:
/// permits are used up to 0.9 s after they are given, so a window has those of a longer time.
#[test]
fn limit_holds_beside_a_node_that_joins() {
    const LIMIT_PER_S: f64 = 20.0;
    for nodes in [7, 74, 360] {
        let scenario = Scenario {
            nodes,
            limit_per_s: LIMIT_PER_S,
            demand_per_s: 30.0 * LIMIT_PER_S,
            is_skewed: false,
            fault: Fault::Join,
        };
        let outcomes = play_seeds(scenario, 12);
        let worst = outcomes.iter().map(|outcome| outcome.worst).max();
        let allowed = allowed_in_window(LIMIT_PER_S);
        assert!(
            worst <= Some(allowed),
            "{nodes} nodes: {worst:?} requests, {allowed} allowed"
        );
    }
}

/// Guards against a limit of which a good part goes unused while there is demand, by itself or beside a fault.
#[parameterized(
    small = { 7 },
    grown = { 74 },
    large = { 360 },
)]
fn most_of_a_limit_is_used(nodes: usize) {
    for (fault, at_least) in [
        (Fault::None, 0.85),
        (Fault::Join, 0.7),
        (Fault::Stop, 0.7),
        (Fault::Restart, 0.6),
        (Fault::CutWithout, 0.6),
        (Fault::CutWith, 0.6),
        (Fault::Freeze, 0.5),
    ] {
        for limit_per_s in [1.0, 4.2, 20.0] {
            for is_skewed in [false, true] {
                let scenario = Scenario {
                    nodes,
                    limit_per_s,
                    demand_per_s: 3.0 * limit_per_s,
                    is_skewed,
                    fault,
                };
                for outcome in play(scenario) {
                    assert!(outcome.used >= at_least, "{scenario:?}: {outcome:?}");
                }
            }
        }
    }
}

/// Guards against nodes that hold requests back after the need has ended, since no node tells them.
#[parameterized(
    small = { 7 },
    grown = { 74 },
    large = { 360 },
)]
fn end_of_a_need_is_heard(nodes: usize) {
    for limit_per_s in [0.0, 0.1, 1.0, 4.2, 20.0] {
        let scenario = Scenario {
            nodes,
            limit_per_s,
            demand_per_s: 30.0 * limit_per_s.max(1.0),
            is_skewed: false,
            fault: Fault::None,
        };
        // A request may have got the last place just before the end, and the next one follows after 1 / L. It may
        // leave 0.9 s later, as may the one whose answer shows the end to its node.
        let interval_us = (1e6 / limit_per_s.max(0.1)) as u64;
        let heard_by_us = NEED_US[1] + 2 * interval_us + 2 * SECOND_US;
        for outcome in play(scenario) {
            assert!(
                outcome.last_held_us <= heard_by_us,
                "{scenario:?}: {outcome:?}"
            );
            assert!(
                outcome.last_held_us >= NEED_US[0],
                "{scenario:?}: nothing was held"
            );
        }
    }
}
