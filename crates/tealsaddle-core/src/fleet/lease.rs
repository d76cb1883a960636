//! Local validity of a node's authority to send orders.
//!
//! Only one node, the holder, may order runners to change their stage. The lease in the store decides which
//! node that is, and the holder has to determine by its own clock when its authority ends. The validity of
//! a renewal counts from the time at which the renewal was sent, on a clock that includes suspended time. A
//! process that was frozen while the answer was in transit therefore resumes without authority.
//!
//! The store may also remove the holder's key while the lease is valid. Each order therefore needs an
//! intent: a record of the order in the store, written a short time before the order is sent and under the
//! condition that the key is unchanged. A new holder delays its first order until no intent of its
//! predecessor is valid any more and every order sent on such an intent has arrived.

/// Durations that determine the validity of an [`Authority`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Time after which the lease expires without a renewal.
    pub ttl_us: u64,
    /// Safety margin: the holder stops sending orders this long before the lease expires.
    pub margin_us: u64,
    /// Time from the call that acquires the key to the first order.
    pub first_order_delay_us: u64,
    /// Time from the call that writes an intent within which its order may be sent.
    pub intent_valid_us: u64,
}

/// Authority of this process to send orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Fencing token: the store's revision at which this process became the holder.
    pub fence: u64,
    terms: LeaseTerms,
    first_order_us: u64,
    valid_until_us: u64,
}

impl Authority {
    /// Creates the authority of a holder whose key was written by a call sent at `acquired_us` and whose
    /// lease was last renewed by a call sent at `renewed_us`.
    pub const fn new(fence: u64, acquired_us: u64, renewed_us: u64, terms: LeaseTerms) -> Self {
        Self {
            fence,
            terms,
            first_order_us: acquired_us + terms.first_order_delay_us,
            valid_until_us: valid_until(renewed_us, terms),
        }
    }

    /// Extends the validity after a renewal that was sent at `sent_us` and accepted. An older renewal has
    /// no effect.
    pub const fn on_renewed(&mut self, sent_us: u64) {
        let until_us = valid_until(sent_us, self.terms);
        if until_us > self.valid_until_us {
            self.valid_until_us = until_us;
        }
    }

    /// Returns whether the intent of an order may be written now.
    pub const fn may_order(&self, now_us: u64) -> bool {
        now_us >= self.first_order_us && now_us < self.valid_until_us
    }

    /// Returns whether an order may be sent whose intent was written by a call sent at `intent_us`.
    pub const fn may_send(&self, intent_us: u64, now_us: u64) -> bool {
        self.may_order(now_us) && now_us < intent_us + self.terms.intent_valid_us
    }

    /// Returns whether the authority has ended by this process's clock.
    pub const fn is_expired(&self, now_us: u64) -> bool {
        now_us >= self.valid_until_us
    }
}

const fn valid_until(sent_us: u64, terms: LeaseTerms) -> u64 {
    sent_us + terms.ttl_us.saturating_sub(terms.margin_us)
}
