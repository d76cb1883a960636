//! Prefill of a model request: a prefill runner reads the prompt and keeps its KV cache for the decode runner.
//!
//! Prefill may be repeated at other runners within the retry budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tealsaddle_core::arrivals::NextSend;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::fleet::{Runner, Stage};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, OwnAnswer};
use crate::clock;
use crate::external::{KvSource, SendMetadata};
use crate::gateway::Gateway;
use crate::permits::{Candidates, PermittedPlacement};
use crate::quarantine::losses::LostAttempt;
use crate::scheduler::RunnerAttempt;
use crate::stages::{LOST, micros};
use crate::timeout::timeout_at;
use crate::upstream::{AnswerBody, Reuse};

/// Another runner is asked to read the prompt after this many times the expected duration, but not before the
/// minimum, and not while the first one answers other requests: repeating a prefill costs a second one and
/// worsens an overload.
const PREFILL_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum time before another runner is asked to read the prompt.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A prefill runner counts as responsive if it has answered any request of this node within this time.
const RESPONSIVE_WINDOW: Duration = Duration::from_millis(1_500);
/// Runners that were asked after which a failure to connect ends the search for a prefill runner.
const MAX_UNSENT_PREFILLS: usize = 3;
/// Steps of urgency by which the reads of deferred requests come after others.
const DEFERRAL: u32 = 4;
/// Largest answer of a prefill runner.
const MAX_HANDLE_BYTES: usize = 4 << 10;
/// Timeout of a call that frees the KV cache of a handle.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for the newest of the prefill runners that were asked.
#[derive(Debug)]
struct PrefillWait {
    runner: Name,
    timeout: Duration,
}

impl PrefillWait {
    fn new(placement: &Placement) -> Self {
        let timeout = micros(placement.until_first_event_us() * PREFILL_TIMEOUT_FACTOR);
        Self {
            runner: Name::clone(&placement.runner.id),
            timeout: timeout.max(MIN_PREFILL_TIMEOUT),
        }
    }
}

/// What ended a wait for prefill runners.
#[derive(Debug)]
enum PrefillStep {
    /// A runner has read the prompt.
    Done(KvHandleGuard),
    /// All runners have failed, the last one with this outcome.
    Failed(AttemptOutcome),
    /// The newest runner is silent.
    Silent,
}

/// KV cache of a prompt at its prefill runner. Dropping the guard frees the cache there, unless a decode
/// runner has fetched it.
#[derive(Debug)]
pub struct KvHandleGuard {
    gateway: Arc<Gateway>,
    source: KvSource,
    is_transferred: bool,
}

impl KvHandleGuard {
    /// Where the decode runner fetches the KV cache from.
    pub const fn source(&self) -> &KvSource {
        &self.source
    }

    /// Records that a decode runner has fetched the KV cache.
    pub const fn on_transferred(&mut self) {
        self.is_transferred = true;
    }
}

impl Drop for KvHandleGuard {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        if !self.gateway.send_gate.allows_own_calls(&self.source.runner) {
            // The handle expires at the runner.
            return;
        }
        let call = self.gateway.dialect.free_handle(&self.source.handle);
        let upstreams = Arc::clone(&self.gateway.own_calls);
        let address = self.source.runner.address;
        tokio::spawn(async move {
            let free = upstreams.call(address, call, Reuse::Any);
            // If the call fails, the handle expires at the runner.
            drop(tokio::time::timeout(FREE_TIMEOUT, free).await);
        });
    }
}

impl Call {
    /// Chooses the runner that reads the prompt, among those that get a request now; `None` if the decode runner has
    /// to read it.
    pub async fn place_prefill(
        &self,
        engine: &EngineLimits,
        excluded: &[Name],
    ) -> Option<PermittedPlacement> {
        let candidates = Candidates {
            stage: Some(Stage::Prefill),
            excluded,
            may_wait: false,
        };
        let choose = |left_out: &[Name]| {
            let placement = self.choose_prefill(engine, left_out);
            placement.ok_or((GatewayAnswer::NoRunner, Duration::ZERO))
        };
        self.place(candidates, choose).await.ok()
    }

    /// Acquires the permission to have the prompt read by the chosen runner, or by another one that gets a request now.
    pub async fn permit_prefill(
        &self,
        engine: &EngineLimits,
        chosen: Placement,
    ) -> Option<PermittedPlacement> {
        match self.acquire(&chosen.runner, Duration::ZERO).await {
            Ok(permit) => Some(PermittedPlacement {
                placement: chosen,
                permit,
            }),
            Err(_withheld) => {
                self.place_prefill(engine, &[Name::clone(&chosen.runner.id)])
                    .await
            }
        }
    }

