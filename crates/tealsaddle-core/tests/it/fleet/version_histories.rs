//! Drawn histories of streams that are taken up while one software version replaces another.
//!
//! From 20 s to 60 s the runners of `v1` are replaced by those of `v2`, one after the other; a stream begins at either with
//! the share of its runners. One stream in a hundred breaks, and all streams of the nodes that are killed. Callers take
//! them up a moment later at a node drawn at random. Beside that, nodes may be restarted in turn before the release, the
//! timeout may be shortened, nodes may have an earlier list of the others, or the store may come back from an older copy.

use std::cmp::Reverse;
use std::fmt::Write as _;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::fleet::continuation::{
    ASKED, Answers, Continuation, Coverage, HOLDERS, Observation, QUORUM, StreamLife, StreamMemory,
    Times, VersionHistory, VersionKnowledge, VersionRecord, Word, continuation,
};
use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::SECOND_US;

const BEGIN_US: u64 = 5 * SECOND_US;
const END_US: u64 = 70 * SECOND_US;
/// When the new version replaces the old one.
const RELEASE_US: [u64; 2] = [20 * SECOND_US, 60 * SECOND_US];
/// Longest life of a stream.
const LIFE_US: u64 = 7 * SECOND_US;
/// Length of a stream.
const STREAM_US: u64 = SECOND_US;
/// When nodes are killed, unless the scenario has another time.
const KILL_US: u64 = 40 * SECOND_US;
/// Longest life of a stream under a shorter timeout.
const SHORT_LIFE_US: u64 = 3 * SECOND_US;
/// Time over which all nodes are restarted in turn.
const RESTARTS_US: u64 = 6 * SECOND_US;
/// Time from a return of the store until the runners that it had lost are registered again.
const REREGISTERED_US: u64 = 2 * SECOND_US;
/// Age from which a node counts as out of step.
const DOUBT_US: u64 = SECOND_US + SECOND_US / 10;
/// Time after which a node knows of a change of the registrations.
const KNOWN_US: u64 = SECOND_US / 20;
/// Time from the first event of a stream until other nodes know of it, if that is not awaited.
const TOLD_US: u64 = SECOND_US / 25;
/// Part of the id space that changes hands at a time, in the way that derives versions from ids.
const DERIVED_STEPS: u64 = 12;

/// How a node finds the version of a stream that it has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Not at all: any runner goes on.
    Anywhere,
    /// It refuses what it has not begun itself while several versions may have streams.
    Own,
    /// The id tells the version by a record in the store; ids that have just changed hands are refused.
    Derived,
    /// Each stream of the time of several versions is written to the store before its first event.
    Recorded,
    /// Three nodes are told.
    Told,
}

/// What happens beside the release and the kills.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// All nodes are restarted in turn, over the seconds before the release.
    RestartsInTurn,
    /// The longest timeout is shortened as the last runners of the old version leave.
    ShorterTimeout,
    /// The nodes that are killed tell others by a list that lacks every third node.
    PartialLists,
    /// The store comes back from a copy of before the release as the nodes are killed; the runners of the new version are
    /// registered again later.
    ReturnOfStore,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    streams_per_s: u64,
    killed: f64,
    beside: Beside,
}

impl Scenario {
    /// When the streams of the killed nodes break.
    const fn kill_us(self) -> u64 {
        match self.beside {
            // The old version has left, and its last streams would not live any more by the newest configuration.
            Beside::ShorterTimeout => RELEASE_US[1] + SHORT_LIFE_US + SECOND_US,
            // The release has just begun.
            Beside::RestartsInTurn => RELEASE_US[0] + SECOND_US / 5,
            Beside::Nothing | Beside::PartialLists | Beside::ReturnOfStore => KILL_US,
        }
    }

    const fn back_us(self) -> u64 {
        self.kill_us() + SECOND_US
    }

