//! The planned end of a process.
//!
//! A stop has four moments. From the signal on the node is not ready, and serves what still reaches it
//! until the balancer has noticed. Then it takes no more connections, and only requests that end before
//! it does. Shortly before the end of the grace period whatever has no answer yet gets one. Last, the
//! process ends.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the signal in which new connections may come: the balancer asks each second and takes a
/// node out after two misses. What is sent later than 3 s after the signal must not be cut, and a busy
/// process sees its signal late.
const PROBE_TIME: Duration = Duration::from_millis(2_500);
/// Longest time before the end of the grace period at which every request has its answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Part of the grace period that this may take: runs must not be given up before.
const ANSWER_MARGIN_PART: u32 = 6;

/// The moments of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the process was told to stop.
    pub began: Instant,
    /// When it takes no more connections.
    pub closes: Instant,
    /// When every request has its answer.
    pub answers_end: Instant,
    /// When the process ends.
    pub exits: Instant,
}

impl Stop {
    /// Plans a stop that begins at `began` and is enforced after `grace`.
    pub fn plan(began: Instant, grace: Duration) -> Self {
        let margin = ANSWER_MARGIN.min(grace / ANSWER_MARGIN_PART);
        Self {
            began,
            closes: began + PROBE_TIME.min(grace / 2),
            answers_end: began + grace - margin,
            exits: began + grace - margin / 2,
        }
    }

    /// Whether a request that ends by `deadline` is taken at `now`. The balancer sends nothing here once
    /// the node takes no connections, so what comes later has no claim to be taken on an estimate.
    pub fn takes(&self, now: Instant, deadline: Instant) -> bool {
        now < self.closes || deadline <= self.answers_end
    }
}
