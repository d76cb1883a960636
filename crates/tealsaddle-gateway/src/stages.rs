//! A model request through its two stages: a prefill runner reads the prompt, a decode runner generates.
//!
//! The decode runner is chosen, and the request counted in its load, before prefill begins. A request whose
//! first event is not expected by the deadline is refused before any runner has worked on it. Prefill may be
//! repeated at other runners within the retry budget; if it fails, the decode runner reads the prompt itself.

use std::time::Duration;

use hyper::http;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, FEASIBLE_SHARE, Refusal};
use crate::external::SendMetadata;
use crate::prefill::KvHandleGuard;
use crate::scheduler::RunnerAttempt;
use crate::upstream::{Answer, AnswerBody};

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
            kv_source: kv_guard.map(KvHandleGuard::source),
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
    pub fn first_event_remaining(&self) -> Duration {
        self.event_deadline()
            .saturating_duration_since(Instant::now())
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
            kv_guard.on_transferred();
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
pub fn record_failure(attempt: &RunnerAttempt, outcome: AttemptOutcome) {
    attempt.on_outcome(outcome, false);
    if outcome == AttemptOutcome::Unknown(UnknownReason::Timeout) {
        attempt.on_timeout();
    }
}

/// Converts microseconds to a duration; negative values count as zero.
pub fn micros(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}
