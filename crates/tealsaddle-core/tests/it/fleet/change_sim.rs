//! Nodes that hear of changes in the store from each other, in simulated time.
//!
//! Time passes in steps. Each node asks one source at a time, as the gateway does; a message takes one step on each
//! way. What a node knows is the number of the last change that it has heard of. A change is the removal of a
//! registration: a node that has heard of it drops the runner, or keeps it if the registration may have lapsed.

use std::collections::BTreeMap;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::change_sources::{Member, Source, SourceTracker, sources};
use tealsaddle_core::fleet::knowledge::{FreshnessTerms, Knowledge, as_of_answer_us};
use tealsaddle_core::fleet::store_words::{StoreWord, StoreWords};

use super::SECOND_US;

/// Length of a step, and time of a message on one way.
const STEP_US: u64 = 5_000;
/// Bound within which changes bind.
pub const BOUND_US: u64 = 2 * SECOND_US;
/// Time between two renewals of a runner's registration.
const RENEWAL_US: u64 = 1_200_000;
/// Time between two renewals of a node's own lease.
const LEASE_US: u64 = 1_900_000;
/// Time from a freeze from which a node counts as in touch.
const CONTACT_US: u64 = 3 * SECOND_US;
/// Length of a freeze, and time between two.
const FREEZE_US: u64 = 1_500_000;
const FREEZE_INTERVAL_US: u64 = 4 * SECOND_US;
/// Number of nodes that are asked whether a runner has left.
const ASKED_NODES: usize = 6;
/// End of the history.
pub const END_US: u64 = 40 * SECOND_US;
/// Time until all nodes have found their sources.
pub const SETTLED_US: u64 = 3 * SECOND_US;
/// When changes begin, and the time between them.
const CHANGES_US: u64 = 10 * SECOND_US;
const CHANGE_INTERVAL_US: u64 = 800_000;
/// When a fault begins and ends.
pub const FAULT_US: [u64; 2] = [12 * SECOND_US, 20 * SECOND_US];

/// What is wrong between the nodes and the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A share of the nodes gets no answer from the store.
    StoreSilent(f64),
    /// The same, and each of these nodes is told so at once.
    StoreRefuses(f64),
    /// The nodes that watch the store are dead.
    WatchersDead,
    /// A zone does not reach the others; it reaches the store.
    ZoneCut,
    /// The nodes that watch the store stand still now and then.
    WatchersFreeze,
    /// A share of the nodes stands still now and then.
    Freeze(f64),
}

#[derive(Debug, Clone, Copy)]
struct Question {
    source: Source,
    asked_us: u64,
    wait_us: u64,
    seen_as_of_us: u64,
    after: usize,
}

/// A runner that a node keeps although its registration is missing.
#[derive(Debug, Clone, Copy)]
struct Kept {
    change: usize,
    until_us: u64,
    /// When other nodes have answered what they know of it.
    settled_us: u64,
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
    words: StoreWords,
    kept: Vec<Kept>,
    has_store: bool,
    is_dead: bool,
    is_freezing: bool,
    thawed_us: u64,
    doubtful_us: u64,
}

#[derive(Debug)]
pub struct Fleet {
    members: Vec<Member>,
    nodes: Vec<Node>,
    random: ChaCha8Rng,
    terms: FreshnessTerms,
    now_us: u64,
    /// When each change was acknowledged.
    changes: Vec<u64>,
    faults: Vec<Fault>,
    calls: u64,
    messages: u64,
}

/// What came of a history.
#[derive(Debug)]
pub struct Outcome {
    pub calm_calls_per_s: f64,
    pub release_calls_per_s: f64,
    pub messages_per_node_s: f64,
    /// Longest time from a change until the last node in touch had dropped the runner.
    pub slowest_ms: u64,
    /// Share of the time after the start in which nodes were in doubt.
    pub doubtful: f64,
    /// Number of runners that nodes have kept for some time after they had left.
    pub kept: u64,
}

