//! State that the traffic threads share.
//!
//! The control thread publishes an immutable snapshot; a request takes the one in force when it is
//! routed. What the traffic threads count themselves stands beside it in atomics and short locks.

pub mod demand;
mod in_flight;
mod stopping;
mod suspects;
mod watchdog;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use tealsaddle_core::admission::{Admission, AdmissionConfig};
use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::decision::{Decision, DecisionKind, DecisionRing};
use tealsaddle_core::inventory::{Engine, Inventory, Role};
use tealsaddle_core::load::{Completion, EngineLoad, LoadReport, Send};
use tealsaddle_core::name::Name;
use tealsaddle_core::prefix::PrefixKnowledge;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, RetryBudget};
use tealsaddle_core::route::{Candidate, Router, Typical};
use tealsaddle_schema::record::ProcessId;
use tokio::sync::{Semaphore, broadcast};
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use self::demand::Demands;
pub use self::in_flight::{InFlight, InFlightGuard};
pub use self::stopping::Stopping;
pub use self::suspects::Suspects;
pub use self::watchdog::Watchdog;
use crate::caller::claim::ClaimLease;
use crate::caller::proxy::TargetClient;
use crate::clock;
use crate::engine::EngineClient;
use crate::metrics::Counters;
use crate::platform::KeyValue;
use crate::settings::Settings;

/// Decisions kept for `explain`.
const DECISIONS_KEPT: usize = 8_192;
/// Decisions that a slow watcher may lag behind before it loses some.
const DECISIONS_BUFFERED: usize = 1_024;

/// Weight of one request in the mean of its model: the mean follows a shift of the mix within a few
/// dozen requests.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Most bytes of request bodies held at once, in bodies of the largest size.
const BODIES_HELD: usize = 32;

/// Control state as the traffic threads see it.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` before the first one.
    pub inventory: Option<Arc<Inventory>>,
    /// Version of the routing table below.
    pub table_version: TableVersion,
    /// Engines of this zone that take new work, with the role in force.
    pub open_engines: HashMap<Name, Role>,
    /// Whether this node may route to engines of its zone; otherwise it forwards.
    pub is_registered: bool,
    /// Whether this node is stopping and takes no new work.
    pub is_leaving: bool,
    /// Whether new requests wait until the state is fresh again after a pause.
    pub is_stale: bool,
    /// Nodes that take forwarded requests, leaving ones left out.
    pub peers: Vec<PeerEndpoint>,
    /// VMs that are leaving; their engines and targets take no new work.
    pub leaving_vms: HashSet<Name>,
    /// Spare capacity of other zones by zone and model.
    pub zone_loads: HashMap<(Name, Name), ZoneLoad>,
}

/// Version of a routing table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion {
    /// Fencing token of the holder that made it.
    pub epoch: u64,
    /// Number within the epoch.
    pub sequence: u64,
}

/// A node that takes forwarded requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// VM of the node.
    pub vm: Name,
    /// Zone of the node.
    pub zone: Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it may route in its zone.
    pub is_registered: bool,
}

/// Spare capacity of a zone for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Prompt tokens that its engines can still take now and answer on time.
    pub spare_prefill_tokens: u64,
    /// Requests that its engines can still decode on time.
    pub spare_decode_requests: u32,
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
    /// The platform's key-value service, for claims.
    pub key_value: Arc<dyn KeyValue>,
    /// Counters of the node.
    pub counters: Counters,
    /// Requests of this node in flight per engine.
    pub in_flight: Arc<InFlight>,
    /// Work that callers ask this node for.
    pub demands: Demands,
    /// Sign of life of the control thread.
    pub control_watchdog: Watchdog,
    /// Client of the targets of plain services and of peers.
    pub targets: TargetClient,
    /// Places for requests in flight at once.
    pub places: Arc<Semaphore>,
    /// Engines, targets and peers that have just failed.
    pub suspects: Suspects,
    /// Bytes that may still be held in bodies read as a whole.
    pub body_bytes: Arc<Semaphore>,
    /// Chooses engines.
    pub router: Router,
    /// This process, as claims name it.
    pub process: ProcessId,
    /// The lease under which claims are written.
    pub claim_lease: ClaimLease,
    /// How far a planned stop is.
    pub stopping: Stopping,
    /// Work that goes on when its caller goes away; a planned stop waits for it.
    pub tasks: TaskTracker,
    retry_budgets: Mutex<HashMap<Name, RetryBudget>>,
    admissions: Mutex<HashMap<Name, Admission>>,
    typical: Mutex<HashMap<Name, Typical>>,
    loads: Mutex<HashMap<Name, EngineLoad>>,
    prefixes: Mutex<PrefixKnowledge>,
    decisions: Mutex<DecisionRing>,
    watchers: broadcast::Sender<Decision>,
}