    fn killed_nodes(self) -> usize {
        ((self.nodes as f64 * self.killed).round() as usize).max(1)
    }

    /// When the process of a node was started that runs at `now_us`.
    fn started_us(self, node: usize, now_us: u64) -> u64 {
        if node < self.killed_nodes() && now_us >= self.back_us() {
            return self.back_us();
        }
        if self.beside == Beside::RestartsInTurn {
            let before_us = (self.nodes - node) as u64 * RESTARTS_US / self.nodes as u64;
            return RELEASE_US[0] - before_us;
        }
        BEGIN_US
    }

    /// The longest life by the configuration in force.
    fn life_us(self, now_us: u64) -> u64 {
        if self.beside == Beside::ShorterTimeout && now_us >= RELEASE_US[1] {
            SHORT_LIFE_US
        } else {
            LIFE_US
        }
    }

    /// Length of a stream.
    fn stream_us(self) -> u64 {
        match self.beside {
            Beside::ShorterTimeout => LIFE_US - SECOND_US / 2,
            _ => STREAM_US,
        }
    }

    /// The versions that are registered in the store.
    fn registered(self, now_us: u64) -> Vec<Name> {
        let is_lost = (KILL_US..KILL_US + REREGISTERED_US).contains(&now_us);
        if self.beside == Beside::ReturnOfStore && is_lost {
            return registered(BEGIN_US);
        }
        registered(now_us)
    }
}

#[derive(Debug)]
struct Stream {
    id: String,
    node: usize,
    version: Name,
    begun_us: u64,
    taken_up_us: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    taken_up: usize,
    gone_on: usize,
    joined: usize,
    writes: usize,
    messages: usize,
}

/// A node as its take-ups see it.
#[derive(Debug)]
struct Node {
    scenario: Scenario,
    started_us: u64,
    life: StreamLife,
    memory: StreamMemory,
    history: VersionHistory,
    recorded_us: Option<u64>,
}

fn names() -> [Name; 2] {
    ["v1".into(), "v2".into()]
}

/// Share of the runners of the new version.
fn new_share(now_us: u64) -> f64 {
    let [begin_us, end_us] = RELEASE_US;
    let passed_us = now_us.saturating_sub(begin_us) as f64;
    (passed_us / (end_us - begin_us) as f64).min(1.0)
}

fn registered(now_us: u64) -> Vec<Name> {
    let [old, new] = names();
    let [begin_us, end_us] = RELEASE_US;
    match now_us {
        _ if now_us < begin_us => vec![old],
        _ if now_us < end_us => vec![old, new],
        _ => vec![new],
    }
}

/// The version of an id by the record that was in force, in steps of the release.
fn derived(id: &str, now_us: u64) -> usize {
    let place = rendezvous_weight(0, id) as f64 / u64::MAX as f64;
    let steps = DERIVED_STEPS as f64;
    usize::from(place < (new_share(now_us) * steps).ceil() / steps)
}

impl Node {
    fn open(scenario: Scenario, started_us: u64) -> Self {
        let mut node = Self {
            scenario,
            started_us,
            life: StreamLife::open(scenario.life_us(started_us)),
            memory: StreamMemory::default(),
            history: VersionHistory::default(),
            recorded_us: None,
        };
        if started_us > BEGIN_US {
            node.read_record();
        }
        node
    }

    /// Has the node read the record that earlier nodes have written, or the one in the copy from which the store came back.
    fn read_record(&mut self) {
        let is_copy = self.scenario.beside == Beside::ReturnOfStore;
        let written_us = if is_copy {
            RELEASE_US[0] - SECOND_US
        } else {
            self.started_us
        };
        let mut earlier = Self::open(self.scenario, BEGIN_US);
        earlier.observe(written_us);
        let record = VersionRecord {
            versions: earlier.history.live(),
            life_us: earlier.life.longest_us(written_us),
            era: Some(0),
        };
        self.life.on_earlier(record.life_us, self.started_us);
        let times = self.times(self.started_us);
        self.history.on_record(&record, times);
        let era = Some(u64::from(is_copy));
        self.recorded_us = (record.era == era).then_some(self.started_us);
    }

