//! When the periodic work of the control thread is due.

/// Time between two heartbeats.
const HEARTBEAT_US: u64 = 1_000_000;
/// Time between two requests to be written into the router list.
const REGISTER_US: u64 = 1_000_000;
/// Time between two polls of the engines' load.
const LOAD_US: u64 = 500_000;
/// Time between two polls of engines that are being drained.
const DRAIN_LOAD_US: u64 = 200_000;
/// Heartbeats between two that ask for the list of peers.
const PEERS_EVERY: u64 = 5;

/// What is due at a tick.
#[expect(clippy::struct_excessive_bools, reason = "independent timers")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// Heartbeats to peers.
    pub heartbeat: bool,
    /// Whether this heartbeat asks for the list of peers.
    pub wants_peers: bool,
    /// A request to be written into the router list.
    pub register: bool,
    /// A poll of the engines' load.
    pub load: bool,
    /// A poll of the engines that are being drained.
    pub drain_load: bool,
}

/// Timers of the control thread.
#[derive(Debug, Default)]
pub struct Rounds {
    heartbeat_us: u64,
    register_us: u64,
    load_us: u64,
    drain_load_us: u64,
    heartbeats: u64,
}

impl Rounds {
    /// Makes heartbeats due at the next tick.
    pub const fn heartbeat_now(&mut self) {
        self.heartbeat_us = 0;
    }

    /// Number of the current round of heartbeats.
    pub const fn heartbeats(&self) -> u64 {
        self.heartbeats
    }

    /// What is due now.
    pub fn tick(&mut self, now_us: u64) -> Due {
        let mut due = Due {
            heartbeat: is_due(&mut self.heartbeat_us, HEARTBEAT_US, now_us),
            wants_peers: false,
            register: is_due(&mut self.register_us, REGISTER_US, now_us),
            load: is_due(&mut self.load_us, LOAD_US, now_us),
            drain_load: is_due(&mut self.drain_load_us, DRAIN_LOAD_US, now_us),
        };
        if due.heartbeat {
            due.wants_peers = self.heartbeats.is_multiple_of(PEERS_EVERY);
            self.heartbeats += 1;
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
