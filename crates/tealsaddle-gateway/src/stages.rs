//! A model request through its stages: a runner reads the prompt, another one generates.
//!
//! The decode runner is chosen, and the request counted there, before the prompt is read. What cannot
//! have its first event by the deadline is refused before it costs anything. A call that only reads may
//! be repeated, within the budget; without one the decode runner reads the prompt itself.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use hyper::http;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::place::Place;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, FEASIBLE_SHARE, Refused};
use crate::external::{KvSource, SendMetadata};
use crate::gateway::Gateway;
use crate::scheduler::RunnerAttempt;
use crate::upstream::{Answer, AnswerBody, Reuse};

/// A reader is given up after this many times the expected time, and not before the floor, unless it
/// answers other requests: giving up costs another read and makes an overload worse.
const READ_PATIENCE: f64 = 4.0;
/// Shortest patience with a reader.
const MIN_READ_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time within which a busy reader answers some request of this node.
const READ_SIGN_OF_LIFE: Duration = Duration::from_millis(1_500);
/// Readers that may be unreachable before the next one counts against the budget.
const MAX_UNSENT_READS: usize = 3;
/// Largest answer to a call that only reads.
const MAX_HANDLE_BYTES: usize = 4 << 10;
/// Time for a call that frees a handle.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence of a decode runner after which a resumable stream goes on elsewhere.
pub const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_400);

/// A stream whose head has arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The events.
    pub body: AnswerBody,
    /// The count at the decode runner.
    pub attempt: RunnerAttempt,
}

/// KV cache at the runner that has read a prompt; it is freed there unless another runner took it.
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
            // A handle that could not be freed expires by itself.
            drop(tokio::time::timeout(FREE_TIMEOUT, free).await);
        });
    }
}

