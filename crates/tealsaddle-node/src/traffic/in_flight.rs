//! Requests of this node in flight per engine, by which the holder proves that an engine is drained.

use std::sync::{Arc, Mutex};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;

/// Requests of this node in flight per engine.
///
/// A request is counted before it reads the snapshot. If a snapshot without the engine is stored and
/// the count read afterwards is zero, no request of this node can therefore reach the engine any more.
#[derive(Debug, Default)]
pub struct InFlight {
    counts: Mutex<HashMap<Name, u32>>,
}

impl InFlight {
    /// Counts a request on an engine until the returned guard is dropped.
    pub fn begin(self: &Arc<Self>, engine: &Name) -> InFlightGuard {
        let mut counts = self.counts.lock().expect("no holder of the lock panics");
        *counts.entry(Name::clone(engine)).or_insert(0) += 1;
        InFlightGuard {
            in_flight: Arc::clone(self),
            engine: Name::clone(engine),
        }
    }

    /// Returns the number of requests in flight on an engine.
    pub fn count(&self, engine: &str) -> u32 {
        let counts = self.counts.lock().expect("no holder of the lock panics");
        counts.get(engine).copied().unwrap_or(0)
    }

    /// Returns the engines with requests in flight and the number of these requests.
    pub fn nonzero_counts(&self) -> Vec<(Name, u32)> {
        let counts = self.counts.lock().expect("no holder of the lock panics");
        counts
            .iter()
            .map(|(engine, count)| (Name::clone(engine), *count))
            .collect()
    }
}

/// Guard of one request in flight; dropping the guard decrements the count.
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
