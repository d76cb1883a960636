//! Drawn histories of streams that are taken up while one software version replaces another.
//!
//! From 20 s to 60 s the runners of `v1` are replaced by those of `v2`, one after the other; a stream begins at either with
//! the share of its runners. One stream in a hundred breaks, and all streams of the nodes that are killed. Callers take
//! them up a moment later at a node drawn at random.

use std::cmp::Reverse;
use std::fmt::Write as _;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::continuation::{
    Answers, Continuation, Currency, HOLDERS, QUORUM, StreamMemory, Times, VersionHistory,
    VersionKnowledge, continuation,
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
/// When nodes are killed, and when they are back.
const KILL_US: u64 = 40 * SECOND_US;
const BACK_US: u64 = 41 * SECOND_US;
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

#[derive(Debug, Clone, Copy)]
struct Scenario {
    nodes: usize,
    streams_per_s: u64,
    killed: f64,
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
    started_us: u64,
    memory: StreamMemory,
    history: VersionHistory,
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
    fn open(started_us: u64) -> Self {
        let mut node = Self {
            started_us,
            memory: StreamMemory::default(),
            history: VersionHistory::default(),
        };
        if started_us > BEGIN_US {
            // The record that earlier nodes have written.
            let mut earlier = Self::open(BEGIN_US);
            earlier.observe(started_us);
            let times = times(started_us);
            node.history.on_record(&earlier.history.record(), times);
        }
        node
    }

    /// Has the node see all registrations up to now.
    fn observe(&mut self, now_us: u64) {
        let [begin_us, end_us] = RELEASE_US;
        for at_us in [self.started_us, begin_us, end_us, now_us] {
            if at_us >= self.started_us && at_us + KNOWN_US <= now_us {
                self.history.on_registered(registered(at_us), times(at_us));
                self.history.expire(true, times(at_us));
            }
        }
        self.history.expire(true, times(now_us));
    }
}

const fn times(now_us: u64) -> Times {
    Times {
        now_us,
        life_us: LIFE_US,
    }
}

fn streams(scenario: Scenario, way: Way, random: &mut ChaCha8Rng) -> Vec<Stream> {
    let mut streams = Vec::new();
    let interval_us = SECOND_US / scenario.streams_per_s;
    let mut begun_us = BEGIN_US;
    let killed = killed(scenario);
    while begun_us < END_US {
        begun_us += interval_us;
        let id = format!("s{}", streams.len());
        let node = random.random_range(0..scenario.nodes);
        let version = match way {
            Way::Derived => derived(&id, begun_us),
            _ => usize::from(random.random_bool(new_share(begun_us))),
        };
        let is_lost = node < killed && (begun_us..begun_us + STREAM_US).contains(&KILL_US);
        let is_broken = random.random_bool(0.01);
        let after_us = random.random_range(SECOND_US / 20..2 * SECOND_US);
        let broken_us = if is_lost { KILL_US } else { begun_us };
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

fn killed(scenario: Scenario) -> usize {
    ((scenario.nodes as f64 * scenario.killed).round() as usize).max(1)
}

fn holders(id: &str, nodes: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes).collect();
    ranked.sort_by_cached_key(|node| Reverse(rendezvous_weight(0, &format!("{id} {node}"))));
    ranked.truncate(HOLDERS);
    ranked
}

fn play(scenario: Scenario, way: Way, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let streams = streams(scenario, way, &mut random);
    let mut outcome = Outcome::default();
    let killed = killed(scenario);
    let mut told: HashMap<&str, Vec<usize>> = HashMap::default();
    for stream in &streams {
        let is_mixed = registered(stream.begun_us).len() > 1;
        if is_mixed && way == Way::Told {
            // Streams of the new version are passed on once a quorum knows of them.
            let is_killed_before = stream.node < killed
                && *stream.version == *"v1"
                && (stream.begun_us..stream.begun_us + TOLD_US).contains(&KILL_US);
            if !is_killed_before {
                told.insert(&stream.id, holders(&stream.id, scenario.nodes));
            }
            outcome.messages += HOLDERS;
        }
        outcome.writes += usize::from(is_mixed && way == Way::Recorded);
    }
    let taken_up = streams.iter().filter(|stream| stream.taken_up_us > 0);
    for stream in taken_up.filter(|stream| stream.taken_up_us < END_US) {
        let now_us = stream.taken_up_us;
        let is_up = |node: usize| node >= killed || !(KILL_US..BACK_US).contains(&now_us);
        let node = random.random_range(0..scenario.nodes);
        if !is_up(node) {
            continue;
        }
        let started_us = |node: usize| {
            if node < killed && now_us >= BACK_US {
                BACK_US
            } else {
                BEGIN_US
            }
        };
        outcome.taken_up += 1;
        let remembers = |node: usize| started_us(node) <= stream.begun_us;
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
            Way::Own | Way::Told => {
                let mut this = Node::open(started_us(node));
                this.observe(now_us);
                if node == stream.node && remembers(node) {
                    let times = times(stream.begun_us);
                    this.memory.insert(&stream.id, &stream.version, times);
                }
                let answers = told_answers(&told, scenario, stream, |holder| {
                    is_up(holder).then(|| (remembers(holder), now_us - started_us(holder)))
                });
                let remembered = this.memory.get(&stream.id);
                let answers = (way == Way::Told).then_some(answers);
                let knowledge = VersionKnowledge {
                    history: &this.history,
                    is_complete: true,
                    currency: Currency::Current,
                };
                continuation(remembered, knowledge, answers.as_ref())
            }
        };
        if let Continuation::At(version) = decided
            && registered(now_us).contains(&version)
        {
            outcome.gone_on += 1;
            outcome.joined += usize::from(version != stream.version);
        }
    }
    outcome
}

/// What the holders of a stream say. `state` tells of a node whether it remembers the time of the stream, and for how
/// long it has run; `None` if it is down.
fn told_answers<F>(
    told: &HashMap<&str, Vec<usize>>,
    scenario: Scenario,
    stream: &Stream,
    state: F,
) -> Answers
where
    F: Fn(usize) -> Option<(bool, u64)>,
{
    let knows = told.contains_key(stream.id.as_str());
    let mut answers = Answers::default();
    for holder in holders(&stream.id, scenario.nodes) {
        match state(holder) {
            Some((true, _uptime_us)) if knows => answers.told = Some(Name::clone(&stream.version)),
            Some((_, uptime_us)) => answers.denials += usize::from(uptime_us >= LIFE_US),
            None => {}
        }
    }
    answers
}

const FLEETS: [(usize, u64); 3] = [(7, 100), (74, 250), (360, 180)];

/// Guards against joined streams, and against streams that are refused though their version is known to others: at least
/// half of them have to go on, unless all nodes are killed.
#[parameterized(
    one_killed = { 0.0, 0.5 },
    seven_of_ten_killed = { 0.7, 0.5 },
    all_killed = { 1.0, 0.0 },
)]
fn streams_go_on_at_their_version(killed: f64, expected: f64) {
    for (nodes, streams_per_s) in FLEETS {
        let scenario = Scenario {
            nodes,
            streams_per_s,
            killed,
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

/// Guards against a node that was out of step while runners of a new version registered: it knows one version only, and
/// takes the streams of the other one for streams of that.
#[parameterized(
    current = { Currency::Current, None, Continuation::At("v1".into()) },
    recent = { Currency::Recent, None, Continuation::AskOthers },
    recent_without_answers = { Currency::Recent, Some((None, false)), Continuation::At("v1".into()) },
    recent_and_told = { Currency::Recent, Some((Some("v2"), false)), Continuation::At("v2".into()) },
    doubtful = { Currency::Doubtful, None, Continuation::AskOthers },
    doubtful_and_told = { Currency::Doubtful, Some((Some("v2"), false)), Continuation::At("v2".into()) },
    doubtful_and_denied = { Currency::Doubtful, Some((None, true)), Continuation::At("v1".into()) },
    doubtful_without_answers = { Currency::Doubtful, Some((None, false)), Continuation::Unknown },
)]
fn node_out_of_step_does_not_take_its_only_version_for_granted(
    currency: Currency,
    answers: Option<(Option<&str>, bool)>,
    expected: Continuation,
) {
    let mut history = VersionHistory::default();
    history.on_registered(vec!["v1".into()], times(0));
    let knowledge = VersionKnowledge {
        history: &history,
        is_complete: true,
        currency,
    };
    let answers = answers.map(|(told, is_quorum)| Answers {
        told: told.map(Into::into),
        is_quorum,
        ..Answers::default()
    });
    assert_eq!(continuation(None, knowledge, answers.as_ref()), expected);
}