    fn times(&self, now_us: u64) -> Times {
        Times {
            now_us,
            life_us: self.life.longest_us(now_us),
        }
    }

    /// Has the node see all registrations and configurations up to now.
    fn observe(&mut self, now_us: u64) {
        let [begin_us, end_us] = RELEASE_US;
        let registered_again_us = KILL_US + REREGISTERED_US;
        for at_us in [
            self.started_us,
            begin_us,
            KILL_US,
            registered_again_us,
            end_us,
            now_us,
        ] {
            if at_us >= self.started_us && at_us + KNOWN_US <= now_us {
                self.life.on_configured(self.scenario.life_us(at_us), at_us);
                let times = self.times(at_us);
                self.history.expire(at_us);
                self.history
                    .on_registered(&self.scenario.registered(at_us), times);
            }
        }
        self.history.expire(now_us);
    }

    fn coverage(&self, now_us: u64) -> Coverage {
        let observation = Observation {
            begun_us: Some(self.started_us),
            resumed_us: self.started_us,
            recorded_us: self.recorded_us,
        };
        observation.coverage(self.times(now_us))
    }

    /// What the node says of a stream.
    fn word(&self, told: Option<&Name>, now_us: u64) -> Word {
        Word {
            told: told.cloned(),
            live: (self.coverage(now_us) != Coverage::Started).then(|| self.history.live()),
        }
    }
}

fn streams(scenario: Scenario, way: Way, random: &mut ChaCha8Rng) -> Vec<Stream> {
    let mut streams = Vec::new();
    let interval_us = SECOND_US / scenario.streams_per_s;
    let mut begun_us = BEGIN_US;
    let killed = scenario.killed_nodes();
    let (kill_us, stream_us) = (scenario.kill_us(), scenario.stream_us());
    while begun_us < END_US {
        begun_us += interval_us;
        let id = format!("s{}", streams.len());
        let node = random.random_range(0..scenario.nodes);
        let version = match way {
            Way::Derived => derived(&id, begun_us),
            _ => usize::from(random.random_bool(new_share(begun_us))),
        };
        let is_lost = node < killed && (begun_us..begun_us + stream_us).contains(&kill_us);
        let is_broken = random.random_bool(0.01);
        let after_us = random.random_range(SECOND_US / 20..2 * SECOND_US);
        let broken_us = if is_lost { kill_us } else { begun_us };
        streams.push(Stream {
            id,
            node,
            version: Name::clone(&names()[version]),
            begun_us,
            taken_up_us: if is_lost || is_broken {
                broken_us + after_us
            } else {
                0
            },
        });
    }
    streams
}

/// The first nodes for a stream by the list of a node.
fn ranked(id: &str, nodes: &[usize]) -> Vec<usize> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_cached_key(|node| Reverse(rendezvous_weight(0, &format!("{id} {node}"))));
    ranked
}

/// The nodes that are told of a stream.
fn holders(scenario: Scenario, stream: &Stream) -> Vec<usize> {
    let is_partial = scenario.beside == Beside::PartialLists;
    let is_listed = |node: &usize| *node != stream.node && !(is_partial && node.is_multiple_of(3));
    let listed: Vec<usize> = (0..scenario.nodes).filter(is_listed).collect();
    let mut holders = ranked(&stream.id, &listed);
    holders.truncate(HOLDERS);
    holders
}

