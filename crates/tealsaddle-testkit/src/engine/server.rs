//! HTTP server of the engine stand-in, which runs the model of [`super::sim`] in real time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

use super::record::{self, Ending, EngineEvent, OrderEffect, RecordEntry};
use super::sim::{self, AbortReason, Event, EventKind, FinishReason, ModelVersion, SimConfig};
use super::stream_faults::StreamFault;
use super::wire::{GenerateEvent, GenerateRequest, OrderRequest};
use super::{http, text};
use crate::http::{Server, bind as bind_server};

/// Speed of an engine in the mixed role that serves the model `rules`; a short form of
/// [`SimConfig`].
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: u64,
    /// Time between two output tokens of one request.
    pub between_tokens_ms: u64,
}

impl From<EngineConfig> for SimConfig {
    fn from(config: EngineConfig) -> Self {
        Self {
            prefill_tokens_per_s: config.prefill_tokens_per_s,
            step_us: config.between_tokens_ms * 1_000,
            step_per_request_us: 0,
            interference: 0.0,
            models: vec![model_version("rules", "")],
            ..Self::default()
        }
    }
}

/// Creates a [`ModelVersion`].
pub fn model_version(name: &str, version: &str) -> ModelVersion {
    ModelVersion {
        name: Name::from(name),
        version: Name::from(version),
    }
}

/// An accepted attempt that has not ended.
#[derive(Debug)]
struct Attempt {
    request: Arc<GenerateRequest>,
    prompt_tokens: u64,
    /// Sends the events of the stream; `None` aborts the stream.
    events: mpsc::UnboundedSender<Option<GenerateEvent>>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) sim: sim::Engine,
    attempts: HashMap<u64, Attempt>,
    next_attempt: u64,
    pub(super) record: Vec<RecordEntry>,
    faults: Vec<StreamFault>,
    earlier_attempt: String,
}

/// State shared by the connections, the clock task and the [`Engine`] handle.
#[derive(Debug)]
pub(super) struct State {
    started: Instant,
    inner: Mutex<Inner>,
    pub(super) changed: Notify,
}

/// A running engine stand-in; it stops when dropped.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    server: Mutex<Option<Server>>,
    state: Arc<State>,
    clock: JoinHandle<()>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.clock.abort();
    }
}

/// Binds an engine stand-in.
pub async fn bind(address: SocketAddr, config: impl Into<SimConfig>) -> std::io::Result<Engine> {
    let state = Arc::new(State {
        started: Instant::now(),
        inner: Mutex::new(Inner {
            sim: sim::Engine::new(config.into()),
            attempts: HashMap::default(),
            next_attempt: 1,
            record: Vec::new(),
            faults: Vec::new(),
            earlier_attempt: String::new(),
        }),
        changed: Notify::new(),
    });
    let server = serve(address, &state).await?;
    Ok(Engine {
        address: server.address(),
        server: Mutex::new(Some(server)),
        clock: tokio::spawn(run_clock(Arc::clone(&state))),
        state,
    })
}

async fn serve(address: SocketAddr, state: &Arc<State>) -> std::io::Result<Server> {
    let state = Arc::clone(state);
    bind_server(address, move |request| {
        http::answer(request, Arc::clone(&state))
    })
    .await
}

async fn run_clock(state: Arc<State>) {
    loop {
        let now_us = state.now_us();
        let next_us = {
            let mut inner = state.lock();
            inner.advance(now_us);
            inner.sim.next_event_us()
        };
        let wait_us = next_us.map_or(u64::from(u32::MAX), |next| next.saturating_sub(now_us));
        let wait = Duration::from_micros(wait_us);
        // After a change and after the timeout alike, the loop advances the model.
        drop(tokio::time::timeout(wait, state.changed.notified()).await);
    }
}

impl Engine {
    /// Address on which the engine listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which happens only after a failure.
    pub async fn join(self) {
        let server = self.server.lock().expect("the lock is not poisoned").take();
        if let Some(server) = server {
            server.join().await;
        }
    }

    /// Simulates a crash: connections are closed and new ones are refused.
    pub fn crash(&self) {
        drop(self.server.lock().expect("the lock is not poisoned").take());
        let now_us = self.state.now_us();
        let mut inner = self.state.lock();
        inner.advance(now_us);
        inner.push(now_us, EngineEvent::Crash);
        let events = inner.sim.crash(now_us);
        inner.dispatch(events);
    }

    /// Restarts the engine at the same address.
    pub async fn restart(&self) -> std::io::Result<()> {
        let server = serve(self.address, &self.state).await?;
        *self.server.lock().expect("the lock is not poisoned") = Some(server);
        let now_us = self.state.now_us();
        let mut inner = self.state.lock();
        inner.push(now_us, EngineEvent::Restart);
        inner.sim.restart(now_us);
        Ok(())
    }

