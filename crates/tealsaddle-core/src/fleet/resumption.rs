//! Notices that the process was paused, and for how long requests wait for an update after it.
//!
//! A process that goes on after a pause reads the requests that have arrived meanwhile, perhaps before it hears what has
//! changed. A change such as the withdrawal of a key may bind by then. So requests wait until the node has heard, but only
//! after a pause, and not for long: a node that is cut off hears nothing, and serves by what it knows.

/// Longest time between two turns of a process that runs. Longer than the delays of a busy machine, and short enough
/// that with the time since the last update before it, changes do not bind yet (3 s).
pub const LONGEST_TURN_US: u64 = 1_000_000;
/// Longest time for which requests wait after a pause. An update usually comes within some 50 ms.
pub const MAX_WAIT_US: u64 = 300_000;

/// Follows the turns of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resumption {
    last_turn_us: u64,
    /// When the process went on, until the node has received an update.
    resumed_us: Option<u64>,
}

impl Resumption {
    /// Begins at the start of the process.
    pub const fn new(now_us: u64) -> Self {
        Self {
            last_turn_us: now_us,
            resumed_us: None,
        }
    }

    /// Records that the process runs; to be called more often than each [`LONGEST_TURN_US`].
    pub const fn on_turn(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.last_turn_us) > LONGEST_TURN_US {
            self.resumed_us = Some(now_us);
        }
        self.last_turn_us = now_us;
    }

    /// Returns until when a request waits for an update; `None` if it does not wait. `as_of_us` is the time as of which the
    /// node's knowledge was complete.
    pub const fn wait_until_us(&mut self, as_of_us: u64, now_us: u64) -> Option<u64> {
        self.on_turn(now_us);
        let Some(resumed_us) = self.resumed_us else {
            return None;
        };
        let until_us = resumed_us + MAX_WAIT_US;
        if as_of_us + LONGEST_TURN_US >= resumed_us || until_us <= now_us {
            self.resumed_us = None;
            return None;
        }
        Some(until_us)
    }
}