/// When other nodes know of a stream; `None` if they are never told.
fn told_us(stream: &Stream) -> Option<u64> {
    // The old version counts until the end of the history, so that streams are told until then.
    let [begin_us, _end_us] = RELEASE_US;
    let known_us = begin_us + KNOWN_US;
    if stream.begun_us + LIFE_US < known_us {
        return None;
    }
    // The first event of a stream of a version that nodes may not know waits until they know of the stream.
    let is_new = *stream.version == *"v2" && stream.begun_us < known_us + DOUBT_US;
    let passed_us = if is_new { 0 } else { TOLD_US };
    Some(stream.begun_us.max(known_us) + passed_us)
}

fn play(scenario: Scenario, way: Way, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let streams = streams(scenario, way, &mut random);
    let mut outcome = Outcome::default();
    let killed = scenario.killed_nodes();
    for stream in &streams {
        let is_mixed = registered(stream.begun_us).len() > 1;
        outcome.messages += HOLDERS * usize::from(is_mixed && way == Way::Told);
        outcome.writes += usize::from(is_mixed && way == Way::Recorded);
    }
    let taken_up = streams.iter().filter(|stream| stream.taken_up_us > 0);
    for stream in taken_up.filter(|stream| stream.taken_up_us < END_US + LIFE_US) {
        let now_us = stream.taken_up_us;
        let is_down = |node: usize| {
            node < killed && (scenario.kill_us()..scenario.back_us()).contains(&now_us)
        };
        let node = random.random_range(0..scenario.nodes);
        if is_down(node) {
            continue;
        }
        outcome.taken_up += 1;
        let decided = match way {
            Way::Anywhere => {
                let drawn = usize::from(random.random_bool(new_share(now_us)));
                Continuation::At(Name::clone(&names()[drawn]))
            }
            Way::Derived => {
                let is_certain = derived(&stream.id, now_us.saturating_sub(LIFE_US))
                    == derived(&stream.id, now_us);
                let version = &names()[derived(&stream.id, now_us)];
                if is_certain {
                    Continuation::At(Name::clone(version))
                } else {
                    Continuation::Unknown
                }
            }
            Way::Recorded => Continuation::At(Name::clone(&stream.version)),
            Way::Own | Way::Told => take_up(scenario, way, stream, node, is_down),
        };
        if let Continuation::At(version) = decided
            && scenario.registered(now_us).contains(&version)
        {
            outcome.gone_on += 1;
            outcome.joined += usize::from(version != stream.version);
        }
    }
    outcome
}

/// Has a node decide where a stream goes on.
fn take_up<F>(
    scenario: Scenario,
    way: Way,
    stream: &Stream,
    node: usize,
    is_down: F,
) -> Continuation
where
    F: Fn(usize) -> bool,
{
    let now_us = stream.taken_up_us;
    let state = |node: usize| {
        let mut state = Node::open(scenario, scenario.started_us(node, now_us));
        state.observe(now_us);
        state
    };
    let mut this = state(node);
    if node == stream.node && this.started_us <= stream.begun_us {
        let times = this.times(stream.begun_us);
        this.memory.insert(&stream.id, &stream.version, times);
    }
    let holders = holders(scenario, stream);
    // A notice is lost with the node that was about to send it.
    let told_us = told_us(stream).filter(|told_us| {
        *told_us < scenario.kill_us()
            || stream.node >= scenario.killed_nodes()
            || stream.begun_us >= scenario.back_us()
    });
    let knows = |state: &Node, node: usize| {
        let is_told = told_us.is_some_and(|at_us| state.started_us <= at_us && at_us <= now_us);
        let has_begun = node == stream.node && state.started_us <= stream.begun_us;
        has_begun || (is_told && holders.contains(&node))
    };
    let others: Vec<usize> = (0..scenario.nodes).filter(|other| *other != node).collect();
    let mut asked = ranked(&stream.id, &others);
    asked.truncate(ASKED);
    let mut answers = Answers {
        asked: asked.len(),
        words: Vec::new(),
    };
    for other in asked.into_iter().filter(|other| !is_down(*other)) {
        let state = state(other);
        let told = knows(&state, other).then_some(&stream.version);
        answers.words.push(state.word(told, now_us));
    }
    if let Some(version) = answers.told() {
        let times = this.times(stream.begun_us);
        let is_asked = way == Way::Told;
        if is_asked && knows(&this, node) {
            this.memory.insert(&stream.id, version, times);
        }
    }
    let knowledge = VersionKnowledge {
        history: &this.history,
        coverage: this.coverage(now_us),
        is_current: true,
    };
    let answers = (way == Way::Told).then_some(answers);
    continuation(this.memory.get(&stream.id), knowledge, answers.as_ref())
}

