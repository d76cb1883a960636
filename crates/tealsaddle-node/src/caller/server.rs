//! HTTP server for callers.
//!
//! The number of connections is limited, and so is the time for a caller to send the head of a
//! request. A stop serves the connections that are waiting to be accepted, closes the listener, and
//! lets every request in flight finish.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use socket2::SockRef;
use tealsaddle_gateway::front::pending_connections;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::dispatch;
use crate::Error;
use crate::traffic::Traffic;

/// Maximum number of concurrent requests on one HTTP/2 connection, so that one caller cannot use up
/// the limit on requests in flight.
const MAX_STREAMS_PER_CONNECTION: u32 = 128;

/// Maximum size of the head of an HTTP/1 request, and of the header list of an HTTP/2 request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Time for which a caller may leave response data unacknowledged, as a multiple of the header
/// timeout.
const STALL_TIMEOUT_FACTOR: u32 = 3;

/// Delay before the next `accept` after one that failed, for example because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A running server for callers; it serves until it is shut down or the runtime ends.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    connections: TaskTracker,
    traffic: Arc<Traffic>,
}

impl CallerServer {
    /// Returns the address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for all responses, for cancellations to reach the engines,
    /// and for the outcomes of keyed calls to be stored.
    ///
    /// Idle connections are closed at once, and a request whose body is incomplete is refused. A
    /// connection that never sent a whole request head is closed at its header timeout, or when the
    /// stop aborts the requests in flight.
    pub async fn shutdown(self) {
        self.traffic.stop_signals.closing.cancel();
        // The task owns the listener, so the port is closed only when the task ends.
        drop(self.accepting.await);
        self.connections.close();
        self.connections.wait().await;
        self.traffic.tasks.close();
        self.traffic.tasks.wait().await;
    }
}

/// Binds the address for callers and starts to serve them.
pub async fn bind(address: SocketAddr, traffic: Arc<Traffic>) -> Result<CallerServer, Error> {
    let listen_error = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let connections = TaskTracker::new();
    let accepting = tokio::spawn(accept(listener, Arc::clone(&traffic), connections.clone()));
    Ok(CallerServer {
        address,
        accepting,
        connections,
        traffic,
    })
}

async fn accept(listener: TcpListener, traffic: Arc<Traffic>, connections: TaskTracker) {
    let permits = Arc::new(Semaphore::new(traffic.settings.limits.connections));
    let open = |stream: TcpStream| {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            traffic.counters.increment("refused.connections");
            return;
        };
        if set_options(&stream, &traffic).is_err() {
            return;
        }
        let traffic = Arc::clone(&traffic);
        connections.spawn(async move {
            serve(stream, traffic).await;
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = traffic.stop_signals.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _address)) => open(stream),
            Err(_refused) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Closing the listener would reset the connections in its accept queue.
    for stream in pending_connections(listener) {
        open(stream);
    }
}

fn set_options(stream: &TcpStream, traffic: &Traffic) -> std::io::Result<()> {
    // Nagle's algorithm would delay single tokens of a stream.
    stream.set_nodelay(true)?;
    // With this option the kernel closes a connection whose caller keeps its receive window closed,
    // which releases the permits of a caller that has stopped reading.
    let stall_timeout = traffic.settings.limits.header_timeout * STALL_TIMEOUT_FACTOR;
    SockRef::from(stream).set_tcp_user_timeout(Some(stall_timeout))
}

async fn serve(stream: TcpStream, traffic: Arc<Traffic>) {
    let stop_signals = traffic.stop_signals.clone();
    let header_timeout = traffic.settings.limits.header_timeout;
    let request_arrived = CancellationToken::new();
    let on_request = request_arrived.clone();
    let service = service_fn(move |request| {
        on_request.cancel();
        let traffic = Arc::clone(&traffic);
        async move { Ok::<_, Infallible>(dispatch::answer(traffic, request).await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The header timeout of hyper starts only after the first bytes have determined the version of
    // HTTP, so the first request has a separate timeout. A stop that aborts the requests in flight
    // ends this timeout early.
    let aborting = stop_signals.aborting.clone();
    let first_request_timeout = aborting.run_until_cancelled(tokio::time::sleep(header_timeout));
    let mut first_request_timeout = std::pin::pin!(first_request_timeout);
    let mut is_timeout_pending = true;
    // The shutdown of the connection waits for the first request: if it began before, hyper would
    // close the connection without reading data that has arrived.
    let closing = async {
        stop_signals.closing.cancelled().await;
        request_arrived.cancelled().await;
        // The runtime may not have polled the socket yet for another request.
        tokio::task::yield_now().await;
    };
    let mut closing = std::pin::pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A request that has arrived is read before the shutdown of the connection begins.
            biased;
            // A broken connection affects only its own requests.
            _ended = connection.as_mut() => return,
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            _elapsed = first_request_timeout.as_mut(), if is_timeout_pending => {
                if !request_arrived.is_cancelled() {
                    return;
                }
                is_timeout_pending = false;
            }
        }
    }
}
