//! Losses of requests with their runners, counted by request and by the shared parts of their prompts.
//!
//! A deadly part ends each runner at which an answer on it begins, so its requests are lost one after the other
//! and none survives. The other parts of these requests are lost as often, and a crash takes sound requests with
//! it, so a part with many losses is only suspected: the caller finds out when the suspected part and those
//! that are always with it last survived, and [`Suspicion::cause`] chooses among them. A request that comes again
//! may be the cause itself; its losses are those of the same request in a row.

use std::fmt;
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;

use super::subject::{RequestDigest, Subject, SubjectKey};
use crate::collections::HashMap;
use crate::name::Name;

/// Largest number of parts, and of requests, with losses that are remembered; the one whose last loss is the oldest
/// goes first.
const MAX_ACCOUNTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");
/// Largest number of losses that are kept of a part or request; the oldest goes first.
const MAX_LOSSES: usize = 8;
/// Largest number of shared parts of one prompt that are counted; the first ones go first.
const MAX_PARTS_PER_PROMPT: usize = 16;
/// Number of losses in a row from which a part or request is suspected.
pub const SUSPECT_LOSSES: usize = 3;
/// Number of losses in a row from which a part is suspected if none of the answers had begun.
const SUSPECT_UNBEGUN_LOSSES: usize = 2;
/// Number of losses in a row from which a part or request is taken for deadly that has survived before the first
/// one: most are sound, and one that was sound rarely turns deadly.
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
/// The same for losses of one request, which tell more.
const MIN_REQUEST_GAP_US: u64 = 10_000;
/// As [`SUCCESSION_US`], for losses of one request. Reports give times in whole milliseconds.
const REQUEST_SUCCESSION_US: u64 = 2_000;
/// Largest number of parts of a service, and of requests, that are found to be deadly within [`DECISION_WINDOW_US`].
/// If more look deadly, the runners crash for another reason.
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
    /// Id of the caller's attempt, which the gateway may send several times.
    pub request_id: String,
    /// Digest of the request; `None` if the node did not tell.
    pub request: Option<RequestDigest>,
    /// Ids of the shared parts of the prompt, in order; empty for a plain service.
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

/// A part or request that was lost several times in a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// Service at which it was lost.
    pub service: Name,
    /// The request, or the parts that all the lost requests have in common, in the order of the last one's prompt.
    pub subjects: Vec<Subject>,
    /// Number of losses in a row.
    pub losses: usize,
    /// Number of different prompts among the lost requests.
    pub prompts: usize,
    /// Time of the first of these losses.
    pub first_lost_us: u64,
}

impl Suspicion {
    /// Chooses what causes the losses. `survived_us` returns when a part or request last survived at any node.
    ///
    /// What survived after the first loss is sound. Of the others, the one that survived longest ago is
    /// the most likely cause, and of several that never did the deepest one. `None` if all are sound, or if the
    /// cause is not certain yet.
    pub fn cause<F>(&self, survived_us: F) -> Option<Subject>
    where
        F: Fn(Subject) -> Option<u64>,
    {
        let survivals = self.subjects.iter().map(|s| (*s, survived_us(*s)));
        let is_possible = |(_subject, at_us): &(Subject, Option<u64>)| {
            at_us.is_none_or(|us| us <= self.first_lost_us)
        };
        // `None` orders before every time. The first of several minima is chosen, here the deepest part.
        let possible = survivals.rev().filter(is_possible);
        let (subject, survived_us) = possible.min_by_key(|(_subject, at_us)| *at_us)?;
        let has_enough_prompts = subject.is_request() || self.prompts >= TURNED_PROMPTS;
        let has_turned = self.losses >= TURNED_LOSSES && has_enough_prompts;
        (survived_us.is_none() || has_turned).then_some(subject)
    }
}

/// Losses by part and by request, and what was found out from them.
pub struct CrashAccounts {
    of_parts: Accounts,
    of_requests: Accounts,
    /// Times of the latest decisions, by service and by whether they are on requests.
    decided_us: HashMap<(Name, bool), Vec<u64>>,
}

type Accounts = LruCache<SubjectKey, Vec<Arc<Loss>>>;

impl fmt::Debug for CrashAccounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (parts, requests) = (self.of_parts.len(), self.of_requests.len());
        write!(f, "CrashAccounts({parts} parts, {requests} requests)")
    }
}

impl Default for CrashAccounts {
    fn default() -> Self {
        Self {
            of_parts: LruCache::new(MAX_ACCOUNTS),
            of_requests: LruCache::new(MAX_ACCOUNTS),
            decided_us: HashMap::default(),
        }
    }
}

impl CrashAccounts {
    /// Counts a loss for the request and for each shared part of its prompt, and returns the suspicions that follow.
    pub fn on_loss(&mut self, service: &Name, loss: Loss) -> Vec<Suspicion> {
        let loss = Arc::new(loss);
        let parts = &loss.shared_parts;
        let counted = &parts[parts.len().saturating_sub(MAX_PARTS_PER_PROMPT)..];
        let mut suspicions: Vec<Suspicion> = Vec::new();
        for part in counted {
            let key = SubjectKey::part(service, *part);
            let losses = self.of_parts.get_or_insert_mut(key, Vec::new);
            insert_by_time(losses, &loss);
            if let Some(suspicion) = suspect_parts(service, losses)
                && !suspicions.contains(&suspicion)
            {
                suspicions.push(suspicion);
            }
        }
        suspicions.extend(self.on_request_loss(service, &loss));
        suspicions
    }

