//! State that the traffic threads share.
//!
//! The control thread publishes an immutable snapshot; a request takes the one in force when it is
//! routed. What the traffic threads count themselves stands beside it in atomics and short locks.

use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::decision::{Decision, DecisionRing};
use tealsaddle_core::inventory::{Inventory, Role};
use tealsaddle_core::load::EngineLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::route::Candidate;
use tokio::sync::broadcast;

use crate::clock;
use crate::engine::EngineClient;
use crate::metrics::Counters;
use crate::settings::Settings;

/// Decisions kept for `explain`.
const DECISIONS_KEPT: usize = 8_192;
/// Decisions that a slow watcher may lag behind before it loses some.
const DECISIONS_BUFFERED: usize = 1_024;

/// Control state as the traffic threads see it.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` before the first one.
    pub inventory: Option<Arc<Inventory>>,
    /// Engines of this zone that take new work, with the role in force.
    pub open_engines: HashMap<Name, Role>,
}

/// State shared by all traffic threads of a node.
#[derive(Debug)]
pub struct Traffic {
    /// Settings of the node.
    pub settings: Settings,
    /// Control state in force.
    pub snapshot: ArcSwap<Snapshot>,
    /// Client of the engines.
    pub engines: Arc<dyn EngineClient>,
    /// Counters of the node.
    pub counters: Counters,
    loads: Mutex<HashMap<Name, EngineLoad>>,
    decisions: Mutex<DecisionRing>,
    watchers: broadcast::Sender<Decision>,
}

impl Traffic {
    /// Makes the state of a node that has no configuration yet.
    pub fn new(settings: Settings, engines: Arc<dyn EngineClient>, counters: Counters) -> Self {
        Self {
            settings,
            snapshot: ArcSwap::default(),
            engines,
            counters,
            loads: Mutex::default(),
            decisions: Mutex::new(DecisionRing::with_capacity(DECISIONS_KEPT)),
            watchers: broadcast::Sender::new(DECISIONS_BUFFERED),
        }
    }

    /// Engines of this zone that take new work for a model.
    pub fn candidates(&self, snapshot: &Snapshot, model: &str) -> Vec<Candidate> {
        let Some(inventory) = &snapshot.inventory else {
            return Vec::new();
        };
        let now_us = clock::now_us();
        let loads = self.loads.lock().expect("no holder of the lock panics");
        inventory
            .engines_for(&self.settings.zone, model)
            .filter_map(|engine| {
                let role = *snapshot.open_engines.get(&engine.name)?;
                let load = loads.get(&engine.name).map(|load| load.corrected(now_us));
                Some(Candidate {
                    engine: Arc::clone(engine),
                    role,
                    load: load.unwrap_or_default(),
                    cached_tokens: 0,
                })
            })
            .collect()
    }

    /// Records a decision and shows it to the watchers.
    pub fn record(&self, decision: Decision) {
        let mut ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.push(decision.clone());
        // Without watchers there is nobody to send to.
        drop(self.watchers.send(decision));
    }

    /// Decisions about one subject, oldest first.
    pub fn explain(&self, subject: &str) -> Vec<Decision> {
        let ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.about(subject).cloned().collect()
    }

    /// Live decisions from now on.
    pub fn watch(&self) -> broadcast::Receiver<Decision> {
        self.watchers.subscribe()
    }
}
