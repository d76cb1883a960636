//! Whether the store answers the calls of one node.

/// Availability of the store as observed by one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAvailability {
    is_unavailable: bool,
}

impl StoreAvailability {
    /// Returns whether the last call had no answer.
    pub const fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Records a call without an answer. Returns `true` if the store was available before.
    pub const fn on_failure(&mut self) -> bool {
        let is_new_outage = !self.is_unavailable;
        self.is_unavailable = true;
        is_new_outage
    }

    /// Records an answer. Returns `true` if the answer ends an outage.
    pub const fn on_answer(&mut self) -> bool {
        let is_outage_end = self.is_unavailable;
        self.is_unavailable = false;
        is_outage_end
    }
}