    fn on_request_loss(&mut self, service: &Name, loss: &Arc<Loss>) -> Option<Suspicion> {
        let key = SubjectKey::request(service, loss.request?);
        let losses = self.of_requests.get_or_insert_mut(key.clone(), Vec::new);
        insert_by_time(losses, loss);
        suspect_request(key, losses)
    }

    fn accounts_of(&mut self, key: &SubjectKey) -> &mut Accounts {
        match key.subject {
            Subject::Part(_) => &mut self.of_parts,
            Subject::Request(_) => &mut self.of_requests,
        }
    }

    /// Forgets the losses of a part or request before the time at which it survived.
    pub fn on_survived(&mut self, key: &SubjectKey, survived_us: u64) {
        if let Some(losses) = self.accounts_of(key).peek_mut(key) {
            losses.retain(|loss| loss.lost_us > survived_us);
        }
    }

    /// Records that a part or request was found to be deadly, and forgets what it explains, as [`forget`](Self::forget)
    /// does. Returns `false`, and forgets nothing, if too many of the service were found to be
    /// deadly before.
    pub fn on_decided(&mut self, key: &SubjectKey, now_us: u64) -> bool {
        let decided_us = self
            .decided_us
            .entry((Name::clone(&key.service), key.subject.is_request()))
            .or_default();
        decided_us.retain(|at_us| at_us + DECISION_WINDOW_US > now_us);
        if decided_us.len() >= MAX_DECISIONS {
            return false;
        }
        decided_us.push(now_us);
        self.forget(key);
        true
    }

    /// Forgets a part or request, and the losses of the processes whose end it explains. Of a part, those of requests
    /// that have it stay: they are held with it, and if it turns out to be sound, one of them may be the cause.
    pub fn forget(&mut self, key: &SubjectKey) {
        let explained = self.accounts_of(key).pop(key).unwrap_or_default();
        let is_explained = |loss: &Arc<Loss>| explained.iter().any(|e| e.process == loss.process);
        let has_part = |loss: &Arc<Loss>| match key.subject {
            Subject::Part(part) => loss.shared_parts.contains(&part),
            Subject::Request(_) => false,
        };
        for (_key, losses) in &mut self.of_parts {
            losses.retain(|loss| !is_explained(loss));
        }
        for (_key, losses) in &mut self.of_requests {
            losses.retain(|loss| !is_explained(loss) || has_part(loss));
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

/// The losses that count: each of another process, and one that `follows` those that were counted before.
fn succession<F>(losses: &[Arc<Loss>], follows: F) -> Vec<&Loss>
where
    F: Fn(&Loss, &[&Loss]) -> bool,
{
    let mut counted: Vec<&Loss> = Vec::new();
    for loss in losses {
        let is_known = counted.iter().any(|other| other.process == loss.process);
        if !is_known && (counted.is_empty() || follows(loss, &counted)) {
            counted.push(loss);
        }
    }
    counted
}

/// Whether a lost request was sent after the last counted loss. A prompt is sent again only after its loss.
fn follows(loss: &Loss, counted: &[&Loss]) -> bool {
    let last = counted[counted.len() - 1];
    let is_repeated = loss.own_part == last.own_part && loss.sent_us > last.sent_us;
    (is_repeated || is_past(loss, loss.sent_us, last, SUCCESSION_US))
        && is_past(loss, loss.lost_us, last, MIN_GAP_US)
}

/// Whether a lost request was sent after the last counted loss of the same request, or at least after the first one
/// and not lost in the same failure. Several callers may send it at the same time.
fn follows_as_request(loss: &Loss, counted: &[&Loss]) -> bool {
    let (first, last) = (counted[0], counted[counted.len() - 1]);
    let is_sent_after = |earlier: &Loss| {
        let is_repeated = loss.request_id == earlier.request_id && loss.sent_us > earlier.sent_us;
        is_repeated || is_past(loss, loss.sent_us, earlier, REQUEST_SUCCESSION_US)
    };
    let is_other_failure = is_past(loss, loss.lost_us, first, MIN_GAP_US);
    (is_sent_after(last) || is_sent_after(first) && is_other_failure)
        && is_past(loss, loss.lost_us, last, MIN_REQUEST_GAP_US)
}

/// Whether a time of a loss is later than an earlier loss by `gap_us`, and by the error of both.
fn is_past(loss: &Loss, time_us: u64, earlier: &Loss, gap_us: u64) -> bool {
    let error_us = loss.error_us.saturating_add(earlier.error_us);
    let least_us = gap_us
        .saturating_add(error_us)
        .saturating_add(earlier.lost_us);
    time_us >= least_us
}

fn suspect_request(key: SubjectKey, losses: &[Arc<Loss>]) -> Option<Suspicion> {
    let counted = succession(losses, follows_as_request);
    if counted.len() < SUSPECT_LOSSES {
        return None;
    }
    Some(Suspicion {
        service: key.service,
        subjects: vec![key.subject],
        losses: counted.len(),
        prompts: 1,
        first_lost_us: counted[0].lost_us,
    })
}

fn suspect_parts(service: &Name, losses: &[Arc<Loss>]) -> Option<Suspicion> {
    let counted = succession(losses, follows);
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
        subjects: last
            .shared_parts
            .iter()
            .filter(is_common)
            .map(|part| Subject::Part(*part))
            .collect(),
        losses: counted.len(),
        prompts: prompts.len(),
        first_lost_us: counted[0].lost_us,
    })
}
