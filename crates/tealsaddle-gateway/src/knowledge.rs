//! The age of this node's knowledge of the store, for requests and peers.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::fleet::continuation::Observation;
use tealsaddle_core::fleet::knowledge::{FreshnessTerms, Knowledge};

use crate::clock;

/// The age of the knowledge, written by the control thread and read by requests.
#[derive(Debug)]
pub struct KnowledgeClock {
    terms: FreshnessTerms,
    knowledge: Mutex<Knowledge>,
}

impl KnowledgeClock {
    /// Creates the clock of a node that knows nothing yet. `bound` is the time within which acknowledged changes bind.
    pub fn open(bound: Duration) -> Self {
        Self {
            terms: FreshnessTerms::of_bound(bound.as_micros() as u64),
            knowledge: Mutex::default(),
        }
    }

    /// Times that follow from the bound.
    pub const fn terms(&self) -> &FreshnessTerms {
        &self.terms
    }

    /// Records that the knowledge was complete at `as_of_us`, on the clock of [`clock::now_us`].
    pub fn confirm(&self, as_of_us: u64) {
        self.knowledge()
            .on_confirmed(as_of_us, &self.terms, clock::now_us());
    }

    /// Time as of which the knowledge was complete; 0 before it was.
    pub fn as_of_us(&self) -> u64 {
        self.knowledge().as_of_us()
    }

    /// Age of the knowledge.
    pub fn age(&self) -> Duration {
        Duration::from_micros(self.knowledge().age_us(clock::now_us()))
    }

    /// How long a source may still hold back its answer; `None` if it is overdue.
    pub fn patience(&self) -> Option<Duration> {
        let age_us = self.knowledge().age_us(clock::now_us());
        self.terms.patience_us(age_us).map(Duration::from_micros)
    }

    /// Whether changes may bind by now that this node does not know.
    pub fn is_doubtful(&self) -> bool {
        self.knowledge().is_doubtful(&self.terms, clock::now_us())
    }

    /// Since when this node has heard all changes. `recorded_us` is when it last asked for what others had recorded.
    pub fn observation(&self, recorded_us: Option<u64>) -> Observation {
        let knowledge = self.knowledge();
        Observation {
            begun_us: knowledge.begun_us(),
            resumed_us: knowledge.resumed_us(),
            recorded_us,
        }
    }

    fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge.lock().expect("no holder of the lock panics")
    }
}
