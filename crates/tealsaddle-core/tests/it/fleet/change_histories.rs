//! Drawn histories of nodes that hear of changes in the store from each other.
//!
//! Time passes in steps. Each node asks one source at a time, as the gateway does; a message takes one step on each
//! way. What a node knows is the number of the last change that it has heard of.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::change_sources::{Member, Source, SourceTracker, sources};
use tealsaddle_core::fleet::knowledge::{FreshnessTerms, Knowledge, as_of_answer_us};
use yare::parameterized;

use super::SECOND_US;

/// Length of a step, and time of a message on one way.
const STEP_US: u64 = 5_000;
/// Bound within which changes bind.
const BOUND_US: u64 = 2 * SECOND_US;
/// End of the history.
const END_US: u64 = 40 * SECOND_US;
/// Time until all nodes have found their sources.
const SETTLED_US: u64 = 3 * SECOND_US;
/// When changes begin, and the time between them.
const CHANGES_US: u64 = 10 * SECOND_US;
const CHANGE_INTERVAL_US: u64 = 800_000;
/// When a fault begins and ends.
const FAULT_US: [u64; 2] = [12 * SECOND_US, 20 * SECOND_US];

/// What is wrong between the nodes and the store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A share of the nodes gets no answer from the store.
    StoreSilent(f64),
    /// The same, and each of these nodes is told so at once.
    StoreRefuses(f64),
    /// The nodes that watch the store are dead.
    WatchersDead,
    /// A zone does not reach the others; it reaches the store.
    ZoneCut,
}

#[derive(Debug, Clone, Copy)]
struct Question {
    source: Source,
    asked_us: u64,
    wait_us: u64,
    seen_as_of_us: u64,
    after: usize,
}

#[derive(Debug)]
struct Node {
    member: Member,
    sources: Vec<Source>,
    round: u32,
    tracker: SourceTracker,
    knowledge: Knowledge,
    known: usize,
    questions: Vec<Question>,
    seen_as_of_us: BTreeMap<usize, u64>,
    has_store: bool,
    is_dead: bool,
    doubtful_us: u64,
}

#[derive(Debug)]
struct Fleet {
    members: Vec<Member>,
    nodes: Vec<Node>,
    terms: FreshnessTerms,
    now_us: u64,
    /// When each change was acknowledged.
    changes: Vec<u64>,
    fault: Fault,
    calls: u64,
    messages: u64,
}

/// What came of a history.
#[derive(Debug)]
struct Outcome {
    calm_calls_per_s: f64,
    release_calls_per_s: f64,
    messages_per_node_s: f64,
    /// Longest time from a change until the last living node knew it.
    slowest_ms: u64,
    /// Share of the time after the start in which nodes were in doubt.
    doubtful: f64,
}

impl Fleet {
    fn open(count: usize, zones: usize, fault: Fault, seed: u64) -> Self {
        let members: Vec<Member> = (0..count)
            .map(|number| Member {
                address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
                zone: format!("z{}", number % zones).as_str().into(),
            })
            .collect();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let node = |member: &Member| Node {
            member: member.clone(),
            sources: sources(&members, member, 0),
            round: 0,
            tracker: SourceTracker::default(),
            knowledge: Knowledge::default(),
            known: 0,
            questions: Vec::new(),
            seen_as_of_us: BTreeMap::new(),
            has_store: match fault {
                Fault::StoreSilent(share) | Fault::StoreRefuses(share) => {
                    !random.random_bool(share)
                }
                Fault::None | Fault::WatchersDead | Fault::ZoneCut => true,
            },
            is_dead: false,
            doubtful_us: 0,
        };
        Self {
            nodes: members.iter().map(node).collect(),
            members: members.clone(),
            terms: FreshnessTerms::of_bound(BOUND_US),
            now_us: SECOND_US,
            changes: Vec::new(),
            fault,
            calls: 0,
            messages: 0,
        }
    }

    fn is_faulty(&self) -> bool {
        (FAULT_US[0]..FAULT_US[1]).contains(&self.now_us)
    }

    fn reaches_store(&self, node: usize) -> bool {
        !self.is_faulty() || self.nodes[node].has_store
    }

    fn reach_each_other(&self, a: usize, b: usize) -> bool {
        let is_cut = self.is_faulty() && self.fault == Fault::ZoneCut;
        let is_first_zone = |node: usize| *self.nodes[node].member.zone == *"z0";
        let is_same_side = !is_cut || is_first_zone(a) == is_first_zone(b);
        !self.nodes[b].is_dead && is_same_side
    }

    fn place(&self, address: std::net::SocketAddr) -> usize {
        let mut nodes = self.nodes.iter();
        let place = nodes.position(|node| node.member.address == address);
        place.expect("a source is a node")
    }

