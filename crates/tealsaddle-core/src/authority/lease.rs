//! Liveness of the holder.
//!
//! The holder renews the lease record every second. Another node that has seen no renewal for
//! [`LEASE_TIMEOUT_US`] on its own clock may take over. Clocks of different nodes are never
//! compared, and no safety property depends on the lease: it only makes concurrent senders of
//! orders rare around a change of holder.

use tealsaddle_schema::record::LeaseRecord;

/// Interval between renewals by the holder.
pub const RENEW_INTERVAL_US: u64 = 1_000_000;
/// Interval between reads by a node that does not hold the lease. With 360 nodes this causes 180
/// reads per second of the about 2,000 that the platform allows.
pub const FOLLOWER_READ_INTERVAL_US: u64 = 2_000_000;
/// Time without an observed renewal after which another node may take over.
pub const LEASE_TIMEOUT_US: u64 = 6_000_000;
/// Safety margin at the end of the lease in which the holder starts no send, to allow for pauses
/// and slow responses.
pub const SEND_MARGIN_US: u64 = 2_000_000;

/// Lease as observed by a node that does not hold it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObservedLease {
    /// Epoch and renewal count that were last read, and the time when they were first read.
    seen: Option<(u64, u64, u64)>,
    is_released: bool,
}

impl ObservedLease {
    /// Handles a lease record that was read.
    pub fn on_read(&mut self, record: &LeaseRecord, now_us: u64) {
        self.is_released = record.released;
        match self.seen {
            Some((epoch, renewals, _)) if (epoch, renewals) == (record.epoch, record.renewals) => {}
            _ => self.seen = Some((record.epoch, record.renewals, now_us)),
        }
    }

    /// Returns whether the last observed holder may be replaced, because it released the lease or
    /// did not renew it in time.
    pub fn is_expired(&self, now_us: u64) -> bool {
        self.is_released
            || self
                .seen
                .is_some_and(|(_, _, since_us)| now_us.saturating_sub(since_us) >= LEASE_TIMEOUT_US)
    }
}

/// Lease as known to its holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldLease {
    /// Time at which the last confirmed renewal was started.
    renewed_at_us: Option<u64>,
}

impl HeldLease {
    /// Handles a confirmed renewal whose write was started at `started_at_us`.
    pub fn on_renewed(&mut self, started_at_us: u64) {
        self.renewed_at_us = self.renewed_at_us.max(Some(started_at_us));
    }

    /// Returns whether enough of the lease is left to send an order now.
    pub fn may_send(&self, now_us: u64) -> bool {
        self.renewed_at_us
            .is_some_and(|at_us| now_us < at_us + LEASE_TIMEOUT_US - SEND_MARGIN_US)
    }
}
