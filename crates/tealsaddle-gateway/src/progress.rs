//! Event times of a stream to a caller.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Times at which events were passed on to a caller, measured from the arrival of the request's head.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "each name ends with its unit")]
pub struct Progress {
    /// Time of the first event; 0 before it.
    first_us: AtomicU64,
    last_us: AtomicU64,
    longest_pause_us: AtomicU64,
}

impl Progress {
    /// Records that events are passed on at `since_start`; returns that time for the first ones.
    pub fn on_events(&self, since_start: Duration) -> Option<Duration> {
        let now_us = (since_start.as_micros() as u64).max(1);
        let last_us = self.last_us.swap(now_us, Ordering::Relaxed);
        if last_us == 0 {
            self.first_us.store(now_us, Ordering::Relaxed);
            return Some(since_start);
        }
        let pause_us = now_us.saturating_sub(last_us);
        self.longest_pause_us.fetch_max(pause_us, Ordering::Relaxed);
        None
    }

    /// Time from the latest event to `since_start`; the whole time before the first event.
    pub fn since_last(&self, since_start: Duration) -> Duration {
        since_start.saturating_sub(Duration::from_micros(self.last_us.load(Ordering::Relaxed)))
    }

    /// Whether any event was passed on.
    pub fn has_begun(&self) -> bool {
        self.first_us.load(Ordering::Relaxed) > 0
    }

    /// Time to the first event in milliseconds, rounded up; 0 before it.
    pub fn first_event_ms(&self) -> u64 {
        self.first_us.load(Ordering::Relaxed).div_ceil(1_000)
    }

    /// Time from the first event to the latest one.
    pub fn events_time(&self) -> Duration {
        let last_us = self.last_us.load(Ordering::Relaxed);
        Duration::from_micros(last_us.saturating_sub(self.first_us.load(Ordering::Relaxed)))
    }

    /// Longest time between two events, in milliseconds.
    pub fn longest_pause_ms(&self) -> u64 {
        self.longest_pause_us.load(Ordering::Relaxed) / 1_000
    }
}
