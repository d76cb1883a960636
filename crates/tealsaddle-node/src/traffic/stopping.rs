//! How far a planned stop is, for the requests that are on their way.
//!
//! A request that is given up ends where it waits, so that its outcome is the one that holds there: not
//! run if nothing was sent, unknown if it was.

use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Moments of a planned stop.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Cancelled when the node takes no more connections; what has not arrived whole is refused.
    pub closing: CancellationToken,
    /// Cancelled when the requests in flight are given up.
    pub aborting: CancellationToken,
}

impl StopSignals {
    /// Sends a request with `send`, unless requests are given up already, and waits as
    /// [`Self::wait`] does.
    pub async fn send<F>(&self, deadline: Instant, send: F) -> Result<F::Output, AttemptOutcome>
    where
        F: Future,
    {
        if self.aborting.is_cancelled() {
            return Err(AttemptOutcome::NotRun(NotRunReason::NodeStopping));
        }
        let answer = self.wait(deadline, send).await;
        answer.map_err(AttemptOutcome::Unknown)
    }

    /// Waits for a target until a deadline, or until requests are given up.
    pub async fn wait<F>(&self, deadline: Instant, answer: F) -> Result<F::Output, UnknownReason>
    where
        F: Future,
    {
        let answer = tokio::time::timeout_at(deadline, answer);
        match self.aborting.run_until_cancelled(answer).await {
            Some(Ok(output)) => Ok(output),
            Some(Err(_elapsed)) => Err(UnknownReason::Timeout),
            None => Err(UnknownReason::NodeStopped),
        }
    }
}
