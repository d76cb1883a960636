//! Losses of requests with their runners, counted by the shared parts of their prompts.
//!
//! A deadly part ends each runner at which an answer on it begins, so its requests are lost one after the other
//! and none survives. The other parts of these requests are lost as often, and a crash takes sound requests with
//! it, so a part with many losses is only suspected: the caller finds out when the suspected part and those
//! that are always with it last survived, and [`Suspicion::cause`] chooses among them.

use std::fmt;
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;

use super::PartKey;
use crate::collections::HashMap;
use crate::name::Name;

/// Largest number of parts with losses that are remembered; the part whose last loss is the oldest goes first.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");
/// Largest number of losses that are kept of a part; the oldest goes first.
const MAX_LOSSES: usize = 8;
/// Largest number of shared parts of one prompt that are counted; the first ones go first.
const MAX_PARTS_PER_PROMPT: usize = 16;
/// Number of losses in a row from which a part is suspected.
pub const SUSPECT_LOSSES: usize = 3;
/// Number of losses in a row from which a part is suspected if none of the answers had begun.
const SUSPECT_UNBEGUN_LOSSES: usize = 2;
/// Number of losses in a row from which a part is taken for deadly that has survived before the first one:
/// most parts are sound, and one that was sound rarely turns deadly.
const TURNED_LOSSES: usize = 4;
/// Number of different prompts among these losses: the last part of one prompt may be what ends the runners.
const TURNED_PROMPTS: usize = 2;
/// Time after which a loss no longer counts.
const LOSS_WINDOW_US: u64 = 600_000_000;
/// Time from a loss to the sending of a request whose own loss counts as a further one. The times of losses at
/// different nodes are known to about this much.
const SUCCESSION_US: u64 = 10_000;
/// Time between two losses that both count. Runners that fail together do so within less.
const MIN_GAP_US: u64 = 50_000;
/// Largest number of parts of a service that are found to be deadly within [`DECISION_WINDOW_US`]. If more look
/// deadly, the runners crash for another reason.
const MAX_DECISIONS: usize = 4;
/// See [`MAX_DECISIONS`].
const DECISION_WINDOW_US: u64 = 30_000_000;

/// A process of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerProcess {
    /// Id of the runner.
    pub runner: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// A request that was lost when the process of its runner ended, before its answer had survived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// The process that ended.
    pub process: RunnerProcess,
    /// Ids of the shared parts of the prompt, in order.
    pub shared_parts: Vec<u64>,
    /// Id of the last part of the prompt, by which a request that is sent again is recognized.
    pub own_part: u64,
    /// When the request was sent to the runner.
    pub sent_us: u64,
    /// When the connection to the runner was lost.
    pub lost_us: u64,
    /// Largest error of these times against those of other nodes.
    pub error_us: u64,
    /// Whether an event had arrived.
    pub has_begun: bool,
}

/// A part that was lost several times in a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Service at which it was lost.
    pub service: Name,
    /// Parts that all the lost requests have in common, in the order of the last one's prompt.
    pub parts: Vec<u64>,
    /// Number of losses in a row.
    pub losses: usize,
    /// Number of different prompts among the lost requests.
    pub prompts: usize,
    /// Time of the first of these losses.
    pub first_lost_us: u64,
}

impl Suspicion {
    /// Chooses the part that causes the losses. `survived_us` returns when a part last survived at any node.
    ///
    /// A part that survived after the first loss is sound. Of the others, the one that survived longest ago is
    /// the most likely cause, and of several that never did the deepest one. `None` if all are sound, or if the
    /// cause is not certain yet.
    pub fn cause<F>(&self, survived_us: F) -> Option<u64>
    where
        F: Fn(u64) -> Option<u64>,
    {
        let survivals = self.parts.iter().map(|part| (*part, survived_us(*part)));
        let is_possible =
            |(_part, at_us): &(u64, Option<u64>)| at_us.is_none_or(|us| us <= self.first_lost_us);
        // `None` orders before every time. The first of several minima is chosen, here the deepest part.
        let possible = survivals.rev().filter(is_possible);
        let (part, survived_us) = possible.min_by_key(|(_part, at_us)| *at_us)?;
        let is_certain =
            survived_us.is_none() || self.losses >= TURNED_LOSSES && self.prompts >= TURNED_PROMPTS;
        is_certain.then_some(part)
    }
}

/// Losses by part, and what was found out from them.
pub struct CrashAccounts {
    losses: LruCache<PartKey, Vec<Arc<Loss>>>,
    /// Times of the latest decisions, by service.
    decided_us: HashMap<Name, Vec<u64>>,
}

impl fmt::Debug for CrashAccounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CrashAccounts({} parts)", self.losses.len())
    }
}

