//! State that the traffic threads share.
//!
//! The control thread publishes immutable snapshots, and a request uses the current one when it is
//! routed. State that the traffic threads update themselves is kept in atomics and behind locks that
//! are held briefly.

pub mod demand;
mod in_flight;
mod recent_failures;
mod stopping;
mod watchdog;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use tealsaddle_core::admission::{Admission, AdmissionConfig};
use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::decision::{Decision, DecisionKind, DecisionRing};
use tealsaddle_core::inventory::{Engine, Inventory, Role};
use tealsaddle_core::load::{Completion, CorrectedLoad, EngineLoad, LoadReport, SentRequest};
use tealsaddle_core::name::Name;
use tealsaddle_core::prefix::PrefixCacheEstimate;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, RetryBudget};
use tealsaddle_core::route::{Candidate, MeanRequest, Router};
use tealsaddle_schema::record::ProcessId;
use tokio::sync::{Semaphore, broadcast};
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use self::demand::DemandCounters;
pub use self::in_flight::{InFlight, InFlightGuard};
pub use self::recent_failures::RecentFailures;
pub use self::stopping::StopSignals;
pub use self::watchdog::Watchdog;
use crate::caller::claim::ClaimLease;
use crate::caller::proxy::TargetClient;
use crate::clock;
use crate::engine::EngineClient;
use crate::metrics::Counters;
use crate::platform::KeyValue;
use crate::settings::Settings;

/// Number of latest decisions that `explain` can show.
const DECISION_HISTORY_CAPACITY: usize = 8_192;
/// Number of decisions that a slow watcher may lag behind before it loses the oldest.
const WATCHER_BUFFER_CAPACITY: usize = 1_024;

/// Weight of a request in the moving average of its model. With this weight, the average follows a
/// shift of the request mix within a few dozen requests.
const MEAN_REQUEST_WEIGHT: f64 = 0.05;

/// Limit for the bytes of buffered request bodies, as a number of bodies of the maximum size.
const MAX_BUFFERED_BODIES: usize = 32;

/// Control state that the traffic threads use.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Configuration in force; `None` before the first one.
    pub inventory: Option<Arc<Inventory>>,
    /// Version of the routing table that `open_engines` comes from.
    pub table_version: TableVersion,
    /// Engines of this zone that take new work, with their roles in force.
    pub open_engines: HashMap<Name, Role>,
    /// Whether this node may route to engines of its zone. If not, requests are forwarded to peers.
    pub is_registered: bool,
    /// Whether this node is stopping and takes no new work.
    pub is_leaving: bool,
    /// Whether new requests wait, since the process was paused and the state may be out of date.
    pub is_stale: bool,
    /// Nodes that can take forwarded requests, without leaving or failing ones.
    pub peers: Vec<PeerEndpoint>,
    /// VMs that are leaving; their engines and targets take no new work.
    pub leaving_vms: HashSet<Name>,
    /// Spare capacity of other zones, by zone and model.
    pub zone_spare_capacity: HashMap<(Name, Name), SpareCapacity>,
}

/// Version of a routing table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableVersion {
    /// Fencing token of the holder that published the table.
    pub epoch: u64,
    /// Number of the table within the epoch.
    pub sequence: u64,
}

/// A node that can take forwarded requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// VM of the node.
    pub vm: Name,
    /// Zone of the node.
    pub zone: Name,
    /// Address for callers and forwarded requests.
    pub caller_address: SocketAddr,
    /// Whether the node may route to engines of its zone.
    pub is_registered: bool,
}

/// Spare capacity of a zone for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpareCapacity {
    /// Prompt tokens that the engines of the zone can take in addition within the first-token target of
    /// the model.
    pub spare_prefill_tokens: u64,
    /// Requests that the engines of the zone can decode in addition within their batch limits.
    pub spare_decode_requests: u32,
}

/// State shared by all traffic threads of a node.
#[derive(Debug)]
pub struct Traffic {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Current control state, published by the control thread.
    pub snapshot: ArcSwap<Snapshot>,
    /// Client for requests to engines.
    pub engines: Arc<dyn EngineClient>,
    /// The platform's key-value service, for claims.
    pub key_value: Arc<dyn KeyValue>,
    /// Counters of the node, shown by the administration API and sent to StatsD.
    pub counters: Counters,
    /// Requests of this node in flight per engine.
    pub in_flight: Arc<InFlight>,
    /// Demand of callers at this node, for the planner.
    pub demands: DemandCounters,
    /// Detects that the control thread has not ticked for too long.
    pub control_watchdog: Watchdog,
    /// Client of the targets of plain services and of peers.
    pub targets: TargetClient,
    /// One permit per request that may be in flight at once.
    pub request_permits: Arc<Semaphore>,
    /// Engines, targets and peers that have just failed.
    pub recent_failures: RecentFailures,
    /// One permit per byte that may still be buffered in request bodies.
    pub body_byte_permits: Arc<Semaphore>,
    /// Chooses the engine for a request.
    pub router: Router,
    /// Identity of this process: its VM and an incarnation id that is unique for each start.
    pub process: ProcessId,
    /// The lease under which claims are written.
    pub claim_lease: ClaimLease,
    /// Signals for the stages of a planned stop.
    pub stop_signals: StopSignals,
    /// Tasks that continue after their caller disconnects; a planned stop waits for them.
    pub tasks: TaskTracker,
    retry_budgets: Mutex<HashMap<Name, RetryBudget>>,
    admissions: Mutex<HashMap<Name, Admission>>,
    mean_requests: Mutex<HashMap<Name, MeanRequest>>,
    loads: Mutex<HashMap<Name, EngineLoad>>,
    prefixes: Mutex<PrefixCacheEstimate>,
    decisions: Mutex<DecisionRing>,
    decision_watchers: broadcast::Sender<Decision>,
}

