//! A model request through its two stages: a prefill runner reads the prompt, a decode runner generates.
//!
//! The decode runner is chosen, and the request counted in its load, before prefill begins. A request whose
//! first event is not expected by the deadline is refused before any runner has worked on it. Prefill may be
//! repeated at other runners within the retry budget; if it fails, the decode runner reads the prompt itself.

use std::sync::Arc;
use std::time::Duration;

use hyper::http;
use tealsaddle_core::arrivals::NextSend;
use tealsaddle_core::fleet::admission::{Candidate, FirstEvent};
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::decode::should_read_itself;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::fleet::{Runner, Stage};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};
use tokio::time::Instant;

use crate::answer::{GatewayAnswer, classify_answer};
use crate::call::{Call, OwnAnswer, Refusal};
use crate::clock;
use crate::external::SendMetadata;
use crate::permits::{Candidates, PermittedPlacement};
use crate::prefill::KvHandleGuard;
use crate::quarantine::losses::LostAttempt;
use crate::scheduler::RunnerAttempt;
use crate::send_gate::SendPermit;
use crate::silence::{Resumption, Waited};
use crate::upstream::AnswerBody;

/// A stream whose head has arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body with the events, which are still arriving.
    pub body: AnswerBody,
    /// The attempt at the decode runner.
    pub attempt: RunnerAttempt,
    /// The decode runner.
    pub runner: Arc<Runner>,
    /// When the request was sent to it, on the clock of [`clock::now_us`].
    pub sent_us: u64,
}

/// A decode runner that was chosen for a request, whose prompt has been read if a prefill runner is to.
#[derive(Debug)]
pub struct ReadyDecode {
    runner: Arc<Runner>,
    attempt: RunnerAttempt,
    permit: SendPermit,
}

impl ReadyDecode {
    /// Id of the runner.
    pub fn id(&self) -> Name {
        Name::clone(&self.runner.id)
    }
}

/// An attempt at a decode runner to which the request has been sent.
#[derive(Debug)]
struct SentAttempt {
    attempt: RunnerAttempt,
    runner: Arc<Runner>,
    sent_us: u64,
}

/// Longest wait for a new permit, if the first one has run out while the prompt was read.
const RENEWAL_WAIT: Duration = Duration::from_millis(300);

/// Outcome of an attempt whose connection was lost.
pub const LOST: AttemptOutcome = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);

/// Opens the stream of a model request, at one decode runner after another.
#[derive(Debug)]
pub struct StreamOpener<'a> {
    call: &'a Call,
    engine: &'a EngineLimits,
    /// Id of the event after which the stream is resumed; `None` for a stream from its start.
    last_event_id: Option<&'a str>,
    excluded: Vec<Name>,
    /// Whether the stream has a silent runner. Only a runner that answers right now is chosen then, and the
    /// attempt is a retry.
    is_replacement: bool,
    kv_guard: Option<KvHandleGuard>,
    has_tried_prefill: bool,
}

impl<'a> StreamOpener<'a> {
    /// Prepares to open a stream at any runner.
    pub const fn new(
        call: &'a Call,
        engine: &'a EngineLimits,
        last_event_id: Option<&'a str>,
    ) -> Self {
        Self {
            call,
            engine,
            last_event_id,
            excluded: Vec::new(),
            is_replacement: false,
            kv_guard: None,
            has_tried_prefill: false,
        }
    }

    /// Prepares to open a stream at a runner that answers, in place of a silent one.
    pub fn replacing(silent: &Name, call: &'a Call, resumption: &Resumption<'a>) -> Self {
        Self {
            excluded: vec![Name::clone(silent)],
            is_replacement: true,
            ..Self::new(call, resumption.engine, resumption.last_event_id)
        }
    }

    /// Leaves a runner out from now on.
    pub fn exclude(&mut self, runner: Name) {
        self.excluded.push(runner);
    }

