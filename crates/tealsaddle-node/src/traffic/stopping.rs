//! Signals for the stages of a planned stop.
//!
//! An aborted request ends at the point where it waits. Its outcome is therefore exact: not run if
//! nothing was sent, unknown otherwise.

use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Cancellation tokens for the stages of a planned stop.
#[derive(Debug, Clone, Default)]
pub struct StopSignals {
    /// Cancelled when the node accepts no more connections. Requests that have not arrived completely are
    /// refused from then on.
    pub closing: CancellationToken,
    /// Cancelled when the time limit of the stop is over and requests in flight are aborted.
    pub aborting: CancellationToken,
}

impl StopSignals {
    /// Sends a request with `send`, unless requests are aborted already, and waits like [`Self::wait`].
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

    /// Waits for an answer until a deadline, or until requests are aborted.
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
