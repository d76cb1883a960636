//! HTTP server for callers.
//!
//! Connections are bounded in number, and a caller has a bounded time to send the head of a request.
//! A stop closes the listener, takes the connections that wait to be accepted, and lets every request
//! in flight finish.

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

/// Most requests at once on one HTTP/2 connection, so that one caller cannot take all places.
const STREAMS_PER_CONNECTION: u32 = 128;

/// Largest head of an HTTP/1 request, and largest header list of HTTP/2.
const HEAD_BYTES: usize = 64 << 10;

/// A caller may leave an answer untouched this many times as long as it may take for a head.
const STALL_FACTOR: u32 = 3;

/// Wait before the next try when the system refuses to accept a connection, as it does without free
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A running server for callers; it goes on until the runtime ends or it is shut down.
#[derive(Debug)]
pub struct CallerServer {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    connections: TaskTracker,
    traffic: Arc<Traffic>,
}

impl CallerServer {
    /// Address that the server is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits until all requests in flight are answered, and until
    /// cancellations and outcomes of keyed calls have been passed on.
    ///
    /// Idle connections are closed at once, and a request whose body has not arrived is refused. A
    /// connection that never sent a whole request is closed when its header time is over, or when
    /// requests are given up.
    pub async fn shutdown(self) {
        self.traffic.stop_signals.closing.cancel();
        // The task owns the listener; only its end closes the port.
        drop(self.accepting.await);
        self.connections.close();
        self.connections.wait().await;
        self.traffic.tasks.close();
        self.traffic.tasks.wait().await;
    }
}

/// Binds the address for callers and serves them.
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
    let places = Arc::new(Semaphore::new(traffic.settings.limits.connections));
    let open = |stream: TcpStream| {
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            traffic.counters.increment("refused.connections");
            return;
        };
        if set_options(&stream, &traffic).is_err() {
            return;
        }
        let traffic = Arc::clone(&traffic);
        connections.spawn(async move {
            serve(stream, traffic).await;
            drop(place);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = traffic.stop_signals.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _address)) => open(stream),
            Err(_refused) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // Closing the listener would reset the connections that wait to be accepted.
    for stream in pending_connections(listener) {
        open(stream);
    }
}

fn set_options(stream: &TcpStream, traffic: &Traffic) -> std::io::Result<()> {
    // Nagle's algorithm would hold back single tokens of a stream.
    stream.set_nodelay(true)?;
    // The kernel then breaks a connection whose caller leaves its window closed, which frees
    // the places of a reader that has stopped reading.
    let stall = traffic.settings.limits.header_timeout * STALL_FACTOR;
    SockRef::from(stream).set_tcp_user_timeout(Some(stall))
}

async fn serve(stream: TcpStream, traffic: Arc<Traffic>) {
    let stop_signals = traffic.stop_signals.clone();
    let header_timeout = traffic.settings.limits.header_timeout;
    let requested = CancellationToken::new();
    let seen = requested.clone();
    let service = service_fn(move |request| {
        seen.cancel();
        let traffic = Arc::clone(&traffic);
        async move { Ok::<_, Infallible>(dispatch::answer(traffic, request).await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_PER_CONNECTION)
        .max_header_list_size(HEAD_BYTES as u32);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    // The library's own header time starts only after the first bytes have shown the version of
    // HTTP, so the first request has a time of its own.
    let aborting = stop_signals.aborting.clone();
    let first_request = aborting.run_until_cancelled(tokio::time::sleep(header_timeout));
    let mut first_request = std::pin::pin!(first_request);
    let mut is_first = true;
    // Before its first request the library would close the connection without reading what has
    // arrived.
    let closing = async {
        stop_signals.closing.cancelled().await;
        requested.cancelled().await;
        // The runtime may not have looked yet whether another request has arrived.
        tokio::task::yield_now().await;
    };
    let mut closing = std::pin::pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A request that has arrived is taken before the connection is told to close.
            biased;
            // A broken connection ends its own requests and nothing else.
            _ended = connection.as_mut() => return,
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            _is_over = first_request.as_mut(), if is_first => {
                if !requested.is_cancelled() {
                    return;
                }
                is_first = false;
            }
        }
    }
}
