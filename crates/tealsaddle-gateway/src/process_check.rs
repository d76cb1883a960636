//! Whether a runner's process has ended, as far as its reports tell.
//!
//! A report tells of the moment in which it is given, and a process gives it until it ends. Whether a process outlasts the end of
//! a connection is therefore asked several times.

use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::send_gate::HoldReason;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::time::Instant;

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

/// Pauses after which a runner is asked whether it still runs, if an answer waits for it. They are far longer than a crash takes
/// to end all parts of a process.
const SHORT_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(100)];
/// The same for a runner that may be leaving, and have more to do between its last answer and its end.
const LONG_PAUSES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(300),
];

/// For how long a process has to run on after the end of a connection to be taken for one that outlasts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlasting {
    /// For a short time, unless the runner is known to be leaving: something waits for the result.
    Short,
    /// For as long as a runner that is leaving may take to end, since a node may not know yet that it is.
    Long,
}

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
    } else if is_of_the_runner(gateway, answer) {
        ProcessState::Runs
    } else {
        log::info!(runner:% = runner.id, status = answer.status.as_u16();
            "runner asked for its report gives another answer");
        ProcessState::Unclear
    }
}

/// Whether the runner itself has given an answer, and not something in its place that cannot reach it. Runners of plain
/// services have no report, and refuse the call.
fn is_of_the_runner(gateway: &Gateway, answer: &CallAnswer) -> bool {
    let status = answer.status;
    let metadata = gateway.dialect.answer_metadata(&answer.headers);
    status.is_success() || status.is_client_error() || metadata.says_not_run
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
pub fn is_leaving(gateway: &Gateway, runner: &Runner) -> bool {
    let hold = gateway.send_gate.hold(runner);
    let says_so = hold.is_some_and(|withheld| withheld.reason == HoldReason::Leaving);
    says_so || !gateway.snapshot.load().accepts_requests(runner)
}

/// Asks whether the process of a runner outlasts the end of a connection that has just been seen.
///
/// A process that stops or crashes may close its connections, and give its report for some time, before it ends. So one
/// report proves nothing, and the runner is asked again until the process has ended or has run on for long enough.
pub async fn check_outlasts(
    gateway: &Gateway,
    runner: &Runner,
    outlasting: Outlasting,
) -> ProcessState {
    let mut state = check(gateway, runner).await;
    let mut asked_again = 0;
    while state == ProcessState::Runs
        && let Some(pause) = pauses(gateway, runner, outlasting).get(asked_again)
    {
        tokio::time::sleep(*pause).await;
        state = check(gateway, runner).await;
        asked_again += 1;
    }
    state
}

/// Pauses after which a runner is asked again.
fn pauses(gateway: &Gateway, runner: &Runner, outlasting: Outlasting) -> &'static [Duration] {
    if outlasting == Outlasting::Long || is_leaving(gateway, runner) {
        &LONG_PAUSES
    } else {
        &SHORT_PAUSES
    }
}

impl Call {
    /// Turns the end of a body that is not known to be complete into a failure: it has ended with its connection, and the
    /// runner's process is not known to run on. The end of a process that was leaving was planned, so it is not the loss of a
    /// connection, of which the quarantine is told.
    pub async fn check_body_end(
        &self,
        runner: &Runner,
        framing: Framing,
        read: Result<Option<Bytes>, UnknownReason>,
        outlasting: Outlasting,
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
        let ended = Instant::now();
        let asked = check_outlasts(&self.gateway, runner, outlasting);
        let process = tokio::time::timeout_at(self.deadline, asked).await;
        let process = process.unwrap_or(ProcessState::Unknown);
        let process_name = process.as_str();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("body.end.{registration}.{process_name}"));
        let known_after_ms = ended.elapsed().as_millis() as u64;
        log::info!(id:% = self.request_id, runner:% = runner.id, is_leaving, process = process_name, known_after_ms;
            "runner asked at the end of an answer without a length");
        if process == ProcessState::Runs {
            return read;
        }
        metrics.increment("body.end_not_confirmed");
        Err(reason)
    }
}