impl Call {
    /// Opens the stream of a model request, from `last_event_id` on where it is resumed.
    pub async fn open_stream(
        &self,
        engine: &EngineLimits,
        attempts: &mut Attempts,
        last_event_id: Option<&str>,
    ) -> Result<OpenStream, Refused> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut held: Option<KvHandleGuard> = None;
        let mut has_read = false;
        loop {
            let reader = if has_read {
                None
            } else {
                self.reader(engine, &[])
            };
            let is_read = reader.is_some() || held.is_some();
            let decoder = self.decoder(engine, is_read, &excluded)?;
            self.check_feasible(reader.as_ref(), &decoder, attempts)?;
            let attempt = self.enter_decoder(&decoder);
            if let Some(reader) = reader {
                held = self.read_prompt(engine, reader).await;
                has_read = true;
            }
            // It may have announced its leaving while the prompt was read.
            if !self
                .gateway
                .snapshot
                .load()
                .accepts_requests(&decoder.runner)
            {
                excluded.push(Name::clone(&decoder.runner.id));
                continue;
            }
            // The read, or another runner's refusal, may have taken longer than expected.
            self.check_ends_before_stop(Duration::ZERO)?;
            let metadata = self.stream_metadata(&decoder.runner.id, held.as_ref(), last_event_id);
            let sent = self.exchange_until(&decoder.runner, &metadata, self.stream_limit());
            let outcome = match sent.await {
                Ok(answer) => match self.take_stream(engine, answer, attempt, held.as_mut()) {
                    Ok(stream) => return Ok(stream),
                    Err(outcome) => outcome,
                },
                Err(outcome) => {
                    note_failure(&attempt, outcome);
                    outcome
                }
            };
            excluded.push(Name::clone(&decoder.runner.id));
            if let Err(last) = self.may_retry(attempts, outcome, &decoder.runner.id) {
                return Err((GatewayAnswer::of_outcome(last), self.decode_wait(engine)));
            }
        }
    }

    /// What is set on a request to the runner that generates.
    fn stream_metadata<'a>(
        &self,
        runner_id: &'a str,
        held: Option<&'a KvHandleGuard>,
        last_event_id: Option<&'a str>,
    ) -> SendMetadata<'a> {
        SendMetadata {
            urgency: Some(self.route.priority),
            kv_source: held.map(|held| &held.source),
            last_event_id,
            ..self.send_metadata(runner_id)
        }
    }

    /// The head of a stream is awaited until the deadline, or for as long as it may go on elsewhere.
    fn stream_limit(&self) -> Instant {
        if self.route.repeat.may_repeat() {
            self.deadline.min(Instant::now() + STREAM_SILENCE_LIMIT)
        } else {
            self.deadline
        }
    }

    /// Time that is left until the stream has to begin.
    fn first_event_remaining(&self) -> Duration {
        self.event_deadline()
            .saturating_duration_since(Instant::now())
    }

    fn reader(&self, engine: &EngineLimits, excluded: &[Name]) -> Option<Place> {
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let scheduler = &self.gateway.scheduler;
        scheduler.choose_prefill_runner(runners, &self.ask(), engine, excluded)
    }

    fn decoder(
        &self,
        engine: &EngineLimits,
        is_read: bool,
        excluded: &[Name],
    ) -> Result<Place, Refused> {
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let scheduler = &self.gateway.scheduler;
        let place = scheduler.choose_decode_runner(runners, &self.ask(), engine, is_read, excluded);
        place.ok_or((GatewayAnswer::NoRunner, Duration::ZERO))
    }

    /// Expected wait for a place to generate, for the caller's next try.
    fn decode_wait(&self, engine: &EngineLimits) -> Duration {
        let place = self.decoder(engine, true, &[]);
        place.map_or(Duration::ZERO, |place| micros(place.wait_us))
    }

    fn check_feasible(
        &self,
        reader: Option<&Place>,
        decoder: &Place,
        attempts: &Attempts,
    ) -> Result<(), Refused> {
        let read = reader.map_or(micros(decoder.read_us), |r| micros(r.until_handover_us()));
        let wait = micros(decoder.wait_us);
        let left = self.first_event_remaining();
        let expected = if reader.is_some() {
            read.max(wait)
        } else {
            read + wait
        };
        log::info!(id:% = self.request_id, route:% = self.route.name,
            reader:% = reader.map_or("-", |r| &r.runner.id), decoder:% = decoder.runner.id,
            read_tokens = reader.map_or(decoder.read_tokens, |r| r.read_tokens),
            read_ms = read.as_millis() as u64, wait_ms = wait.as_millis() as u64,
            left_ms = left.as_millis() as u64, config_version = self.config.version,
            runners_revision = self.gateway.snapshot.load().runners_revision; "placed");
        self.check_ends_before_stop(expected)?;
        if attempts.made() == 0 && expected > left.mul_f64(FEASIBLE_SHARE) {
            return Err((GatewayAnswer::DeadlineInfeasible, expected));
        }
        Ok(())
    }

    fn enter_decoder(&self, decoder: &Place) -> RunnerAttempt {
        let work = Work {
            read_tokens: decoder.read_tokens,
            kv_tokens: self.ask().kv_tokens,
        };
        self.gateway.scheduler.begin_attempt(&decoder.runner, work)
    }

    /// Has the prompt read; `None` when the decode runner has to read it.
    async fn read_prompt(&self, engine: &EngineLimits, first: Place) -> Option<KvHandleGuard> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut place = first;
        loop {
            let outcome = match self.read_at(engine, &place).await {
                Ok(held) => return Some(held),
                Err(outcome) => outcome,
            };
            log::info!(id:% = self.request_id, runner:% = place.runner.id, outcome:?;
                "prompt was not read");
            excluded.push(Name::clone(&place.runner.id));
            let is_unsent = outcome == AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
            let has_tries = excluded.len() < MAX_UNSENT_READS;
            let may_retry = is_unsent && has_tries;
            if !may_retry && !self.gateway.scheduler.may_resend(&self.service) {
                self.gateway.metrics.increment("read.budget_used_up");
                return None;
            }
            self.gateway.metrics.increment("read.again");
            place = self.reader(engine, &excluded)?;
        }
    }

    async fn read_at(
        &self,
        engine: &EngineLimits,
        place: &Place,
    ) -> Result<KvHandleGuard, AttemptOutcome> {
        let work = Work {
            read_tokens: place.read_tokens,
            kv_tokens: 0,
        };
        let mut attempt = self.gateway.scheduler.begin_attempt(&place.runner, work);
        let metadata = self.read_metadata(place);
        let patience = micros(place.until_handover_us() * READ_PATIENCE).max(MIN_READ_PATIENCE);
        let exchange = self.exchange_until(&place.runner, &metadata, self.event_deadline());
        let result = match patiently(exchange, patience, &attempt).await {
            Ok(answer) => self.take_handle(answer, &attempt, &place.runner).await,
            Err(outcome) => Err(outcome),
        };
        match &result {
            Ok(_held) => self.note_read(engine, place, &mut attempt),
            Err(outcome) => note_failure(&attempt, *outcome),
        }
        result
    }

    /// What is set on a request to the runner that only reads.
    fn read_metadata<'a>(&self, place: &'a Place) -> SendMetadata<'a> {
        SendMetadata {
            urgency: Some(self.route.priority),
            is_prefill_only: true,
            fetches_from: place.fetches_from.as_ref().map(|holder| holder.address),
            remaining: self.first_event_remaining(),
            ..self.send_metadata(&place.runner.id)
        }
    }

    fn note_read(&self, engine: &EngineLimits, place: &Place, attempt: &mut RunnerAttempt) {
        log::info!(id:% = self.request_id, runner:% = place.runner.id,
            expected_ms = (place.wait_us + place.read_us) as u64 / 1_000,
            took_ms = attempt.elapsed_us() / 1_000, read_tokens = place.read_tokens,
            fetched_from:% = place.fetches_from.as_ref().map_or("-", |r| &r.id);
            "prompt read");
        attempt.on_prefill_time(place.pool_us);
        attempt.on_prefill_end(&self.metadata.parts, engine.kv_tokens);
        attempt.on_outcome(AttemptOutcome::Answered, false);
    }

    async fn take_handle(
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
        let bytes = self.read_handle(body).await;
        let bytes = bytes.map_err(AttemptOutcome::Unknown)?;
        let handle = dialect.kv_handle(&bytes).map_err(|error| {
            log::warn!(id:% = self.request_id, runner:% = runner.id, error:%; "no handle");
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

    async fn read_handle(&self, mut body: AnswerBody) -> Result<BytesMut, UnknownReason> {
        let mut bytes = BytesMut::new();
        while let Some(data) = body.next_until(self.event_deadline()).await? {
            bytes.extend_from_slice(&data);
            if bytes.len() > MAX_HANDLE_BYTES {
                return Err(UnknownReason::InvalidAnswer);
            }
        }
        Ok(bytes)
    }

    fn take_stream(
        &self,
        engine: &EngineLimits,
        answer: Answer,
        mut attempt: RunnerAttempt,
        held: Option<&mut KvHandleGuard>,
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
        if let Some(held) = held {
            held.is_transferred = true;
        }
        attempt.on_prefill_end(&self.metadata.parts, engine.kv_tokens);
        Ok(OpenStream {
            head,
            body,
            attempt,
        })
    }
}

/// Notes at a runner that it gave no answer.
fn note_failure(attempt: &RunnerAttempt, outcome: AttemptOutcome) {
    attempt.on_outcome(outcome, false);
    if outcome == AttemptOutcome::Unknown(UnknownReason::Timeout) {
        attempt.on_silence();
    }
}

/// Waits for a reader as long as it gives signs of life.
async fn patiently<F>(
    exchange: F,
    patience: Duration,
    attempt: &RunnerAttempt,
) -> Result<Answer, AttemptOutcome>
where
    F: Future<Output = Result<Answer, AttemptOutcome>>,
{
    tokio::pin!(exchange);
    loop {
        match tokio::time::timeout(patience, exchange.as_mut()).await {
            Ok(result) => return result,
            Err(_elapsed) if attempt.has_answered_within(READ_SIGN_OF_LIFE) => {}
            Err(_elapsed) => return Err(AttemptOutcome::Unknown(UnknownReason::Timeout)),
        }
    }
}

fn micros(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}
