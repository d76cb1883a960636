//! Answers that the gateway gives itself, and the classification of runners' answers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tealsaddle_core::fleet::send_gate::HoldReason;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};

use crate::customers::KeyProblem;
use crate::external::AnswerMetadata;

/// Error that ends the body of an answer before it is complete, which aborts the caller's connection.
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

/// Makes a body whose bytes are all known.
pub fn full_body(bytes: Bytes) -> Body {
    let never = |never: Infallible| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// An answer that the gateway itself gives, named by its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayAnswer {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The route requires the API key of a customer, and the request bears none.
    Unauthorized(KeyProblem),
    /// The request names no host.
    NoHost,
    /// The request has no id header.
    NoRequestId,
    /// The caller speaks HTTP/1.0, in which an answer that is cut off cannot be told from a complete one.
    OldProtocol,
    /// The head exceeds the configured size limit.
    HeadTooLarge,
    /// The body exceeds the configured size limit.
    BodyTooLarge,
    /// The caller sent no part of the body for longer than the idle timeout.
    BodyTimeout,
    /// The node has no memory left for the body.
    CallerMemory,
    /// The connection ended, or became invalid, before the body was complete.
    BodyCutOff,
    /// No runner of the service accepts new requests.
    NoRunner,
    /// The stream that the caller takes up may have begun at any of several software versions.
    StreamVersionUnknown,
    /// No runner of the software version that began the stream accepts new requests.
    StreamVersionGone,
    /// All runners of the service have asked for no request now.
    Withheld(HoldReason),
    /// The request is not expected to be answered by its deadline.
    DeadlineInfeasible,
    /// The customer has used its share of a service that is short of capacity.
    FairShare,
    /// A part of the prompt crashes the runners.
    QuarantinedPart,
    /// The request crashes the runners.
    QuarantinedRequest,
    /// The node stops before the request could be answered.
    Stopping,
    /// The attempts failed, and none of them ran the request.
    Refused(NotRunReason),
    /// The request may have run, but there is no usable answer.
    Unknown(UnknownReason),
}

impl GatewayAnswer {
    /// Name of the reason in counters, log records and the body of the answer.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::Unauthorized(problem) => problem.as_str(),
            Self::NoHost => "no_host",
            Self::NoRequestId => "no_request_id",
            Self::OldProtocol => "old_protocol",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTimeout => "body_timeout",
            Self::CallerMemory => "caller_memory",
            Self::BodyCutOff => "body_cut_off",
            Self::NoRunner => "no_runner",
            Self::StreamVersionUnknown => "stream_version_unknown",
            Self::StreamVersionGone => "stream_version_gone",
            Self::Withheld(reason) => reason.as_str(),
            Self::DeadlineInfeasible => "deadline_infeasible",
            Self::FairShare => "fair_share",
            Self::QuarantinedPart => "quarantined_part",
            Self::QuarantinedRequest => "quarantined_request",
            Self::Stopping => "stopping",
            Self::Refused(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }

    /// The answer for a request whose last attempt ended with `outcome`.
    pub const fn from_outcome(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::NotRun(reason) => Self::Refused(reason),
            AttemptOutcome::Unknown(reason) => Self::Unknown(reason),
            AttemptOutcome::Answered => Self::Unknown(UnknownReason::InvalidAnswer),
        }
    }

    /// The answer to give instead after the given attempts: if one of them may have run, the answer must
    /// not state that the request was not run.
    #[must_use]
    pub const fn given_attempts(self, attempts: &Attempts) -> Self {
        match attempts.outcome(AttemptOutcome::NotRun(NotRunReason::NoTarget)) {
            AttemptOutcome::Unknown(reason) => Self::Unknown(reason),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Answered => self,
        }
    }

    /// The HTTP status. 408, 413, 429 and 503 state that the request was not run.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::CallerMemory
            | Self::NoRunner
            | Self::StreamVersionUnknown
            | Self::StreamVersionGone
            | Self::Withheld(_)
            | Self::DeadlineInfeasible
            | Self::FairShare
            | Self::QuarantinedPart
            | Self::QuarantinedRequest
            | Self::Stopping
            | Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::NoHost | Self::NoRequestId | Self::BodyCutOff => StatusCode::BAD_REQUEST,
            Self::OldProtocol => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown(UnknownReason::Timeout | UnknownReason::NodeStopped) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the caller is asked to retry: the request was not run and may succeed later.
    pub fn is_retryable(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Builds the HTTP response; `retry_after` goes into the `Retry-After` header, in seconds.
    pub fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let body = Bytes::from(format!("{}\n", self.as_str()));
        let mut response = Response::new(full_body(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if matches!(self, Self::Unauthorized(_)) {
            let challenge = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, challenge);
        }
        if let Some(after) = retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Whether callers take a status as a statement that the request was not run.
const fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Classifies a runner's answer as the outcome of the attempt. The answer names this request, or none.
pub fn classify_answer(
    status: StatusCode,
    metadata: &AnswerMetadata,
    request_id: &str,
) -> AttemptOutcome {
    if metadata.says_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(NotRunReason::TargetRefused);
    }
    let is_own = metadata.request_id.as_deref() == Some(request_id);
    // A success must carry the id of the request and the signature. A failure without an id is still
    // passed on as the runner's answer.
    if status.is_success() && !(is_own && metadata.is_signed) {
        return AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
    }
    // The caller would take this status as a statement, "not run", that the runner has not made.
    if states_not_run(status) || status.is_informational() {
        return AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
    }
    AttemptOutcome::Answered
}

/// Hop-by-hop headers, which apply to one connection only (RFC 9110, section 7.6.1).
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

/// Removes the hop-by-hop headers and those that `Connection` lists. Headers for which `is_end_to_end`
/// holds are kept even if listed, so that a caller cannot have the id of its request removed.
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
