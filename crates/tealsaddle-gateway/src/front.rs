//! Listeners for callers and for simple text endpoints, such as the load balancer's probe.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tealsaddle_core::fleet::config::CallerLimits;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::answer::{Body, full_body};
use crate::caller_memory::{ConnectionShare, DropSignal};
use crate::endpoint_connections::EndpointConnections;
use crate::gateway::Gateway;
use crate::upstream::set_options;
use crate::{Error, idle_timeout, request};

/// Length of the accept queue. If the queue is full the kernel drops SYN packets, and the caller's
/// connection is delayed by seconds.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, which usually means that file descriptors have run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Read buffer of a connection, which hyper fixes when the connection is accepted; it grows up to this size as
/// needed. It bounds the heads that a raised limit may allow on connections that are open.
const BUFFER_BYTES: usize = 256 << 10;
/// The same where the settings limit what is held for callers, twice the largest head of the deployments. A stream with a long
/// prompt is counted with two such buffers while it runs.
const LIMITED_BUFFER_BYTES: usize = 32 << 10;
/// Time in which a request that is refused for want of memory gets its answer.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Listener for callers, which accepts connections until it is closed.
#[derive(Debug)]
pub struct CallerListener {
    close: watch::Sender<bool>,
    /// Number of open connections.
    open: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
}

/// Age, request count and limit of a caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    opened: Instant,
    requests: AtomicU32,
    /// Largest size of a request's head when the connection was accepted.
    header_bytes: usize,
    memory: Arc<ConnectionShare>,
}

impl CallerConnection {
    fn open(limits: &CallerLimits, memory: Arc<ConnectionShare>) -> Arc<Self> {
        Arc::new(Self {
            opened: Instant::now(),
            requests: AtomicU32::new(0),
            header_bytes: limits.header_bytes,
            memory,
        })
    }

    /// What the connection holds.
    pub const fn memory(&self) -> &Arc<ConnectionShare> {
        &self.memory
    }

    /// Largest size of a request's head: the limit in force, or the earlier one on which the caller may still
    /// rely if that is larger.
    pub fn header_bytes(&self, newest: &CallerLimits) -> usize {
        self.header_bytes.max(newest.header_bytes)
    }

    /// Counts a request and returns the number of earlier ones on the connection.
    pub fn on_request(&self) -> u32 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    /// Time since the connection was accepted.
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }
}

/// Listens on an IPv4 address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| Error::Listen { address, source })
}

impl CallerListener {
    /// Starts to listen for callers, on the address in the settings.
    pub fn bind(gateway: &Arc<Gateway>) -> Result<Self, Error> {
        let listener = listen(gateway.config.caller_listen)?;
        let (close, closing) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = accept(listener, Arc::clone(gateway), closing, Arc::clone(&open));
        Ok(Self {
            close,
            open,
            accepting: tokio::spawn(accepting),
        })
    }

    /// Stops accepting connections, closes idle ones at once and the others after their answers. Returns
    /// when no connection is accepted any more.
    pub async fn close(&mut self) {
        self.close.send_replace(true);
        // The task fails only by a panic, after which it accepts no connections either.
        drop((&mut self.accepting).await);
    }

    /// Number of connections that are still open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    mut closing: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
) {
    let connection_closing = closing.clone();
    let spawn = |stream: TcpStream| {
        let gateway = Arc::clone(&gateway);
        let closing = connection_closing.clone();
        let open = Arc::clone(&open);
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve(stream, gateway, closing).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    };
    let max_connections = gateway.caller_memory.max_connections();
    loop {
        if open.load(Ordering::Relaxed) >= max_connections {
            // Lets the connections that are dropped for the accepted ones close.
            tokio::task::yield_now().await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _closing = closing.wait_for(|is_closing| *is_closing) => break,
        };
        match accepted {
            Ok((stream, _address)) => spawn(stream),
            Err(error) => {
                log::warn!(error:%; "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Closing the listener resets the connections that are still in the accept queue.
    for stream in pending_connections(listener) {
        spawn(stream);
    }
}

/// Takes the connections that are still in the accept queue of a listener. They are read from the socket
/// directly, since the runtime may not have been notified of the latest ones.
pub fn pending_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    std::iter::from_fn(move || {
        let (stream, _address) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}

async fn serve(stream: TcpStream, gateway: Arc<Gateway>, mut closing: watch::Receiver<bool>) {
    set_options(&stream);
    let limits = gateway.caller_limits();
    let buffer_bytes = if gateway.caller_memory.is_limited() {
        LIMITED_BUFFER_BYTES
    } else {
        BUFFER_BYTES
    };
    let buffer_bytes = limits.header_bytes.max(buffer_bytes);
    let share = gateway.caller_memory.connect(&stream);
    let dropped = Arc::clone(share.dropped());
    let watched = Arc::clone(&share);
    let (stream, timer) = idle_timeout::watch(stream, Arc::clone(&gateway), watched, buffer_bytes);
    let caller = CallerConnection::open(&limits, share);
    let served = Arc::clone(&gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&served);
        let caller = Arc::clone(&caller);
        async move { Ok::<_, Infallible>(request::serve(gateway, &caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(timer)
        // Switches the timer on, which takes the timeout from the configuration in force.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let budget = Arc::clone(&dropped);
    let close_signal = async move {
        let is_closing = tokio::select! {
            is_closing = closing.wait_for(|is_closing| *is_closing) => is_closing.is_ok(),
            () = budget.closes_after_answer() => true,
        };
        // On a new connection, or after the process was paused, the runtime may not have checked yet
        // whether a request has arrived.
        tokio::task::yield_now().await;
        is_closing
    };
    let serving = async {
        tokio::select! {
            // Polls the connection first, so that a request that arrived before the close is served.
            biased;
            result = connection.as_mut() => result,
            _closing = close_signal => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let result = tokio::select! {
        biased;
        result = serving => result,
        () = drop_time(&dropped) => return,
    };
    if let Err(error) = result {
        let reason = failure_reason(&error);
        gateway.metrics.increment(&format!("connection.{reason}"));
        log::debug!(error:%, reason; "caller connection failed");
    }
}

/// Waits until a connection that the node has no memory or descriptors for is to be closed.
async fn drop_time(dropped: &DropSignal) {
    dropped.received().await;
    if dropped.refuses_request() {
        tokio::time::sleep(REFUSAL_TIME).await;
    }
}

/// Why a caller's connection failed, as in the names of the counters.
fn failure_reason(error: &hyper::Error) -> &'static str {
    if error.is_timeout() {
        "idle"
    } else if error.is_user() {
        "answer_aborted"
    } else if error.is_incomplete_message() {
        "request_cut_off"
    } else if error.is_parse() {
        "invalid_request"
    } else {
        "lost"
    }
}

/// Serves a text endpoint on its own address. `respond` computes the answer and must not block.
pub fn bind_text_endpoint<F>(
    address: SocketAddr,
    connections: Arc<EndpointConnections>,
    respond: F,
) -> Result<(), Error>
where
    F: Fn(&Request<Incoming>) -> (StatusCode, String) + Send + Sync + 'static,
{
    let listener = listen(address)?;
    let respond = Arc::new(respond);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _address)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            set_options(&stream);
            let respond = Arc::clone(&respond);
            let open = connections.add();
            let served = Arc::clone(&open);
            let service = service_fn(move |request: Request<Incoming>| {
                served.on_request();
                let (status, text) = respond(&request);
                async move { Ok::<_, Infallible>(text_response(status, text)) }
            });
            let builder = connections.builder();
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move { open.run(connection).await });
        }
    });
    Ok(())
}

pub(crate) fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
