//! Discrete-event model of an engine with continuous batching.
//!
//! It opens no socket and reads no clock, so the HTTP stand-in and the experiments in virtual time
//! share it. The caller drives it: [`Engine::advance`] to a time, then submit, cancel or order at
//! that time, and ask [`Engine::next_event_us`] when to come back.
//!
//! One step decodes a token for each running request and reads a chunk of the waiting prompts. Its
//! time is a base, a part per decoded request, and the time of the chunk; a chunk beside decoded
//! requests costs more than alone, and it delays the next token of each of them. That interference
//! is what roles avoid.

mod cache;
mod model;
mod step;

use std::collections::{BTreeMap, VecDeque};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::load::LoadReport;

pub use cache::{BLOCK_TOKENS, CacheEvent};
pub use model::{
    CutOffReason, EngineState, Event, EventKind, FinishReason, KvExport, ModelVersion, Order,
    OrderError, OrderKind, OrderOutcome, SimConfig, SimRequest, Stage, SubmitError,
};

use cache::PrefixCache;
use step::{Job, Step};

/// A role change or load of a model in progress.
#[derive(Debug, Clone)]
struct Change {
    order: Order,
    started_us: u64,
    ends_us: u64,
}

/// The engine.
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
    /// Not yet given KV cache, by priority and arrival.
    waiting: BTreeMap<(u32, u64), Job>,
    /// With KV cache, prompt not yet read, by priority and arrival.
    prefilling: BTreeMap<(u32, u64), Job>,
    /// KV cache on its way from another engine, with the time of its arrival.
    importing: Vec<(u64, Job)>,
    decoding: Vec<Job>,
    exports: HashMap<u64, KvExport>,
    step: Option<Step>,
    kv_used_tokens: u64,
    queued_prefill_tokens: u64,
    cache: PrefixCache,
    samples: VecDeque<LoadReport>,
    busy_us: u64,
}

impl Engine {
    /// Makes an idle engine.
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

    /// Takes a request, or refuses it without running any of it.
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

    /// Ends a request without an event; false when it is not here.
    pub fn cancel(&mut self, attempt_id: u64, now_us: u64) -> bool {
        let is_here = self.remove(attempt_id);
        if is_here {
            self.start_step(now_us);
            self.sample(now_us);
        }
        is_here
    }

    /// Hands out the KV cache that a prefill left, and frees it.
    pub fn export_kv(&mut self, handle: u64, now_us: u64) -> Option<KvExport> {
        let export = self.exports.remove(&handle)?;
        self.kv_used_tokens -= export.kv_tokens;
        self.start_step(now_us);
        self.sample(now_us);
        Some(export)
    }

    /// Takes an order; whatever still runs when a change starts is cut off.
    ///
    /// The events tell what was cut off.
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
        let events = self.cut_off(CutOffReason::RoleChange, now_us);
        self.change = Some(Change {
            order,
            started_us: now_us,
            ends_us: now_us + self.config.role_change_us,
        });
        self.sample(now_us);
        Ok((OrderOutcome::Started, events))
    }

    /// Kills the engine; everything in it is cut off and its caches are lost.
    pub fn crash(&mut self, now_us: u64) -> Vec<Event> {
        let events = self.cut_off(CutOffReason::Crash, now_us);
        self.is_crashed = true;
        // A crash late in a change leaves the new content in place without its order id.
        if let Some(change) = self.change.take()
            && now_us - change.started_us > self.config.role_change_us / 2
        {
            self.put_in_effect(&change.order.kind);
        }
        self.cache.clear();
        self.samples.clear();
        events
    }

    /// Starts a crashed engine again; role, models and the fence survive a crash.
    pub fn restart(&mut self, now_us: u64) {
        self.is_crashed = false;
        self.sample(now_us);
    }

    /// Time of the next internal event; `None` while there is nothing to do.
    pub fn next_event_us(&self) -> Option<u64> {
        let step = self.step.as_ref().map(|step| step.ends_us);
        let change = self.change.as_ref().map(|change| change.ends_us);
        let import = self.importing.iter().map(|(arrives_us, _)| *arrives_us);
        import.chain(step).chain(change).min()
    }

    /// Processes everything up to and including `now_us`.
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

    /// The load as it was the configured lag ago; `None` from a crashed engine or before any sample.
    pub fn load_report(&mut self, now_us: u64) -> Option<LoadReport> {
        if self.is_crashed {
            return None;
        }
        let as_of_us = now_us.saturating_sub(self.config.report_lag_us);
        // The last sample before the moment holds until the next one.
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

    /// Sets how old the reported load is.
    pub fn set_report_lag_us(&mut self, report_lag_us: u64) {
        self.config.report_lag_us = report_lag_us;
    }

    /// Role, change in progress, models and fencing token; `None` from a crashed engine.
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

    /// Cache events after number `after` that are out by now; some numbers are missing.
    pub fn cache_events(&self, after: u64, now_us: u64) -> Vec<CacheEvent> {
        self.cache.events(after, now_us)
    }

    /// Engine time spent in steps so far.
    pub const fn busy_us(&self) -> u64 {
        self.busy_us
    }

    /// Settings of the engine.
    pub const fn config(&self) -> &SimConfig {
        &self.config
    }

    fn is_in_effect(&self, kind: &OrderKind) -> bool {
        match kind {
            OrderKind::Role(role) => self.role == *role,
            OrderKind::Model(model) => self.models.contains(model),
        }
    }

    fn put_in_effect(&mut self, kind: &OrderKind) {
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
        self.put_in_effect(&change.order.kind);
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
            // A prefill whose KV cache is still to be exported is not over.
            running: (self.decoding.len() + self.exports.len()) as u32,
            waiting: waiting as u32,
            queued_prefill_tokens: self.queued_prefill_tokens,
            kv_used_tokens: self.kv_used_tokens,
        };
        match self.samples.back_mut() {
            Some(last) if last.sampled_at_us == now_us => *last = report,
            _ => self.samples.push_back(report),
        }
        // Without readers the samples would grow without bound.
        if self.samples.len() > 4_096 {
            self.samples.pop_front();
        }
    }
}
