//! Stand-in of a plain service, such as the league ladder or the logbook records.
//!
//! It records every call and whether the call was executed, independently of the response, so that
//! a test can distinguish an executed call from an answered one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use crate::http::{self, Body, Server};

/// Faults of the service.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Delay before the execution.
    pub delay_before: Duration,
    /// Delay between the execution and the response.
    pub delay_after: Duration,
    /// Number of further calls that are executed and whose connections are then closed.
    pub crash_after_execution: u32,
    /// Number of further calls that are refused with status 503 and `x-outcome: not-run`.
    pub refuse: u32,
    /// Number of further calls that are executed and then answered with a plain 503.
    pub fail_after_execution: u32,
    /// Whether every connection is closed without an execution.
    pub is_down: bool,
}

/// A call received by the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Call {
    /// Milliseconds since the service started.
    pub at_ms: u64,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Value of the `Idempotency-Key` header; empty if absent.
    pub key: String,
    /// Request body as text.
    pub body: String,
    /// Whether the call was executed.
    pub is_executed: bool,
}

#[derive(Debug)]
struct State {
    started: Instant,
    /// Faults to inject, and the calls received so far.
    inner: Mutex<(Faults, Vec<Call>)>,
}

/// A running service; it stops when dropped.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<State>,
}

impl Service {
    /// Binds a service stand-in without faults.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(State {
            started: Instant::now(),
            inner: Mutex::default(),
        });
        let server = http::bind_with_drops(address, {
            let state = Arc::clone(&state);
            move |request| answer(request, Arc::clone(&state))
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Address on which the service listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Waits until the server ends, which happens only after a failure.
    pub async fn join(self) {
        self.server.join().await;
    }

    /// Changes the faults.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        change(&mut self.state.lock().0);
    }

    /// Calls received so far, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().1.clone()
    }

    /// Number of executed calls with this body.
    pub fn executions(&self, body: &str) -> usize {
        let calls = self.calls();
        let executed = calls.iter().filter(|call| call.is_executed);
        executed.filter(|call| call.body == body).count()
    }
}

impl State {
    fn lock(&self) -> std::sync::MutexGuard<'_, (Faults, Vec<Call>)> {
        self.inner.lock().expect("the lock is not poisoned")
    }
}

async fn answer(request: Request<Incoming>, state: Arc<State>) -> Option<Response<Body>> {
    let (parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    if path == "/control/calls" {
        return Some(http::json(StatusCode::OK, &state.lock().1));
    }
    // An incomplete request does not count as received.
    let body = body.collect().await.ok()?.to_bytes();
    let key = parts
        .headers
        .get("idempotency-key")
        .and_then(|key| key.to_str().ok());
    let call = Call {
        at_ms: state.started.elapsed().as_millis() as u64,
        method: parts.method.to_string(),
        path,
        key: key.unwrap_or_default().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        is_executed: false,
    };
    // A task of its own completes the execution even if the caller gives up, as a real service
    // does.
    let task = tokio::spawn(execute(call, state));
    task.await.expect("a call of the stand-in does not panic")
}

async fn execute(call: Call, state: Arc<State>) -> Option<Response<Body>> {
    let (index, before) = {
        let mut inner = state.lock();
        inner.1.push(call.clone());
        if inner.0.is_down {
            return None;
        }
        if inner.0.refuse > 0 {
            inner.0.refuse -= 1;
            let mut refusal = http::json(StatusCode::SERVICE_UNAVAILABLE, &"refused");
            let not_run = hyper::header::HeaderValue::from_static("not-run");
            refusal.headers_mut().insert("x-outcome", not_run);
            return Some(refusal);
        }
        (inner.1.len() - 1, inner.0.delay_before)
    };
    tokio::time::sleep(before).await;
    let (execution, is_crash, is_failure, after) = {
        let mut guard = state.lock();
        let (faults, calls) = &mut *guard;
        calls[index].is_executed = true;
        let execution = calls.iter().filter(|call| call.is_executed).count();
        let is_crash = faults.crash_after_execution > 0;
        faults.crash_after_execution -= u32::from(is_crash);
        let is_failure = faults.fail_after_execution > 0;
        faults.fail_after_execution -= u32::from(is_failure);
        (execution, is_crash, is_failure, faults.delay_after)
    };
    tokio::time::sleep(after).await;
    let status = if is_failure {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let echo = json!({ "execution": execution, "path": call.path, "body": call.body });
    (!is_crash).then(|| http::json(status, &echo))
}