    fn step(&mut self) {
        if self.fault == Fault::WatchersDead && self.now_us == FAULT_US[0] {
            for node in &mut self.nodes {
                node.is_dead = node.sources.first() == Some(&Source::Store);
            }
        }
        for place in 0..self.nodes.len() {
            if !self.nodes[place].is_dead {
                self.step_node(place);
            }
        }
        self.now_us += STEP_US;
    }

    fn step_node(&mut self, place: usize) {
        let now_us = self.now_us;
        let late_us = self.terms.source_timeout_us - self.terms.confirm_us;
        let node = &mut self.nodes[place];
        if node.knowledge.is_doubtful(&self.terms, now_us) && now_us > SETTLED_US {
            node.doubtful_us += STEP_US;
        }
        if node.questions.is_empty() {
            self.ask(place);
            return;
        }
        for question in node.questions.clone() {
            let asked_for_us = now_us - question.asked_us;
            if asked_for_us < 2 * STEP_US {
                return;
            }
            let heard = self.hear(place, question);
            let heard = heard.or((asked_for_us >= question.wait_us + late_us).then_some(false));
            let node = &mut self.nodes[place];
            match heard {
                Some(true) => {
                    node.tracker.on_answer(question.source);
                    node.questions.clear();
                    return;
                }
                Some(false) => {
                    node.tracker.on_failed(question.source, now_us);
                    let questions = &mut node.questions;
                    questions.retain(|other| other.source != question.source);
                    if questions.is_empty() {
                        node.round += 1;
                        node.sources = sources(&self.members, &node.member, node.round);
                        node.tracker.retain(&node.sources);
                    }
                }
                None => {}
            }
        }
    }

    /// Whether the source has something new, once it has answered.
    fn hear(&mut self, place: usize, question: Question) -> Option<bool> {
        let asked_for_us = self.now_us - question.asked_us;
        match question.source {
            Source::Store if self.reaches_store(place) => (asked_for_us >= question.wait_us
                || self.changes.len() > question.after)
                .then(|| self.hear_store(place, question)),
            Source::Store => matches!(self.fault, Fault::StoreRefuses(_)).then_some(false),
            Source::Peer(address) => {
                let peer = self.place(address);
                let is_due = asked_for_us >= question.wait_us;
                let other = &self.nodes[peer];
                let has_news = other.known > question.after
                    || other.knowledge.as_of_us() != question.seen_as_of_us;
                (self.reach_each_other(place, peer) && (is_due || has_news))
                    .then(|| self.hear_peer(place, peer, question))
            }
        }
    }

    fn ask(&mut self, place: usize) {
        let is_store_away = !self.reaches_store(place);
        let (now_us, confirm_us) = (self.now_us, self.terms.confirm_us);
        let node = &self.nodes[place];
        for source in node.tracker.choose(&node.sources, is_store_away, now_us) {
            let node = &self.nodes[place];
            let is_steady = node.tracker.current() == Some(source);
            let seen_as_of_us = match source {
                Source::Peer(address) if is_steady => {
                    let seen = node.seen_as_of_us.get(&self.place(address));
                    seen.copied().unwrap_or(0)
                }
                Source::Peer(_) | Source::Store => 0,
            };
            let age_us = node.knowledge.age_us(now_us);
            let wait_us = match source {
                Source::Store => Some(confirm_us),
                Source::Peer(_) => self.terms.patience_us(age_us),
            };
            let question = Question {
                source,
                asked_us: now_us,
                wait_us: wait_us.filter(|_| is_steady).unwrap_or(0),
                seen_as_of_us,
                after: node.known,
            };
            self.nodes[place].questions.push(question);
            match source {
                Source::Store => self.calls += 1,
                Source::Peer(_) => self.messages += 1,
            }
        }
    }

    fn hear_store(&mut self, place: usize, question: Question) -> bool {
        let node = &mut self.nodes[place];
        let has_changes = self.changes.len() > question.after;
        node.known = self.changes.len();
        node.knowledge.on_confirmed(if has_changes {
            self.terms.as_of_changes_us(question.asked_us, self.now_us)
        } else {
            question.asked_us + question.wait_us
        });
        true
    }

    fn hear_peer(&mut self, place: usize, peer: usize, question: Question) -> bool {
        let other = &self.nodes[peer];
        let (as_of_us, known) = (other.knowledge.as_of_us(), other.known);
        let age_us = other.knowledge.age_us(self.now_us);
        let held_us = self.now_us - question.asked_us - 2 * STEP_US;
        let (terms, now_us) = (self.terms, self.now_us);
        let node = &mut self.nodes[place];
        let has_changes = known > node.known;
        node.known = node.known.max(known);
        let own_us = as_of_answer_us(question.asked_us, held_us, age_us);
        node.knowledge.on_confirmed(own_us);
        node.seen_as_of_us.insert(peer, as_of_us);
        let is_news = as_of_us != question.seen_as_of_us || has_changes;
        is_news && terms.patience_us(node.knowledge.age_us(now_us)).is_some()
    }

