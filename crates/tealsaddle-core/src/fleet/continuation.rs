//! At which software version a stream may go on.
//!
//! Runners of several versions may serve side by side, and what two of them write does not fit together. A stream goes
//! on only at the version that began it. That a node has not heard of a stream or of a version proves nothing by itself:
//! it proves something only together with since when the node has heard all changes, for how long streams live, and
//! whether other nodes would have told. A stream whose version is not known positively goes on only if no other version
//! can have begun it.

use std::collections::VecDeque;

use crate::collections::HashMap;
use crate::name::Name;

/// Number of nodes that are told of a stream.
pub const HOLDERS: usize = 3;
/// Number of them that have to know of a stream of a version that others may not have heard of.
pub const QUORUM: usize = 2;
/// Number of nodes that are asked for a stream. It is larger than [`HOLDERS`], as the nodes that were told are the first
/// ones by the list of another node, and two lists may differ by nodes that have just joined or left.
pub const ASKED: usize = 5;
/// Largest number of streams that a node remembers.
const MAX_STREAMS: usize = 200_000;
/// Time for which a node may admit streams by an earlier configuration, or send them to a runner that has left, after
/// others know better. Machines that are out of step are so for seconds.
const OUT_OF_STEP_US: u64 = 5_000_000;

/// How long streams live that may be under way now.
///
/// A stream keeps the timeout with which it was admitted, so a shorter one bounds the streams of before only once those
/// have ended.
#[derive(Debug)]
pub struct StreamLife {
    newest_us: u64,
    /// Longer lives of before.
    earlier: Vec<EarlierLife>,
}

#[derive(Debug, Clone, Copy)]
struct EarlierLife {
    life_us: u64,
    /// When the last streams that may live so long have ended.
    until_us: u64,
}

impl StreamLife {
    /// Creates the life of a node that knows no configuration yet.
    pub const fn open(life_us: u64) -> Self {
        Self {
            newest_us: life_us,
            earlier: Vec::new(),
        }
    }

    /// Takes over the longest life by the newest configuration.
    pub fn on_configured(&mut self, life_us: u64, now_us: u64) {
        let before_us = std::mem::replace(&mut self.newest_us, life_us);
        self.on_earlier(before_us, now_us);
    }

    /// Takes over the longest life by an earlier configuration, such as other nodes had recorded.
    pub fn on_earlier(&mut self, life_us: u64, now_us: u64) {
        self.earlier.retain(|earlier| earlier.until_us > now_us);
        if life_us <= self.newest_us {
            return;
        }
        let until_us = now_us + life_us + OUT_OF_STEP_US;
        match self.earlier.iter_mut().find(|e| e.life_us == life_us) {
            Some(earlier) => earlier.until_us = earlier.until_us.max(until_us),
            None => self.earlier.push(EarlierLife { life_us, until_us }),
        }
    }

    /// Returns the longest life of a stream that may be under way.
    pub fn longest_us(&self, now_us: u64) -> u64 {
        let earlier = self.earlier.iter();
        let alive = earlier.filter(|earlier| earlier.until_us > now_us);
        alive
            .map(|earlier| earlier.life_us)
            .fold(self.newest_us, u64::max)
    }
}

/// The versions of one service that may have begun a stream that lives now.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Versions that are registered now, with the time from which this node knows them.
    registered: HashMap<Name, u64>,
    /// Until when versions count that are not: those that have left, and those that earlier nodes had recorded.
    left_until_us: HashMap<Name, u64>,
    /// Versions that were in the record of earlier nodes, so that others know them for longer than this one.
    recorded: Vec<Name>,
}

/// What is kept of the versions of a service for nodes that start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// All versions that may have begun a stream that lives, sorted.
    pub versions: Vec<Name>,
    /// Longest life of a stream that may be under way.
    pub life_us: u64,
    /// Era of the store in which the record was written, if the store tells. In a later era it says nothing of the time
    /// since the copy from which the store came back.
    pub era: Option<u64>,
}

impl VersionHistory {
    /// Takes over which versions are registered now. Returns whether streams of several versions may live from now on, and
    /// could not before.
    pub fn on_registered(&mut self, versions: &[Name], times: Times) -> bool {
        let was_mixed = self.is_mixed();
        let left = self
            .registered
            .extract_if(|version, _since_us| !versions.contains(version));
        let until_us = times.until_us() + OUT_OF_STEP_US;
        self.left_until_us
            .extend(left.map(|(version, _since_us)| (version, until_us)));
        for version in versions {
            let since_us = if self.recorded.contains(version) {
                0
            } else {
                times.now_us
            };
            self.registered
                .entry(Name::clone(version))
                .or_insert(since_us);
        }
        self.is_mixed() && !was_mixed
    }

