//! Timers for the periodic work of the control thread.

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL_US: u64 = 1_000_000;
/// Time between two requests for an entry in the router list.
const REGISTER_INTERVAL_US: u64 = 1_000_000;
/// Time between two polls of the engines' load.
const LOAD_POLL_INTERVAL_US: u64 = 500_000;
/// Time between two polls of engines that are being drained.
const DRAINING_LOAD_POLL_INTERVAL_US: u64 = 200_000;
/// Number of heartbeats per request for the list of peers.
const HEARTBEATS_PER_PEER_LIST: u64 = 5;

/// Work that is due at a tick.
#[expect(clippy::struct_excessive_bools, reason = "independent timers")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// Whether heartbeats to peers are due.
    pub heartbeat: bool,
    /// Whether this heartbeat requests the list of peers.
    pub wants_peers: bool,
    /// Whether a request for an entry in the router list is due.
    pub register: bool,
    /// Whether a poll of the engines' load is due.
    pub load_poll: bool,
    /// Whether a poll of the engines that are being drained is due.
    pub draining_load_poll: bool,
}

/// Timers of the control thread.
#[derive(Debug, Default)]
pub struct PeriodicTimers {
    last_heartbeat_us: u64,
    last_register_us: u64,
    last_load_poll_us: u64,
    last_draining_load_poll_us: u64,
    heartbeat_count: u64,
}

impl PeriodicTimers {
    /// Makes heartbeats due at the next tick.
    pub const fn heartbeat_now(&mut self) {
        self.last_heartbeat_us = 0;
    }

    /// Returns the number of times that heartbeats were due, including the current one.
    pub const fn heartbeat_count(&self) -> u64 {
        self.heartbeat_count
    }

    /// Returns the work that is due, and restarts the timers of that work.
    pub fn tick(&mut self, now_us: u64) -> Due {
        let mut due = Due {
            heartbeat: is_due(&mut self.last_heartbeat_us, HEARTBEAT_INTERVAL_US, now_us),
            wants_peers: false,
            register: is_due(&mut self.last_register_us, REGISTER_INTERVAL_US, now_us),
            load_poll: is_due(&mut self.last_load_poll_us, LOAD_POLL_INTERVAL_US, now_us),
            draining_load_poll: is_due(
                &mut self.last_draining_load_poll_us,
                DRAINING_LOAD_POLL_INTERVAL_US,
                now_us,
            ),
        };
        if due.heartbeat {
            due.wants_peers = self
                .heartbeat_count
                .is_multiple_of(HEARTBEATS_PER_PEER_LIST);
            self.heartbeat_count += 1;
        }
        due
    }
}

const fn is_due(last_us: &mut u64, interval_us: u64, now_us: u64) -> bool {
    if now_us.saturating_sub(*last_us) < interval_us {
        return false;
    }
    *last_us = now_us;
    true
}
