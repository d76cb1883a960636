//! Runners whose registration lapsed while the store was away.
//!
//! A registration ends with its lease, also when only the store was unreachable. Runners that live are
//! back about two seconds after the store returns. Dropping them at once would empty the list in the
//! first moment after an outage, so an entry that disappears in that window is kept for its rest.

/// Time after the store's return in which a lapsed registration may come back.
pub const REREGISTRATION_WINDOW_US: u64 = 2_000_000;

/// Contact with the store as one node sees it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAvailability {
    is_lost: bool,
    returned_us: Option<u64>,
}

impl StoreAvailability {
    /// Notes a call without an answer; `true` if contact was there before.
    pub const fn on_failure(&mut self) -> bool {
        let is_new = !self.is_lost;
        self.is_lost = true;
        is_new
    }

    /// Notes an answer; `true` if it ends an outage, which opens the window.
    pub const fn on_answer(&mut self, now_us: u64) -> bool {
        let is_return = self.is_lost;
        if is_return {
            self.returned_us = Some(now_us);
        }
        self.is_lost = false;
        is_return
    }

    /// Until when a registration that disappears now is still used.
    pub fn keep_until_us(&self, now_us: u64) -> Option<u64> {
        let until_us = self.returned_us? + REREGISTRATION_WINDOW_US;
        (until_us > now_us).then_some(until_us)
    }
}
