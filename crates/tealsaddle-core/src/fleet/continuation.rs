//! At which software version a stream may go on.
//!
//! Runners of several versions may serve side by side, and what two of them write does not fit together. A stream goes
//! on only at the version that began it. A node remembers the versions of streams that it has begun or been told of; for
//! others it decides by which versions may have begun a stream that lives now.

use std::collections::VecDeque;

use crate::collections::HashMap;
use crate::name::Name;

/// Number of nodes that are told of a stream.
pub const HOLDERS: usize = 3;
/// Number of them that have to know of a stream, or to know nothing of it, so that two such sets meet.
pub const QUORUM: usize = 2;
/// Largest number of streams that a node remembers.
const MAX_STREAMS: usize = 200_000;

/// The versions of one service that may have begun a stream that lives now.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Versions that are registered now.
    registered: Vec<Name>,
    /// Until when versions count that are not: those that have left, and those that earlier nodes had recorded.
    left_until_us: HashMap<Name, u64>,
    /// The version that served alone before the others came.
    base: Option<Name>,
}

/// What is kept of the versions of a service for nodes that start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The version that served alone before the others came; `None` if it is not known.
    pub base: Option<Name>,
    /// All versions that may have begun a stream that lives, sorted.
    pub versions: Vec<Name>,
}

impl VersionHistory {
    /// Takes over which versions are registered now.
    pub fn on_registered(&mut self, mut versions: Vec<Name>, times: Times) {
        versions.sort_unstable();
        versions.dedup();
        let left = std::mem::replace(&mut self.registered, versions);
        for version in left {
            if !self.registered.contains(&version) {
                self.left_until_us.insert(version, times.until_us());
            }
        }
    }

    /// Takes over the record of earlier nodes, once after the start.
    pub fn on_record(&mut self, record: &VersionRecord, times: Times) {
        for version in &record.versions {
            self.left_until_us
                .insert(Name::clone(version), times.until_us());
        }
        if self.base.is_none() {
            self.base.clone_from(&record.base);
        }
    }

    /// Forgets the versions whose last streams have ended. `is_complete` tells whether this node knows of all that have
    /// served within the life of a stream.
    pub fn expire(&mut self, is_complete: bool, times: Times) {
        self.left_until_us
            .retain(|_version, until_us| *until_us > times.now_us);
        let live = self.live();
        if let [only] = live.as_slice()
            && is_complete
        {
            self.base = Some(Name::clone(only));
        }
        self.base = self.base.take().filter(|base| live.contains(base));
    }

    /// Returns the versions that may have begun a stream that lives now, sorted.
    pub fn live(&self) -> Vec<Name> {
        let left = self.left_until_us.keys();
        let mut live: Vec<Name> = self.registered.iter().chain(left).cloned().collect();
        live.sort_unstable();
        live.dedup();
        live
    }

    /// Returns the version that served alone before the others came; `None` if it is not known.
    pub const fn base(&self) -> Option<&Name> {
        self.base.as_ref()
    }

    /// Returns what nodes that start have to know.
    pub fn record(&self) -> VersionRecord {
        VersionRecord {
            base: self.base.clone(),
            versions: self.live(),
        }
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
}

impl StreamMemory {
    /// Remembers a stream for its longest life.
    pub fn insert(&mut self, id: &str, version: &Name, times: Times) {
        let until_us = times.until_us();
        let remembered = Remembered {
            version: Name::clone(version),
            until_us,
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

    /// Returns the version that began a stream; `None` if it is not known.
    pub fn get(&self, id: &str) -> Option<&Name> {
        self.versions.get(id).map(|remembered| &remembered.version)
    }
}

/// What the nodes that would have been told of a stream say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answers {
    /// The version, if one of them knows the stream.
    pub told: Option<Name>,
    /// Number of those that do not know it, and have run for longer than a stream lives.
    pub denials: usize,
    /// Whether as many have answered as would have been told of a stream of another version.
    pub is_quorum: bool,
}

/// How old a node's knowledge of the registered versions is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Currency {
    /// So new that no runner of a version that the node does not know can have begun a stream.
    Current,
    /// A version may have come that the node does not know, but only just now.
    Recent,
    /// The node may have been out of step with the others for long.
    Doubtful,
}

/// What a node knows of the versions of a service.
#[derive(Debug, Clone, Copy)]
pub struct VersionKnowledge<'a> {
    /// Versions that may have begun a stream that lives now.
    pub history: &'a VersionHistory,
    /// Whether the node knows of all versions that have served within the life of a stream.
    pub is_complete: bool,
    /// How old the knowledge of the registered versions is.
    pub currency: Currency,
}

/// Where a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// At runners of this version.
    At(Name),
    /// Nowhere: its version is not known.
    Unknown,
    /// The other nodes have to be asked.
    AskOthers,
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
        is_complete,
        currency,
    } = knowledge;
    if let Some(version) = remembered {
        return Continuation::At(Name::clone(version));
    }
    let live = history.live();
    let only = live.first().filter(|_| live.len() == 1 && is_complete);
    if let Some(only) = only
        && currency == Currency::Current
    {
        return Continuation::At(Name::clone(only));
    }
    let Some(answers) = answers else {
        return Continuation::AskOthers;
    };
    if let Some(version) = &answers.told {
        return Continuation::At(Name::clone(version));
    }
    if let Some(only) = only
        && (answers.is_quorum || currency == Currency::Recent)
    {
        return Continuation::At(Name::clone(only));
    }
    // Streams of other versions than the base are passed on only once a quorum knows of them.
    match history.base() {
        Some(base) if is_complete && answers.denials >= QUORUM => {
            Continuation::At(Name::clone(base))
        }
        Some(_) | None => Continuation::Unknown,
    }
}
