//! Replacement of a decode runner that is silent.
//!
//! A runner that sends nothing may have died without a sign, or may go on a moment later. Its connection
//! therefore stays open while another runner is prepared to go on with the stream, if the request may run
//! twice. Only a runner that answers right now is asked: a whole service may be silent. The request is sent to
//! it beside the silent one, which is closed when the other one has begun, or has not refused for some time.
//! As long as no other runner goes on, the silent one is awaited.

use std::pin::Pin;
use std::time::Duration;

use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::call::Call;
use crate::stages::{OpenStream, StreamOpener};
use crate::timeout::timeout_at;
use crate::upstream::Reuse;

/// Time without data from a decode runner after which another one is asked to go on with its stream.
pub const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_400);
/// Time in which a runner that is to replace a silent one has to report its state.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which the silent runner is closed unless the other one has refused the request. The platform
/// allows two runners to work on a stream for 400 ms, and a node that has used up its processor quota is up to
/// 100 ms late.
const MAX_OVERLAP: Duration = Duration::from_millis(200);

/// Where another runner would go on with a stream.
#[derive(Debug, Clone, Copy)]
pub struct Resumption<'a> {
    /// Capacities of the service's runners.
    pub engine: &'a EngineLimits,
    /// Id of the last complete event; `None` before the first one.
    pub last_event_id: Option<&'a str>,
    /// Id of the runner that has the request now.
    pub runner: &'a Name,
}

/// What ended the wait for a runner.
#[derive(Debug)]
pub enum Waited<T> {
    /// The runner was heard.
    Heard(T),
    /// The runner was silent and is closed; another one has begun to go on with the stream.
    Replaced(Box<OpenStream>),
    /// The runner was silent and is closed; another one took its place and failed.
    Failed(Name, AttemptOutcome),
}

impl Call {
    /// Waits for the runner that has the request, of which `hearing` returns the next sign; dropping `hearing`
    /// closes its connection. When it has been silent for some time, another runner may replace it.
    pub async fn wait_or_replace<F>(
        &self,
        hearing: F,
        resumption: Resumption<'_>,
        attempts: &mut Attempts,
    ) -> Waited<F::Output>
    where
        F: Future,
    {
        if !self.route.repeat.may_repeat() {
            return Waited::Heard(hearing.await);
        }
        let mut hearing = Box::pin(hearing);
        let limit = Instant::now() + STREAM_SILENCE_LIMIT;
        match timeout_at(limit, hearing.as_mut()).await {
            Ok(heard) => Waited::Heard(heard),
            Err(_elapsed) => self.replace_silent(hearing, resumption, attempts).await,
        }
    }

    /// Sends the request to other runners until one does not refuse it or the silent one is heard.
    async fn replace_silent<F>(
        &self,
        mut hearing: Pin<Box<F>>,
        resumption: Resumption<'_>,
        attempts: &mut Attempts,
    ) -> Waited<F::Output>
    where
        F: Future,
    {
        let silent = resumption.runner;
        let scheduler = &self.gateway.scheduler;
        scheduler.on_silent_runner(silent, self.progress.has_begun());
        let mut opener = StreamOpener::replacing(silent, self, &resumption);
        while self.on_silence(attempts, 1, silent) {
            let prepared = tokio::select! {
                biased;
                heard = hearing.as_mut() => return Waited::Heard(heard),
                prepared = opener.prepare(attempts) => prepared,
            };
            let Ok(ready) = prepared else {
                break;
            };
            let runner = ready.id();
            let mut sent = Box::pin(opener.send(ready, self.deadline));
            // The silent runner is not heard meanwhile: if it went on, both would work on the stream.
            let Ok(early) = tokio::time::timeout(MAX_OVERLAP, sent.as_mut()).await else {
                drop(hearing);
                attempts.count(SILENT);
                return match begun(sent.await) {
                    Ok(stream) => Waited::Replaced(Box::new(stream)),
                    Err(outcome) => Waited::Failed(runner, outcome),
                };
            };
            drop(sent);
            match begun(early) {
                Ok(stream) => {
                    attempts.count(SILENT);
                    return Waited::Replaced(Box::new(stream));
                }
                Err(outcome) => attempts.count(outcome),
            }
            log::info!(id:% = self.request_id, runner:%; "silent runner was not replaced");
            opener.exclude(runner);
        }
        Waited::Heard(hearing.await)
    }

    /// Whether a runner answers now: it has answered this node just before, or reports its state at once.
    pub async fn is_responsive(&self, runner: &Runner) -> bool {
        let gateway = &self.gateway;
        let scheduler = &gateway.scheduler;
        if scheduler.has_answered_within(&runner.id, REPORT_TIMEOUT) {
            return true;
        }
        if !gateway.send_gate.allows_own_calls(runner) {
            return false;
        }
        let request = gateway.dialect.report_request(&runner.id);
        let report = gateway.own_calls.call(runner.address, request, Reuse::Any);
        let reported = tokio::time::timeout(REPORT_TIMEOUT, report).await;
        let is_responsive = matches!(reported, Ok(Ok(answer)) if answer.status.is_success());
        if !is_responsive {
            log::info!(id:% = self.request_id, runner:% = runner.id; "other runner does not report its state");
        }
        is_responsive
    }
}

/// Outcome of the attempt at a silent runner that is closed.
const SILENT: AttemptOutcome = AttemptOutcome::Unknown(UnknownReason::Timeout);

/// The stream, if the runner goes on with it; a failure status cannot continue what the caller has received.
fn begun(sent: Result<OpenStream, AttemptOutcome>) -> Result<OpenStream, AttemptOutcome> {
    let stream = sent?;
    if stream.head.status.is_success() {
        Ok(stream)
    } else {
        Err(AttemptOutcome::Unknown(UnknownReason::TargetFailed))
    }
}
