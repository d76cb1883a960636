//! Liveness of the holder.
//!
//! The holder renews the lease record every second. Another node that has seen no renewal for
//! [`LEASE_TIMEOUT_US`] on its own clock may take over. Clocks are never compared between nodes, and nothing
//! that must hold rests on the lease: it only keeps orders rare around a change of holder.

use tealsaddle_schema::record::LeaseRecord;

/// Time between two renewals.
pub const RENEW_INTERVAL_US: u64 = 1_000_000;
/// Time between two reads by a node that does not hold the lease. 360 nodes then make 180 of the
/// about 2,000 reads a second that the platform allows.
pub const FOLLOWER_READ_INTERVAL_US: u64 = 2_000_000;
/// Time without a renewal after which another node may take over.
pub const LEASE_TIMEOUT_US: u64 = 6_000_000;
/// Part of the lease that the holder leaves unused before a send, for pauses and slow answers.
pub const SEND_MARGIN_US: u64 = 2_000_000;

/// The lease as a node that does not hold it sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedLease {
    seen: Option<(u64, u64, u64)>,
    is_released: bool,
}

impl ObservedLease {
    /// Takes a record that was read.
    pub fn on_read(&mut self, record: &LeaseRecord, now_us: u64) {
        self.is_released = record.released;
        match self.seen {
            Some((epoch, renewals, _)) if (epoch, renewals) == (record.epoch, record.renewals) => {}
            _ => self.seen = Some((record.epoch, record.renewals, now_us)),
        }
    }

    /// Whether the holder that was seen last may be replaced.
    pub fn is_expired(&self, now_us: u64) -> bool {
        self.is_released
            || self
                .seen
                .is_some_and(|(_, _, since_us)| now_us.saturating_sub(since_us) >= LEASE_TIMEOUT_US)
    }
}

/// The lease as its holder knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldLease {
    /// Time at which the last confirmed renewal was begun.
    renewed_at_us: Option<u64>,
}

impl HeldLease {
    /// Takes a confirmed renewal that was begun at `begun_at_us`.
    pub fn on_renewed(&mut self, begun_at_us: u64) {
        self.renewed_at_us = self.renewed_at_us.max(Some(begun_at_us));
    }

    /// Whether the holder may send an order now.
    pub fn may_send(&self, now_us: u64) -> bool {
        self.renewed_at_us
            .is_some_and(|at_us| now_us < at_us + LEASE_TIMEOUT_US - SEND_MARGIN_US)
    }
}
