//! Discrete-event model of an engine with continuous batching.
//!
//! The model opens no socket and reads no clock, so that both the HTTP stand-in and the experiments
//! in virtual time can use it. The caller first calls [`Engine::advance`] with the current time,
//! then submits, cancels or orders at that time; [`Engine::next_event_us`] returns the time of the
//! next call.
//!
//! One step decodes a token for each running request and processes a chunk of the waiting prompts.
//! Its duration is the sum of a base time, a time per decoded request, and the time of the chunk. A
//! chunk takes longer in a step that also decodes, and it delays the next token of each decoded
//! request. Roles exist to avoid this interference.

mod cache;
mod model;
mod step;

use std::collections::{BTreeMap, VecDeque};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::load::LoadReport;

pub use cache::{BLOCK_TOKENS, CacheEvent};
pub use model::{
    AbortReason, EngineState, Event, EventKind, FinishReason, KvExport, ModelVersion, Order,
    OrderError, OrderKind, OrderOutcome, SimConfig, SimRequest, Stage, SubmitError,
};

use cache::PrefixCache;
use step::{Job, Step};

/// A role change or model load in progress.
#[derive(Debug, Clone)]
struct Change {
    order: Order,
    started_us: u64,
    ends_us: u64,
}

/// Model of one engine.
#[derive(Debug)]
pub struct Engine {
    config: SimConfig,
    role: Role,
    models: Vec<ModelVersion>,
    fence: u64,
    last_order_id: Option<String>,
    change: Option<Change>,
    is_crashed: bool,
    sequence: u64,
    /// Jobs without reserved KV cache, by priority and arrival.
    waiting: BTreeMap<(u32, u64), Job>,
    /// Jobs with reserved KV cache whose prompt is not fully processed, by priority and arrival.
    prefilling: BTreeMap<(u32, u64), Job>,
    /// Jobs whose KV cache is being imported from another engine, with the end of the import.
    importing: Vec<(u64, Job)>,
    decoding: Vec<Job>,
    /// KV caches of finished prefills, by handle.
    exports: HashMap<u64, KvExport>,
    step: Option<Step>,
    kv_used_tokens: u64,
    queued_prefill_tokens: u64,
    cache: PrefixCache,
    /// Load after each change, oldest first; reports show it with a lag.
    samples: VecDeque<LoadReport>,
    busy_us: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(config: SimConfig) -> Self {
        Self {
            role: config.role,
            models: config.models.clone(),
            cache: PrefixCache::new(&config),
            config,
            fence: 0,
            last_order_id: None,
            change: None,
            is_crashed: false,
            sequence: 0,
            waiting: BTreeMap::new(),
            prefilling: BTreeMap::new(),
            importing: Vec::new(),
            decoding: Vec::new(),
            exports: HashMap::default(),
            step: None,
            kv_used_tokens: 0,
            queued_prefill_tokens: 0,
            samples: VecDeque::new(),
            busy_us: 0,
        }
    }

    /// Accepts a request, or refuses it without running any part of it.
    pub fn submit(&mut self, request: SimRequest, now_us: u64) -> Result<(), SubmitError> {
        if self.is_crashed {
            return Err(SubmitError::Crashed);
        }
        if self.change.is_some() {
            return Err(SubmitError::ChangingRole);
        }
        if !self
            .models
            .iter()
            .any(|model| *model.name == *request.model)
        {
            return Err(SubmitError::UnknownModel);
        }
        if self.waiting.len() >= self.config.queue_requests {
            return Err(SubmitError::QueueFull);
        }
        let job = Job::new(request, self.sequence);
        if job.kv_tokens > self.config.kv_capacity_tokens {
            return Err(SubmitError::TooLong);
        }
        self.sequence += 1;
        self.queued_prefill_tokens += job.prefill_left;
        self.waiting.insert(job.key(), job);
        self.start_step(now_us);
        self.sample(now_us);
        Ok(())
    }

    /// Ends an attempt without an event; false if the engine has no such attempt.
    pub fn cancel(&mut self, attempt_id: u64, now_us: u64) -> bool {
        let is_found = self.remove(attempt_id);
        if is_found {
            self.start_step(now_us);
            self.sample(now_us);
        }
        is_found
    }

    /// Returns the export of a finished prefill and frees its KV cache.
    pub fn export_kv(&mut self, handle: u64, now_us: u64) -> Option<KvExport> {
        let export = self.exports.remove(&handle)?;
        self.kv_used_tokens -= export.kv_tokens;
        self.start_step(now_us);
        self.sample(now_us);
        Some(export)
    }

    /// Applies an order; the start of a change aborts all attempts.
    ///
    /// The returned events name the aborted attempts.
    pub fn order(
        &mut self,
        order: Order,
        now_us: u64,
    ) -> Result<(OrderOutcome, Vec<Event>), OrderError> {
        if self.is_crashed {
            return Err(OrderError::Crashed);
        }
        if self.config.checks_fence && order.fence < self.fence {
            return Err(OrderError::StaleFence { fence: self.fence });
        }
        if let Some(change) = &self.change {
            if change.order.order_id == order.order_id && change.order.kind == order.kind {
                self.fence = self.fence.max(order.fence);
                return Ok((OrderOutcome::Started, Vec::new()));
            }
            return Err(OrderError::Busy);
        }
        self.fence = self.fence.max(order.fence);
        if self.is_in_effect(&order.kind) {
            self.last_order_id = Some(order.order_id);
            return Ok((OrderOutcome::Unchanged, Vec::new()));
        }
        let events = self.abort_all(AbortReason::RoleChange, now_us);
        self.change = Some(Change {
            order,
            started_us: now_us,
            ends_us: now_us + self.config.role_change_us,
        });
        self.sample(now_us);
        Ok((OrderOutcome::Started, events))
    }

