//! Schedule of a graceful shutdown.
//!
//! A stop has four points in time. At the signal the node reports itself as not ready, and it keeps
//! serving until the load balancer has noticed. It then accepts no more connections, and only requests
//! whose deadline lies before the end of answers. Shortly before the end of the grace period every
//! request that has no answer yet gets one from the gateway. Last, the process exits.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the signal for which new connections are accepted. The load balancer probes each second and
/// removes a node after two failed probes. The limit is below 3 s because a request that is sent later
/// than 3 s after the signal must not be cut off, and a busy process handles its signal late.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period at which every request has its answer; shorter for a short
/// grace period.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// The margin takes at most the grace period divided by this: requests at runners must not be abandoned
/// before the last sixth of the grace period.
const ANSWER_MARGIN_DIVISOR: u32 = 6;

/// Points in time of a stop, in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the process handled the signal to stop.
    pub began: Instant,
    /// When the node stops accepting connections.
    pub closes: Instant,
    /// When every request without an answer gets one from the gateway.
    pub answers_end: Instant,
    /// When the process exits, even if connections are still open.
    pub exits: Instant,
}

impl Stop {
    /// Schedules a stop that begins at `began`; the process is killed `grace` later.
    pub fn plan(began: Instant, grace: Duration) -> Self {
        let margin = ANSWER_MARGIN.min(grace / ANSWER_MARGIN_DIVISOR);
        Self {
            began,
            closes: began + ACCEPT_TIME.min(grace / 2),
            answers_end: began + grace - margin,
            exits: began + grace - margin / 2,
        }
    }

    /// Whether a request with this deadline is accepted at `now`.
    ///
    /// While connections are accepted, a request with a later deadline is accepted as well; whether it is
    /// expected to end in time is checked when its runner is chosen, by
    /// [`Call::check_ends_before_stop`](crate::call::Call::check_ends_before_stop). Afterwards the deadline
    /// itself has to lie before the end of answers: the load balancer sends no more requests then, so none
    /// has to be accepted on an estimate.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now < self.closes || deadline <= self.answers_end
    }
}
