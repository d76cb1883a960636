//! Answers that the gateway gives itself, and what an answer of a runner means.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};

use crate::external::AnswerMetadata;

/// Why a body ended early.
#[derive(Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut short")
    }
}

impl std::error::Error for Aborted {}

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// A body that is complete.
pub fn full(bytes: Bytes) -> Body {
    let never = |never: Infallible| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// Why the gateway answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayAnswer {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route takes the request.
    NoRoute,
    /// The request has no host.
    NoHost,
    /// The request has no id.
    NoRequestId,
    /// The caller speaks HTTP/1.0, where the end of a connection that was cut looks like the end of its
    /// answer.
    OldProtocol,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The body was cut off.
    BodyCutOff,
    /// No runner takes work.
    NoRunner,
    /// It could not be answered by its deadline.
    DeadlineInfeasible,
    /// The node stops before it could be answered.
    Stopping,
    /// The runners refused it.
    Refused(NotRunReason),
    /// It may have run, and no answer came.
    Unknown(UnknownReason),
}

impl GatewayAnswer {
    /// The name used in counters and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoHost => "no_host",
            Self::NoRequestId => "no_request_id",
            Self::OldProtocol => "old_protocol",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::BodyCutOff => "body_cut_off",
            Self::NoRunner => "no_runner",
            Self::DeadlineInfeasible => "deadline_infeasible",
            Self::Stopping => "stopping",
            Self::Refused(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }

    /// The answer to a request whose attempts ended with `outcome`.
    pub const fn of_outcome(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::NotRun(reason) => Self::Refused(reason),
            AttemptOutcome::Unknown(reason) => Self::Unknown(reason),
            AttemptOutcome::Answered => Self::Unknown(UnknownReason::InvalidAnswer),
        }
    }

    /// The answer after attempts of which one may have run: it must not promise that none has.
    #[must_use]
    pub const fn after(self, attempts: &Attempts) -> Self {
        match attempts.outcome(AttemptOutcome::NotRun(NotRunReason::NoTarget)) {
            AttemptOutcome::Unknown(reason) => Self::Unknown(reason),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Answered => self,
        }
    }

    /// The status. 408, 413, 429 and 503 state that the request was not run.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NoRunner
            | Self::DeadlineInfeasible
            | Self::Stopping
            | Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoHost | Self::NoRequestId | Self::BodyCutOff => StatusCode::BAD_REQUEST,
            Self::OldProtocol => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown(UnknownReason::Timeout | UnknownReason::NodeStopped) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the caller should come back: the request has not run and may well be answered then.
    pub fn is_retryable(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Builds the answer.
    pub fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let body = Bytes::from(format!("{}\n", self.as_str()));
        let mut response = Response::new(full(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Statuses that promise that a request was not run.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What an answer of a runner means for the attempt.
pub fn classify_answer(
    status: StatusCode,
    metadata: &AnswerMetadata,
    request_id: &str,
) -> AttemptOutcome {
    if metadata.says_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(NotRunReason::TargetRefused);
    }
    let is_own = metadata.request_id.as_deref() == Some(request_id);
    let is_foreign = metadata.request_id.is_some() && !is_own;
    // A success has to name its request and to bear the signature; a failure of a runner that gives no
    // id is still its answer.
    if is_foreign || status.is_success() && !(is_own && metadata.is_signed) {
        return AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
    }
    // The caller would read this as a promise that the runner has not made.
    if promises_not_run(status) || status.is_informational() {
        return AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
    }
    AttemptOutcome::Answered
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the headers that concern one connection only, also those that `Connection` names unless
/// `is_end_to_end` keeps them: a caller must not have the id of its request removed on the way.
pub fn strip_hop_headers<F>(headers: &mut HeaderMap, is_end_to_end: F)
where
    F: Fn(&HeaderName) -> bool,
{
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST && !is_end_to_end(name))
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