    /// Simulates a crash: all attempts are aborted and the caches are lost.
    pub fn crash(&mut self, now_us: u64) -> Vec<Event> {
        let events = self.abort_all(AbortReason::Crash, now_us);
        self.is_crashed = true;
        // After a crash in the second half of a change, the change is in effect but its order id is
        // not recorded.
        if let Some(change) = self.change.take()
            && now_us - change.started_us > self.config.role_change_us / 2
        {
            self.apply_change(&change.order.kind);
        }
        self.cache.clear();
        self.samples.clear();
        events
    }

    /// Restarts a crashed engine; role, models and fencing token survive a crash.
    pub fn restart(&mut self, now_us: u64) {
        self.is_crashed = false;
        self.sample(now_us);
    }

    /// Time of the next internal event; `None` while the engine is idle.
    pub fn next_event_us(&self) -> Option<u64> {
        let step = self.step.as_ref().map(|step| step.ends_us);
        let change = self.change.as_ref().map(|change| change.ends_us);
        let import = self.importing.iter().map(|(arrives_us, _)| *arrives_us);
        import.chain(step).chain(change).min()
    }

    /// Processes all internal events up to and including `now_us`.
    pub fn advance(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(at_us) = self.next_event_us().filter(|at_us| *at_us <= now_us) {
            if self.change.as_ref().is_some_and(|c| c.ends_us == at_us) {
                self.finish_change(at_us, &mut events);
            }
            self.finish_imports(at_us);
            if self.step.as_ref().is_some_and(|step| step.ends_us == at_us) {
                self.finish_step(at_us, &mut events);
            }
            self.start_step(at_us);
            self.sample(at_us);
        }
        events
    }

    /// The load at the time `now_us` minus the configured lag; `None` if the engine has crashed.
    /// Before the first sample the load is zero.
    pub fn load_report(&mut self, now_us: u64) -> Option<LoadReport> {
        if self.is_crashed {
            return None;
        }
        let as_of_us = now_us.saturating_sub(self.config.report_lag_us);
        // The last sample at or before `as_of_us` is valid until the next one.
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.sampled_at_us <= as_of_us)
        {
            self.samples.pop_front();
        }
        let sample = self
            .samples
            .front()
            .filter(|sample| sample.sampled_at_us <= as_of_us);
        let sample = sample.copied().unwrap_or(LoadReport {
            sampled_at_us: 0,
            role: self.config.role,
            is_changing: false,
            running: 0,
            waiting: 0,
            queued_prefill_tokens: 0,
            kv_used_tokens: 0,
        });
        Some(LoadReport {
            sampled_at_us: as_of_us,
            ..sample
        })
    }

    /// Sets the age of the reported load.
    pub fn set_report_lag_us(&mut self, report_lag_us: u64) {
        self.config.report_lag_us = report_lag_us;
    }

    /// Role, change in progress, models and fencing token; `None` if the engine has crashed.
    pub fn state(&self) -> Option<EngineState> {
        (!self.is_crashed).then(|| EngineState {
            role: self.role,
            changing_to: self
                .change
                .as_ref()
                .and_then(|change| match change.order.kind {
                    OrderKind::Role(role) => Some(role),
                    OrderKind::Model(_) => None,
                }),
            is_changing: self.change.is_some(),
            models: self.models.clone(),
            last_order_id: self.last_order_id.clone(),
            fence: self.fence,
        })
    }

    /// Published cache events with a sequence number greater than `after`; lost events leave gaps.
    pub fn cache_events(&self, after: u64, now_us: u64) -> Vec<CacheEvent> {
        self.cache.events(after, now_us)
    }

    /// Total duration of all steps started so far.
    pub const fn busy_us(&self) -> u64 {
        self.busy_us
    }

    /// Configuration of the engine.
    pub const fn config(&self) -> &SimConfig {
        &self.config
    }

    fn is_in_effect(&self, kind: &OrderKind) -> bool {
        match kind {
            OrderKind::Role(role) => self.role == *role,
            OrderKind::Model(model) => self.models.contains(model),
        }
    }

    fn apply_change(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Role(role) => self.role = *role,
            OrderKind::Model(model) => {
                self.models.retain(|loaded| loaded.name != model.name);
                self.models.push(model.clone());
            }
        }
    }

    fn finish_change(&mut self, at_us: u64, events: &mut Vec<Event>) {
        let Some(change) = self.change.take() else {
            return;
        };
        self.apply_change(&change.order.kind);
        self.cache.clear();
        let order_id = change.order.order_id;
        self.last_order_id = Some(order_id.clone());
        let kind = EventKind::OrderDone { order_id };
        events.push(Event { at_us, kind });
    }

    fn sample(&mut self, now_us: u64) {
        let waiting = self.waiting.len() + self.prefilling.len() + self.importing.len();
        let report = LoadReport {
            sampled_at_us: now_us,
            role: self.role,
            is_changing: self.change.is_some(),
            // A prefill counts as running until its KV cache is exported.
            running: (self.decoding.len() + self.exports.len()) as u32,
            waiting: waiting as u32,
            queued_prefill_tokens: self.queued_prefill_tokens,
            kv_used_tokens: self.kv_used_tokens,
        };
        match self.samples.back_mut() {
            Some(last) if last.sampled_at_us == now_us => *last = report,
            _ => self.samples.push_back(report),
        }
        // Without readers the list of samples would grow without bound.
        if self.samples.len() > 4_096 {
            self.samples.pop_front();
        }
    }
}
