//! Snapshot of the fleet, published by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::change_sources::Member;
use tealsaddle_core::fleet::config::FleetConfig;
use tealsaddle_core::fleet::quarantine::list::QuarantineList;
use tealsaddle_core::name::Name;

/// An immutable snapshot of the fleet, from which requests are served.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Newest configuration; `None` before the first one is known.
    pub config: Option<Arc<FleetConfig>>,
    /// Runners by service, sorted by id.
    pub runners: HashMap<Name, Vec<Arc<Runner>>>,
    /// Whether the list of runners has been read at least once; an empty list is valid.
    pub has_runner_list: bool,
    /// Store revision that the list of runners reflects.
    pub runners_revision: u64,
    /// Number of nodes that share the retry budgets, including this one; 0 while unknown.
    pub nodes: u32,
    /// Addresses at which the other registered nodes serve their peers.
    pub peers: Arc<[SocketAddr]>,
    /// The other registered nodes that serve peers.
    pub members: Arc<[Member]>,
    /// Whether the quarantined parts are known.
    pub has_quarantine_list: bool,
    /// Prompt parts whose requests are refused, since they crash runners.
    pub quarantine: Arc<QuarantineList>,
}

impl FleetSnapshot {
    /// Whether requests can be routed.
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_runner_list && self.has_quarantine_list
    }

    /// Runners of a service, including draining ones.
    pub fn runners_of(&self, service: &str) -> &[Arc<Runner>] {
        self.runners.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a runner accepts new requests: it is registered, is not draining and has not restarted.
    pub fn accepts_requests(&self, runner: &Runner) -> bool {
        let registered = self.runners_of(&runner.service);
        let place = registered.binary_search_by(|r| r.id.cmp(&runner.id));
        place.is_ok_and(|place| {
            let registered = &registered[place];
            registered.started_unix_ms == runner.started_unix_ms && !registered.is_draining
        })
    }
}