    /// Takes over the record of earlier nodes, once after the start.
    pub fn on_record(&mut self, record: &VersionRecord, times: Times) {
        let until_us = times.until_us() + OUT_OF_STEP_US;
        for version in &record.versions {
            self.left_until_us.insert(Name::clone(version), until_us);
            if let Some(since_us) = self.registered.get_mut(version) {
                *since_us = 0;
            }
        }
        self.recorded.clone_from(&record.versions);
    }

    /// Forgets the versions whose last streams have ended.
    pub fn expire(&mut self, now_us: u64) {
        self.left_until_us
            .retain(|_version, until_us| *until_us > now_us);
    }

    /// Returns the versions that may have begun a stream that lives now, sorted.
    pub fn live(&self) -> Vec<Name> {
        let left = self.left_until_us.keys();
        let mut live: Vec<Name> = self.registered.keys().chain(left).cloned().collect();
        live.sort_unstable();
        live.dedup();
        live
    }

    fn is_mixed(&self) -> bool {
        self.live().len() > 1
    }

    /// Returns the version of all registered runners; `None` if there are several, or no runners.
    pub fn only_registered(&self) -> Option<&Name> {
        let mut registered = self.registered.keys();
        registered.next().filter(|_only| self.registered.len() == 1)
    }

    /// Returns since when this node knows a version that is registered; `None` if it is not.
    pub fn known_since_us(&self, version: &Name) -> Option<u64> {
        self.registered.get(version).copied()
    }

    /// Returns when the newest of the registered versions became known to this node; 0 if there is none.
    pub fn newest_since_us(&self) -> u64 {
        self.registered.values().copied().max().unwrap_or_default()
    }
}

/// The present time, and the longest life of a stream with the attempts of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// On the clock of the node.
    pub now_us: u64,
    /// Longest time from the first event of a stream to its last.
    pub life_us: u64,
}

impl Times {
    /// Time until which what began now has ended.
    const fn until_us(self) -> u64 {
        self.now_us + self.life_us
    }
}

/// How far a node's knowledge of the versions reaches back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// Since when the node has heard all changes of the registrations, but for interruptions; `None` before it has heard
    /// of them.
    pub begun_us: Option<u64>,
    /// End of the last time in which it may have missed some.
    pub resumed_us: u64,
    /// When it last asked for a record of the versions that reaches up to then.
    pub recorded_us: Option<u64>,
}

impl Observation {
    /// Returns what the node knows of the versions before, and of those that came and went while it heard nothing.
    pub fn coverage(&self, times: Times) -> Coverage {
        let is_over = |since_us: u64| times.now_us >= since_us + times.life_us;
        let Some(begun_us) = self.begun_us else {
            return Coverage::Started;
        };
        let is_recorded_since =
            |since_us: u64| self.recorded_us.is_some_and(|at_us| at_us >= since_us);
        if is_over(self.resumed_us) || is_recorded_since(self.resumed_us) {
            Coverage::Complete
        } else if is_over(begun_us) || self.recorded_us.is_some() {
            Coverage::Interrupted
        } else {
            Coverage::Started
        }
    }
}

/// Which versions a node may not know that have begun streams which live now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Coverage {
    /// None that came before the last change which it has heard of.
    Complete,
    /// Those that came and went while it could not hear of changes.
    Interrupted,
    /// Those that left before its start, too.
    Started,
}

/// The versions of the streams that a node has begun or been told of.
#[derive(Debug, Default)]
pub struct StreamMemory {
    versions: HashMap<String, Remembered>,
    /// Ids in the order in which they are forgotten.
    order: VecDeque<(u64, String)>,
}

#[derive(Debug)]
struct Remembered {
    version: Name,
    until_us: u64,
    /// Service of a stream that this node has begun; `None` for one that it was told of.
    begun_at: Option<Name>,
}

impl StreamMemory {
    /// Remembers a stream that this node has begun, for its longest life.
    pub fn insert_begun(&mut self, id: &str, service: &Name, version: &Name, times: Times) {
        self.insert_as(id, version, Some(Name::clone(service)), times);
    }

    /// Remembers a stream that this node was told of, for its longest life.
    pub fn insert(&mut self, id: &str, version: &Name, times: Times) {
        self.insert_as(id, version, None, times);
    }