impl Traffic {
    /// Creates the state of a node that has no configuration yet.
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
        let request_permits = Arc::new(Semaphore::new(settings.limits.requests_in_flight));
        let stop_signals = StopSignals::default();
        let body_bytes = settings.limits.request_body_bytes as usize;
        let body_bytes = body_bytes.saturating_mul(MAX_BUFFERED_BODIES);
        let body_bytes = body_bytes.min(Semaphore::MAX_PERMITS);
        Self {
            settings,
            snapshot: ArcSwap::default(),
            engines,
            key_value,
            counters,
            in_flight: Arc::default(),
            demands: DemandCounters::default(),
            control_watchdog: Watchdog::default(),
            targets: TargetClient::open(stop_signals.clone()),
            request_permits,
            body_byte_permits: Arc::new(Semaphore::new(body_bytes)),
            recent_failures: RecentFailures::default(),
            router: Router::default(),
            process,
            claim_lease: ClaimLease::default(),
            stop_signals,
            tasks: TaskTracker::new(),
            retry_budgets: Mutex::default(),
            admissions: Mutex::default(),
            mean_requests: Mutex::default(),
            loads: Mutex::default(),
            prefixes: Mutex::default(),
            decisions: Mutex::new(DecisionRing::with_capacity(DECISION_HISTORY_CAPACITY)),
            decision_watchers: broadcast::Sender::new(WATCHER_BUFFER_CAPACITY),
        }
    }

    /// Returns whether new requests wait, since the process was paused and the control state may be out of
    /// date.
    pub fn is_stale(&self) -> bool {
        self.control_watchdog.is_overdue(clock::now_us()) || self.snapshot.load().is_stale
    }

    /// Returns the engines of this zone that take new work for a model, with their load and the tokens of
    /// the prompt that are expected in their prefix caches.
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

    /// Counts a request on an engine and then checks that this node may still send it there; `None` if the
    /// engine takes no new work or this node is not registered.
    ///
    /// The count must precede the check: a drain is proven by a count of zero that is read after a table
    /// without the engine came into force.
    pub fn begin_request(&self, engine: &Name) -> Option<InFlightGuard> {
        let guard = self.in_flight.begin(engine);
        let snapshot = self.snapshot.load();
        let is_open = snapshot.is_registered && snapshot.open_engines.contains_key(engine);
        is_open.then_some(guard)
    }

    /// Returns the number of requests in flight at this node.
    pub fn requests_in_flight(&self) -> usize {
        self.settings.limits.requests_in_flight - self.request_permits.available_permits()
    }

    /// Adds the first attempt of a request to the retry budget of its model or service.
    pub fn on_first_attempt(&self, service: &Name) {
        let mut budgets = self.budgets();
        budgets
            .entry(Name::clone(service))
            .or_default()
            .on_first_attempt(clock::now_us());
    }

    /// Records a failed attempt and decides whether another one may follow. `subject` is the id of the
    /// request.
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
        let next = if self.stop_signals.aborting.is_cancelled() {
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
        self.record_retry(subject, choice, reason, *attempts);
        next
    }

    /// Decides whether another attempt may start beside one that has fallen silent and stays open. `subject`
    /// is the id of the request.
    pub fn on_silence(
        &self,
        service: &Name,
        subject: &str,
        attempts: &mut Attempts,
    ) -> Result<(), GiveUp> {
        let next = {
            let mut budgets = self.budgets();
            let budget = budgets.entry(Name::clone(service)).or_default();
            attempts.on_silence(budget, clock::now_us())
        };
        match next {
            Ok(()) => {
                self.counters.increment("silent.repeat");
                self.record_retry(subject, "repeat", "silent", *attempts);
            }
            Err(refused) => {
                let refused = refused.as_str();
                self.counters.increment(&format!("silent.{refused}"));
                let reason = format!("silent, {refused}");
                self.record_retry(subject, "wait", &reason, *attempts);
            }
        }
        next
    }

    fn record_retry(&self, subject: &str, choice: &str, reason: &str, attempts: Attempts) {
        self.record(Decision {
            at_us: clock::now_us(),
            kind: DecisionKind::Retry,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason: reason.to_owned(),
            inputs: vec![("attempts".to_owned(), attempts.failed().to_string())],
            alternatives: Vec::new(),
        });
    }

    /// Takes a retry from the budget of a model or service, for a request that waits for one. Returns
    /// whether the budget allowed it.
    pub fn take_retry(&self, service: &Name) -> bool {
        let is_granted = {
            let mut budgets = self.budgets();
            let budget = budgets.entry(Name::clone(service)).or_default();
            budget.try_consume(clock::now_us())
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

    /// Stores a load report of an engine.
    pub fn on_load_report(&self, engine: &Name, report: LoadReport) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads
            .entry(Name::clone(engine))
            .or_default()
            .on_report(report);
    }

    /// Returns the load of an engine, corrected for what this node has sent and seen completed.
    pub fn engine_load(&self, engine: &str, now_us: u64) -> CorrectedLoad {
        let loads = self.loads.lock().expect("no holder of the lock panics");
        loads
            .get(engine)
            .map_or_else(CorrectedLoad::default, |load| load.corrected(now_us))
    }

    /// Records that an engine prefills a prompt. Returns the number of prompt tokens expected in the prefix
    /// cache of the engine.
    pub fn on_prefill(&self, engine: &Engine, prefix_blocks: &[u64]) -> u64 {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        let cached_tokens = prefixes.cached_tokens(&engine.name, prefix_blocks);
        prefixes.on_read(&engine.name, engine.kv_capacity_tokens, prefix_blocks);
        cached_tokens
    }

    /// Corrects the prefix estimate of an engine by the number of prompt tokens that the engine reported as
    /// found in its cache.
    pub fn on_cache_report(&self, engine: &str, prefix_blocks: &[u64], expected: u64, found: u64) {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        prefixes.on_answer(engine, prefix_blocks, expected, found);
    }

    /// Adds a request that this node sends to the estimated load of an engine.
    pub fn on_send(&self, engine: &Name, send: SentRequest) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads.entry(Name::clone(engine)).or_default().on_send(send);
    }

    /// Subtracts completed work of a request of this node from the estimated load of an engine.
    pub fn on_completion(&self, engine: &Name, completion: Completion) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        loads
            .entry(Name::clone(engine))
            .or_default()
            .on_completion(completion);
    }

    /// Reserves decode capacity of an engine for a request that another engine prefills, or ends the
    /// reservation if `is_reserved` is false.
    pub fn update_decode_reservation(&self, engine: &Name, kv_tokens: u64, is_reserved: bool) {
        let mut loads = self.loads.lock().expect("no holder of the lock panics");
        let load = loads.entry(Name::clone(engine)).or_default();
        if is_reserved {
            load.on_reserve(kv_tokens);
        } else {
            load.on_reservation_end(kv_tokens);
        }
    }

    /// Adds a completed request to the moving average of its model.
    pub fn on_request_done(&self, model: &Name, read_tokens: u64, output_tokens: u64) {
        let mut mean_requests = self
            .mean_requests
            .lock()
            .expect("no holder of the lock panics");
        let (read, output) = (read_tokens as f64, output_tokens as f64);
        let mean = mean_requests
            .entry(Name::clone(model))
            .or_insert(MeanRequest {
                read_tokens: read,
                output_tokens: output,
            });
        mean.read_tokens += (read - mean.read_tokens) * MEAN_REQUEST_WEIGHT;
        mean.output_tokens += (output - mean.output_tokens) * MEAN_REQUEST_WEIGHT;
    }

    /// Returns the moving average of the requests for a model; zero tokens before the first.
    pub fn mean_request(&self, model: &str) -> MeanRequest {
        let mean_requests = self
            .mean_requests
            .lock()
            .expect("no holder of the lock panics");
        mean_requests.get(model).copied().unwrap_or_default()
    }

    /// Calls `check` with the admission state of a pool. A pool is named by its model; the pool named ""
    /// holds the rates of customers over all models and services.
    pub fn with_admission<F, T>(&self, pool: &Name, check: F) -> T
    where
        F: FnOnce(&mut Admission) -> T,
    {
        let mut admissions = self
            .admissions
            .lock()
            .expect("no holder of the lock panics");
        let admission = admissions
            .entry(Name::clone(pool))
            .or_insert_with(|| Admission::new(AdmissionConfig::default()));
        check(admission)
    }

    /// Records a decision and sends it to the watchers.
    pub fn record(&self, decision: Decision) {
        if self.decision_watchers.receiver_count() > 0 {
            // The send fails if the last watcher has disconnected since the check.
            drop(self.decision_watchers.send(decision.clone()));
        }
        let mut ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.push(decision);
    }

    /// Returns the recorded decisions about one subject, oldest first.
    pub fn explain(&self, subject: &str) -> Vec<Decision> {
        let ring = self.decisions.lock().expect("no holder of the lock panics");
        ring.for_subject(subject).cloned().collect()
    }

    /// Subscribes to all decisions made from now on.
    pub fn watch(&self) -> broadcast::Receiver<Decision> {
        self.decision_watchers.subscribe()
    }
}
