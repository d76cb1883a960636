//! The fleet as the gateway knows it, published by the control thread.

use std::sync::Arc;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::FleetConfig;
use tealsaddle_core::name::Name;

/// An immutable view of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Newest configuration; `None` before the first one is known.
    pub config: Option<Arc<FleetConfig>>,
    /// Runners by service, in the order of their ids.
    pub runners: HashMap<Name, Vec<Arc<Runner>>>,
    /// Whether the list of runners was read at least once.
    pub has_runners: bool,
    /// Revision of the store that the list of runners reflects.
    pub runners_revision: u64,
    /// Nodes that share the retry budget, this one included.
    pub nodes: u32,
}

impl FleetSnapshot {
    /// Whether requests can be routed.
    pub const fn is_ready(&self) -> bool {
        self.config.is_some() && self.has_runners
    }

    /// Runners of a service, those that are leaving included.
    pub fn runners_of(&self, service: &str) -> &[Arc<Runner>] {
        self.runners.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a runner takes new work.
    pub fn takes_work(&self, runner: &Runner) -> bool {
        let mut known = self.runners_of(&runner.service).iter();
        known.any(|r| r.id == runner.id && r.born_unix_ms == runner.born_unix_ms && !r.is_draining)
    }
}
