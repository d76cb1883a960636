//! Stream of decisions as server-sent events.
//!
//! The queue of a watcher is bounded. A watcher that reads too slowly loses the oldest decisions and
//! receives an event with their number; it never blocks the threads that make decisions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tealsaddle_core::decision::Decision;
use tokio::sync::broadcast::error::RecvError;

use super::request::{self, ErrorResponse};
use super::{AdminState, error_response};
use crate::caller::response::Body;

/// Idle time after which a comment is sent to detect a broken connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);

fn is_wanted(kinds: Option<&str>, decision: &Decision) -> bool {
    let Some(kinds) = kinds else {
        return true;
    };
    let kind = serde_json::to_value(decision.kind).unwrap_or_default();
    kinds.split(',').any(|wanted| kind == wanted)
}

/// Starts the stream of one watcher. A query such as `kind=drain,role` restricts it to these kinds.
pub fn stream_decisions(
    admin: &Arc<AdminState>,
    request: &Request<Incoming>,
) -> Result<Response<Body>, ErrorResponse> {
    let permit = Arc::clone(&admin.watchers)
        .try_acquire_owned()
        .map_err(|_full| {
            admin.traffic.counters.increment("admin.refused.watchers");
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "too_many_watchers",
                "the node has as many watchers as it takes",
                "close one, or watch another node",
            )
        })?;
    let kinds = request::query_value(request, "kind").map(str::to_owned);
    let state = (admin.traffic.watch(), Arc::clone(admin), kinds, permit);
    let frames = stream::unfold(state, |(mut decisions, admin, kinds, permit)| async move {
        let bytes = loop {
            let next = tokio::time::timeout(KEEP_ALIVE_INTERVAL, decisions.recv());
            match admin.closing.run_until_cancelled(next).await? {
                Err(_elapsed) => break Bytes::from_static(b": keep-alive\n\n"),
                Ok(Ok(decision)) if is_wanted(kinds.as_deref(), &decision) => {
                    let data = serde_json::to_string(&decision).unwrap_or_default();
                    break Bytes::from(format!("event: decision\ndata: {data}\n\n"));
                }
                Ok(Ok(_unwanted)) => {}
                Ok(Err(RecvError::Lagged(lost))) => {
                    admin.traffic.counters.increment("admin.watch_lost");
                    break Bytes::from(format!("event: lost\ndata: {{\"lost\":{lost}}}\n\n"));
                }
                Ok(Err(RecvError::Closed)) => return None,
            }
        };
        Some((Ok(Frame::data(bytes)), (decisions, admin, kinds, permit)))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}
