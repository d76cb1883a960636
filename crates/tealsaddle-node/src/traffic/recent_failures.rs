//! Engines, targets and peers that have just failed.
//!
//! A dead engine looks idle, so the router would choose it again and again, and each choice would
//! cost a retry: with a tenth of the engines dead the retry budget would be used up. What failed is
//! therefore passed over for a moment as long as others remain.

use std::sync::Mutex;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason};

use crate::clock;

/// Time for which a failure counts. One request in this time is the price of finding out whether
/// the target is back.
const FAILURE_EXPIRY_US: u64 = 1_000_000;

/// Names of what has just failed.
#[derive(Debug, Default)]
pub struct RecentFailures {
    until_us: Mutex<HashMap<Name, u64>>,
}

impl RecentFailures {
    /// Takes note of a failed attempt. A refusal is an answer and no sign of a fault.
    pub fn on_failure(&self, name: &Name, outcome: AttemptOutcome) {
        let is_fault = !matches!(
            outcome,
            AttemptOutcome::Answered
                | AttemptOutcome::NotRun(NotRunReason::TargetRefused | NotRunReason::NoTarget)
        );
        if is_fault {
            let now_us = clock::now_us();
            let mut until_us = self.until_us.lock().expect("no holder of the lock panics");
            until_us.retain(|_, until_us| now_us < *until_us);
            until_us.insert(Name::clone(name), now_us + FAILURE_EXPIRY_US);
        }
    }

    /// Whether it has failed a moment ago.
    pub fn contains(&self, name: &str) -> bool {
        let until_us = self.until_us.lock().expect("no holder of the lock panics");
        until_us
            .get(name)
            .is_some_and(|until_us| clock::now_us() < *until_us)
    }
}
