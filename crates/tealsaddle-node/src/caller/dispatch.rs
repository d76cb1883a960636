//! Entry point of all requests: limits, request ids, authentication and the choice of a handler.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use tealsaddle_core::inventory::Customer;
use tokio::time::Instant;
use uuid::Uuid;

use super::openai::Interface;
use super::proxy::GuardedBody;
use super::response::{self, Body, REQUEST_ID, Refusal};
use super::{auth, chat, service};
use crate::clock;
use crate::traffic::{Snapshot, Traffic};

/// Header with the number of nodes that have forwarded the request.
pub const HOPS: &str = "x-tealsaddle-hops";
/// Header by which a caller marks a request as not repeatable, with the value `true`.
pub const NON_REPEATABLE: &str = "x-non-repeatable";

/// Maximum number of nodes that forward one request.
pub const MAX_HOPS: u32 = 2;

/// Longest time that a new request waits for current control state after a pause of the process.
const MAX_STALE_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a waiting request checks the control state.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Properties common to all requests.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Id of the request, unique and the same on every node that handles it.
    pub request_id: String,
    /// Customer of the caller; `None` if the configuration has no API keys or is not known yet.
    pub customer: Option<Arc<Customer>>,
    /// Number of nodes that have forwarded the request so far.
    pub hops: u32,
    /// Whether the caller marked the request as not repeatable.
    pub is_non_repeatable: bool,
    /// Arrival time of the request, as given by `clock::now_us`.
    pub arrived_us: u64,
}

/// Handles one request and counts its refusal, if any.
pub async fn answer(traffic: Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let hops = hops(request.headers());
    let request_id = request_id(request.headers(), hops);
    let version = request.version();
    traffic.counters.increment("caller.requests");
    let result = match (request.method(), request.uri().path()) {
        (&Method::GET, "/readyz") => readiness(&traffic.snapshot.load()),
        _ => handle(&traffic, request, &request_id, hops).await,
    };
    let mut response = result.unwrap_or_else(|refusal| {
        let name = format!("refused.{}", refusal.reason);
        traffic.counters.increment(&name);
        refusal.to_response(&request_id)
    });
    let headers = response.headers_mut();
    let id = HeaderValue::from_str(&request_id).expect("request ids are visible ASCII");
    headers.insert(REQUEST_ID, id);
    if version >= Version::HTTP_2 {
        headers.remove(CONNECTION);
    }
    response
}

fn hops(headers: &HeaderMap) -> u32 {
    match headers.get(HOPS) {
        None => 0,
        // An invalid value allows no further hop.
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(MAX_HOPS),
    }
}

/// Returns the id of the first node for a forwarded request, and a new one otherwise.
fn request_id(headers: &HeaderMap, hops: u32) -> String {
    headers
        .get(REQUEST_ID)
        .filter(|_| hops > 0)
        .and_then(|value| value.to_str().ok())
        .filter(|id| (1..=64).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic()))
        .map_or_else(|| Uuid::new_v4().to_string(), str::to_owned)
}

fn readiness(snapshot: &Snapshot) -> Result<Response<Body>, Refusal> {
    if snapshot.is_leaving {
        return Err(Refusal::draining());
    }
    if snapshot.inventory.is_none() {
        return Err(Refusal::unavailable(
            "no_configuration",
            "the node has no configuration yet",
        ));
    }
    let ready = serde_json::json!({ "ready": true });
    Ok(response::json(StatusCode::OK, &ready))
}

async fn handle(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    request_id: &str,
    hops: u32,
) -> Result<Response<Body>, Refusal> {
    let arrived_us = clock::now_us();
    let Ok(permit) = Arc::clone(&traffic.request_permits).try_acquire_owned() else {
        let message = "too many requests are in flight at this node";
        return Err(Refusal::unavailable("queue_full", message));
    };
    wait_until_fresh(traffic).await;
    let snapshot = traffic.snapshot.load_full();
    if snapshot.is_leaving {
        return Err(Refusal::draining());
    }
    let customer = match &snapshot.inventory {
        Some(inventory) => auth::authenticate(inventory, request.headers())?,
        // Without a configuration the request is forwarded, and the next node checks the key.
        None => None,
    };
    let is_non_repeatable = request
        .headers()
        .get(NON_REPEATABLE)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"));
    let context = RequestContext {
        request_id: request_id.to_owned(),
        customer,
        hops,
        is_non_repeatable,
        arrived_us,
    };
    let response = match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/models") => Ok(models(&snapshot)),
        (&Method::POST, "/v1/chat/completions") => {
            chat::complete(traffic, request, context, Interface::Chat).await
        }
        (&Method::POST, "/v1/completions") => {
            chat::complete(traffic, request, context, Interface::Text).await
        }
        (_, path) if path.starts_with("/services/") => {
            service::call(traffic, request, context).await
        }
        (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => Err(Refusal::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            "this path does not take this method",
        )),
        _ => Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no_such_path",
            "no such path",
        )),
    }?;
    // The permit is released with the last byte of the response.
    Ok(response.map(|body| GuardedBody::wrap(body, permit)))
}

async fn wait_until_fresh(traffic: &Traffic) {
    if !traffic.is_stale() {
        return;
    }
    traffic.counters.increment("caller.held_while_stale");
    let deadline = Instant::now() + MAX_STALE_WAIT;
    while traffic.is_stale() && Instant::now() < deadline {
        tokio::time::sleep(STALE_POLL_INTERVAL).await;
    }
}

fn models(snapshot: &Snapshot) -> Response<Body> {
    let mut names: Vec<&str> = match &snapshot.inventory {
        Some(inventory) => inventory.models.keys().map(|name| &**name).collect(),
        None => Vec::new(),
    };
    names.sort_unstable();
    let data: Vec<_> = names
        .iter()
        .map(|name| {
            serde_json::json!({
                "id": name, "object": "model", "created": 0, "owned_by": "tealsaddle",
            })
        })
        .collect();
    let list = serde_json::json!({ "object": "list", "data": data });
    response::json(StatusCode::OK, &list)
}
