//! Back-pressure: what a runner asks of those who send to it.
//!
//! A runner says in its answers that it is about to stop, that it wants no requests for some time, or how many
//! requests a second it takes from all nodes together.

use std::time::Duration;

/// Back-pressure in the headers of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Backpressure {
    /// Whether the runner is about to stop and takes no new requests.
    pub is_leaving: bool,
    /// Time for which the runner wants no requests from this node. It counts only with a refusal.
    pub pause: Option<Duration>,
    /// Rate to which the runner limits the requests of all nodes together.
    pub rate: RateSignal,
}

/// What an answer says of the rate of requests that its runner takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateSignal {
    /// No limit.
    #[default]
    Unlimited,
    /// A limit that cannot be read: it neither sets a limit nor ends one.
    Unreadable,
    /// At most so many requests a second from all nodes together; finite and not negative.
    PerSecond(f64),
}

impl Backpressure {
    /// Whether the answer asks for anything.
    pub fn is_some(&self) -> bool {
        *self != Self::default()
    }
}
