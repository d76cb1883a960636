//! Engines, targets and peers that have just failed.
//!
//! A dead engine looks idle, so the router would keep choosing it, and each choice would need a retry.
//! With a tenth of the engines dead, the retry budget would be used up. A failed engine, target or peer
//! is therefore avoided for a short time as long as others are available.

use std::sync::Mutex;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason};

use crate::clock;

/// Time for which a failure counts. While an engine, target or peer stays down, about one request of
/// this node fails per expiry time, by which the node learns whether it works again.
const FAILURE_EXPIRY_US: u64 = 1_000_000;

/// Names of engines, targets and VMs of peers, each with the time at which its failure expires.
#[derive(Debug, Default)]
pub struct RecentFailures {
    expiry_us: Mutex<HashMap<Name, u64>>,
}

impl RecentFailures {
    /// Records a failed attempt. A refusal is an answer, not a fault, and is ignored.
    pub fn on_failure(&self, name: &Name, outcome: AttemptOutcome) {
        let is_fault = !matches!(
            outcome,
            AttemptOutcome::Answered
                | AttemptOutcome::NotRun(NotRunReason::TargetRefused | NotRunReason::NoTarget)
        );
        if is_fault {
            let now_us = clock::now_us();
            let mut expiry_us = self.expiry_us.lock().expect("no holder of the lock panics");
            expiry_us.retain(|_, expiry_us| now_us < *expiry_us);
            expiry_us.insert(Name::clone(name), now_us + FAILURE_EXPIRY_US);
        }
    }

    /// Returns whether the last fault of an engine, target or peer has not expired.
    pub fn contains(&self, name: &str) -> bool {
        let expiry_us = self.expiry_us.lock().expect("no holder of the lock panics");
        expiry_us
            .get(name)
            .is_some_and(|expiry_us| clock::now_us() < *expiry_us)
    }
}
