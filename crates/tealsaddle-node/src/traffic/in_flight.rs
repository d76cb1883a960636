//! Requests of this node in flight per engine, from which a drain is proven.

use std::sync::{Arc, Mutex};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;

/// Requests of this node in flight per engine.
///
/// A request is counted before it looks at the snapshot. A count of zero that is read after a
/// snapshot without the engine was stored therefore proves that no request of this node can reach
/// the engine any more.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: Mutex<HashMap<Name, u32>>,
}

impl InFlight {
    /// Counts a request until the guard is dropped.
    pub fn begin(self: &Arc<Self>, engine: &Name) -> InFlightGuard {
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        *counts.entry(Name::clone(engine)).or_insert(0) += 1;
        InFlightGuard {
            in_flight: Arc::clone(self),
            engine: Name::clone(engine),
        }
    }

    /// Requests in flight on one engine.
    pub fn count(&self, engine: &str) -> u32 {
        let counts = self.counts.lock().expect("no holder of the lock panics");
        counts.get(engine).copied().unwrap_or(0)
    }

    /// Engines with requests in flight.
    pub fn nonzero(&self) -> Vec<(Name, u32)> {
        let counts = self.counts.lock().expect("no holder of the lock panics");
        counts
            .iter()
            .map(|(engine, count)| (Name::clone(engine), *count))
            .collect()
    }
}

/// One request in flight; dropping it ends the count.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    engine: Name,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self
            .in_flight
            .counts
            .lock()
            .expect("no holder of the lock panics");
        if let Some(count) = counts.get_mut(&self.engine) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.engine);
            }
        }
    }
}