    /// Chooses the runner that would read the prompt, whether or not it gets a request now.
    pub fn choose_prefill(&self, engine: &EngineLimits, left_out: &[Name]) -> Option<Placement> {
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let scheduler = &self.gateway.scheduler;
        scheduler.choose_prefill_runner(runners, &self.placement_request(), engine, left_out)
    }

    /// Runs prefill, at several runners if necessary; returns `None` if the decode runner has to read the
    /// prompt itself. A runner that is silent goes on while another one reads the prompt as well.
    pub async fn prefill(
        &self,
        engine: &EngineLimits,
        first: PermittedPlacement,
    ) -> Option<KvHandleGuard> {
        let mut asked: Vec<Name> = Vec::new();
        let mut running = FuturesUnordered::new();
        // A decode runner reads at half the speed.
        let own_read = micros(first.placement.read_us * 2.0);
        let mut placed = first;
        if !self.may_read() {
            return None;
        }
        loop {
            let newest = PrefillWait::new(&placed.placement);
            asked.push(Name::clone(&newest.runner));
            running.push(self.prefill_at(engine, placed));
            let is_unsent = match self.wait_for_prefill(&mut running, newest).await {
                PrefillStep::Done(kv_guard) => return Some(kv_guard),
                PrefillStep::Failed(outcome) => {
                    matches!(
                        outcome,
                        AttemptOutcome::NotRun(
                            NotRunReason::ConnectFailed | NotRunReason::Withheld
                        )
                    )
                }
                PrefillStep::Silent => false,
            };
            if self.first_event_remaining().is_zero() {
                return None;
            }
            let may_go_on = !is_unsent || asked.len() < MAX_UNSENT_PREFILLS;
            let other = self.place_prefill(engine, &asked).await;
            let other = other.filter(|_other| may_go_on && self.may_read());
            let Some(other) = other else {
                return self.wait_for_silent_prefill(&mut running, own_read).await;
            };
            placed = other;
        }
    }

    /// Whether a prefill runner may be asked. After the first send that is taken out of the retry budget.
    fn may_read(&self) -> bool {
        let is_granted = self.may_send(NextSend::Read);
        let name = if is_granted {
            "read.again"
        } else {
            "read.budget_used_up"
        };
        if self.state.arrivals.lock().sent() > 0 {
            self.gateway.metrics.increment(name);
        }
        is_granted
    }

    /// Waits until a runner has read the prompt, the last of them has failed, or the newest is silent.
    async fn wait_for_prefill<F>(
        &self,
        running: &mut FuturesUnordered<F>,
        newest: PrefillWait,
    ) -> PrefillStep
    where
        F: Future<Output = Result<KvHandleGuard, AttemptOutcome>>,
    {
        let scheduler = &self.gateway.scheduler;
        loop {
            let limit = Instant::now() + newest.timeout;
            match timeout_at(limit, running.next()).await {
                Ok(Some(Ok(kv_guard))) => return PrefillStep::Done(kv_guard),
                Ok(Some(Err(outcome))) if running.is_empty() => {
                    return PrefillStep::Failed(outcome);
                }
                Ok(Some(Err(_outcome))) => {}
                Ok(None) => return PrefillStep::Silent,
                Err(_elapsed)
                    if scheduler.has_answered_within(&newest.runner, RESPONSIVE_WINDOW) => {}
                Err(_elapsed) => {
                    scheduler.on_silent_runner(&newest.runner, false);
                    log::info!(id:% = self.request_id, runner:% = newest.runner; "prefill runner is silent");
                    return PrefillStep::Silent;
                }
            }
        }
    }

    /// Waits for silent prefill runners for as long as the decode runner can still read the prompt in time.
    async fn wait_for_silent_prefill<F>(
        &self,
        running: &mut FuturesUnordered<F>,
        own_read: Duration,
    ) -> Option<KvHandleGuard>
    where
        F: Future<Output = Result<KvHandleGuard, AttemptOutcome>>,
    {
        let left = self.first_event_remaining().saturating_sub(own_read);
        let limit = Instant::now() + left;
        while let Ok(Some(ended)) = timeout_at(limit, running.next()).await {
            if let Ok(kv_guard) = ended {
                return Some(kv_guard);
            }
        }
        None
    }