    /// Injects a fault into the responses of the next `streams` accepted requests.
    pub fn inject_stream_fault(&self, fault: StreamFault, streams: usize) {
        let mut inner = self.state.lock();
        inner.faults.extend(std::iter::repeat_n(fault, streams));
    }

    /// Sets the age of the reported load.
    pub fn set_report_lag(&self, lag: Duration) {
        self.state
            .lock()
            .sim
            .set_report_lag_us(lag.as_micros() as u64);
    }

    /// Events of the engine so far, in order.
    pub fn record(&self) -> Vec<RecordEntry> {
        self.state.lock().record.clone()
    }

    /// Orders received so far with their effects.
    pub fn orders(&self) -> Vec<(OrderRequest, OrderEffect)> {
        let record = self.record();
        let orders = record::orders(&record).into_iter();
        orders
            .map(|(order, effect)| (order.clone(), effect))
            .collect()
    }

    /// Number of attempts currently in the engine.
    pub fn attempts_running(&self) -> usize {
        self.state.lock().attempts.len()
    }

    /// Number of attempts accepted so far.
    pub fn attempts_accepted(&self) -> usize {
        let record = self.record();
        let accepted = record
            .iter()
            .filter(|entry| matches!(entry.what, EngineEvent::Request { refused: None, .. }));
        accepted.count()
    }

    /// Current role, and whether a change is in progress; `None` while crashed.
    pub fn role(&self) -> Option<(Role, bool)> {
        let state = self.state.lock().sim.state()?;
        Some((state.role, state.is_changing))
    }
}

impl State {
    pub(super) fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is not poisoned")
    }
}

/// The events of an accepted request, its fault, and the id of the previously accepted attempt.
pub(super) type Accepted = (
    mpsc::UnboundedReceiver<Option<GenerateEvent>>,
    Option<StreamFault>,
    String,
);

impl Inner {
    pub(super) fn push(&mut self, now_us: u64, what: EngineEvent) {
        let at_ms = now_us / 1_000;
        self.record.push(RecordEntry { at_ms, what });
    }

