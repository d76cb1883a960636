//! A call: a request that was admitted, with its attempts and its end.
//!
//! A call is dropped when its caller goes away, and everything that it holds at runners is dropped with
//! it. The last line of a request in the log is written once, by [`Call::log_end`] or on the drop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::{FleetConfig, Route};
use tealsaddle_core::fleet::place::Ask;
use tealsaddle_core::fleet::prompt_tokens;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::GatewayAnswer;
use crate::clock::jittered;
use crate::external::{RequestMetadata, SendMetadata};
use crate::gateway::{Gateway, InFlightGuard};
use crate::outgoing::OutgoingRequest;
use crate::progress::Progress;
use crate::upstream::{Answer, Reuse};

/// A request is refused when its first event, or while the node stops its end, is expected after this share
/// of the time left.
pub const FEASIBLE_SHARE: f64 = 0.9;
/// Shortest wait that a refusal asks for.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Callers honour a wait of up to this share of the time that they have left.
const RETRY_AFTER_SHARE: f64 = 0.33;

/// A request that has a route and whose body has arrived.
#[derive(Debug)]
pub struct Call {
    /// What all requests share.
    pub gateway: Arc<Gateway>,
    /// Configuration that routed it.
    pub config: Arc<FleetConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: Name,
    /// Its id.
    pub request_id: String,
    /// What the caller says.
    pub metadata: RequestMetadata,
    /// When its head had arrived.
    pub started: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    /// When the caller gives up if the stream has not begun.
    pub first_event_deadline: Instant,
    /// What is sent to runners.
    pub request: OutgoingRequest,
    /// How its stream gets on.
    pub progress: Progress,
    /// How far it has come.
    pub state: CallState,
    /// Counts it at the gateway.
    pub in_flight: InFlightGuard,
}

/// How far a call has come.
#[derive(Debug, Default)]
pub struct CallState {
    /// Whether a runner has been sent the request and has not said what became of it.
    is_at_runner: AtomicBool,
    has_ended: AtomicBool,
}

/// An answer of the gateway's own, and the time after which another try makes sense.
pub type Refused = (GatewayAnswer, Duration);

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

impl Call {
    /// The answer of a node that stops before there is another one.
    pub fn answer_at_stop(&self) -> Refused {
        let own = if self.state.is_at_runner.load(Ordering::Relaxed) {
            GatewayAnswer::Unknown(UnknownReason::NodeStopped)
        } else {
            GatewayAnswer::Stopping
        };
        (own, Duration::ZERO)
    }

    /// Refuses a run that is expected to outlast the node; `wait` is the time until its first event.
    pub fn check_ends_before_stop(&self, wait: Duration) -> Result<(), Refused> {
        let Some(stop) = self.gateway.stopping() else {
            return Ok(());
        };
        let scheduler = &self.gateway.scheduler;
        let generation_us = scheduler.generation_us(&self.service, self.metadata.output_tokens);
        let expected = wait + Duration::from_micros(generation_us as u64);
        // Before any stream has ended, and for a plain service, nothing better is known.
        let expected = expected.max(Duration::from_millis(self.route.objective_ms));
        let left = stop.answers_end.saturating_duration_since(Instant::now());
        if expected > left.mul_f64(FEASIBLE_SHARE) {
            return Err((GatewayAnswer::Stopping, Duration::ZERO));
        }
        Ok(())
    }

    /// Decides whether another attempt may follow a failed one.
    pub fn may_retry(
        &self,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
        runner: &str,
    ) -> Result<(), AttemptOutcome> {
        let scheduler = &self.gateway.scheduler;
        let decision = scheduler.on_failure(&self.service, attempts, outcome);
        let name = match decision {
            Ok(()) => "retry.granted".to_owned(),
            Err(give_up) => format!("retry.{}", give_up.as_str()),
        };
        self.gateway.metrics.increment(&name);
        log::info!(id:% = self.request_id, runner:%, outcome:? = outcome, decision:% = name,
            made = attempts.made(); "attempt failed");
        match decision {
            Ok(()) if !self.remaining().is_zero() => Ok(()),
            Ok(()) | Err(_) => Err(attempts.outcome(outcome)),
        }
    }

    /// Sends the request to a runner and waits for the head of the answer until `limit`.
    pub async fn exchange_until(
        &self,
        runner: &Runner,
        metadata: &SendMetadata<'_>,
        limit: Instant,
    ) -> Result<Answer, AttemptOutcome> {
        let reuse = if self.route.repeat.may_repeat() || metadata.is_prefill_only {
            Reuse::Any
        } else {
            Reuse::Recent
        };
        let request = self.request.to_runner(metadata, &*self.gateway.dialect);
        let upstreams = &self.gateway.upstreams;
        let sent = upstreams.send(runner.address, request, reuse);
        let is_run = !metadata.is_prefill_only;
        self.state.is_at_runner.store(is_run, Ordering::Relaxed);
        let result = match tokio::time::timeout_at(limit, sent).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => failure.outcome,
            Err(_elapsed) => AttemptOutcome::Unknown(UnknownReason::Timeout),
        };
        // From here on the attempts say whether it may have run.
        self.state.is_at_runner.store(false, Ordering::Relaxed);
        Err(result)
    }

    /// What is set on a request to a runner that runs it as it is.
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

    /// What placing needs to know of the request.
    pub fn ask(&self) -> Ask<'_> {
        Ask {
            parts: &self.metadata.parts,
            kv_tokens: prompt_tokens(&self.metadata.parts) + self.metadata.output_tokens,
            zone: &self.gateway.config.zone,
            body_bytes: self.request.body_bytes(),
        }
    }

    /// Notes that the caller gets events now.
    pub fn on_events(&self) {
        let first = self.progress.on_events(self.started.elapsed());
        if let Some(took) = first {
            self.gateway.metrics.latency("request.first_event", took);
        }
    }

    /// When the stream has to begin; a stream that goes on elsewhere has the whole time.
    pub fn event_deadline(&self) -> Instant {
        if self.progress.has_begun() {
            self.deadline
        } else {
            self.first_event_deadline
        }
    }

    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// When the caller should come back: not before the work ahead is done, and not all at once.
    pub fn retry_after(&self, wait: Duration) -> Duration {
        let most = self.remaining().mul_f64(RETRY_AFTER_SHARE);
        jittered(wait.max(MIN_RETRY_AFTER).min(most))
    }

    /// Writes the line at the end of a request.
    pub fn log_end(&self, outcome: &str, runner: &str, failed_attempts: u32) {
        self.state.has_ended.store(true, Ordering::Relaxed);
        let took = self.started.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("request.{outcome}"));
        metrics.latency("request.total", took);
        log::info!(id:% = self.request_id, route:% = self.route.name, service:% = self.service,
            config_version = self.config.version, outcome:%, runner:%, failed_attempts,
            took_ms = took.as_millis() as u64,
            first_event_ms = self.progress.first_event_ms(),
            longest_pause_ms = self.progress.longest_pause_ms(), left_ms = self.remaining().as_millis() as u64;
            "request ended");
    }
}
