//! When the shared parts of prompts last survived at one node.
//!
//! A part survives with each answer that runs for some time or ends. The record is bounded; the part that
//! survived longest ago is dropped first.

use std::fmt;
use std::num::NonZeroUsize;

use lru::LruCache;

use super::PartKey;
use crate::fleet::{PromptPart, shared_parts};
use crate::name::Name;

/// Largest number of parts that are remembered.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Times at which parts survived.
pub struct Survivals {
    /// Time of the first event of the latest answer that survived, by part.
    survived_us: LruCache<PartKey, u64>,
}

impl fmt::Debug for Survivals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Survivals({} parts)", self.survived_us.len())
    }
}

impl Default for Survivals {
    fn default() -> Self {
        Self {
            survived_us: LruCache::new(MAX_PARTS),
        }
    }
}

impl Survivals {
    /// Records that an answer on a prompt has survived whose first event came at `first_event_us`.
    pub fn on_survived(&mut self, service: &Name, parts: &[PromptPart], first_event_us: u64) {
        for part in shared_parts(parts) {
            let key = PartKey::new(service, part.id);
            let survived_us = self.survived_us.get_or_insert_mut(key, || first_event_us);
            *survived_us = first_event_us.max(*survived_us);
        }
    }

    /// Returns when a part last survived; `None` if it has not, or if that was forgotten.
    pub fn survived_us(&self, key: &PartKey) -> Option<u64> {
        self.survived_us.peek(key).copied()
    }
}
