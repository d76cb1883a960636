//! Counts what a request sends to runners, and what is taken out of the retry budget for it.

use std::sync::{Mutex, MutexGuard};

use tealsaddle_core::arrivals::Arrivals;
use tealsaddle_core::fleet::Runner;

use crate::call::Call;

/// Sends of a call, which several of its attempts may make beside each other.
#[derive(Debug, Default)]
pub struct SharedArrivals(Mutex<Arrivals>);

impl SharedArrivals {
    /// The sends so far; the lock is not held across a wait.
    pub fn lock(&self) -> MutexGuard<'_, Arrivals> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Call {
    /// Counts a send to a runner, and logs it if it is a repeat.
    pub fn on_send(&self, runner: &Runner, is_prefill_only: bool) {
        let arrivals = {
            let mut arrivals = self.state.arrivals.lock();
            arrivals.on_send();
            *arrivals
        };
        if arrivals.repeats() == 0 {
            return;
        }
        self.gateway.metrics.increment("send.repeat");
        log::info!(id:% = self.request_id, runner:% = runner.id, is_prefill_only, sent = arrivals.sent(),
            repeats = arrivals.repeats(), deducted = arrivals.deducted(); "request is sent again");
    }
}