    /// Chooses the decode runner and has the prompt read, unless that has been tried before.
    ///
    /// The permission to send to the decode runner comes first: no prompt is read for a runner that has no place.
    pub async fn prepare(&mut self, attempts: &Attempts) -> Result<ReadyDecode, Refusal> {
        let (call, engine) = (self.call, self.engine);
        loop {
            call.check_quarantine()?;
            let prefill = self
                .choose_prefill()
                .filter(|prefill| !self.should_read_itself(prefill));
            let placed = self.place_decode(prefill.as_ref(), attempts).await?;
            let PermittedPlacement {
                placement: decode,
                permit,
            } = placed;
            if self.is_replacement {
                if !call.is_responsive(&decode.runner).await {
                    self.exclude(Name::clone(&decode.runner.id));
                    continue;
                }
                if !call.may_ask_other() {
                    return Err((GatewayAnswer::NoRunner, Duration::ZERO));
                }
            }
            let attempt = call.begin_decode(&decode);
            let runner = decode.runner;
            if let Some(prefill) = prefill {
                self.has_tried_prefill = true;
                let Some(prefill) = call.permit_prefill(engine, prefill).await else {
                    // The decode runner would have to read the prompt, which was not expected of it.
                    continue;
                };
                self.kv_guard = call.prefill(engine, prefill).await;
                call.check_retry_budget()
                    .map_err(|refused| (refused, call.decode_wait(engine)))?;
            }
            // The prompt may have been read for long.
            call.check_quarantine()?;
            // The decode runner may have announced during prefill that it is draining.
            if call.gateway.snapshot.load().accepts_requests(&runner)
                && let Some(permit) = self.renewed(permit, &runner).await
            {
                // Prefill, or another runner's refusal, may have taken longer than expected.
                call.check_ends_before_stop(Duration::ZERO)?;
                return Ok(ReadyDecode {
                    runner,
                    attempt,
                    permit,
                });
            }
            self.exclude(Name::clone(&runner.id));
        }
    }

    /// Chooses the prefill runner, unless prefill has been tried before.
    fn choose_prefill(&self) -> Option<Placement> {
        if self.has_tried_prefill {
            return None;
        }
        let call = self.call;
        let held = call.held_runners(Some(Stage::Prefill));
        let mut left_out = call.doubtful_runners(Some(Stage::Prefill));
        if !left_out.is_empty() {
            left_out.extend_from_slice(&held);
            let known = call.choose_prefill(self.engine, &left_out);
            if known.is_some() {
                return known;
            }
        }
        call.choose_prefill(self.engine, &held)
    }

    /// Whether the decode runner should read the prompt itself rather than the prefill runner.
    fn should_read_itself(&self, prefill: &Placement) -> bool {
        let own = self.call.choose_decode(self.engine, false, &self.excluded);
        let reads_itself = own.is_ok_and(|own| should_read_itself(&own, prefill));
        if reads_itself {
            let metrics = &self.call.gateway.metrics;
            metrics.increment("read.by_decode_runner");
        }
        reads_itself
    }

    /// Chooses the decode runner, if the first event is expected in time.
    async fn place_decode(
        &self,
        prefill: Option<&Placement>,
        attempts: &Attempts,
    ) -> Result<PermittedPlacement, Refusal> {
        let (call, engine) = (self.call, self.engine);
        let is_prefilled = prefill.is_some() || self.kv_guard.is_some();
        let choose = |left_out: &[Name]| {
            let decode = call.choose_decode(engine, is_prefilled, left_out)?;
            call.check_admission(prefill, &decode, attempts)?;
            Ok(decode)
        };
        let candidates = Candidates {
            stage: Some(Stage::Decode),
            excluded: &self.excluded,
            may_wait: !self.is_replacement,
        };
        call.place(candidates, choose).await
    }

    /// The permit, or a new one if it no longer holds.
    async fn renewed(&self, permit: SendPermit, runner: &Runner) -> Option<SendPermit> {
        if self.call.gateway.send_gate.is_valid(&permit, runner) {
            return Some(permit);
        }
        self.call.acquire(runner, RENEWAL_WAIT).await.ok()
    }

