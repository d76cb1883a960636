//! Bound on the bytes of incomplete events that all streams of a node hold together.
//!
//! A stream that may be resumed is passed on in whole events, so its last event is held until it is complete. The limit on
//! one event does not bound their sum: many runners that send an event without end would take the memory of a small node.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that all streams hold together at most, beside their fair shares. The smallest nodes have 160 MB for everything.
pub const MAX_HELD_BYTES: usize = 16 << 20;
/// Bytes that each stream may hold, however many others hold: events are far smaller.
pub const FAIR_SHARE_BYTES: usize = 16 << 10;

/// Sum over the streams of a node.
#[derive(Debug, Default)]
pub struct HeldBytes(AtomicUsize);

impl HeldBytes {
    /// The sum now.
    pub fn total(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// What one stream holds. Dropping it gives the bytes back.
#[derive(Debug)]
pub struct HeldShare {
    of_all: Arc<HeldBytes>,
    bytes: usize,
}

impl HeldShare {
    /// The share of a stream that holds nothing yet.
    pub const fn open(of_all: Arc<HeldBytes>) -> Self {
        Self { of_all, bytes: 0 }
    }

    /// Sets how many bytes the stream holds; returns whether it may hold them.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use tealsaddle_gateway::held_bytes::{HeldBytes, HeldShare, MAX_HELD_BYTES};
    ///
    /// let all = Arc::new(HeldBytes::default());
    /// let mut first = HeldShare::open(Arc::clone(&all));
    /// let mut second = HeldShare::open(Arc::clone(&all));
    /// assert!(first.set(MAX_HELD_BYTES));
    /// assert!(second.set(100));
    /// assert!(!second.set(100_000));
    /// drop(first);
    /// assert!(second.set(100_000));
    /// ```
    pub fn set(&mut self, bytes: usize) -> bool {
        let total = &self.of_all.0;
        let total_bytes = if bytes >= self.bytes {
            let more = bytes - self.bytes;
            total.fetch_add(more, Ordering::Relaxed) + more
        } else {
            let less = self.bytes - bytes;
            total.fetch_sub(less, Ordering::Relaxed) - less
        };
        self.bytes = bytes;
        bytes <= FAIR_SHARE_BYTES || total_bytes <= MAX_HELD_BYTES
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.set(0);
    }
}