    fn insert_as(&mut self, id: &str, version: &Name, begun_at: Option<Name>, times: Times) {
        let until_us = times.until_us();
        let remembered = Remembered {
            version: Name::clone(version),
            until_us,
            begun_at,
        };
        self.versions.insert(id.to_owned(), remembered);
        self.order.push_back((until_us, id.to_owned()));
        while let Some((until_us, _id)) = self.order.front()
            && (*until_us <= times.now_us || self.order.len() > MAX_STREAMS)
        {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((until_us, id)) = self.order.pop_front() else {
            return;
        };
        // It may have been remembered again since.
        if self
            .versions
            .get(&id)
            .is_some_and(|r| r.until_us <= until_us)
        {
            self.versions.remove(&id);
        }
    }

    /// Returns the streams of a service that this node has begun, with their versions.
    pub fn begun_at<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = (&'a str, &'a Name)> {
        let begun = self.versions.iter();
        let begun = begun.filter(move |(_id, stream)| stream.begun_at.as_ref() == Some(service));
        begun.map(|(id, stream)| (id.as_str(), &stream.version))
    }

    /// Returns the version that began a stream; `None` if it is not known.
    pub fn get(&self, id: &str) -> Option<&Name> {
        self.versions.get(id).map(|remembered| &remembered.version)
    }
}

/// What a node says that was asked for a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Word {
    /// The version that began the stream, if the node knows it.
    pub told: Option<Name>,
    /// The versions of the service that may have begun a stream that lives now; `None` from a node that has just started, or
    /// does not say.
    pub live: Option<Vec<Name>>,
}

/// What the nodes that were asked for a stream say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answers {
    /// Number of nodes that were asked.
    pub asked: usize,
    /// Words of those that have answered.
    pub words: Vec<Word>,
}

impl Answers {
    /// Returns the version of the stream, if one of the nodes knows it.
    pub fn told(&self) -> Option<&Name> {
        self.words.iter().find_map(|word| word.told.as_ref())
    }

    /// Returns whether so many nodes know of one version alone that, if one had begun a stream of another, they would know.
    /// One in three may be silent.
    fn vouch_for(&self, only: &Name) -> bool {
        let is_only = |live: &Vec<Name>| live.as_slice() == std::slice::from_ref(only);
        let vouching = self
            .words
            .iter()
            .filter(|word| word.live.as_ref().is_some_and(is_only));
        self.asked > 0 && vouching.count() + self.asked / 3 >= self.asked
    }

    /// Returns whether a node knows of another version.
    fn contradict(&self, only: &Name) -> bool {
        let mut live = self
            .words
            .iter()
            .filter_map(|word| word.live.as_ref())
            .flatten();
        live.any(|version| version != only)
    }
}

/// What a node knows of the versions of a service.
#[derive(Debug, Clone, Copy)]
pub struct VersionKnowledge<'a> {
    /// Versions that may have begun a stream that lives now.
    pub history: &'a VersionHistory,
    /// How far the knowledge reaches back.
    pub coverage: Coverage,
    /// Whether it is so new that no runner of a version that the node does not know can have begun the stream.
    pub is_current: bool,
}

/// Where a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// At runners of this version.
    At(Name),
    /// Nowhere: its version is not known.
    Unknown,
    /// Not decided: the other nodes have to be asked, or this node's knowledge has to be newer.
    Undecided,
}

/// Decides where a stream may go on. `remembered` is what this node knows of the stream, and `answers` what the others say
/// if they were asked.
pub fn continuation(
    remembered: Option<&Name>,
    knowledge: VersionKnowledge<'_>,
    answers: Option<&Answers>,
) -> Continuation {
    let VersionKnowledge {
        history,
        coverage,
        is_current,
    } = knowledge;
    if let Some(version) = remembered.or_else(|| answers.and_then(Answers::told)) {
        return Continuation::At(Name::clone(version));
    }
    let live = history.live();
    if let [only] = live.as_slice()
        && coverage == Coverage::Complete
        && is_current
    {
        return Continuation::At(Name::clone(only));
    }
    let Some(answers) = answers else {
        return Continuation::Undecided;
    };
    // Versions that have left count for longer than their streams live, and others may know when the last ones ended.
    let Some(only) = history.only_registered() else {
        return Continuation::Unknown;
    };
    if answers.contradict(only) {
        Continuation::Unknown
    } else if answers.vouch_for(only) {
        Continuation::At(Name::clone(only))
    } else if live.len() == 1 && coverage == Coverage::Complete {
        Continuation::Undecided
    } else {
        Continuation::Unknown
    }
}
