//! Grace period for registrations that expire during an outage of the store.
//!
//! A registration expires with its lease, even if only the store was unreachable. Runners that are still
//! up register again within about two seconds after the store returns. Removing their registrations at
//! once would empty the list right after an outage, so a registration that disappears within that window
//! is kept until the window ends.

/// Time after the return of the store within which runners register again.
pub const REREGISTRATION_WINDOW_US: u64 = 2_000_000;

/// Availability of the store as observed by one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAvailability {
    is_unavailable: bool,
    returned_us: Option<u64>,
    answered_us: Option<u64>,
}

impl StoreAvailability {
    /// Returns whether the last call had no answer.
    pub const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns when the last call was answered; `None` before the first answer.
    pub const fn answered_us(&self) -> Option<u64> {
        self.answered_us
    }

    /// Records a call without an answer. Returns `true` if the store was available before.
    pub const fn on_failure(&mut self) -> bool {
        let is_new_outage = !self.is_unavailable;
        self.is_unavailable = true;
        is_new_outage
    }

    /// Records an answer. Returns `true` if the answer ends an outage, which starts the window.
    pub const fn on_answer(&mut self, now_us: u64) -> bool {
        let is_outage_end = self.is_unavailable;
        if is_outage_end {
            self.returned_us = Some(now_us);
        }
        self.is_unavailable = false;
        self.answered_us = Some(now_us);
        is_outage_end
    }

    /// Returns the time until which a registration that disappears now is kept, or `None` outside the
    /// window.
    pub fn keep_until_us(&self, now_us: u64) -> Option<u64> {
        let window_end_us = self.returned_us? + REREGISTRATION_WINDOW_US;
        (window_end_us > now_us).then_some(window_end_us)
    }
}