    /// Accepts a request, or returns the reason of the refusal.
    pub(super) fn submit(
        &mut self,
        request: GenerateRequest,
        now_us: u64,
    ) -> Result<Accepted, &'static str> {
        self.advance(now_us);
        let result = self.try_submit(&request, now_us);
        let what = EngineEvent::Request {
            attempt_id: request.attempt_id.clone(),
            stage: request.stage.clone(),
            resume_at: request.resume_at,
            refused: result.err(),
        };
        self.push(now_us, what);
        let id = result?;
        let (events, receiver) = mpsc::unbounded_channel();
        let prompt_tokens = text::count_tokens(&request.prompt);
        let earlier = std::mem::replace(&mut self.earlier_attempt, request.attempt_id.clone());
        let attempt = Attempt {
            request: Arc::new(request),
            prompt_tokens,
            events,
        };
        self.attempts.insert(id, attempt);
        let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
        Ok((receiver, fault, earlier))
    }

    fn try_submit(&mut self, request: &GenerateRequest, now_us: u64) -> Result<u64, &'static str> {
        let stage = match request.stage.as_str() {
            "full" => sim::Stage::Full,
            "prefill" => sim::Stage::Prefill,
            "decode" => sim::Stage::Decode,
            _ => return Err("unknown_stage"),
        };
        let attempt_id = self.next_attempt;
        let request = sim::SimRequest {
            attempt_id,
            model: Name::from(request.model.as_str()),
            prompt_tokens: text::count_tokens(&request.prompt),
            prefix_blocks: text::prefix_blocks(&request.prompt, sim::BLOCK_TOKENS).into(),
            max_tokens: request.max_tokens,
            output_tokens: request.max_tokens,
            priority: request.priority,
            stage,
            resume_at: request.resume_at,
        };
        self.sim
            .submit(request, now_us)
            .map_err(|error| match error {
                sim::SubmitError::ChangingRole => "changing_role",
                sim::SubmitError::Crashed => "crashed",
                sim::SubmitError::UnknownModel => "unknown_model",
                sim::SubmitError::QueueFull => "queue_full",
                sim::SubmitError::TooLong => "too_long",
            })?;
        self.next_attempt += 1;
        Ok(attempt_id)
    }

    /// Ends the attempt with this id, as chosen by the node; false if the engine has no such attempt.
    pub(super) fn cancel(&mut self, attempt_id: &str, how: Ending, now_us: u64) -> bool {
        self.advance(now_us);
        let mut attempts = self.attempts.iter();
        let found = attempts.find(|(_, attempt)| attempt.request.attempt_id == attempt_id);
        let Some((&id, _)) = found else {
            return false;
        };
        self.sim.cancel(id, now_us);
        self.end(id, how, now_us);
        true
    }

    /// Advances the model to `now_us` and dispatches its events.
    pub(super) fn advance(&mut self, now_us: u64) {
        let events = self.sim.advance(now_us);
        self.dispatch(events);
    }

    fn end(&mut self, id: u64, how: Ending, now_us: u64) {
        if let Some(attempt) = self.attempts.remove(&id) {
            let attempt_id = attempt.request.attempt_id.clone();
            self.push(now_us, EngineEvent::Ended { attempt_id, how });
        }
    }

    /// Records events and passes them to the streams of their attempts.
    pub(super) fn dispatch(&mut self, events: Vec<Event>) {
        for Event { at_us, kind } in events {
            match kind {
                EventKind::Token { attempt_id, index } => self.send(attempt_id, at_us, |attempt| {
                    let request = &attempt.request;
                    GenerateEvent {
                        index: Some(index),
                        text: Some(text::token(&request.prompt, request.seed, index)),
                        ..GenerateEvent::default()
                    }
                }),
                EventKind::PrefillDone {
                    attempt_id,
                    handle,
                    cached_tokens,
                } => {
                    self.send(attempt_id, at_us, |attempt| GenerateEvent {
                        kv_handle: Some(handle.to_string()),
                        prompt_tokens: Some(attempt.prompt_tokens),
                        cached_tokens: Some(cached_tokens),
                        ..GenerateEvent::default()
                    });
                    self.end(attempt_id, Ending::Finished, at_us);
                }
                EventKind::Finished {
                    attempt_id,
                    cached_tokens,
                    output_tokens,
                    reason,
                } => {
                    let finish_reason = match reason {
                        FinishReason::Length => "length",
                        FinishReason::Stop => "stop",
                    };
                    self.send(attempt_id, at_us, |attempt| GenerateEvent {
                        done: true,
                        finish_reason: Some(finish_reason.to_owned()),
                        prompt_tokens: Some(attempt.prompt_tokens),
                        cached_tokens: Some(cached_tokens),
                        output_tokens: Some(output_tokens),
                        ..GenerateEvent::default()
                    });
                    self.end(attempt_id, Ending::Finished, at_us);
                }
                EventKind::Aborted { attempt_id, reason } => {
                    if let Some(attempt) = self.attempts.get(&attempt_id) {
                        // An error means that the caller has already disconnected.
                        drop(attempt.events.send(None));
                    }
                    let how = match reason {
                        AbortReason::RoleChange => Ending::CutOffByRoleChange,
                        AbortReason::Crash => Ending::CutOffByCrash,
                    };
                    self.end(attempt_id, how, at_us);
                }
                EventKind::OrderDone { order_id } => {
                    self.push(at_us, EngineEvent::OrderDone { order_id });
                }
            }
        }
    }

    fn send<F>(&mut self, id: u64, at_us: u64, make: F)
    where
        F: FnOnce(&Attempt) -> GenerateEvent,
    {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let event = GenerateEvent {
            attempt_id: attempt.request.attempt_id.clone(),
            ..make(attempt)
        };
        if attempt.events.send(Some(event)).is_err() {
            self.sim.cancel(id, at_us);
            self.end(id, Ending::CallerGone, at_us);
        }
    }

    /// Applies an order and records its effect.
    pub(super) fn order(&mut self, order: OrderRequest, now_us: u64) -> OrderEffect {
        self.advance(now_us);
        let kind = match order.kind.as_str() {
            "role" => order.role.parse().ok().map(sim::OrderKind::Role),
            "model" | "adapter" => {
                let model = model_version(&order.model, &order.version);
                Some(sim::OrderKind::Model(model))
            }
            _ => None,
        };
        let result = kind.map(|kind| {
            let order = sim::Order {
                order_id: order.order_id.clone(),
                fence: order.fence,
                kind,
            };
            self.sim.order(order, now_us)
        });
        let (effect, events) = match result {
            Some(Ok((sim::OrderOutcome::Started, events))) => (OrderEffect::Started, events),
            Some(Ok((sim::OrderOutcome::Unchanged, events))) => (OrderEffect::Unchanged, events),
            Some(Err(sim::OrderError::StaleFence { .. })) => (OrderEffect::StaleFence, Vec::new()),
            Some(Err(_)) => (OrderEffect::Busy, Vec::new()),
            None => (OrderEffect::Invalid, Vec::new()),
        };
        let cut_off = events.iter().filter_map(|event| match event.kind {
            EventKind::Aborted { attempt_id, .. } => self.attempts.get(&attempt_id),
            _ => None,
        });
        let cut_off = cut_off.map(|attempt| attempt.request.attempt_id.clone());
        let cut_off = cut_off.collect();
        let what = EngineEvent::Order {
            order,
            effect,
            cut_off,
        };
        self.push(now_us, what);
        self.dispatch(events);
        effect
    }
}
