//! Responses to callers, with the error object of the OpenAI-compatible API.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Error of a body; it closes the connection, so that the caller does not see a regular end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that says whether a refused request was run.
pub const OUTCOME: &str = "x-outcome";
/// Header with the reason of a refusal.
pub const REASON: &str = "x-reason";

/// Whether a request without a response was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The request is known not to have run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Returns the value used in headers and error objects.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Refusal of a request, sent instead of a response from an engine or target.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Whether the request was run.
    pub run_state: RunState,
    /// Reason, as used in headers, error objects and metric names.
    pub reason: &'static str,
    /// Human-readable message.
    pub message: String,
    /// Delay before a retry, in seconds; `None` if a retry does not help.
    pub retry_after_s: Option<u64>,
    /// Invalid field of the request, if one is to blame.
    pub param: Option<String>,
    /// Whether the node closes the connection, so that the caller connects again for the next request.
    pub closes_connection: bool,
}

impl Refusal {
    /// Creates a refusal of a request that is known not to have run.
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

    /// Creates a refusal of a request with an invalid field.
    pub fn invalid(param: impl Into<String>, message: impl std::fmt::Display) -> Self {
        let param = param.into();
        let message = format!("{param}: {message}");
        Self {
            param: Some(param),
            ..Self::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
        }
    }

    /// Creates a refusal that asks the caller to retry after a second.
    pub fn unavailable(reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            retry_after_s: Some(1),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, message)
        }
    }

    /// Creates the refusal of a node that is stopping.
    pub fn draining() -> Self {
        Self {
            closes_connection: true,
            ..Self::unavailable("draining", "this node is stopping; connect again")
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self {
            run_state: RunState::Unknown,
            ..Self::not_run(status, reason, message)
        }
    }

    /// Returns the error object, extended by the outcome, the reason and the request id.
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

    /// Returns the response to the caller.
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

/// Returns a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a JSON body.
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