const FLEETS: [(usize, u64); 3] = [(7, 100), (74, 250), (360, 180)];

/// Guards against joined streams, and against streams that are refused though their version is known to others: at least
/// half of them have to go on, unless all or most nodes are killed.
#[parameterized(
    one_killed = { 0.0, Beside::Nothing, 0.5 },
    seven_of_ten_killed = { 0.7, Beside::Nothing, 0.5 },
    all_killed = { 1.0, Beside::Nothing, 0.0 },
    restarts_in_turn = { 0.0, Beside::RestartsInTurn, 0.5 },
    restarts_in_turn_and_half_killed = { 0.5, Beside::RestartsInTurn, 0.5 },
    shorter_timeout = { 0.0, Beside::ShorterTimeout, 0.0 },
    shorter_timeout_and_half_killed = { 0.5, Beside::ShorterTimeout, 0.0 },
    partial_lists = { 0.0, Beside::PartialLists, 0.5 },
    partial_lists_and_half_killed = { 0.5, Beside::PartialLists, 0.5 },
    return_of_store = { 0.0, Beside::ReturnOfStore, 0.5 },
    return_of_store_and_seven_of_ten_killed = { 0.7, Beside::ReturnOfStore, 0.0 },
    return_of_store_and_all_killed = { 1.0, Beside::ReturnOfStore, 0.0 },
)]
fn streams_go_on_at_their_version(killed: f64, beside: Beside, expected: f64) {
    for (nodes, streams_per_s) in FLEETS {
        let scenario = Scenario {
            nodes,
            streams_per_s,
            killed,
            beside,
        };
        for seed in 0..3 {
            let outcome = play(scenario, Way::Told, seed);
            assert_eq!(outcome.joined, 0, "{nodes} nodes: {outcome:?}");
            let share = outcome.gone_on as f64 / outcome.taken_up.max(1) as f64;
            assert!(share >= expected, "{nodes} nodes: {outcome:?}");
        }
    }
}

/// The ways that were weighed, for the page on versions.
#[test]
fn ways_to_know_the_version_of_a_stream() {
    let ways = [
        Way::Anywhere,
        Way::Own,
        Way::Derived,
        Way::Recorded,
        Way::Told,
    ];
    let mut table = String::new();
    for (killed, name) in [(0.0, "one"), (0.7, "seven of ten"), (1.0, "all")] {
        for (nodes, streams_per_s) in FLEETS {
            let scenario = Scenario {
                nodes,
                streams_per_s,
                killed,
                beside: Beside::Nothing,
            };
            write!(table, "{name} of {nodes} killed:").expect("writing to a string cannot fail");
            for way in ways {
                let outcome = play(scenario, way, 1);
                let seconds = ((RELEASE_US[1] - RELEASE_US[0]) / SECOND_US) as usize;
                write!(
                    table,
                    " {way:?} {} joined, {:.2} go on, {} writes/s, {:.1} messages/s a node;",
                    outcome.joined,
                    outcome.gone_on as f64 / outcome.taken_up.max(1) as f64,
                    outcome.writes / seconds,
                    outcome.messages as f64 / (seconds * nodes) as f64,
                )
                .expect("writing to a string cannot fail");
            }
            table.push('\n');
        }
    }
    assert_eq!(QUORUM * 2, HOLDERS + 1);
    insta::assert_snapshot!(table);
}
