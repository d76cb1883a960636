//! A call: an admitted request, with what its attempts at runners share.
//!
//! A call is dropped when its caller disconnects, which also cancels its requests to runners. The end of a
//! request is logged once, by [`Call::log_end`] or when the call is dropped.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::http;
use tealsaddle_core::arrivals::NextSend;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::admission::Turn;
use tealsaddle_core::fleet::config::{FleetConfig, RepeatPolicy, Route};
use tealsaddle_core::fleet::customers::Customer;
use tealsaddle_core::fleet::placement::PlacementRequest;
use tealsaddle_core::fleet::quarantine::subject::RequestDigest;
use tealsaddle_core::fleet::{prompt_tokens, shared_parts};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, NotRunReason, UnknownReason};
use tokio::time::Instant;

use crate::answer::GatewayAnswer;
use crate::caller_memory::BodyShare;
use crate::clock::{self, jittered};
use crate::external::{AnswerMetadata, RequestMetadata, SendMetadata};
use crate::framing::Framing;
use crate::gateway::{Gateway, InFlightGuard};
use crate::outgoing::OutgoingRequest;
use crate::progress::Progress;
use crate::repeats::SharedArrivals;
use crate::send_gate::SendPermit;
use crate::sizing::outcomes;
use crate::timeout::timeout_at;
use crate::upstream::{Answer, AnswerBody, Reuse};

/// A request is refused if its first event is expected after this share of the remaining time. While the
/// node stops, the same holds for the end of the request.
pub const FEASIBLE_SHARE: f64 = 0.9;
/// Shortest `Retry-After` of a refusal, before jitter.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest `Retry-After`, as a share of the remaining time: callers do not honour a longer one.
const RETRY_AFTER_SHARE: f64 = 0.33;

/// A request that has a route and whose body has arrived.
#[derive(Debug)]
pub struct Call {
    /// State that all requests of the node share.
    pub gateway: Arc<Gateway>,
    /// Configuration by which the request was routed; later ones do not affect it.
    pub config: Arc<FleetConfig>,
    /// Matching route of the configuration.
    pub route: Arc<Route>,
    /// Service chosen among the targets of the route.
    pub service: Name,
    /// Id from the caller's headers.
    pub request_id: String,
    /// The customer whose key the request bears; `None` if the configuration has no customers, or for a request on a
    /// public route without the key of a customer.
    pub customer: Option<Arc<Customer>>,
    /// What the caller's headers say.
    pub metadata: RequestMetadata,
    /// When the head of the request had arrived.
    pub started: Instant,
    /// Deadline of the whole answer, set by the route or the caller.
    pub deadline: Instant,
    /// Which of the two set the deadline.
    pub deadline_source: DeadlineSource,
    /// Deadline of the first event of a stream, after which the caller gives up.
    pub first_event_deadline: Instant,
    /// Request as it is sent to runners.
    pub request: OutgoingRequest,
    /// Counts the body as held until the call ends.
    pub body_share: BodyShare,
    /// Event times of the stream.
    pub progress: Progress,
    /// State of the attempts and of the log.
    pub state: CallState,
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
}

/// What sets the deadline of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineSource {
    /// The timeout of the route, in the configuration by which the request was routed.
    Route,
    /// The caller's own deadline, which is earlier.
    Caller,
}

impl DeadlineSource {
    /// Name in log records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Caller => "caller",
        }
    }
}

/// An answer of a runner to a request of this call.
#[derive(Debug)]
pub struct OwnAnswer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// What the headers say.
    pub metadata: AnswerMetadata,
    /// Body, which is still arriving.
    pub body: AnswerBody,
}

/// The one request of the fleet that tries what a decision has quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trial {
    /// Id of the decision.
    pub decision: Name,
    /// Number of the trial since the decision, from 1.
    pub number: u32,
}

/// State of a call that changes while it runs.
#[derive(Debug, Default)]
pub struct CallState {
    /// What was sent to runners.
    pub arrivals: SharedArrivals,
    /// Number of runners that may run the request. A runner whose attempt has failed does not count.
    maybe_running: AtomicU32,
    /// Whether prefill runners read the prompt after those of requests that can be on time.
    is_deferred: AtomicBool,
    /// The trial that this request is; empty for all other requests.
    trial: OnceLock<Trial>,
    digest: OnceLock<RequestDigest>,
    /// Software version at which the stream has begun; only runners of it may go on.
    version: OnceLock<Name>,
    /// Whether events of this answer were passed on.
    has_begun_stream: AtomicBool,
    has_ended: AtomicBool,
    /// Whether the request has been counted for its customer.
    is_counted: AtomicBool,
}

/// An answer of the gateway, and the time after which the caller should retry.
pub type Refusal = (GatewayAnswer, Duration);

