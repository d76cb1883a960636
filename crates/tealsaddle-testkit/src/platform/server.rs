//! HTTP interface of the platform stand-in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::faults::{CallKind, Outage, VmEntry};
use super::store::WriteError;
use super::{Faults, Inner, MAX_VALUE_BYTES, State};
use crate::http::{self, Body, query_parameter};

/// A request with its complete body.
#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    query: String,
    body: Bytes,
}

impl Call {
    fn query(&self, name: &str) -> Option<&str> {
        query_parameter(&self.query, name)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// Answers a request; `None` closes the connection.
pub(super) async fn answer(
    request: Request<Incoming>,
    state: Arc<State>,
) -> Option<Response<Body>> {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_VALUE_BYTES).collect().await else {
        let message = "a value takes at most 1 MB";
        return Some(http::json(StatusCode::PAYLOAD_TOO_LARGE, &message));
    };
    let call = Call {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        body: body.to_bytes(),
    };
    if let Some(path) = call.path.strip_prefix("/control/") {
        return Some(control(path, &call, &state));
    }
    // A task of its own completes the call even if the caller closes its connection.
    let task = tokio::spawn(async move { serve(&call, &state).await });
    task.await.expect("a call of the stand-in does not panic")
}

async fn pause(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

async fn refuse_in_outage(outage: Outage) -> Option<Response<Body>> {
    match outage {
        Outage::None => None,
        Outage::Unavailable => Some(http::json(StatusCode::SERVICE_UNAVAILABLE, &"outage")),
        Outage::Silent => std::future::pending().await,
    }
}

fn kind_of(call: &Call) -> Option<CallKind> {
    let is_kv = call.path.starts_with("/kv");
    match call.method {
        Method::GET if is_kv => Some(CallKind::Read),
        Method::PUT | Method::DELETE if is_kv => Some(CallKind::Write),
        Method::GET if call.path == "/watch" => Some(CallKind::Watch),
        Method::POST if call.path.starts_with("/leases") => Some(CallKind::Lease),
        Method::GET if call.path == "/vms" => Some(CallKind::Vms),
        Method::GET if call.path.starts_with("/weights/") => Some(CallKind::Weights),
        _ => None,
    }
}

async fn serve(call: &Call, state: &Arc<State>) -> Option<Response<Body>> {
    let Some(kind) = kind_of(call) else {
        return Some(http::json(StatusCode::NOT_FOUND, &"no such path"));
    };
    let (outage, limited, before_ms) = {
        let now_ms = state.now_ms();
        let mut guard = state.lock();
        let inner = &mut *guard;
        let limited = inner.buckets.take(kind, &inner.faults, now_ms).err();
        let counted = if limited.is_some() {
            CallKind::RateLimited
        } else {
            kind
        };
        inner.counts.add(counted, now_ms);
        (inner.faults.outage, limited, inner.faults.delay_before_ms)
    };
    if let Some(refusal) = refuse_in_outage(outage).await {
        return Some(refusal);
    }
    if let Some(wait_ms) = limited {
        let mut response = http::json(StatusCode::TOO_MANY_REQUESTS, &"rate limit");
        let seconds = hyper::header::HeaderValue::from(wait_ms.div_ceil(1_000));
        response
            .headers_mut()
            .insert(hyper::header::RETRY_AFTER, seconds);
        return Some(response);
    }
    pause(before_ms).await;
    if kind == CallKind::Watch {
        return Some(watch(call, state).await);
    }
    let (response, is_lost, after_ms) = {
        let now_ms = state.now_ms();
        let mut inner = state.lock();
        inner.store.expire(now_ms);
        let response = apply(call, &mut inner, now_ms);
        let key = call.path.strip_prefix("/kv/").unwrap_or_default();
        let is_write = kind == CallKind::Write && response.status() == StatusCode::OK;
        let is_lost = is_write && inner.faults.consume_lost_answer(key);
        (response, is_lost, inner.faults.delay_after_ms)
    };
    if matches!(kind, CallKind::Write | CallKind::Lease) {
        state.changed.notify_waiters();
    }
    pause(after_ms).await;
    if kind == CallKind::Lease {
        tokio::spawn(expire_next_lease(Arc::clone(state)));
    }
    (!is_lost).then_some(response)
}

/// Waits for the next expiry of a lease and notifies the watches.
async fn expire_next_lease(state: Arc<State>) {
    let Some(due_ms) = state.lock().store.next_expiry_ms() else {
        return;
    };
    tokio::time::sleep(Duration::from_millis(due_ms.saturating_sub(state.now_ms()))).await;
    let now_ms = state.now_ms();
    if state.lock().store.expire(now_ms) {
        state.changed.notify_waiters();
    }
}

fn apply(call: &Call, inner: &mut Inner, now_ms: u64) -> Response<Body> {
    let path = call.path.as_str();
    if let Some(key) = path.strip_prefix("/kv/") {
        return match call.method {
            Method::PUT => put(call, key, inner),
            Method::DELETE => match inner.store.delete(key, call.number("if_version")) {
                Ok(()) => http::json(StatusCode::OK, &json!({})),
                Err(refusal) => refused(refusal),
            },
            _ => match inner.store.get(key) {
                Some(entry) => http::json(StatusCode::OK, entry),
                None => http::json(StatusCode::NOT_FOUND, &"no such key"),
            },
        };
    }
    if path == "/kv" {
        let entries = inner.store.list(call.query("prefix").unwrap_or_default());
        return http::json(StatusCode::OK, &entries);
    }
    if path == "/vms" {
        let visible = inner.vms.visible(now_ms);
        return http::json(StatusCode::OK, &json!({ "vms": visible }));
    }
    if let Some(name) = path.strip_prefix("/weights/") {
        return match inner.weights.get(name) {
            Some(bytes) => Response::new(http::full(vec![0; *bytes])),
            None => http::json(StatusCode::NOT_FOUND, &"no such weights"),
        };
    }
    lease(call, inner, now_ms)
}

fn put(call: &Call, key: &str, inner: &mut Inner) -> Response<Body> {
    let Ok(value) = serde_json::from_slice(&call.body) else {
        return http::json(StatusCode::BAD_REQUEST, &"value is not JSON");
    };
    let if_version = call.number("if_version");
    match inner.store.put(key, value, if_version, call.query("lease")) {
        Ok(version) => http::json(StatusCode::OK, &json!({ "version": version })),
        Err(refusal) => refused(refusal),
    }
}

fn refused(refusal: WriteError) -> Response<Body> {
    match refusal {
        WriteError::Conflict(version) => {
            http::json(StatusCode::CONFLICT, &json!({ "version": version }))
        }
        WriteError::NoLease => http::json(StatusCode::NOT_FOUND, &"no such lease"),
    }
}

fn lease(call: &Call, inner: &mut Inner, now_ms: u64) -> Response<Body> {
    if call.path == "/leases" {
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let Some(ttl_ms) = body["ttl_ms"].as_u64() else {
            return http::json(StatusCode::BAD_REQUEST, &"ttl_ms is missing");
        };
        let id = inner.store.grant(ttl_ms, now_ms);
        return http::json(StatusCode::OK, &json!({ "lease": id }));
    }
    let id = call.path.trim_start_matches("/leases/");
    let is_renewed = id
        .strip_suffix("/renew")
        .is_some_and(|id| inner.store.renew(id, now_ms));
    if is_renewed {
        http::json(StatusCode::OK, &json!({}))
    } else {
        refused(WriteError::NoLease)
    }
}

async fn watch(call: &Call, state: &State) -> Response<Body> {
    let prefix = call.query("prefix").unwrap_or_default();
    let after = call.number("after").unwrap_or(0);
    let wait = Duration::from_millis(call.number("wait_ms").unwrap_or(0));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let wakeup = state.changed.notified();
        tokio::pin!(wakeup);
        // Registered before the store is read, so that no change is missed in between.
        wakeup.as_mut().enable();
        let (changes, revision, outage) = {
            let inner = state.lock();
            let changes = inner.store.changes(prefix, after);
            (changes, inner.store.revision(), inner.faults.outage)
        };
        if let Some(refusal) = refuse_in_outage(outage).await {
            return refusal;
        }
        let is_late = tokio::time::Instant::now() >= deadline;
        if !changes.is_empty() || is_late {
            let body = json!({ "revision": revision, "changes": changes });
            return http::json(StatusCode::OK, &body);
        }
        // After a change and after the timeout alike, the loop reads the store again.
        drop(tokio::time::timeout_at(deadline, wakeup).await);
    }
}

fn control(path: &str, call: &Call, state: &State) -> Response<Body> {
    let now_ms = state.now_ms();
    let mut inner = state.lock();
    let body = &call.body;
    let name = path.rsplit('/').next().unwrap_or_default();
    let applied = match (&call.method, path) {
        (&Method::GET, "counts") => return http::json(StatusCode::OK, &inner.counts.rows()),
        (&Method::PUT, "faults") => {
            serde_json::from_slice::<Faults>(body).map(|faults| inner.faults = faults)
        }
        (&Method::PUT, _) if path.starts_with("vms/") => serde_json::from_slice::<VmEntry>(body)
            .map(|mut vm| {
                name.clone_into(&mut vm.vm);
                let visible_at_ms = now_ms + inner.faults.vm_lag_ms;
                inner.vms.set(vm, visible_at_ms);
            }),
        (&Method::PUT, _) if path.starts_with("weights/") => {
            serde_json::from_slice(body).map(|bytes| {
                inner.weights.insert(name.to_owned(), bytes);
            })
        }
        _ => return http::json(StatusCode::NOT_FOUND, &"no such path"),
    };
    drop(inner);
    state.changed.notify_waiters();
    match applied {
        Ok(()) => http::json(StatusCode::OK, &json!({})),
        Err(error) => http::json(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
