//! The administration API: HTTP and JSON, with a bearer token.
//!
//! The API has its own listen address, so that callers cannot reach it through the caller interface.
//! Control state is read from the control thread by calls with deadlines; counters and decisions are
//! read from the state of the traffic threads. A stop ends the streams of watchers and waits for the
//! responses to all other requests.

pub mod auth;
mod request;
mod routes;
mod watch;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::caller::response::{Body, json};
use crate::control::api::ControlHandle;
use crate::traffic::Traffic;
use request::ErrorResponse;

/// Maximum number of open connections. Operators need few, and a script that leaks connections must
/// not take resources from callers.
const MAX_CONNECTIONS: usize = 64;
/// Maximum number of concurrent watchers; each one is a receiver of the bounded decision queue.
const MAX_WATCHERS: usize = 16;
/// Timeout for a client to send its request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared state of the administration API.
#[derive(Debug)]
pub struct AdminState {
    /// State shared with the traffic threads.
    pub traffic: Arc<Traffic>,
    /// Handle to the control thread.
    pub control: ControlHandle,
    watchers: Arc<Semaphore>,
    closing: CancellationToken,
}

/// A running server for operators; it serves until it is shut down or the runtime ends.
#[derive(Debug)]
pub struct AdminServer {
    accepting: JoinHandle<()>,
    closing: CancellationToken,
    connections: TaskTracker,
}

impl AdminServer {
    /// Stops accepting requests and waits for the responses to those in flight.
    pub async fn shutdown(self) {
        self.closing.cancel();
        // The join fails only if the task has panicked, in which case it accepts nothing either.
        drop(self.accepting.await);
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Binds the address for operators and starts to serve them.
pub async fn bind(
    address: SocketAddr,
    traffic: Arc<Traffic>,
    control: ControlHandle,
) -> Result<AdminServer, Error> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    let closing = CancellationToken::new();
    let admin = Arc::new(AdminState {
        traffic,
        control,
        watchers: Arc::new(Semaphore::new(MAX_WATCHERS)),
        closing: closing.clone(),
    });
    let connections = TaskTracker::new();
    let accepting = accept(listener, admin, connections.clone());
    let stopped = closing.clone();
    let accepting = tokio::spawn(async move {
        stopped.run_until_cancelled(accepting).await;
    });
    Ok(AdminServer {
        accepting,
        closing,
        connections,
    })
}

async fn accept(listener: TcpListener, admin: Arc<AdminState>, connections: TaskTracker) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = Arc::clone(&permits)
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let Ok((stream, _)) = listener.accept().await else {
            // `accept` fails if no file descriptor is free, for example. The delay keeps the loop from
            // spinning.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let admin = Arc::clone(&admin);
        connections.spawn(async move {
            serve(stream, admin).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, admin: Arc<AdminState>) {
    let closing = admin.closing.clone();
    let service = service_fn(move |request| {
        let admin = Arc::clone(&admin);
        async move { Ok::<_, Infallible>(handle(&admin, request).await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closing = async {
        closing.cancelled().await;
        // The runtime may not have polled the socket yet for a request.
        tokio::task::yield_now().await;
    };
    tokio::select! {
        // A request that has arrived is read before the shutdown of the connection begins.
        biased;
        // A broken connection affects only its own requests.
        _ended = connection.as_mut() => return,
        () = closing => connection.as_mut().graceful_shutdown(),
    }
    drop(connection.await);
}

/// Returns an error response that names the error and, in `next`, what the operator can do.
fn error_response(status: StatusCode, code: &str, message: &str, next: &str) -> ErrorResponse {
    let error = serde_json::json!({ "code": code, "message": message, "next": next });
    ErrorResponse(Box::new(json(
        status,
        &serde_json::json!({ "error": error }),
    )))
}

async fn handle(admin: &Arc<AdminState>, request: Request<Incoming>) -> Response<Body> {
    if !auth::is_authorized(request.headers(), &admin.traffic.settings.admin_token) {
        admin.traffic.counters.increment("admin.refused.token");
        let next = "send the header Authorization: Bearer TOKEN with admin.token of the settings";
        return *error_response(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "a bearer token is needed",
            next,
        )
        .0;
    }
    admin.traffic.counters.increment("admin.requests");
    match routes::handle(admin, request).await {
        Ok(response) => response,
        Err(refused) => *refused.0,
    }
}