impl Default for CrashAccounts {
    fn default() -> Self {
        Self {
            losses: LruCache::new(MAX_PARTS),
            decided_us: HashMap::default(),
        }
    }
}

impl CrashAccounts {
    /// Counts a loss for each shared part of the prompt, and returns the suspicions that follow.
    pub fn on_loss(&mut self, service: &Name, loss: Loss) -> Vec<Suspicion> {
        let loss = Arc::new(loss);
        let parts = &loss.shared_parts;
        let counted = &parts[parts.len().saturating_sub(MAX_PARTS_PER_PROMPT)..];
        let mut suspicions: Vec<Suspicion> = Vec::new();
        for part in counted {
            let key = PartKey::new(service, *part);
            let losses = self.losses.get_or_insert_mut(key, Vec::new);
            insert_by_time(losses, &loss);
            if let Some(suspicion) = suspect(service, losses)
                && !suspicions.contains(&suspicion)
            {
                suspicions.push(suspicion);
            }
        }
        suspicions
    }

    /// Forgets the losses of a part before the time at which it survived.
    pub fn on_survived(&mut self, key: &PartKey, survived_us: u64) {
        if let Some(losses) = self.losses.peek_mut(key) {
            losses.retain(|loss| loss.lost_us > survived_us);
        }
    }

    /// Records that a part was found to be deadly, and forgets all losses of the processes that it ended: their
    /// cause is known. Returns `false`, and forgets nothing, if too many parts of the service were found to be
    /// deadly before.
    pub fn on_decided(&mut self, key: &PartKey, now_us: u64) -> bool {
        let decided_us = self
            .decided_us
            .entry(Name::clone(&key.service))
            .or_default();
        decided_us.retain(|at_us| at_us + DECISION_WINDOW_US > now_us);
        if decided_us.len() >= MAX_DECISIONS {
            return false;
        }
        decided_us.push(now_us);
        self.forget(key);
        true
    }

    /// Forgets a part, and all losses of the processes whose end it explains.
    pub fn forget(&mut self, key: &PartKey) {
        let explained = self.losses.pop(key).unwrap_or_default();
        let is_explained = |loss: &Arc<Loss>| explained.iter().any(|e| e.process == loss.process);
        for (_key, losses) in &mut self.losses {
            losses.retain(|loss| !is_explained(loss));
        }
    }
}

fn insert_by_time(losses: &mut Vec<Arc<Loss>>, loss: &Arc<Loss>) {
    losses.retain(|other| other.lost_us + LOSS_WINDOW_US > loss.lost_us);
    let position = losses.partition_point(|other| other.lost_us <= loss.lost_us);
    losses.insert(position, Arc::clone(loss));
    if losses.len() > MAX_LOSSES {
        losses.remove(0);
    }
}

/// The losses that count: each of another process, and one after the other.
fn succession(losses: &[Arc<Loss>]) -> Vec<&Loss> {
    let mut counted: Vec<&Loss> = Vec::new();
    for loss in losses {
        let is_known = counted.iter().any(|other| other.process == loss.process);
        if counted.last().is_none_or(|last| follows(loss, last)) && !is_known {
            counted.push(loss);
        }
    }
    counted
}

/// Whether a lost request was sent after an earlier loss. A prompt is sent again only after its loss.
fn follows(loss: &Loss, earlier: &Loss) -> bool {
    let is_repeated = loss.own_part == earlier.own_part && loss.sent_us > earlier.sent_us;
    let error_us = loss.error_us.saturating_add(earlier.error_us);
    let is_past = |time_us: u64, after_us: u64| {
        time_us
            >= after_us
                .saturating_add(error_us)
                .saturating_add(earlier.lost_us)
    };
    (is_repeated || is_past(loss.sent_us, SUCCESSION_US)) && is_past(loss.lost_us, MIN_GAP_US)
}

fn suspect(service: &Name, losses: &[Arc<Loss>]) -> Option<Suspicion> {
    let counted = succession(losses);
    let needed = if counted.iter().any(|loss| loss.has_begun) {
        SUSPECT_LOSSES
    } else {
        SUSPECT_UNBEGUN_LOSSES
    };
    let last = counted.last()?;
    let mut prompts: Vec<u64> = counted.iter().map(|loss| loss.own_part).collect();
    prompts.sort_unstable();
    prompts.dedup();
    if counted.len() < needed {
        return None;
    }
    let is_common = |part: &&u64| counted.iter().all(|loss| loss.shared_parts.contains(*part));
    Some(Suspicion {
        service: Name::clone(service),
        parts: last
            .shared_parts
            .iter()
            .filter(is_common)
            .copied()
            .collect(),
        losses: counted.len(),
        prompts: prompts.len(),
        first_lost_us: counted[0].lost_us,
    })
}