impl Traffic {
    /// Makes the state of a node that has no configuration yet.
    pub fn new(
        settings: Settings,
        engines: Arc<dyn EngineClient>,
        key_value: Arc<dyn KeyValue>,
        counters: Counters,
    ) -> Self {
        let process = ProcessId {
            vm: settings.vm.to_string(),
            incarnation: Uuid::new_v4().to_string(),
        };
        let places = Arc::new(Semaphore::new(settings.limits.requests_in_flight));
        let stopping = Stopping::default();
        let body_bytes = settings.limits.request_body_bytes as usize;
        let body_bytes = body_bytes.saturating_mul(BODIES_HELD);
        let body_bytes = body_bytes.min(Semaphore::MAX_PERMITS);
        Self {
            settings,
            snapshot: ArcSwap::default(),
            engines,
            key_value,
            counters,
            in_flight: Arc::default(),
            demands: Demands::default(),
            control_watchdog: Watchdog::default(),
            targets: TargetClient::open(stopping.clone()),
            places,
            body_bytes: Arc::new(Semaphore::new(body_bytes)),
            suspects: Suspects::default(),
            router: Router::default(),
            process,
            claim_lease: ClaimLease::default(),
            stopping,
            tasks: TaskTracker::new(),
            retry_budgets: Mutex::default(),
            admissions: Mutex::default(),
            typical: Mutex::default(),
            loads: Mutex::default(),
            prefixes: Mutex::default(),
            decisions: Mutex::new(DecisionRing::with_capacity(DECISIONS_KEPT)),
            watchers: broadcast::Sender::new(DECISIONS_BUFFERED),
        }
    }

    /// Whether new requests wait until the state is fresh again after a pause.
    pub fn is_stale(&self) -> bool {
        self.control_watchdog.is_overdue(clock::now_us()) || self.snapshot.load().is_stale
    }

    /// Engines of this zone that take new work for a model, with what they hold of a prompt.
    pub fn candidates(
        &self,
        snapshot: &Snapshot,
        model: &str,
        prefix_blocks: &[u64],
    ) -> Vec<Candidate> {
        let Some(inventory) = &snapshot.inventory else {
            return Vec::new();
        };
        let now_us = clock::now_us();
        let loads = self.loads.lock().expect("no holder of the lock panics");
        let prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        inventory
            .engines_for(&self.settings.zone, model)
            .filter(|engine| {
                let vm = engine.vm.as_ref();
                !vm.is_some_and(|vm| snapshot.leaving_vms.contains(vm))
            })
            .filter_map(|engine| {
                let role = *snapshot.open_engines.get(&engine.name)?;
                let load = loads.get(&engine.name).map(|load| load.corrected(now_us));
                Some(Candidate {
                    engine: Arc::clone(engine),
                    role,
                    load: load.unwrap_or_default(),
                    cached_tokens: prefixes.cached_tokens(&engine.name, prefix_blocks),
                })
            })
            .collect()
    }

    /// Counts a request for an engine and then checks that the engine still takes work.
    ///
    /// The order matters: a drain is proven by a count of zero that was read after the table
    /// without the engine came into force.
    pub fn enter(&self, engine: &Name) -> Option<InFlightGuard> {
        let guard = self.in_flight.begin(engine);
        let snapshot = self.snapshot.load();
        let is_open = snapshot.is_registered && snapshot.open_engines.contains_key(engine);
        is_open.then_some(guard)
    }

