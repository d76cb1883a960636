//! Back-pressure: what a runner asks of those who send to it.
//!
//! A runner says in its answers that it is about to stop, that it wants no requests for some time, or how many
//! requests a second it takes from all nodes together.

use std::time::Duration;

/// Time for which it is remembered what a process asked for that is no longer registered: its registration may come
/// back.
pub const MEMORY_US: u64 = 1_800_000_000;

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

/// What an answer showed of a runner's limit, and when.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateObservation {
    /// Limit in requests a second; `None` if the runner takes all.
    pub limit_per_s: Option<f64>,
    /// When the request was sent whose answer showed it.
    pub sent_us: u64,
    /// When the answer arrived.
    pub seen_us: u64,
}

impl RateObservation {
    /// Takes over a newer observation; returns whether the limit has changed.
    ///
    /// Answers overtake each other. A stricter limit is newer if it arrived later; one that is less strict only
    /// if its request was sent after the stricter one had arrived.
    pub fn merge(&mut self, other: Self) -> bool {
        let limit = |rate: &Self| rate.limit_per_s.unwrap_or(f64::INFINITY);
        let is_newer = if limit(&other) > limit(self) {
            other.sent_us >= self.seen_us
        } else {
            other.seen_us >= self.seen_us
        };
        if !is_newer {
            return false;
        }
        let is_changed = other.limit_per_s != self.limit_per_s;
        *self = other;
        is_changed
    }
}
