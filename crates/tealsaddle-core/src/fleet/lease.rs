//! The right to give orders, as its holder may believe in it.
//!
//! The store's lease decides who the holder is; the holder has to know by its own clock when it may no
//! longer act. A renewal counts from the moment it was sent, on a clock that counts suspended time, so
//! a process that was frozen while the answer was on its way wakes up without the right. The store may
//! also take the holder's key away while the lease lives, so each order needs an intent that was written
//! under the condition on that key a short time before. A new holder waits before its first order for
//! longer than such an intent holds and an order is on its way.

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Life of the lease without a renewal.
    pub ttl_us: u64,
    /// Time before its end at which the holder stops acting.
    pub margin_us: u64,
    /// Time from taking the key to the first order.
    pub first_order_delay_us: u64,
    /// Time from sending the write of an intent in which its order may be sent.
    pub intent_valid_us: u64,
}

/// Authority of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Fencing token: the store's revision at which this process became the holder.
    pub fence: u64,
    terms: LeaseTerms,
    first_order_us: u64,
    valid_until_us: u64,
}

impl Authority {
    /// Authority by a key that was written by a call sent at `acquired_us`, with a lease that was renewed by
    /// a call sent at `renewed_us`.
    pub const fn new(fence: u64, acquired_us: u64, renewed_us: u64, terms: LeaseTerms) -> Self {
        Self {
            fence,
            terms,
            first_order_us: acquired_us + terms.first_order_delay_us,
            valid_until_us: valid_until(renewed_us, terms),
        }
    }

    /// Notes a renewal that was sent at `sent_us` and accepted.
    pub const fn on_renewed(&mut self, sent_us: u64) {
        let until_us = valid_until(sent_us, self.terms);
        if until_us > self.valid_until_us {
            self.valid_until_us = until_us;
        }
    }

    /// Whether the intent of an order may be written now.
    pub const fn may_order(&self, now_us: u64) -> bool {
        now_us >= self.first_order_us && now_us < self.valid_until_us
    }

    /// Whether an order may be sent whose intent was written by a call sent at `intent_us`.
    pub const fn may_send(&self, intent_us: u64, now_us: u64) -> bool {
        self.may_order(now_us) && now_us < intent_us + self.terms.intent_valid_us
    }

    /// Whether the lease has ended by this process's clock.
    pub const fn is_expired(&self, now_us: u64) -> bool {
        now_us >= self.valid_until_us
    }
}

const fn valid_until(sent_us: u64, terms: LeaseTerms) -> u64 {
    sent_us + terms.ttl_us.saturating_sub(terms.margin_us)
}