impl Drop for Call {
    fn drop(&mut self) {
        if !self.state.has_ended.load(Ordering::Relaxed) {
            let has_stopped = self.gateway.answer_cutoff.is_cancelled();
            let outcome = if has_stopped {
                UnknownReason::NodeStopped.as_str()
            } else {
                "caller_left"
            };
            self.log_end(outcome, "-", 0);
        }
    }
}

impl CallState {
    /// Records when prefill runners read the prompt.
    pub fn set_turn(&self, turn: Turn) {
        let is_deferred = turn == Turn::Deferred;
        self.is_deferred.store(is_deferred, Ordering::Relaxed);
    }

    /// Whether prefill runners read the prompt after those of requests that can be on time.
    pub fn is_deferred(&self) -> bool {
        self.is_deferred.load(Ordering::Relaxed)
    }

    /// Records that this request is a trial.
    pub fn begin_trial(&self, trial: Trial) {
        self.trial.get_or_init(|| trial);
    }

    /// Records that events are passed on; returns whether some were before.
    pub fn begin_stream(&self) -> bool {
        self.has_begun_stream.swap(true, Ordering::Relaxed)
    }

    /// Binds the stream to the software version that has begun it.
    pub fn bind_version(&self, version: &Name) {
        self.version.get_or_init(|| Name::clone(version));
    }

    /// Software version at which the stream has begun; `None` before its first event.
    pub fn version(&self) -> Option<&Name> {
        self.version.get()
    }

    /// The trial that this request is.
    pub fn trial(&self) -> Option<&Trial> {
        self.trial.get()
    }
}

impl Call {
    /// Digest of the request, which is computed when it is first asked for.
    pub fn digest(&self) -> RequestDigest {
        let digest = || self.request.digest(&*self.gateway.dialect);
        *self.state.digest.get_or_init(digest)
    }

    /// Priority class of the request: that of its customer, or else of its route.
    pub fn priority(&self) -> u32 {
        let of_customer = self.customer.as_ref().and_then(|c| c.priority);
        of_customer.unwrap_or(self.route.priority)
    }

    /// The answer at the end of a stop, if no runner has answered by then.
    pub fn answer_at_stop(&self) -> Refusal {
        let own = if self.state.maybe_running.load(Ordering::Relaxed) > 0 {
            GatewayAnswer::Unknown(UnknownReason::NodeStopped)
        } else {
            GatewayAnswer::Stopping
        };
        (own, Duration::ZERO)
    }

    /// Returns an error if the node is stopping and the request is not expected to end before
    /// [`Stop::answers_end`](crate::stop::Stop::answers_end). `wait` is the expected time until its first
    /// event.
    pub fn check_ends_before_stop(&self, wait: Duration) -> Result<(), Refusal> {
        let Some(stop) = self.gateway.current_stop() else {
            return Ok(());
        };
        let snapshot = self.gateway.snapshot.load();
        let runners = snapshot.runners_of(&self.service);
        let output_tokens = self.metadata.expected_output_tokens();
        let scheduler = &self.gateway.scheduler;
        let generation_us = scheduler.generation_us(runners, output_tokens);
        let expected = wait + Duration::from_micros(generation_us as u64);
        // The objective of the route is the only estimate for a plain service, and for a model before its
        // first stream has ended.
        let expected = expected.max(Duration::from_millis(self.route.objective_ms));
        let left = stop.answers_end.saturating_duration_since(Instant::now());
        if expected > left.mul_f64(FEASIBLE_SHARE) {
            return Err((GatewayAnswer::Stopping, Duration::ZERO));
        }
        Ok(())
    }

    /// Records a failed attempt and decides whether another one may follow; otherwise returns the outcome of
    /// all attempts.
    pub fn on_failed_attempt(
        &self,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
        runner: &str,
    ) -> Result<(), AttemptOutcome> {
        let mut decision = attempts.allows_after(outcome);
        let is_unknown = matches!(outcome, AttemptOutcome::Unknown(_));
        if is_unknown && self.state.trial().is_some() {
            decision = Err(GiveUp::Attempts);
        }
        if decision.is_ok() && !self.may_send(NextSend::Run) {
            decision = Err(GiveUp::Budget);
        }
        let name = match decision {
            Ok(()) => "retry.granted".to_owned(),
            Err(give_up) => format!("retry.{}", give_up.as_str()),
        };
        self.gateway.metrics.increment(&name);
        log::info!(id:% = self.request_id, runner:%, outcome:? = outcome, decision:% = name,
            made = attempts.failed(), has_begun = self.progress.has_begun(),
            shared_parts = self.shared_parts_text(); "attempt failed");
        match decision {
            Ok(()) if !self.remaining().is_zero() => Ok(()),
            Ok(()) | Err(_) => Err(attempts.outcome(outcome)),
        }
    }

