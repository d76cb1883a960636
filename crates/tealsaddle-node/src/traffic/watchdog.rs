//! Watchdog of the control thread.
//!
//! After a pause of the process the traffic threads may run before the control thread has noticed the
//! pause and published a stale snapshot. They see it from the age of the last tick.

use std::sync::atomic::{AtomicU64, Ordering};

use tealsaddle_core::rollout::PAUSE_THRESHOLD_US;

/// Time of the last tick of the control thread.
#[derive(Debug, Default)]
pub struct Watchdog {
    ticked_us: AtomicU64,
}

impl Watchdog {
    /// Notes a tick; the snapshot that belongs to it has been published.
    pub fn tick(&self, now_us: u64) {
        self.ticked_us.store(now_us, Ordering::Release);
    }

    /// Whether the last tick is so old that the process must have been paused. Without a control thread
    /// there is no tick and nothing is overdue.
    pub fn is_overdue(&self, now_us: u64) -> bool {
        let ticked_us = self.ticked_us.load(Ordering::Acquire);
        ticked_us != 0 && now_us.saturating_sub(ticked_us) > PAUSE_THRESHOLD_US
    }
}
