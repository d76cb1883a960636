//! Replacement of a decode runner that is silent.
//!
//! A runner that sends nothing may have died without a sign, or may go on a moment later. Its connection
//! therefore stays open, and another runner is asked beside it if the request may run twice. Whichever is
//! heard first serves the caller and the other one is closed, so that both work on the stream for a short
//! time at most. If no other runner goes on, the wait for the silent one lasts until the deadline.

use std::time::Duration;

use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::call::Call;
use crate::stages::{OpenStream, StreamOpener};

/// Time without data from a decode runner after which another one is asked to go on with its stream.
pub const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_400);
/// Time that another runner gets for the head of the stream. Both runners may work on the stream meanwhile,
/// for which the platform allows 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

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
    /// The runner was silent, and another one has begun to go on with the stream.
    Replaced(Box<OpenStream>),
}

impl Call {
    /// Waits for the runner that has the request, of which `hearing` returns the next sign. When it has been
    /// silent for some time, another runner may replace it.
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
        tokio::pin!(hearing);
        if let Ok(heard) = tokio::time::timeout(STREAM_SILENCE_LIMIT, hearing.as_mut()).await {
            return Waited::Heard(heard);
        }
        let has_begun = self.progress.has_begun();
        let scheduler = &self.gateway.scheduler;
        scheduler.on_silent_runner(resumption.runner, has_begun);
        let replacement = tokio::select! {
            // The runner that has the request goes first, so that no event is lost if both are ready.
            biased;
            heard = hearing.as_mut() => return Waited::Heard(heard),
            replacement = self.open_beside(resumption, attempts) => replacement,
        };
        match replacement {
            Some(stream) => Waited::Replaced(Box::new(stream)),
            None => Waited::Heard(hearing.await),
        }
    }

    /// Opens the stream at another runner than the silent one. Returns `None` if no other runner goes on with
    /// it.
    async fn open_beside(
        &self,
        resumption: Resumption<'_>,
        attempts: &mut Attempts,
    ) -> Option<OpenStream> {
        let Resumption {
            engine,
            last_event_id,
            runner: silent,
        } = resumption;
        let excluded = vec![Name::clone(silent)];
        let mut opener = StreamOpener::new(self, engine, last_event_id, excluded);
        while self.may_run_beside(attempts, 1, silent) {
            let ready = opener.prepare(attempts).await.ok()?;
            self.check_ends_before_stop(Duration::ZERO).ok()?;
            let runner = ready.id();
            let before = *attempts;
            // Counted before the outcome is known, since the attempt may be dropped: it may have run then.
            attempts.count(AttemptOutcome::Unknown(UnknownReason::Timeout));
            let limit = self.deadline.min(Instant::now() + MAX_OVERLAP);
            let outcome = match opener.send(ready, limit).await {
                Ok(stream) if stream.head.status.is_success() => return Some(stream),
                Ok(_failed) => AttemptOutcome::Unknown(UnknownReason::TargetFailed),
                Err(outcome) => outcome,
            };
            *attempts = before;
            attempts.count(outcome);
            log::info!(id:% = self.request_id, runner:%, outcome:?; "silent runner was not replaced");
            opener.exclude(runner);
        }
        None
    }
}