    /// Requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.settings.limits.requests_in_flight - self.places.available_permits()
    }

    /// Counts the first attempt of a request of a model or service.
    pub fn on_first_attempt(&self, service: &Name) {
        let mut budgets = self.budgets();
        budgets
            .entry(Name::clone(service))
            .or_default()
            .on_attempt(clock::now_us());
    }

    /// Counts a failed attempt and decides whether another one may follow.
    pub fn on_failure(
        &self,
        service: &Name,
        subject: &str,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
    ) -> Result<(), GiveUp> {
        let now_us = clock::now_us();
        let next = {
            let mut budgets = self.budgets();
            let budget = budgets.entry(Name::clone(service)).or_default();
            attempts.on_failure(outcome, budget, now_us)
        };
        let next = if self.stopping.giving_up.is_cancelled() {
            next.and(Err(GiveUp::NodeStopping))
        } else {
            next
        };
        let reason = match outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::NotRun(reason) => reason.as_str(),
            AttemptOutcome::Unknown(reason) => reason.as_str(),
        };
        let choice = match next {
            Ok(()) => {
                self.counters.increment(&format!("retry.{reason}"));
                "repeat"
            }
            Err(give_up) => {
                let name = format!("given_up.{}", give_up.as_str());
                self.counters.increment(&name);
                give_up.as_str()
            }
        };
        self.record(Decision {
            at_us: now_us,
            kind: DecisionKind::Retry,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason: reason.to_owned(),
            inputs: vec![("attempts".to_owned(), attempts.made().to_string())],
            alternatives: Vec::new(),
        });
        next
    }

    /// Takes a retry out of the budget of a service, for a request that has waited for one.
    pub fn take_retry(&self, service: &Name) -> bool {
        let is_granted = {
            let mut budgets = self.budgets();
            let budget = budgets.entry(Name::clone(service)).or_default();
            budget.may_retry(clock::now_us())
        };
        if is_granted {
            self.counters.increment("retry.waited_for_budget");
        }
        is_granted
    }

    fn budgets(&self) -> std::sync::MutexGuard<'_, HashMap<Name, RetryBudget>> {
        let budgets = self.retry_budgets.lock();
        budgets.expect("no holder of the lock panics")
    }

    /// Takes a load report of an engine.
    pub fn on_load_report(&self, engine: &Name, report: LoadReport) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads
            .entry(Name::clone(engine))
            .or_default()
            .on_report(report);
    }

    /// Notes that an engine reads a prompt; gives the tokens that its cache is thought to hold.
    pub fn on_read(&self, engine: &Engine, prefix_blocks: &[u64]) -> u64 {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        let cached_tokens = prefixes.cached_tokens(&engine.name, prefix_blocks);
        prefixes.on_read(&engine.name, engine.kv_capacity_tokens, prefix_blocks);
        cached_tokens
    }

    /// Takes an engine's word on how much of a prompt its cache held.
    pub fn on_cached(&self, engine: &str, prefix_blocks: &[u64], expected: u64, found: u64) {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        prefixes.on_answer(engine, prefix_blocks, expected, found);
    }

    /// Counts a request that this node sends to an engine.
    pub fn on_send(&self, engine: &Name, send: Send) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads.entry(Name::clone(engine)).or_default().on_send(send);
    }

    /// Counts work that this node saw completed on an engine.
    pub fn on_completion(&self, engine: &Name, completion: Completion) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads
            .entry(Name::clone(engine))
            .or_default()
            .on_completion(completion);
    }

    /// Promises an engine the decode part of a request, or ends the promise.
    pub fn promise(&self, engine: &Name, kv_tokens: u64, is_open: bool) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        let load = loads.entry(Name::clone(engine)).or_default();
        if is_open {
            load.on_promise(kv_tokens);
        } else {
            load.on_promise_ended(kv_tokens);
        }
    }

    /// Takes a completed request into the mean of its model.
    pub fn on_request_done(&self, model: &Name, read_tokens: u64, output_tokens: u64) {
        let mut typical = self.typical.lock().expect("no holder of the lock panics");
        let (read, output) = (read_tokens as f64, output_tokens as f64);
        let mean = typical.entry(Name::clone(model)).or_insert(Typical {
            read_tokens: read,
            output_tokens: output,
        });
        mean.read_tokens += (read - mean.read_tokens) * TYPICAL_WEIGHT;
        mean.output_tokens += (output - mean.output_tokens) * TYPICAL_WEIGHT;
    }

    /// Mean of the latest requests for a model.
    pub fn typical(&self, model: &str) -> Typical {
        let typical = self.typical.lock().expect("no holder of the lock panics");
        typical.get(model).copied().unwrap_or_default()
    }

    /// Asks the admission of a pool: that of a model, or the one named "" for the rates of customers
    /// over all models and services.
    pub fn with_admission<F, T>(&self, model: &Name, ask: F) -> T
    where
        F: FnOnce(&mut Admission) -> T,
    {
        let mut admissions = self
            .admissions
            .lock()
            .expect("no holder of the lock panics");
        let admission = admissions
            .entry(Name::clone(model))
            .or_insert_with(|| Admission::new(AdmissionConfig::default()));
        ask(admission)
    }

    /// Records a decision and shows it to the watchers.
    pub fn record(&self, decision: Decision) {
        if self.watchers.receiver_count() > 0 {
            // The last watcher may have gone in between; then there is nobody to send to.
            drop(self.watchers.send(decision.clone()));
        }
        let mut ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.push(decision);
    }

    /// Decisions about one subject, oldest first.
    pub fn explain(&self, subject: &str) -> Vec<Decision> {
        let ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.for_subject(subject).cloned().collect()
    }

    /// Live decisions from now on.
    pub fn watch(&self) -> broadcast::Receiver<Decision> {
        self.watchers.subscribe()
    }
}
