//! Messages to other nodes: JSON over HTTP, on the address for peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::json_problem;
use crate::external::OutgoingCall;
use crate::upstream::{Reuse, Upstreams};

/// What becomes of the connection of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// It is kept for the next message.
    Keep,
    /// It is closed, since messages of the kind are rare and nodes are many.
    Close,
}

/// Why a message has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// The peer did not answer in time, or what it answered cannot be parsed.
    Lost,
    /// The peer has answered, with another status than success.
    Refused,
}

/// Sends a message to a peer and parses its answer.
pub async fn send<M, A>(
    upstreams: &Arc<Upstreams>,
    peer: SocketAddr,
    path: &str,
    message: &M,
    limit: Duration,
    connection: Connection,
) -> Result<A, NoAnswer>
where
    M: Serialize,
    A: DeserializeOwned,
{
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if connection == Connection::Close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let call = OutgoingCall {
        method: Method::POST,
        path: path.to_owned(),
        headers,
        body: Bytes::from(serde_json::to_vec(message).expect("a message has a JSON form")),
    };
    let answer = tokio::time::timeout(limit, upstreams.call(peer, call, Reuse::Any));
    let Ok(Ok(answer)) = answer.await else {
        return Err(NoAnswer::Lost);
    };
    if answer.status != StatusCode::OK {
        log::warn!(peer:%, path, status = answer.status.as_u16(); "peer refused a message");
        return Err(NoAnswer::Refused);
    }
    serde_json::from_slice(&answer.body).map_err(|error| {
        let problem = json_problem(&error);
        log::warn!(peer:%, path, problem:%; "peer answer cannot be parsed");
        NoAnswer::Lost
    })
}

/// The response to a message of a peer, if it could be parsed.
pub fn respond(path: &str, answered: Result<String, serde_json::Error>) -> (StatusCode, String) {
    answered.map_or_else(
        |error| {
            let problem = json_problem(&error);
            log::warn!(path, problem:%; "message of a peer cannot be parsed");
            (StatusCode::BAD_REQUEST, String::new())
        },
        |text| (StatusCode::OK, text),
    )
}

/// Parses a message of a peer.
pub fn parse<M>(body: &[u8]) -> Result<M, serde_json::Error>
where
    M: DeserializeOwned,
{
    serde_json::from_slice(body)
}

/// The text of a message.
pub fn text_of<M>(message: &M) -> String
where
    M: Serialize,
{
    serde_json::to_string(message).expect("a message has a JSON form")
}