    async fn prefill_at(
        &self,
        engine: &EngineLimits,
        placed: PermittedPlacement,
    ) -> Result<KvHandleGuard, AttemptOutcome> {
        let PermittedPlacement { placement, permit } = placed;
        let work = Work {
            read_tokens: placement.read_tokens,
            kv_tokens: 0,
            is_deferred: self.state.is_deferred(),
        };
        let runner = &placement.runner;
        let mut attempt = self.gateway.scheduler.begin_attempt(runner, work);
        let metadata = self.prefill_metadata(&placement);
        let sent_us = clock::now_us();
        let exchange = self.exchange_until(runner, permit, &metadata, self.event_deadline());
        let result = match exchange.await {
            Ok(answer) => self.parse_prefill_answer(answer, &attempt, runner).await,
            Err(outcome) => Err(outcome),
        };
        match &result {
            Ok(_kv_guard) => self.record_prefill(engine, &placement, &mut attempt),
            Err(outcome) => {
                attempt.on_outcome(*outcome, false);
                if *outcome == LOST {
                    let lost = LostAttempt {
                        sent_us,
                        has_begun: false,
                    };
                    self.on_lost_attempt(runner, lost);
                }
                log::info!(id:% = self.request_id, runner:% = runner.id, outcome:?; "prompt was not read");
            }
        }
        result
    }

    /// Urgency with which a prefill runner reads the prompt; 0 is the most urgent.
    fn read_urgency(&self) -> u32 {
        let deferral = if self.state.is_deferred() {
            DEFERRAL
        } else {
            0
        };
        self.priority() + deferral
    }

    /// Metadata of a request to the prefill runner.
    fn prefill_metadata<'a>(&self, placement: &'a Placement) -> SendMetadata<'a> {
        SendMetadata {
            urgency: Some(self.read_urgency()),
            is_prefill_only: true,
            fetches_from: placement.fetches_from.as_ref().map(|source| source.address),
            remaining: self.first_event_remaining(),
            ..self.send_metadata(&placement.runner.id)
        }
    }

    fn record_prefill(
        &self,
        engine: &EngineLimits,
        placement: &Placement,
        attempt: &mut RunnerAttempt,
    ) {
        log::info!(id:% = self.request_id, runner:% = placement.runner.id,
            expected_ms = (placement.wait_us + placement.read_us) as u64 / 1_000,
            took_ms = attempt.elapsed_us() / 1_000, read_tokens = placement.read_tokens,
            is_deferred = self.state.is_deferred(),
            fetched_from:% = placement.fetches_from.as_ref().map_or("-", |r| &r.id);
            "prompt read");
        attempt.on_prefill_time(placement.nominal_us);
        attempt.on_prefill_end(&self.metadata.parts, engine.kv_tokens);
        attempt.on_outcome(AttemptOutcome::Answered, false);
    }

    async fn parse_prefill_answer(
        &self,
        answer: OwnAnswer,
        attempt: &RunnerAttempt,
        runner: &Runner,
    ) -> Result<KvHandleGuard, AttemptOutcome> {
        let OwnAnswer {
            head,
            metadata,
            mut body,
        } = answer;
        if let Some(load) = metadata.load {
            attempt.on_load(load);
        }
        let invalid = AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
        if !head.status.is_success() {
            body.forbid_reuse();
            let outcome = classify_answer(head.status, &metadata, &self.request_id);
            if outcome != AttemptOutcome::Answered {
                return Err(outcome);
            }
            self.state.arrivals.lock().on_read_accepted();
            return Err(invalid);
        }
        self.state.arrivals.lock().on_read_accepted();
        let bytes = self.read_handle_body(body).await;
        let bytes = bytes.map_err(AttemptOutcome::Unknown)?;
        let handle = self.gateway.dialect.kv_handle(&bytes).map_err(|error| {
            log::warn!(id:% = self.request_id, runner:% = runner.id, error:%; "prefill answer has no valid KV handle");
            invalid
        })?;
        Ok(KvHandleGuard {
            gateway: Arc::clone(&self.gateway),
            source: KvSource {
                runner: runner.clone(),
                handle,
            },
            is_transferred: false,
        })
    }

    async fn read_handle_body(&self, mut body: AnswerBody) -> Result<BytesMut, UnknownReason> {
        let mut bytes = BytesMut::new();
        while let Some(data) = body.next_until(self.event_deadline()).await? {
            bytes.extend_from_slice(&data);
            if bytes.len() > MAX_HANDLE_BYTES {
                return Err(UnknownReason::InvalidAnswer);
            }
        }
        Ok(bytes)
    }
}
