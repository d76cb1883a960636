//! HTTP endpoints of the engine protocol.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::record::{Ending, OrderEffect};
use super::server::{Accepted, State};
use super::stream_faults::StreamFaultInjector;
use super::wire::{GenerateEvent, GenerateRequest, OrderRequest};
use crate::http::{self, Body};

pub(super) async fn answer(request: Request<Incoming>, state: Arc<State>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return http::json(StatusCode::BAD_REQUEST, &"body was cut off");
    };
    let body = body.to_bytes();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::POST, "/generate") => match serde_json::from_slice(&body) {
            Ok(request) => generate(request, &state).await,
            Err(error) => http::json(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::POST, "/cancel") => {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let attempt_id = body["attempt_id"].as_str().unwrap_or_default();
            let now_us = state.now_us();
            let is_found = state.lock().cancel(attempt_id, Ending::Cancelled, now_us);
            state.changed.notify_one();
            http::json(StatusCode::OK, &json!({ "cancelled": is_found }))
        }
        (&Method::POST, "/order") => match serde_json::from_slice(&body) {
            Ok(order) => apply_order(order, &state),
            Err(error) => http::json(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::GET, "/load") => load(&state),
        (&Method::GET, "/state") => engine_state(&state),
        (&Method::GET, "/cache-events") => {
            let query = parts.uri.query().unwrap_or_default();
            let after = http::query_parameter(query, "after").and_then(|text| text.parse().ok());
            cache_events(&state, after.unwrap_or(0))
        }
        (&Method::GET, "/control/record") => http::json(StatusCode::OK, &state.lock().record),
        (&Method::GET, _) if path.starts_with("/kv/") => {
            let handle = path.trim_start_matches("/kv/").parse().ok();
            let now_us = state.now_us();
            let export = handle.and_then(|handle| state.lock().sim.export_kv(handle, now_us));
            state.changed.notify_one();
            match export {
                Some(export) => {
                    http::json(StatusCode::OK, &json!({ "kv_tokens": export.kv_tokens }))
                }
                None => http::json(StatusCode::NOT_FOUND, &"no such KV cache"),
            }
        }
        _ => http::json(StatusCode::NOT_FOUND, &"no such path"),
    }
}

fn refused(status: StatusCode, reason: &str) -> Response<Body> {
    http::json(status, &json!({ "error": reason }))
}

/// Fetches an exported KV cache and returns whether it was available. The transfer time is part of
/// the engine model.
async fn import_kv(kv_from: &str) -> bool {
    let Ok(uri) = kv_from.parse::<Uri>() else {
        return false;
    };
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let response = client.get(uri).await;
    response.is_ok_and(|response| response.status() == StatusCode::OK)
}

async fn generate(request: GenerateRequest, state: &Arc<State>) -> Response<Body> {
    if request.stage == "decode" {
        let is_imported = match &request.kv_from {
            Some(kv_from) => import_kv(kv_from).await,
            None => false,
        };
        if !is_imported {
            return refused(StatusCode::SERVICE_UNAVAILABLE, "kv_unavailable");
        }
    }
    let now_us = state.now_us();
    let submitted = state.lock().submit(request, now_us);
    state.changed.notify_one();
    match submitted {
        Ok(accepted) => Response::new(stream_body(accepted)),
        Err(reason @ ("too_long" | "unknown_stage")) => refused(StatusCode::BAD_REQUEST, reason),
        Err(reason @ ("changing_role" | "unknown_model")) => refused(StatusCode::CONFLICT, reason),
        Err(reason) => refused(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

fn stream_body((receiver, fault, earlier): Accepted) -> Body {
    let injector = StreamFaultInjector::new(fault, earlier);
    let frames = stream::unfold(
        (receiver, injector),
        |(mut receiver, mut injector)| async move {
            let frame = match receiver.recv().await? {
                None => Err(std::io::Error::other("cut off")),
                Some(event) => {
                    let lines: Vec<u8> = injector.on_event(event)?.iter().flat_map(line).collect();
                    Ok(Frame::data(Bytes::from(lines)))
                }
            };
            Some((frame, (receiver, injector)))
        },
    );
    StreamBody::new(frames).boxed_unsync()
}

fn line(event: &GenerateEvent) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(event).expect("events are plain JSON values");
    bytes.push(b'\n');
    bytes
}

fn apply_order(order: OrderRequest, state: &State) -> Response<Body> {
    let now_us = state.now_us();
    let (effect, fence) = {
        let mut inner = state.lock();
        let effect = inner.order(order, now_us);
        (effect, inner.sim.state().map(|state| state.fence))
    };
    state.changed.notify_one();
    match effect {
        OrderEffect::Started | OrderEffect::Unchanged => {
            http::json(StatusCode::OK, &json!({ "effect": effect }))
        }
        OrderEffect::StaleFence => {
            let body = json!({ "error": "stale_fence", "fence": fence });
            http::json(StatusCode::CONFLICT, &body)
        }
        OrderEffect::Busy => refused(StatusCode::CONFLICT, "busy"),
        OrderEffect::Invalid => refused(StatusCode::BAD_REQUEST, "unknown kind or content"),
    }
}

fn load(state: &State) -> Response<Body> {
    let now_us = state.now_us();
    let mut inner = state.lock();
    inner.advance(now_us);
    let Some(report) = inner.sim.load_report(now_us) else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "crashed");
    };
    let Some(engine) = inner.sim.state() else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "crashed");
    };
    let names: Vec<&str> = engine.models.iter().map(|model| &*model.name).collect();
    let mut body = json!({
        "now_ms": now_us / 1_000,
        "sampled_at_ms": report.sampled_at_us / 1_000,
        "role": report.role.as_str(),
        "running": report.running,
        "waiting": report.waiting,
        "queued_prefill_tokens": report.queued_prefill_tokens,
        "kv_used_tokens": report.kv_used_tokens,
        "kv_capacity_tokens": inner.sim.config().kv_capacity_tokens,
        "models": names,
    });
    if let Some(role) = engine.changing_to.filter(|_| report.is_changing) {
        body["changing_to"] = role.as_str().into();
    }
    http::json(StatusCode::OK, &body)
}

fn engine_state(state: &State) -> Response<Body> {
    let now_us = state.now_us();
    let mut inner = state.lock();
    inner.advance(now_us);
    let Some(engine) = inner.sim.state() else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "crashed");
    };
    let names: Vec<&str> = engine.models.iter().map(|model| &*model.name).collect();
    let versions: BTreeMap<&str, &str> = engine
        .models
        .iter()
        .map(|model| (&*model.name, &*model.version))
        .collect();
    let mut body = json!({
        "role": engine.role.as_str(),
        "is_changing": engine.is_changing,
        "models": names,
        "versions": versions,
        "fence": engine.fence,
    });
    // Absent values are omitted and not sent as null.
    if let Some(role) = engine.changing_to {
        body["changing_to"] = role.as_str().into();
    }
    if let Some(order_id) = engine.last_order_id {
        body["last_order_id"] = order_id.into();
    }
    http::json(StatusCode::OK, &body)
}

fn cache_events(state: &State, after: u64) -> Response<Body> {
    let events = state.lock().sim.cache_events(after, state.now_us());
    let events = events.iter().map(|event| {
        json!({
            "sequence": event.sequence,
            "block": event.block,
            "stored": event.is_stored,
        })
    });
    let body = json!({ "events": events.collect::<Vec<_>>() });
    http::json(StatusCode::OK, &body)
}