    /// Logs that the last of `running` runners is silent, and returns whether the request allows another
    /// attempt beside them.
    pub fn on_silence(&self, attempts: &Attempts, running: u32, runner: &str) -> bool {
        let mut decision = attempts.allows_beside(running);
        if self.state.trial().is_some() {
            decision = Err(GiveUp::Attempts);
        }
        let name = match decision {
            Ok(()) => "silence.replaceable".to_owned(),
            Err(give_up) => format!("silence.{}", give_up.as_str()),
        };
        self.gateway.metrics.increment(&name);
        log::info!(id:% = self.request_id, runner:%, decision:% = name, running,
            failed_attempts = attempts.failed(); "runner is silent");
        decision.is_ok()
    }

    /// Takes the attempt at another runner than a silent one out of the retry budget.
    pub fn may_ask_other(&self) -> bool {
        let is_granted = self.may_send(NextSend::Run);
        let name = if is_granted {
            "silence.granted"
        } else {
            "silence.budget_used_up"
        };
        self.gateway.metrics.increment(name);
        is_granted
    }

    /// Sends the request to a runner, with the permission to do so, and waits until `limit` for the head of the answer.
    pub async fn exchange_until(
        &self,
        runner: &Runner,
        permit: SendPermit,
        metadata: &SendMetadata<'_>,
        limit: Instant,
    ) -> Result<OwnAnswer, AttemptOutcome> {
        let reuse = if self.route.repeat.may_repeat() || metadata.is_prefill_only {
            Reuse::Any
        } else {
            Reuse::Recent
        };
        let request = self.request.to_runner(metadata, &*self.gateway.dialect);
        let upstreams = &self.gateway.upstreams;
        if !self.gateway.send_gate.confirm(permit, runner) {
            return Err(AttemptOutcome::NotRun(NotRunReason::Withheld));
        }
        let sent_us = clock::now_us();
        if !self.begin_send(runner, metadata.is_prefill_only) {
            return Err(AttemptOutcome::NotRun(NotRunReason::RetryBudget));
        }
        let sent = upstreams.send(runner.address, request, reuse);
        let running = u32::from(!metadata.is_prefill_only);
        let maybe_running = &self.state.maybe_running;
        maybe_running.fetch_add(running, Ordering::Relaxed);
        let result = match timeout_at(limit, sent).await {
            Ok(Ok(answer)) => match self.own_answer(answer) {
                Some(answer) => {
                    self.on_answer_head(runner, &answer, sent_us);
                    return Ok(answer);
                }
                // The connection is closed: the answer to this request may still follow.
                None => AttemptOutcome::Unknown(UnknownReason::InvalidAnswer),
            },
            Ok(Err(failure)) => failure.outcome,
            Err(_elapsed) => AttemptOutcome::Unknown(UnknownReason::Timeout),
        };
        // From here on, `Attempts` tracks whether the request may have run.
        maybe_running.fetch_sub(running, Ordering::Relaxed);
        if matches!(result, AttemptOutcome::NotRun(_)) {
            self.state.arrivals.lock().on_unsent();
        }
        Err(result)
    }

    /// The answer with its metadata; `None` if it belongs to another request. One that names no request is taken
    /// for one to this.
    fn own_answer(&self, answer: Answer) -> Option<OwnAnswer> {
        let Answer { head, body } = answer;
        let metadata = self.gateway.dialect.answer_metadata(&head.headers);
        let answered_id = metadata.request_id.as_deref();
        if answered_id.is_some_and(|id| id != self.request_id) {
            return None;
        }
        Some(OwnAnswer {
            head,
            metadata,
            body,
        })
    }

