//! When requests and the shared parts of prompts last survived at one node.
//!
//! A request and its parts survive with each answer that runs for some time or ends. The record is bounded; what
//! survived longest ago is dropped first, requests and parts each among themselves.

use std::fmt;
use std::num::NonZeroUsize;

use lru::LruCache;

use super::subject::{RequestDigest, Subject, SubjectKey};
use crate::fleet::{PromptPart, shared_parts};
use crate::name::Name;

/// Largest number of parts, and of requests, that are remembered.
const MAX_REMEMBERED: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Times at which requests and parts survived.
pub struct Survivals {
    /// Time of the first event of the latest answer that survived, by part.
    parts_us: LruCache<SubjectKey, u64>,
    /// The same, by request.
    requests_us: LruCache<SubjectKey, u64>,
}

impl fmt::Debug for Survivals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (parts, requests) = (self.parts_us.len(), self.requests_us.len());
        write!(f, "Survivals({parts} parts, {requests} requests)")
    }
}

impl Default for Survivals {
    fn default() -> Self {
        Self {
            parts_us: LruCache::new(MAX_REMEMBERED),
            requests_us: LruCache::new(MAX_REMEMBERED),
        }
    }
}

impl Survivals {
    /// Records that an answer to a request has survived whose first event came at `first_event_us`. `parts` is the
    /// prompt; empty for a plain service.
    pub fn on_survived(
        &mut self,
        service: &Name,
        request: RequestDigest,
        parts: &[PromptPart],
        first_event_us: u64,
    ) {
        for part in shared_parts(parts) {
            let key = SubjectKey::part(service, part.id);
            record(&mut self.parts_us, key, first_event_us);
        }
        let key = SubjectKey::request(service, request);
        record(&mut self.requests_us, key, first_event_us);
    }

    /// Returns when a part or request last survived; `None` if it has not, or if that was forgotten.
    pub fn survived_us(&self, key: &SubjectKey) -> Option<u64> {
        let survived_us = match key.subject {
            Subject::Part(_) => &self.parts_us,
            Subject::Request(_) => &self.requests_us,
        };
        survived_us.peek(key).copied()
    }
}

fn record(survived_us: &mut LruCache<SubjectKey, u64>, key: SubjectKey, at_us: u64) {
    let latest_us = survived_us.get_or_insert_mut(key, || at_us);
    *latest_us = at_us.max(*latest_us);
}
