//! Repeats of a request: counts what it sends to runners, and takes what adds load out of the retry budget.
//!
//! Every send passes [`Call::begin_send`]. What decides on another attempt asks [`Call::may_send`] before, so that a
//! request for which the budget has nothing left is refused at once.

use std::sync::{Mutex, MutexGuard};

use tealsaddle_core::arrivals::{Arrivals, NextSend};
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
    /// Whether the request may be sent once more. What would be a repeat is taken out of the retry budget, unless an
    /// earlier decision has done so for a send that was not made.
    pub fn may_send(&self, next: NextSend) -> bool {
        self.deduct(&mut self.state.arrivals.lock(), next)
    }

    fn deduct(&self, arrivals: &mut Arrivals, next: NextSend) -> bool {
        while arrivals.missing_deductions(next) > 0 {
            if !self.gateway.scheduler.try_consume_retry(&self.service) {
                return false;
            }
            arrivals.on_deducted();
        }
        true
    }

    /// Counts a send to a runner, and logs it if it is a repeat; returns `false` if it may not be made.
    pub fn begin_send(&self, runner: &Runner, is_prefill_only: bool) -> bool {
        let next = if is_prefill_only {
            NextSend::Read
        } else {
            NextSend::Run
        };
        let arrivals = {
            let mut arrivals = self.state.arrivals.lock();
            if !self.deduct(&mut arrivals, next) {
                return false;
            }
            arrivals.on_send();
            *arrivals
        };
        if arrivals.repeats() > 0 {
            self.gateway.metrics.increment("send.repeat");
            log::info!(id:% = self.request_id, runner:% = runner.id, is_prefill_only, sent = arrivals.sent(),
                repeats = arrivals.repeats(), deducted = arrivals.deducted(); "request is sent again");
        }
        true
    }
}