    /// Metadata of a request to a runner, without those of prefill and streams.
    pub fn send_metadata<'a>(&self, runner_id: &'a str) -> SendMetadata<'a> {
        SendMetadata {
            runner_id,
            remaining: self.remaining(),
            urgency: None,
            is_prefill_only: false,
            kv_source: None,
            fetches_from: None,
            last_event_id: None,
        }
    }

    /// The properties of the request by which a runner is chosen.
    pub fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            parts: &self.metadata.parts,
            kv_tokens: prompt_tokens(&self.metadata.parts) + self.metadata.output_tokens,
            output_tokens: self.metadata.expected_output_tokens(),
            left_us: self.remaining().as_micros() as f64,
            zone: &self.gateway.config.zone,
            body_bytes: self.request.body_bytes(),
            is_doubtful: self.state.trial().is_some(),
        }
    }

    /// Records that events are passed on to the caller now.
    pub fn on_events(&self) {
        let first = self.progress.on_events(self.started.elapsed());
        if let Some(took) = first {
            self.gateway.metrics.latency("request.first_event", took);
        }
    }

    /// Counts the request for its customer once, when it begins to run: at the first event of a stream, or the answer of a
    /// plain service. A stream that the caller takes up was counted when it began.
    pub fn count_usage(&self) {
        let is_resumable = self.route.repeat == RepeatPolicy::ResumableStream;
        let is_taken_up = is_resumable && self.metadata.last_event_id.is_some();
        if !is_taken_up && !self.state.is_counted.swap(true, Ordering::Relaxed) {
            self.gateway.usage.count(self.customer.as_deref());
        }
    }

    /// Deadline of the next event. Until the first event has been passed on, this is
    /// [`first_event_deadline`](Self::first_event_deadline); afterwards it is the deadline of the whole
    /// answer, also while another runner resumes the stream.
    pub fn event_deadline(&self) -> Instant {
        if self.progress.has_begun() {
            self.deadline
        } else {
            self.first_event_deadline
        }
    }

    /// Time until the deadline; zero after it.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// `Retry-After` of a refusal: the expected wait `wait` for a runner, within limits, and jittered so that
    /// callers do not return at the same time. The whole time is told for what is quarantined, for a customer that
    /// has used its share, and while the runners
    /// have asked for no request: it would be refused again before.
    pub fn retry_after(&self, answer: GatewayAnswer, wait: Duration) -> Duration {
        let is_quarantined = matches!(
            answer,
            GatewayAnswer::QuarantinedPart | GatewayAnswer::QuarantinedRequest
        );
        if is_quarantined || answer == GatewayAnswer::FairShare {
            return wait + jittered(MIN_RETRY_AFTER);
        }
        if matches!(answer, GatewayAnswer::Withheld(_)) {
            return wait + jittered(MIN_RETRY_AFTER.max(wait));
        }
        let longest = self.remaining().mul_f64(RETRY_AFTER_SHARE);
        jittered(wait.max(MIN_RETRY_AFTER).min(longest))
    }

    /// Logs and counts that the caller's connection is closed before the end of an answer whose start was
    /// passed on.
    pub fn log_truncated(&self, reason: &str, runner: &str) {
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("answer.truncated.{reason}"));
        let current = self.gateway.snapshot.load();
        let current_config_version = current.config.as_ref().map(|config| config.version);
        log::info!(id:% = self.request_id, runner:%, reason, deadline_source = self.deadline_source.as_str(),
            config_version = self.config.version, current_config_version,
            silent_ms = self.progress.since_last(self.started.elapsed()).as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64, has_begun = self.progress.has_begun(),
            shared_parts = self.shared_parts_text(); "answer truncated");
    }

    /// Logs where the body of a runner's answer ended, if it was broken off or its framing does not tell.
    /// `incomplete_bytes` is the number of bytes after the last complete event; 0 for a body without events.
    pub fn log_body_end(
        &self,
        runner: &str,
        framing: Framing,
        incomplete_bytes: usize,
        is_complete: bool,
    ) {
        if is_complete && framing != Framing::UntilClose {
            return;
        }
        let end = if is_complete {
            "complete"
        } else {
            "broken_off"
        };
        let framing = framing.as_str();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("answer.{end}.{framing}"));
        log::info!(id:% = self.request_id, runner:%, framing, incomplete_bytes, end; "answer body ended");
    }

    /// Ids of the shared parts of the prompt, as in the caller's headers, for log records.
    fn shared_parts_text(&self) -> String {
        let shared = shared_parts(&self.metadata.parts);
        let ids: Vec<String> = shared.iter().map(|p| format!("{:x}", p.id)).collect();
        ids.join(",")
    }

    /// Logs the end of the request and counts its outcome and latency. `runner` is the id of the runner
    /// whose attempt decided the outcome, or `-`.
    pub fn log_end(&self, outcome: &str, runner: &str, failed_attempts: u32) {
        self.state.has_ended.store(true, Ordering::Relaxed);
        let took = self.started.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("request.{outcome}"));
        metrics.latency("request.total", took);
        let is_late = outcomes::is_late(&self.route, &self.progress, took);
        let scheduler = &self.gateway.scheduler;
        scheduler.on_request_end(&self.service, outcomes::is_lack(outcome), is_late);
        let arrivals = *self.state.arrivals.lock();
        log::info!(id:% = self.request_id, route:% = self.route.name, service:% = self.service,
            config_version = self.config.version, outcome:%, runner:%, failed_attempts,
            sent = arrivals.sent(), repeats = arrivals.repeats(), deducted = arrivals.deducted(),
            took_ms = took.as_millis() as u64,
            first_event_ms = self.progress.first_event_ms(),
            longest_pause_ms = self.progress.longest_pause_ms(), left_ms = self.remaining().as_millis() as u64;
            "request ended");
    }
}
