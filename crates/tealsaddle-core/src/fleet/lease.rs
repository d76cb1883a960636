//! The right to give orders, as its holder may believe in it.
//!
//! The store's lease decides who the holder is; the holder has to know by its own clock when it may no
//! longer act. A renewal counts from the moment it was sent, on a clock that counts suspended time, so
//! a process that was frozen while the answer was on its way wakes up without the right. A new holder
//! waits before its first order, so that orders of the one before have arrived.

/// Authority of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Fencing token: the store's revision at which this process became the holder.
    pub fence: u64,
    first_order_us: u64,
    valid_until_us: u64,
}

impl Authority {
    /// Authority from a lease of `ttl_us` that was taken by a call sent at `sent_us`.
    pub const fn new(fence: u64, sent_us: u64, ttl_us: u64, margin_us: u64, wait_us: u64) -> Self {
        Self {
            fence,
            first_order_us: sent_us + wait_us,
            valid_until_us: valid_until(sent_us, ttl_us, margin_us),
        }
    }

    /// Notes a renewal that was sent at `sent_us` and accepted.
    pub const fn on_renewed(&mut self, sent_us: u64, ttl_us: u64, margin_us: u64) {
        let until_us = valid_until(sent_us, ttl_us, margin_us);
        if until_us > self.valid_until_us {
            self.valid_until_us = until_us;
        }
    }

    /// Whether an order may be sent now.
    pub const fn may_order(&self, now_us: u64) -> bool {
        now_us >= self.first_order_us && now_us < self.valid_until_us
    }

    /// Whether the lease has ended by this process's clock.
    pub const fn is_over(&self, now_us: u64) -> bool {
        now_us >= self.valid_until_us
    }
}

const fn valid_until(sent_us: u64, ttl_us: u64, margin_us: u64) -> u64 {
    sent_us + ttl_us.saturating_sub(margin_us)
}
