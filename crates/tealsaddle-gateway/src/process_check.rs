//! Whether a runner's process has ended, as far as its report tells.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};

use crate::borrowed_paths::SEARCH_TIMEOUT;
use crate::call::Call;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::upstream::Reuse;

/// Time for the runner's report, and for asking other nodes whether they reach the runner.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400).saturating_add(SEARCH_TIMEOUT);
/// How often the runner is asked, if it closes the connection without an answer.
const CHECKS: usize = 2;

/// Whether the process of a runner has ended: nothing accepts a connection, also one of another node, or it is another
/// process.
pub async fn has_ended(gateway: &Gateway, runner: &Runner) -> bool {
    for _check in 0..CHECKS {
        let request = gateway.dialect.report_request(&runner.id);
        let report = gateway.own_calls.call(runner.address, request, Reuse::Any);
        let Ok(answer) = tokio::time::timeout(CHECK_TIMEOUT, report).await else {
            return false;
        };
        match answer {
            Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => return true,
            Ok(answer) => {
                let report = gateway.dialect.runner_report(&answer.body).ok();
                let started_unix_ms = report.and_then(|report| report.started_unix_ms);
                return started_unix_ms.is_some_and(|started| started != runner.started_unix_ms);
            }
            Err(failure) => match failure.outcome {
                // A node that is cut off cannot tell.
                AttemptOutcome::NotRun(NotRunReason::ConnectFailed) => {
                    return gateway.runner_paths.is_down(runner.address);
                }
                AttemptOutcome::Unknown(UnknownReason::ConnectionLost) => {}
                AttemptOutcome::NotRun(_)
                | AttemptOutcome::Unknown(_)
                | AttemptOutcome::Answered => return false,
            },
        }
    }
    false
}

impl Call {
    /// Turns the end of a body that is not complete into the loss of its connection: it has ended with its
    /// connection, and the runner's process has crashed. A process that was leaving ends after its answers.
    pub async fn check_body_end(
        &self,
        runner: &Runner,
        framing: Framing,
        read: Result<Option<Bytes>, UnknownReason>,
    ) -> Result<Option<Bytes>, UnknownReason> {
        if framing != Framing::UntilClose || !matches!(read, Ok(None)) {
            return read;
        }
        let is_leaving = !self.gateway.snapshot.load().accepts_requests(runner);
        if is_leaving || !has_ended(&self.gateway, runner).await {
            return read;
        }
        Err(UnknownReason::ConnectionLost)
    }
}
