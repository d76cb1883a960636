//! Runners of which this node knows that they have left.
//!
//! A node that finds a registration missing and has missed the reason asks others. What they know is kept here: a runner
//! has left if it was about to stop when its registration was removed, or if the store was there all the while.

use std::collections::VecDeque;

use crate::name::Name;

/// Number of departures that are kept.
const MAX_DEPARTURES: usize = 1_024;

/// A registration that was removed because its runner left.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Departure {
    key: Name,
    /// Store revision at which the registration was known to be missing.
    revision: u64,
}

/// The latest departures.
#[derive(Debug, Default)]
pub struct Departures(VecDeque<Departure>);

impl Departures {
    /// Records that the runner of a registration had left by a revision.
    pub fn on_left(&mut self, key: &str, revision: u64) {
        self.forget(key);
        if self.0.len() == MAX_DEPARTURES {
            self.0.pop_front();
        }
        self.0.push_back(Departure {
            key: key.into(),
            revision,
        });
    }

    /// Returns whether the runner has left since it wrote its registration at `registered_revision`.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_core::fleet::departures::Departures;
    ///
    /// let mut departures = Departures::default();
    /// departures.on_left("runners/a", 7);
    /// assert!(departures.has_left("runners/a", 6));
    /// assert!(!departures.has_left("runners/a", 8));
    /// ```
    pub fn has_left(&self, key: &str, registered_revision: u64) -> bool {
        let mut departures = self.0.iter();
        departures
            .any(|departure| *departure.key == *key && departure.revision > registered_revision)
    }

    /// Forgets a runner, which has registered again.
    pub fn forget(&mut self, key: &str) {
        self.0.retain(|departure| *departure.key != *key);
    }

    /// Forgets all departures: the store gives revisions out again.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
