//! Watchdog of the control thread.
//!
//! After a pause of the process, the traffic threads may run before the control thread has detected the
//! pause and published a snapshot marked as stale. Until then, the traffic threads detect the pause by
//! the age of the last tick.

use std::sync::atomic::{AtomicU64, Ordering};

use tealsaddle_core::rollout::PAUSE_THRESHOLD_US;

/// Time of the last tick of the control thread.
#[derive(Debug, Default)]
pub struct Watchdog {
    last_tick_us: AtomicU64,
}

impl Watchdog {
    /// Records a tick. If the control thread detects a pause at the tick, it publishes a snapshot marked as
    /// stale before it calls this method.
    pub fn tick(&self, now_us: u64) {
        self.last_tick_us.store(now_us, Ordering::Release);
    }

    /// Returns whether the last tick is so old that the process must have been paused. Without a control
    /// thread there are no ticks, and the result is false.
    pub fn is_overdue(&self, now_us: u64) -> bool {
        let last_tick_us = self.last_tick_us.load(Ordering::Acquire);
        last_tick_us != 0 && now_us.saturating_sub(last_tick_us) > PAUSE_THRESHOLD_US
    }
}
