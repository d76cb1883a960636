//! Whether a runner's process has ended, as far as its report tells.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::send_gate::HoldReason;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};

use crate::borrowed_paths::SEARCH_TIMEOUT;
use crate::call::Call;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::upstream::{CallAnswer, Reuse};

/// Time for the runner's report, and for asking other nodes whether they reach the runner.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400).saturating_add(SEARCH_TIMEOUT);
/// How often the runner is asked, if it closes the connection without an answer.
const CHECKS: usize = 3;
/// Pause before it is asked again. A process that is ending closes its connections a moment before, or after, it listens no
/// more.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

/// What a check tells of a runner's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProcessState {
    /// It runs: it answers, and does not say that it is another process.
    Runs,
    /// Something accepts connections, but gives no answer, or says that it fails. That is no sign of a crash, nor of a
    /// process that still runs.
    Unclear,
    /// It has ended: nothing accepts a connection, also one of another node, or it is another process.
    Ended,
    /// Nothing is reached, and no other node can tell whether that is due to the runner or to the network.
    Unknown,
}

/// Asks a runner for its report to find out whether its process has ended.
pub async fn check(gateway: &Gateway, runner: &Runner) -> ProcessState {
    for check in 0..CHECKS {
        if check > 0 {
            tokio::time::sleep(CHECK_PAUSE).await;
        }
        let request = gateway.dialect.report_request(&runner.id);
        let report = gateway.own_calls.call(runner.address, request, Reuse::Any);
        let Ok(answer) = tokio::time::timeout(CHECK_TIMEOUT, report).await else {
            return ProcessState::Unknown;
        };
        match answer {
            Ok(answer) => return state_by_report(gateway, runner, &answer),
            Err(failure) => match failure.outcome {
                // A node that is cut off cannot tell.
                AttemptOutcome::NotRun(NotRunReason::ConnectFailed) => {
                    return if gateway.runner_paths.is_down(runner.address) {
                        ProcessState::Ended
                    } else {
                        ProcessState::Unknown
                    };
                }
                AttemptOutcome::Unknown(UnknownReason::ConnectionLost) => {}
                AttemptOutcome::NotRun(_)
                | AttemptOutcome::Unknown(_)
                | AttemptOutcome::Answered => return ProcessState::Unclear,
            },
        }
    }
    ProcessState::Unclear
}

fn state_by_report(gateway: &Gateway, runner: &Runner, answer: &CallAnswer) -> ProcessState {
    let report = gateway.dialect.runner_report(&answer.body).ok();
    let started_unix_ms = report.and_then(|report| report.started_unix_ms);
    let is_other_start = started_unix_ms.is_some_and(|started| started != runner.started_unix_ms);
    if answer.status == StatusCode::MISDIRECTED_REQUEST || is_other_start {
        ProcessState::Ended
    } else if answer.status.is_success() {
        ProcessState::Runs
    } else {
        ProcessState::Unclear
    }
}

impl ProcessState {
    /// Name in log records and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Runs => "runs",
            Self::Unclear => "unclear",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// Whether a runner is about to stop, or is not registered as ready any more.
fn is_leaving(gateway: &Gateway, runner: &Runner) -> bool {
    let hold = gateway.send_gate.hold(runner);
    let says_so = hold.is_some_and(|withheld| withheld.reason == HoldReason::Leaving);
    says_so || !gateway.snapshot.load().accepts_requests(runner)
}

/// Asks whether the process of a runner goes on after the end of an answer. One that is leaving is asked again: a process
/// that stops may close its connections, and answer for some time, before it ends.
async fn check_end(gateway: &Gateway, runner: &Runner, is_leaving: bool) -> ProcessState {
    let process = check(gateway, runner).await;
    if process != ProcessState::Runs || !is_leaving {
        return process;
    }
    tokio::time::sleep(CHECK_PAUSE).await;
    check(gateway, runner).await
}

impl Call {
    /// Turns the end of a body that is not known to be complete into a failure: it has ended with its connection, and the
    /// runner's process is not known to run. The end of a process that was leaving was planned, so it is not the loss of a
    /// connection, of which the quarantine is told.
    pub async fn check_body_end(
        &self,
        runner: &Runner,
        framing: Framing,
        read: Result<Option<Bytes>, UnknownReason>,
    ) -> Result<Option<Bytes>, UnknownReason> {
        if framing != Framing::UntilClose || !matches!(read, Ok(None)) {
            return read;
        }
        let is_leaving = is_leaving(&self.gateway, runner);
        let (registration, reason) = if is_leaving {
            ("leaving", UnknownReason::EndUnconfirmed)
        } else {
            ("ready", UnknownReason::ConnectionLost)
        };
        let asked = check_end(&self.gateway, runner, is_leaving);
        let process = tokio::time::timeout_at(self.deadline, asked).await;
        let process = process.unwrap_or(ProcessState::Unknown);
        let process_name = process.as_str();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("body.end.{registration}.{process_name}"));
        log::info!(id:% = self.request_id, runner:% = runner.id, is_leaving, process = process_name;
            "runner asked at the end of an answer without a length");
        if process == ProcessState::Runs {
            return read;
        }
        metrics.increment("body.end_not_confirmed");
        Err(reason)
    }
}
