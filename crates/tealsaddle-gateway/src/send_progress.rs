//! How far requests have been sent.
//!
//! An answer without a length ends with its connection. If that happens while the request is still being sent, the runner
//! has given it up, and nothing shows that the answer is whole.

use std::sync::atomic::{AtomicU64, Ordering};

/// How far the request on a connection has been sent.
#[derive(Debug, Default)]
pub struct SendProgress {
    /// Bytes that the system has taken for sending since the connection was opened.
    written_bytes: AtomicU64,
    /// Value from which the request counts as sent. Its head is left out.
    sent_at_bytes: AtomicU64,
}

impl SendProgress {
    /// Counts bytes that the system has taken.
    pub fn on_written(&self, bytes: usize) {
        self.written_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Begins to send a request with a body of this length.
    pub fn begin_request(&self, body_bytes: u64) {
        let sent_at_bytes = self.written_bytes.load(Ordering::Relaxed) + body_bytes;
        self.sent_at_bytes.store(sent_at_bytes, Ordering::Relaxed);
    }

    /// Whether the system has taken the whole body of the request.
    pub fn is_sent(&self) -> bool {
        self.written_bytes.load(Ordering::Relaxed) >= self.sent_at_bytes.load(Ordering::Relaxed)
    }
}
