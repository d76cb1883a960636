//! Answers to callers, with the usual error object.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Failure of a body; it breaks the connection, so that the caller sees no clean end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Header that names the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that says whether a refused request was run.
pub const OUTCOME: &str = "x-outcome";
/// Header that says why it was refused.
pub const REASON: &str = "x-reason";

/// Whether a request that has no answer was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// It was certainly not run.
    NotRun,
    /// It may have been run.
    Unknown,
}

impl RunState {
    /// The name used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A request that gets no answer.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether it was run.
    pub run_state: RunState,
    /// Reason, as counted.
    pub reason: &'static str,
    /// Message for people.
    pub message: String,
    /// When a later try helps.
    pub retry_after_s: Option<u64>,
    /// Field of the request that is at fault.
    pub param: Option<String>,
    /// Whether the connection is closed, so that the caller's next request opens another one.
    pub closes_connection: bool,
}

impl Refusal {
    /// A request that was certainly not run.
    pub fn not_run(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            status,
            run_state: RunState::NotRun,
            reason,
            message,
            retry_after_s: None,
            param: None,
            closes_connection: false,
        }
    }

    /// A request with a fault in one field.
    pub fn invalid(param: impl Into<String>, message: impl std::fmt::Display) -> Self {
        let param = param.into();
        let message = format!("{param}: {message}");
        Self {
            param: Some(param),
            ..Self::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
        }
    }

    /// A refusal after which a later try helps.
    pub fn unavailable(reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after_s: Some(1),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
        }
    }

    /// The refusal of a node that is stopping.
    pub fn draining() -> Self {
        Self {
            closes_connection: true,
            ..Self::unavailable("draining", "this node is stopping; connect again")
        }
    }

    /// A request that may have been run.
    pub fn unknown(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            run_state: RunState::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// The usual error object, with the outcome and the reason added.
    pub fn to_json(&self, request_id: &str) -> serde_json::Value {
        let kind = if self.status.is_client_error() {
            match self.status {
                StatusCode::UNAUTHORIZED => "authentication_error",
                StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
                _ => "invalid_request_error",
            }
        } else {
            "server_error"
        };
        serde_json::json!({ "error": {
            "message": self.message,
            "type": kind,
            "param": self.param,
            "code": self.reason,
            "outcome": self.run_state.as_str(),
            "reason": self.reason,
            "request_id": request_id,
        }})
    }

    /// The answer to the caller.
    pub fn to_response(&self, request_id: &str) -> Response<Body> {
        let mut response = json(self.status, &self.to_json(request_id));
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.run_state.as_str()));
        headers.insert(REASON, HeaderValue::from_static(self.reason));
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(value).expect("answers are plain JSON values");
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