    /// Sends the request to the decode runner and waits until `limit` for the head of the stream.
    ///
    /// The KV handle is given up unless the runner refuses: it can be fetched only once. The prompt is read
    /// again for a further runner then.
    pub async fn send(
        &mut self,
        ready: ReadyDecode,
        limit: Instant,
    ) -> Result<OpenStream, AttemptOutcome> {
        let mut kv_guard = self.kv_guard.take();
        let has_tried_prefill = std::mem::take(&mut self.has_tried_prefill);
        let sent = self.send_with(ready, kv_guard.as_mut(), limit).await;
        if let Err(AttemptOutcome::NotRun(_)) = sent {
            self.kv_guard = kv_guard;
            self.has_tried_prefill = has_tried_prefill;
        }
        sent
    }

    async fn send_with(
        &self,
        ready: ReadyDecode,
        kv_guard: Option<&mut KvHandleGuard>,
        limit: Instant,
    ) -> Result<OpenStream, AttemptOutcome> {
        let ReadyDecode {
            runner,
            attempt,
            permit,
        } = ready;
        let metadata =
            self.call
                .stream_metadata(&runner.id, kv_guard.as_deref(), self.last_event_id);
        let sent_us = clock::now_us();
        let exchange = self.call.exchange_until(&runner, permit, &metadata, limit);
        match exchange.await {
            Ok(answer) => {
                let sent = SentAttempt {
                    attempt,
                    runner,
                    sent_us,
                };
                self.call
                    .check_stream_answer(self.engine, answer, sent, kv_guard)
            }
            Err(outcome) => {
                if outcome == LOST {
                    let lost = LostAttempt {
                        sent_us,
                        has_begun: false,
                    };
                    self.call.on_lost_attempt(&runner, lost);
                }
                if outcome != AttemptOutcome::Unknown(UnknownReason::Timeout) {
                    attempt.on_outcome(outcome, false);
                }
                Err(outcome)
            }
        }
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
        let mut opener = StreamOpener::new(self, engine, last_event_id);
        loop {
            let ready = opener.prepare(attempts).await?;
            let mut runner = ready.id();
            let resumption = Resumption {
                engine,
                last_event_id,
                runner: &runner,
            };
            let sent = opener.send(ready, self.deadline);
            let outcome = match self.wait_or_replace(sent, resumption, attempts).await {
                Waited::Heard(Ok(stream)) => return Ok(stream),
                Waited::Replaced(stream) => return Ok(*stream),
                Waited::Heard(Err(outcome)) => outcome,
                Waited::Failed(other, outcome) => {
                    // The silent runner is not excluded: it may be the only one left.
                    runner = other;
                    outcome
                }
            };
            if outcome == AttemptOutcome::Unknown(UnknownReason::Timeout) {
                self.gateway.scheduler.on_silent_runner(&runner, false);
            }
            if let Err(last) = self.on_failed_attempt(attempts, outcome, &runner) {
                return Err((GatewayAnswer::from_outcome(last), self.decode_wait(engine)));
            }
            opener.exclude(runner);
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
            urgency: Some(self.priority()),
            kv_source: kv_guard.map(KvHandleGuard::source),
            last_event_id,
            ..self.send_metadata(runner_id)
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
        let of_version: Vec<Arc<Runner>>;
        let runners = if self.state.version().is_some() {
            let may_go_on = runners.iter().filter(|runner| self.may_go_on_at(runner));
            of_version = may_go_on.cloned().collect();
            &of_version
        } else {
            runners
        };
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

    /// Returns an error if the request has been sent to runners and the retry budget has nothing left for another one.
    fn check_retry_budget(&self) -> Result<(), GatewayAnswer> {
        if self.may_send(NextSend::Run) {
            return Ok(());
        }
        self.gateway.metrics.increment("retry.budget_used_up");
        Err(GatewayAnswer::Refused(NotRunReason::RetryBudget))
    }

    /// Expected wait for a decode runner, as the time after which the caller should retry.
    fn decode_wait(&self, engine: &EngineLimits) -> Duration {
        let placement = self.choose_decode(engine, true, &[]);
        placement.map_or(Duration::ZERO, |placement| micros(placement.wait_us))
    }

    fn check_admission(
        &self,
        prefill: Option<&Placement>,
        decode: &Placement,
        attempts: &Attempts,
    ) -> Result<(), Refusal> {
        let first_event = expected_first_event(prefill, decode);
        let expected = micros(first_event.in_turn_us);
        let read = micros(prefill.map_or(decode.read_us, Placement::until_first_event_us));
        let left = self.first_event_remaining();
        log::info!(id:% = self.request_id, route:% = self.route.name,
            reader:% = prefill.map_or("-", |r| &r.runner.id), decoder:% = decode.runner.id,
            read_tokens = prefill.map_or(decode.read_tokens, |r| r.read_tokens),
            read_ms = read.as_millis() as u64, wait_ms = micros(decode.wait_us).as_millis() as u64,
            output_tokens = self.metadata.expected_output_tokens(),
            generation_ms = micros(decode.generation_us).as_millis() as u64,
            left_ms = left.as_millis() as u64, config_version = self.config.version,
            runners_revision = self.gateway.snapshot.load().runners_revision,
            knowledge_ms = self.gateway.knowledge.age().as_millis() as u64; "placed");
        self.check_ends_before_stop(expected)?;
        if attempts.failed() > 0 {
            return Ok(());
        }
        let candidate = Candidate {
            objective_us: self.route.objective_ms as f64 * 1e3,
            first_event_left_us: left.as_micros() as f64,
            left_us: self.remaining().as_micros() as f64,
            first_event,
            decode,
        };
        match candidate.check() {
            Ok(turn) => {
                self.state.set_turn(turn);
                Ok(())
            }
            Err(infeasible) => Err((
                GatewayAnswer::DeadlineInfeasible,
                micros(infeasible.wait_us),
            )),
        }
    }

    fn begin_decode(&self, decode: &Placement) -> RunnerAttempt {
        let work = Work {
            read_tokens: decode.read_tokens,
            kv_tokens: self.placement_request().kv_tokens,
            is_deferred: false,
        };
        let scheduler = &self.gateway.scheduler;
        let output_tokens = self.metadata.expected_output_tokens();
        scheduler.on_stream_placed(&self.service, output_tokens, self.remaining());
        scheduler.begin_attempt(&decode.runner, work)
    }

    fn check_stream_answer(
        &self,
        engine: &EngineLimits,
        answer: OwnAnswer,
        sent: SentAttempt,
        kv_guard: Option<&mut KvHandleGuard>,
    ) -> Result<OpenStream, AttemptOutcome> {
        let SentAttempt {
            mut attempt,
            runner,
            sent_us,
        } = sent;
        let OwnAnswer {
            head,
            metadata,
            mut body,
        } = answer;
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
            runner,
            sent_us,
        })
    }
}

/// Expected times until the first event, with a prefill runner or at a decode runner that reads the prompt itself.
fn expected_first_event(prefill: Option<&Placement>, decode: &Placement) -> FirstEvent {
    let Some(prefill) = prefill else {
        let in_turn_us = decode.wait_us + decode.read_us;
        return FirstEvent {
            in_turn_us,
            deferred_us: in_turn_us,
        };
    };
    FirstEvent {
        in_turn_us: prefill.until_first_event_us().max(decode.wait_us),
        deferred_us: prefill.until_deferred_first_event_us().max(decode.wait_us),
    }
}

/// Converts microseconds to a duration; negative values count as zero.
pub fn micros(us: f64) -> Duration {
    Duration::from_micros(us.max(0.0) as u64)
}