impl Fleet {
    pub fn open(count: usize, zones: usize, faults: &[Fault], seed: u64) -> Self {
        let members: Vec<Member> = (0..count)
            .map(|number| Member {
                address: ([10, 0, (number / 200) as u8, (number % 200) as u8], 80).into(),
                zone: format!("z{}", number % zones).as_str().into(),
            })
            .collect();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |share: f64| random.random_bool(share);
        let mut node = |member: &Member| {
            let (mut has_store, mut is_freezing) = (true, false);
            let ranked = sources(&members, member, 0);
            for fault in faults {
                match fault {
                    Fault::StoreSilent(share) | Fault::StoreRefuses(share) => {
                        has_store &= !draw(*share);
                    }
                    Fault::Freeze(share) => is_freezing |= draw(*share),
                    Fault::WatchersFreeze => is_freezing |= ranked.first() == Some(&Source::Store),
                    Fault::WatchersDead | Fault::ZoneCut => {}
                }
            }
            Node {
                member: member.clone(),
                sources: ranked,
                round: 0,
                tracker: SourceTracker::default(),
                knowledge: Knowledge::default(),
                known: 0,
                questions: Vec::new(),
                seen_as_of_us: BTreeMap::new(),
                words: StoreWords::open(RENEWAL_US),
                kept: Vec::new(),
                has_store,
                is_dead: false,
                is_freezing,
                thawed_us: 0,
                doubtful_us: 0,
            }
        };
        let nodes = members.iter().map(&mut node).collect();
        Self {
            nodes,
            members: members.clone(),
            random,
            terms: FreshnessTerms::of_bound(BOUND_US),
            now_us: SECOND_US,
            changes: Vec::new(),
            faults: faults.to_vec(),
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
        let is_cut = self.is_faulty() && self.faults.contains(&Fault::ZoneCut);
        let is_first_zone = |node: usize| *self.nodes[node].member.zone == *"z0";
        let is_same_side = !is_cut || is_first_zone(a) == is_first_zone(b);
        !self.nodes[b].is_dead && !self.is_frozen(b) && is_same_side
    }

    fn is_frozen(&self, node: usize) -> bool {
        let since_us = self.now_us.saturating_sub(FAULT_US[0]);
        self.nodes[node].is_freezing
            && self.is_faulty()
            && since_us % FREEZE_INTERVAL_US < FREEZE_US
    }

    fn place(&self, address: std::net::SocketAddr) -> usize {
        let mut nodes = self.nodes.iter();
        let place = nodes.position(|node| node.member.address == address);
        place.expect("a source is a node")
    }

    fn step(&mut self) {
        if self.faults.contains(&Fault::WatchersDead) && self.now_us == FAULT_US[0] {
            for node in &mut self.nodes {
                node.is_dead = node.sources.first() == Some(&Source::Store);
            }
        }
        for place in 0..self.nodes.len() {
            if self.is_frozen(place) {
                self.nodes[place].thawed_us = self.now_us + STEP_US;
            } else if !self.nodes[place].is_dead {
                self.renew_lease(place);
                self.step_node(place);
                self.settle(place);
            }
        }
        self.now_us += STEP_US;
    }

    /// Renews the lease of a node, each at its own times.
    fn renew_lease(&mut self, place: usize) {
        let offset_us = place as u64 * 7 * STEP_US;
        if (self.now_us + offset_us).is_multiple_of(LEASE_US) && self.reaches_store(place) {
            let word = word(self.now_us, self.now_us);
            self.nodes[place].words.on_word(word);
        }
    }

    /// Judges the removals that a node has just heard of, by what it knows of the store, or as its source tells.
    fn judge(&mut self, place: usize, known_before: usize, source: Option<usize>) {
        for change in known_before..self.nodes[place].known {
            let is_told = source.is_some_and(|source| self.has_dropped(source, change));
            let node = &mut self.nodes[place];
            let until_us = node.words.keep_until_us(self.now_us);
            if let Some(until_us) = until_us.filter(|_until_us| !is_told) {
                node.kept.push(Kept {
                    change,
                    until_us,
                    settled_us: self.now_us + 2 * STEP_US,
                });
            }
        }
    }

    fn has_dropped(&self, place: usize, change: usize) -> bool {
        let node = &self.nodes[place];
        change < node.known && node.kept.iter().all(|kept| kept.change != change)
    }

    /// Asks other nodes whether the runners have left that a node keeps, and drops those whose time is over.
    fn settle(&mut self, place: usize) {
        let now_us = self.now_us;
        let is_due = |kept: &Kept| kept.settled_us == now_us;
        if self.nodes[place].kept.iter().any(is_due) {
            let others: Vec<usize> = (0..self.nodes.len())
                .filter(|other| *other != place)
                .collect();
            let asked: Vec<usize> = others
                .sample(&mut self.random, ASKED_NODES)
                .copied()
                .collect();
            for other in asked {
                self.messages += 1;
                if self.reach_each_other(place, other) {
                    self.take_word_of(place, other);
                }
            }
        }
        let node = &mut self.nodes[place];
        node.kept.retain(|kept| kept.until_us > now_us);
    }

    fn take_word_of(&mut self, place: usize, other: usize) {
        let kept = self.nodes[place].kept.clone();
        let told = kept
            .iter()
            .filter(|kept| self.has_dropped(other, kept.change));
        let told: Vec<usize> = told.map(|kept| kept.change).collect();
        let words: Vec<StoreWord> = self.nodes[other].words.since(0).collect();
        let now_us = self.now_us;
        let node = &mut self.nodes[place];
        for told_word in words {
            node.words
                .on_word(word(told_word.from_us, told_word.to_us + STEP_US));
        }
        node.kept.retain(|kept| !told.contains(&kept.change));
        if node.words.keep_until_us(now_us).is_none() {
            node.kept.clear();
        }
    }

    /// Whether a node that reaches the store can be heard by each node, also across a cut.
    pub fn is_store_heard_everywhere(&self) -> bool {
        let is_first_zone = |node: &&Node| *node.member.zone == *"z0";
        let has_store = |nodes: Vec<&Node>| nodes.iter().any(|node| node.has_store);
        let (inside, outside): (Vec<&Node>, Vec<&Node>) =
            self.nodes.iter().partition(is_first_zone);
        if !self.faults.contains(&Fault::ZoneCut) {
            return has_store(self.nodes.iter().collect());
        }
        has_store(inside) && has_store(outside)
    }

    /// Number of runners that a node keeps.
    pub fn kept_by(&self, place: usize) -> usize {
        self.nodes[place].kept.len()
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
            Source::Store => {
                let refuses = |fault: &Fault| matches!(fault, Fault::StoreRefuses(_));
                self.faults.iter().any(refuses).then_some(false)
            }
            Source::Peer(address) => {
                let peer = self.place(address);
                let is_due = asked_for_us >= question.wait_us;
                let other = &self.nodes[peer];
                let has_update = other.known > question.after
                    || other.knowledge.as_of_us() != question.seen_as_of_us;
                (self.reach_each_other(place, peer) && (is_due || has_update))
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
        let known_before = node.known;
        node.known = self.changes.len();
        let as_of_us = if has_changes {
            self.terms.as_of_changes_us(question.asked_us, self.now_us)
        } else {
            question.asked_us + question.wait_us
        };
        node.knowledge
            .on_confirmed(as_of_us, &self.terms, self.now_us);
        node.words.on_word(word(as_of_us, self.now_us));
        self.judge(place, known_before, None);
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
        let known_before = node.known;
        node.known = node.known.max(known);
        let own_us = as_of_answer_us(question.asked_us, held_us, age_us);
        node.knowledge.on_confirmed(own_us, &terms, now_us);
        node.seen_as_of_us.insert(peer, as_of_us);
        let is_update = as_of_us != question.seen_as_of_us || has_changes;
        let is_of_use = is_update && terms.patience_us(node.knowledge.age_us(now_us)).is_some();
        node.words.on_word(word(own_us, now_us - age_us));
        self.judge(place, known_before, Some(peer));
        is_of_use
    }

    /// Plays until a time, with changes at their times.
    pub fn play_until(&mut self, until_us: u64) {
        while self.now_us < until_us {
            self.step();
        }
    }

    /// Adds a change that the store makes now.
    pub fn change(&mut self) {
        self.changes.push(self.now_us);
    }

    /// Number of changes that a node has heard of.
    pub fn known_by(&self, place: usize) -> usize {
        self.nodes[place].known
    }

    /// The changes whose runners all nodes in touch have dropped.
    fn dropped(&self) -> usize {
        let is_in_touch = |node: &&Node| {
            !node.is_dead && (node.thawed_us == 0 || self.now_us >= node.thawed_us + CONTACT_US)
        };
        let dropped = |node: &Node| {
            let kept = node.kept.iter().map(|kept| kept.change).min();
            kept.unwrap_or(node.known)
        };
        let in_touch = self.nodes.iter().filter(is_in_touch);
        in_touch.map(dropped).min().unwrap_or(0)
    }

    pub fn run(mut self) -> Outcome {
        let mut slowest_us = 0;
        let mut calls_before = 0;
        let mut told = 0;
        let mut kept = 0;
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
            let settled_us = self.now_us + STEP_US;
            let new = self.nodes.iter().flat_map(|node| &node.kept);
            kept += new.filter(|kept| kept.settled_us == settled_us).count() as u64;
            let dropped = self.dropped();
            for acknowledged_us in &self.changes[told..dropped.max(told)] {
                slowest_us = slowest_us.max(self.now_us - acknowledged_us);
            }
            told = dropped.max(told);
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
            kept,
        }
    }
}

const fn word(from_us: u64, to_us: u64) -> StoreWord {
    StoreWord { from_us, to_us }
}
