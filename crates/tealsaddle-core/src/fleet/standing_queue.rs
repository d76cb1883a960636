//! Detects a queue that does not empty, by which all requests would be late.
//!
//! A burst fills the queues of prefill runners for a moment, and the requests that wait are answered a little late. If
//! more prompts come than can be read, the queues stay, and without a limit each request waits until it is late: as many
//! are answered as with short queues, but none on time. While a queue stands, requests that would be late are refused.

use super::stage_load::DecayingMean;

/// Mean expected time to the first event, as a ratio to the objective, from which a queue stands.
const STANDING_RATIO: f64 = 1.0;
/// Mean ratio below which it no longer stands.
const EMPTY_RATIO: f64 = 0.6;
/// Ratio up to which requests are admitted while a queue stands. The rest is for errors of the estimate.
const ADMITTED_RATIO: f64 = 0.9;

/// The queue of a model service, as expected for the requests that a node places.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct StandingQueue {
    ratio: DecayingMean,
    is_standing: bool,
}

impl StandingQueue {
    /// Records the expected time to the first event of a request, and returns whether the request should be refused.
    pub fn on_request(&mut self, expected_us: f64, objective_us: f64, now_us: u64) -> bool {
        let ratio = expected_us / objective_us.max(1.0);
        self.ratio.push(ratio, now_us);
        let mean = self.ratio.get(now_us).unwrap_or(ratio);
        self.is_standing = mean > STANDING_RATIO || self.is_standing && mean > EMPTY_RATIO;
        self.is_standing && ratio > ADMITTED_RATIO
    }
}