    fn run(mut self) -> Outcome {
        let mut slowest_us = 0;
        let mut calls_before = 0;
        let mut told = 0;
        while self.now_us < END_US {
            if self.now_us == SETTLED_US {
                (self.calls, self.messages) = (0, 0);
            }
            if self.now_us == CHANGES_US {
                calls_before = self.calls;
            }
            let is_due = (self.now_us - SECOND_US).is_multiple_of(CHANGE_INTERVAL_US);
            if self.now_us >= CHANGES_US && is_due {
                self.changes.push(self.now_us);
            }
            self.step();
            let living = self.nodes.iter().filter(|node| !node.is_dead);
            let known = living.map(|node| node.known).min().unwrap_or(0);
            for acknowledged_us in &self.changes[told..known.max(told)] {
                slowest_us = slowest_us.max(self.now_us - acknowledged_us);
            }
            told = known.max(told);
        }
        let count = self.nodes.len() as f64;
        let seconds = |us: u64| us as f64 / SECOND_US as f64;
        let doubtful: u64 = self.nodes.iter().map(|node| node.doubtful_us).sum();
        Outcome {
            calm_calls_per_s: calls_before as f64 / seconds(CHANGES_US - SETTLED_US),
            release_calls_per_s: (self.calls - calls_before) as f64 / seconds(END_US - CHANGES_US),
            messages_per_node_s: self.messages as f64 / count / seconds(END_US - SETTLED_US),
            slowest_ms: slowest_us / 1_000,
            doubtful: seconds(doubtful) / count / seconds(END_US - SETTLED_US),
        }
    }
}

/// Numbers of nodes with the zones in which they are.
const FLEETS: [(usize, usize); 3] = [(7, 3), (74, 3), (360, 11)];

/// Guards against a node that learns of a change after it binds, though it reaches one that knows it in time.
#[parameterized(
    calm = { Fault::None },
    silent_for_half = { Fault::StoreSilent(0.5) },
    silent_for_most = { Fault::StoreSilent(0.9) },
    refusing_half = { Fault::StoreRefuses(0.5) },
    watchers_dead = { Fault::WatchersDead },
    zone_cut = { Fault::ZoneCut },
)]
fn changes_are_known_before_they_bind(fault: Fault) {
    for (count, zones) in FLEETS {
        for seed in 0..4 {
            let fleet = Fleet::open(count, zones, fault, seed);
            let has_store = |node: &Node| node.has_store;
            if !fleet.nodes.iter().any(has_store) {
                continue;
            }
            let outcome = fleet.run();
            assert!(
                outcome.slowest_ms * 1_000 < BOUND_US,
                "{count} nodes, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against nodes that do not know that their knowledge is old while no node reaches the store.
#[parameterized(silent = { Fault::StoreSilent(1.0) }, refusing = { Fault::StoreRefuses(1.0) })]
fn nodes_without_the_store_are_in_doubt(fault: Fault) {
    for (count, zones) in FLEETS {
        let outcome = Fleet::open(count, zones, fault, 0).run();
        let away_us = (FAULT_US[1] - FAULT_US[0]) as f64;
        let expected = (away_us - BOUND_US as f64) / (END_US - SETTLED_US) as f64;
        assert!(outcome.doubtful > expected, "{count} nodes: {outcome:?}");
    }
}

/// Guards against calls to the store that grow with the number of nodes, and against times that do.
#[test]
fn calls_do_not_grow_with_the_number_of_nodes() {
    let faults = [
        Fault::None,
        Fault::StoreSilent(0.5),
        Fault::StoreSilent(0.9),
        Fault::StoreRefuses(0.5),
        Fault::WatchersDead,
        Fault::ZoneCut,
    ];
    let mut table = String::new();
    for fault in faults {
        writeln!(table, "{fault:?}").expect("writing to a string cannot fail");
        for (count, zones) in FLEETS {
            let outcome = Fleet::open(count, zones, fault, 1).run();
            writeln!(
                table,
                "  {count} nodes: {:.1} calls/s calm, {:.1} beside changes, {:.1} messages a node and second, \
                 slowest {} ms",
                outcome.calm_calls_per_s,
                outcome.release_calls_per_s,
                outcome.messages_per_node_s,
                outcome.slowest_ms
            )
            .expect("writing to a string cannot fail");
        }
    }
    insta::assert_snapshot!(table);
}
