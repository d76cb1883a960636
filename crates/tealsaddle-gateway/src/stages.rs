//! A model request through its two stages: a prefill runner reads the prompt, a decode runner generates.
//!
//! The decode runner is chosen, and the request counted in its load, before prefill begins. A request whose
//! first event is not expected by the deadline is refused before any runner has worked on it. Prefill may be
//! repeated at other runners within the retry budget; if it fails, the decode runner reads the prompt itself.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use hyper::http;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, FEASIBLE_SHARE, Refusal};
use crate::external::{KvSource, SendMetadata};
use crate::gateway::Gateway;
use crate::scheduler::RunnerAttempt;
use crate::upstream::{Answer, AnswerBody, Reuse};

/// Prefill times out after this many times its expected duration, but not before the minimum, and not while
/// the runner answers other requests: repeating a prefill costs a second one and worsens an overload.
const PREFILL_TIMEOUT_FACTOR: f64 = 4.0;
/// Minimum timeout of prefill.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A prefill runner counts as responsive if it has answered any request of this node within this time.
const RESPONSIVE_WINDOW: Duration = Duration::from_millis(1_500);
/// After a failure to connect, a further prefill attempt is not deducted from the retry budget while fewer
/// than this many attempts have failed.
const MAX_UNSENT_PREFILLS: usize = 3;
/// Largest answer of a prefill runner.
const MAX_HANDLE_BYTES: usize = 4 << 10;
/// Timeout of a call that frees the KV cache of a handle.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data from a decode runner after which a resumable stream is resumed at another one.
pub const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_400);

/// A stream whose head has arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body with the events, which are still arriving.
    pub body: AnswerBody,
    /// The attempt at the decode runner.
    pub attempt: RunnerAttempt,
}

/// KV cache of a prompt at its prefill runner. Dropping the guard frees the cache there, unless a decode
/// runner has fetched it.
#[derive(Debug)]
struct KvHandleGuard {
    gateway: Arc<Gateway>,
    source: KvSource,
    is_transferred: bool,
}

impl Drop for KvHandleGuard {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        let call = self.gateway.dialect.free_handle(&self.source.handle);
        let upstreams = Arc::clone(&self.gateway.upstreams);
        let address = self.source.runner.address;
        tokio::spawn(async move {
            let free = upstreams.call(address, call, Reuse::Any);
            // If the call fails, the handle expires at the runner.
            drop(tokio::time::timeout(FREE_TIMEOUT, free).await);
        });
    }
}

