//! Blocking of signals while their handlers are being installed.
//!
//! A handler is installed in two steps: the system call, and the publication of its action to the handler
//! function. A signal that arrives between the two is consumed without effect. A blocked signal stays
//! pending and is delivered once it is unblocked.

use std::io;

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

/// Signals that a process of the system handles.
const HANDLED_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGHUP];

/// Blocks the handled signals for the calling thread until dropped, which restores its previous mask.
///
/// Threads that are started meanwhile inherit the block and keep it, so one of them cannot receive a signal
/// early. To be created before the process has other threads.
#[derive(Debug)]
pub struct BlockedSignals {
    previous: SigSet,
}

impl BlockedSignals {
    /// Blocks the signals.
    pub fn open() -> io::Result<Self> {
        let signals: SigSet = HANDLED_SIGNALS.into_iter().collect();
        let previous = signals.thread_swap_mask(SigmaskHow::SIG_BLOCK)?;
        Ok(Self { previous })
    }
}

impl Drop for BlockedSignals {
    fn drop(&mut self) {
        self.previous
            .thread_set_mask()
            .expect("a mask that the thread has had is valid");
    }
}