impl Call {
    /// Opens the stream of a model request; `last_event_id` is set for a stream that is resumed after that
    /// event.
    pub async fn open_stream(
        &self,
        engine: &EngineLimits,
        attempts: &mut Attempts,
        last_event_id: Option<&str>,
    ) -> Result<OpenStream, Refusal> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut kv_guard: Option<KvHandleGuard> = None;
        let mut has_tried_prefill = false;
        loop {
            let prefill = if has_tried_prefill {
                None
            } else {
                self.choose_prefill(engine, &[])
            };
            let is_prefilled = prefill.is_some() || kv_guard.is_some();
            let decode = self.choose_decode(engine, is_prefilled, &excluded)?;
            self.check_first_event_in_time(prefill.as_ref(), &decode, attempts)?;
            let attempt = self.begin_decode(&decode);
            if let Some(prefill) = prefill {
                kv_guard = self.prefill(engine, prefill).await;
                has_tried_prefill = true;
            }
            // The decode runner may have announced during prefill that it is draining.
            if !self
                .gateway
                .snapshot
                .load()
                .accepts_requests(&decode.runner)
            {
                excluded.push(Name::clone(&decode.runner.id));
                continue;
            }
            // Prefill, or another runner's refusal, may have taken longer than expected.
            self.check_ends_before_stop(Duration::ZERO)?;
            let metadata =
                self.stream_metadata(&decode.runner.id, kv_guard.as_ref(), last_event_id);
            let sent = self.exchange_until(&decode.runner, &metadata, self.stream_limit());
            let outcome = match sent.await {
                Ok(answer) => {
                    match self.check_stream_answer(engine, answer, attempt, kv_guard.as_mut()) {
                        Ok(stream) => return Ok(stream),
                        Err(outcome) => outcome,
                    }
                }
                Err(outcome) => {
                    record_failure(&attempt, outcome);
                    outcome
                }
            };
            excluded.push(Name::clone(&decode.runner.id));
            if let Err(last) = self.on_failed_attempt(attempts, outcome, &decode.runner.id) {
                return Err((GatewayAnswer::from_outcome(last), self.decode_wait(engine)));
            }
        }
    }

    /// Metadata of a request to the decode runner.
    fn stream_metadata<'a>(
        &self,
        runner_id: &'a str,
        kv_guard: Option<&'a KvHandleGuard>,
        last_event_id: Option<&'a str>,
    ) -> SendMetadata<'a> {
        SendMetadata {
            urgency: Some(self.route.priority),
            kv_source: kv_guard.map(|kv_guard| &kv_guard.source),
            last_event_id,
            ..self.send_metadata(runner_id)
        }
    }

    /// Time limit for the head of a stream: the deadline, or earlier if another runner may be tried.
    fn stream_limit(&self) -> Instant {
        if self.route.repeat.may_repeat() {
            self.deadline.min(Instant::now() + STREAM_SILENCE_LIMIT)
        } else {
            self.deadline
        }
    }

    /// Time until the deadline of the first event.
    fn first_event_remaining(&self) -> Duration {
        self.event_deadline()
            .saturating_duration_since(Instant::now())
    }

    fn choose_prefill(&self, engine: &EngineLimits, excluded: &[Name]) -> Option<Placement> {
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let scheduler = &self.gateway.scheduler;
        scheduler.choose_prefill_runner(runners, &self.placement_request(), engine, excluded)
    }

    fn choose_decode(
        &self,
        engine: &EngineLimits,
        is_prefilled: bool,
        excluded: &[Name],
    ) -> Result<Placement, Refusal> {
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let scheduler = &self.gateway.scheduler;
        let placement = scheduler.choose_decode_runner(
            runners,
            &self.placement_request(),
            engine,
            is_prefilled,
            excluded,
        );
        placement.ok_or((GatewayAnswer::NoRunner, Duration::ZERO))
    }

    /// Expected wait for a decode runner, as the time after which the caller should retry.
    fn decode_wait(&self, engine: &EngineLimits) -> Duration {
        let placement = self.choose_decode(engine, true, &[]);
        placement.map_or(Duration::ZERO, |placement| micros(placement.wait_us))
    }

    fn check_first_event_in_time(
        &self,
        prefill: Option<&Placement>,
        decode: &Placement,
        attempts: &Attempts,
    ) -> Result<(), Refusal> {
        let read = prefill.map_or(micros(decode.read_us), |r| micros(r.until_first_event_us()));
        let wait = micros(decode.wait_us);
        let left = self.first_event_remaining();
        let expected = if prefill.is_some() {
            read.max(wait)
        } else {
            read + wait
        };
        log::info!(id:% = self.request_id, route:% = self.route.name,
            reader:% = prefill.map_or("-", |r| &r.runner.id), decoder:% = decode.runner.id,
            read_tokens = prefill.map_or(decode.read_tokens, |r| r.read_tokens),
            read_ms = read.as_millis() as u64, wait_ms = wait.as_millis() as u64,
            left_ms = left.as_millis() as u64, config_version = self.config.version,
            runners_revision = self.gateway.snapshot.load().runners_revision; "placed");
        self.check_ends_before_stop(expected)?;
        if attempts.failed() == 0 && expected > left.mul_f64(FEASIBLE_SHARE) {
            return Err((GatewayAnswer::DeadlineInfeasible, expected));
        }
        Ok(())
    }

    fn begin_decode(&self, decode: &Placement) -> RunnerAttempt {
        let work = Work {
            read_tokens: decode.read_tokens,
            kv_tokens: self.placement_request().kv_tokens,
        };
        self.gateway.scheduler.begin_attempt(&decode.runner, work)
    }

    /// Runs prefill, at several runners if necessary; returns `None` if the decode runner has to read the
    /// prompt itself.
    async fn prefill(&self, engine: &EngineLimits, first: Placement) -> Option<KvHandleGuard> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut placement = first;
        loop {
            let outcome = match self.prefill_at(engine, &placement).await {
                Ok(kv_guard) => return Some(kv_guard),
                Err(outcome) => outcome,
            };
            log::info!(id:% = self.request_id, runner:% = placement.runner.id, outcome:?;
                "prompt was not read");
            excluded.push(Name::clone(&placement.runner.id));
            let is_unsent = outcome == AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
            let has_tries = excluded.len() < MAX_UNSENT_PREFILLS;
            let is_budget_exempt = is_unsent && has_tries;
            if !is_budget_exempt && !self.gateway.scheduler.try_consume_retry(&self.service) {
                self.gateway.metrics.increment("read.budget_used_up");
                return None;
            }
            self.gateway.metrics.increment("read.again");
            placement = self.choose_prefill(engine, &excluded)?;
        }
    }

    async fn prefill_at(
        &self,
        engine: &EngineLimits,
        placement: &Placement,
    ) -> Result<KvHandleGuard, AttemptOutcome> {
        let work = Work {
            read_tokens: placement.read_tokens,
            kv_tokens: 0,
        };
        let mut attempt = self
            .gateway
            .scheduler
            .begin_attempt(&placement.runner, work);
        let metadata = self.prefill_metadata(placement);
        let timeout = micros(placement.until_first_event_us() * PREFILL_TIMEOUT_FACTOR)
            .max(MIN_PREFILL_TIMEOUT);
        let exchange = self.exchange_until(&placement.runner, &metadata, self.event_deadline());
        let result = match wait_while_responsive(exchange, timeout, &attempt).await {
            Ok(answer) => {
                self.parse_prefill_answer(answer, &attempt, &placement.runner)
                    .await
            }
            Err(outcome) => Err(outcome),
        };
        match &result {
            Ok(_kv_guard) => self.record_prefill(engine, placement, &mut attempt),
            Err(outcome) => record_failure(&attempt, *outcome),
        }
        result
    }

    /// Metadata of a request to the prefill runner.
    fn prefill_metadata<'a>(&self, placement: &'a Placement) -> SendMetadata<'a> {
        SendMetadata {
            urgency: Some(self.route.priority),
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
            fetched_from:% = placement.fetches_from.as_ref().map_or("-", |r| &r.id);
            "prompt read");
        attempt.on_prefill_time(placement.nominal_us);
        attempt.on_prefill_end(&self.metadata.parts, engine.kv_tokens);
        attempt.on_outcome(AttemptOutcome::Answered, false);
    }

    async fn parse_prefill_answer(
        &self,
        answer: Answer,
        attempt: &RunnerAttempt,
        runner: &Runner,
    ) -> Result<KvHandleGuard, AttemptOutcome> {
        let Answer { head, mut body } = answer;
        let dialect = &self.gateway.dialect;
        let metadata = dialect.answer_metadata(&head.headers);
        if let Some(load) = metadata.load {
            attempt.on_load(load);
        }
        let invalid = AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
        let answered_id = metadata.request_id.as_ref();
        let is_foreign = answered_id.is_some_and(|id| *id != self.request_id);
        if !head.status.is_success() || is_foreign {
            body.forbid_reuse();
            let outcome = classify_answer(head.status, &metadata, &self.request_id);
            return Err(if outcome == AttemptOutcome::Answered {
                invalid
            } else {
                outcome
            });
        }
        let bytes = self.read_handle_body(body).await;
        let bytes = bytes.map_err(AttemptOutcome::Unknown)?;
        let handle = dialect.kv_handle(&bytes).map_err(|error| {
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

    fn check_stream_answer(
        &self,
        engine: &EngineLimits,
        answer: Answer,
        mut attempt: RunnerAttempt,
        kv_guard: Option<&mut KvHandleGuard>,
    ) -> Result<OpenStream, AttemptOutcome> {
        let Answer { head, mut body } = answer;
        let metadata = self.gateway.dialect.answer_metadata(&head.headers);
        if let Some(load) = metadata.load {
            attempt.on_load(load);
        }
        let outcome = classify_answer(head.status, &metadata, &self.request_id);
        attempt.on_outcome(outcome, head.status.is_server_error());
        if outcome != AttemptOutcome::Answered {
            body.forbid_reuse();
            return Err(outcome);
        }
        if let Some(kv_guard) = kv_guard {
            kv_guard.is_transferred = true;
        }
        attempt.on_prefill_end(&self.metadata.parts, engine.kv_tokens);
        Ok(OpenStream {
            head,
            body,
            attempt,
        })
    }
}

/// Records a failed attempt in the runner's statistics.
fn record_failure(attempt: &RunnerAttempt, outcome: AttemptOutcome) {
    attempt.on_outcome(outcome, false);
    if outcome == AttemptOutcome::Unknown(UnknownReason::Timeout) {
        attempt.on_timeout();
    }
}

/// Waits for the answer of a prefill runner. After `timeout` the wait continues only while the runner
/// answers other requests of this node.
async fn wait_while_responsive<F>(
    exchange: F,
    timeout: Duration,
    attempt: &RunnerAttempt,
) -> Result<Answer, AttemptOutcome>
where
    F: Future<Output = Result<Answer, AttemptOutcome>>,
{
    tokio::pin!(exchange);
    loop {
        match tokio::time::timeout(timeout, exchange.as_mut()).await {
            Ok(result) => return result,
            Err(_elapsed) if attempt.has_answered_within(RESPONSIVE_WINDOW) => {}
            Err(_elapsed) => return Err(AttemptOutcome::Unknown(UnknownReason::Timeout)),
        }
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}
