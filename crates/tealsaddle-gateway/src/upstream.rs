//! Pools of HTTP/1.1 connections to runners, to the store and to peers.
//!
//! A connection carries one request at a time and returns to the pool only after a complete answer.
//! Dropping a request closes its connection: the runner sees that it can stop, and a late answer cannot be
//! taken for that of the next request. A runner may also send a second copy of an answer while the next request
//! is on the connection, so who sends requests compares their ids. Every connection has short TCP keep-alive
//! probes, since a network path may stop delivering packets without a reset.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode, http};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::io::InspectWriter;

use crate::borrowed_paths::{BorrowedPath, RunnerPaths};
use crate::connector::{TcpConnector, connect_in_time};
use crate::external::OutgoingCall;
use crate::framing::Framing;
use crate::send_progress::SendProgress;
use crate::timeout::timeout_at;

/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the first keep-alive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed. Where [`UNACKNOWLEDGED_TIMEOUT`] could be set, that
/// time decides instead, also for idle connections.
const MAX_PROBES: u32 = 2;
/// Idle time after which a connection is not reused, if the peer states no keep-alive timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time before the peer's own keep-alive timeout from which a connection is not reused, since the peer
/// may close it at the same time.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused for a request that must not be repeated: if the
/// connection broke while it was idle, the outcome of the request would be unknown.
const RECENT_IDLE: Duration = Duration::from_millis(2_500);
/// Largest number of idle connections that are kept per address.
const MAX_IDLE: usize = 24;

/// Largest head of an answer, and size of the buffer in which it arrives.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest answer of the store or a peer to a call of the gateway itself: pages of the store, the state of a peer. Few of
/// them are read at a time.
pub const MAX_CALL_BYTES: usize = 16 << 20;
/// Largest answer of a runner to a call of the gateway itself. Reports are the largest ones, with one short entry for each
/// request that runs; many of them are read at a time.
pub const MAX_RUNNER_CALL_BYTES: usize = 128 << 10;
/// What a frame of such an answer counts beside its bytes: tiny chunks cost the node more than their bytes do.
const FRAME_COST_BYTES: usize = 256;

/// Size of the send buffer of a connection. What is in it counts as sent, so a large one would hide that a runner has given
/// up a request.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Which idle connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection.
    Any,
    /// Only a connection that was used recently, else a new one; for requests that must not be repeated.
    Recent,
}

/// Error of a request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// Outcome of the attempt, which says whether the request may have run.
    pub outcome: AttemptOutcome,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    borrowed: Option<BorrowedPath>,
    progress: Arc<SendProgress>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    usable_for: Duration,
}

/// Pool of idle connections by address.
#[derive(Debug)]
pub struct Upstreams {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    /// Ways to runners; `None` for a pool that only connects directly.
    paths: Option<Arc<RunnerPaths>>,
    /// Largest answer to a call.
    max_call_bytes: usize,
}

/// The answer to a request. Its body owns the connection.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, which is still arriving.
    pub body: AnswerBody,
}

/// The whole answer to a call of the gateway itself.
#[derive(Debug)]
pub struct CallAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Body of an answer. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    is_borrowed: bool,
    is_success: bool,
    /// Whether the connection has ended before the request was sent.
    was_given_up: bool,
    connection: Option<Connection>,
    upstreams: Arc<Upstreams>,
    address: SocketAddr,
    usable_for: Option<Duration>,
}

impl Upstreams {
    /// Creates an empty pool of connections to the store or to peers.
    pub fn open() -> Arc<Self> {
        Self::with(None, MAX_CALL_BYTES)
    }

    /// Creates an empty pool of direct connections to runners.
    pub fn open_to_runners() -> Arc<Self> {
        Self::with(None, MAX_RUNNER_CALL_BYTES)
    }

    /// Creates an empty pool whose connections lead to runners, some through other nodes.
    pub fn open_by(paths: Arc<RunnerPaths>) -> Arc<Self> {
        Self::with(Some(paths), MAX_RUNNER_CALL_BYTES)
    }

    fn with(paths: Option<Arc<RunnerPaths>>, max_call_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            idle: Mutex::default(),
            paths,
            max_call_bytes,
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// The caller sets the time limit: dropping the future closes the connection.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Answer, SendFailure> {
        loop {
            let (mut connection, is_fresh) = match self.take_idle(address, reuse) {
                Some(connection) => (connection, false),
                // Boxed, since few requests open a connection and each would hold the space for it.
                None => (Box::pin(self.connect(address)).await?, true),
            };
            if connection.sender.ready().await.is_err() {
                if is_fresh {
                    return Err(not_run());
                }
                continue;
            }
            let body_bytes = request.body().size_hint().lower();
            connection.progress.begin_request(body_bytes);
            let mut failure = match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, connection, response)),
                Err(failure) => failure,
            };
            // Hyper returns the message only if none of its bytes were written, so sending it again on
            // another connection is safe.
            match failure.take_message() {
                Some(message) if !is_fresh => request = message,
                Some(_unsent) => return Err(not_run()),
                None => return Err(unknown(failure.error())),
            }
        }
    }

    /// Sends a call of the gateway itself and reads the whole answer, which has at most [`MAX_CALL_BYTES`], of a runner at
    /// most [`MAX_RUNNER_CALL_BYTES`], and less if it comes in tiny chunks.
    pub async fn call(
        self: &Arc<Self>,
        address: SocketAddr,
        call: OutgoingCall,
        reuse: Reuse,
    ) -> Result<CallAnswer, SendFailure> {
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|_error| not_run())?;
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(HOST, host);
        }
        headers.extend(call.headers);
        let Answer { head, mut body } = self.send(address, request, reuse).await?;
        if !head.status.is_success() {
            // A second copy of a refusal would be taken for the answer to the next call, which names no request.
            body.forbid_reuse();
        }
        let mut bytes = BytesMut::new();
        let mut cost_bytes = 0;
        while let Some(data) = body.next().await {
            cost_bytes += FRAME_COST_BYTES + data.as_ref().map_or(0, Bytes::len);
            match data {
                Ok(_) if cost_bytes > self.max_call_bytes => {
                    return Err(SendFailure {
                        outcome: AttemptOutcome::Unknown(UnknownReason::InvalidAnswer),
                    });
                }
                Ok(data) => bytes.extend_from_slice(&data),
                Err(error) => return Err(unknown(&error)),
            }
        }
        if body.has_uncertain_end() {
            return Err(SendFailure {
                outcome: AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
            });
        }
        Ok(CallAnswer {
            status: head.status,
            headers: head.headers,
            body: bytes.freeze(),
        })
    }

    fn answer(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Answer {
        let (head, incoming) = response.into_parts();
        let body = AnswerBody {
            // A borrowed path serves one request.
            usable_for: usable_for(&head.headers).filter(|_| connection.borrowed.is_none()),
            framing: Framing::of(&head, !incoming.is_end_stream()),
            is_borrowed: connection.borrowed.is_some(),
            is_success: head.status.is_success(),
            was_given_up: false,
            incoming,
            connection: Some(connection),
            upstreams: Arc::clone(self),
            address,
        };
        Answer { head, body }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendFailure> {
        let Some(paths) = &self.paths else {
            let stream = connect_in_time(&TcpConnector, address).await;
            return start(stream.ok_or_else(not_run)?, None).await;
        };
        let opened = paths.connect(address).await.ok_or_else(not_run)?;
        if opened.is_own_hanging {
            self.pool().remove(&address);
        }
        start(opened.stream, opened.borrowed).await
    }

    fn pool(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().expect("no holder of the lock panics")
    }

    fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let mut pool = self.pool();
        let idle_here = pool.get_mut(&address)?;
        while let Some(idle) = idle_here.pop() {
            let limit = match reuse {
                Reuse::Any => idle.usable_for,
                Reuse::Recent => idle.usable_for.min(RECENT_IDLE),
            };
            if idle.since.elapsed() < limit && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection, usable_for: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let mut pool = self.pool();
        let idle_here = pool.entry(address).or_default();
        if idle_here.len() == MAX_IDLE {
            idle_here.remove(0);
        }
        idle_here.push(Idle {
            connection,
            since: Instant::now(),
            usable_for,
        });
    }

    /// Closes the idle connections to addresses that are no longer used, and those idle for too long.
    pub fn retain<F>(&self, is_used: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        self.pool().retain(|address, idle_here| {
            idle_here.retain(|idle| idle.since.elapsed() < idle.usable_for);
            is_used(address) && !idle_here.is_empty()
        });
    }
}

impl AnswerBody {
    /// What tells the end of the body.
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the end of a body without a length may be due to something else than a whole answer: the end of the node that
    /// lent its path, or a runner that has given up a request which is still being sent.
    pub fn has_uncertain_end(&self) -> bool {
        let was_given_up = self.is_success && self.was_given_up;
        self.framing == Framing::UntilClose && (self.is_borrowed || was_given_up)
    }

    /// The next bytes; `None` after the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.incoming.frame().await {
                None => {
                    self.return_to_pool();
                    return None;
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    // A body of known length is complete with its last byte.
                    if self.incoming.is_end_stream() {
                        self.return_to_pool();
                    }
                    return Some(Ok(data));
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Some(Err(error));
                }
            }
        }
    }

    /// The next bytes, if they arrive before `limit`; `Ok(None)` after the end of the body.
    pub async fn next_until(&mut self, limit: Instant) -> Result<Option<Bytes>, UnknownReason> {
        match timeout_at(limit, self.next()).await {
            Ok(None) if self.has_uncertain_end() => Err(UnknownReason::ConnectionLost),
            Ok(None) => Ok(None),
            Ok(Some(Ok(data))) => Ok(Some(data)),
            Ok(Some(Err(_broken))) => Err(UnknownReason::ConnectionLost),
            Err(_elapsed) => Err(UnknownReason::Timeout),
        }
    }

    /// Closes the connection at the end of the answer instead of returning it to the pool.
    pub const fn forbid_reuse(&mut self) {
        self.usable_for = None;
    }

    fn return_to_pool(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.was_given_up = !connection.progress.is_sent();
        if let Some(usable_for) = self.usable_for {
            self.upstreams
                .put_idle(self.address, connection, usable_for);
        }
    }
}

const fn not_run() -> SendFailure {
    SendFailure {
        outcome: AttemptOutcome::NotRun(NotRunReason::ConnectFailed),
    }
}

fn unknown(error: &hyper::Error) -> SendFailure {
    let reason = if error.is_parse() {
        UnknownReason::InvalidAnswer
    } else {
        UnknownReason::ConnectionLost
    };
    SendFailure {
        outcome: AttemptOutcome::Unknown(reason),
    }
}

/// Begins to use a connection.
async fn start(
    stream: TcpStream,
    borrowed: Option<BorrowedPath>,
) -> Result<Connection, SendFailure> {
    set_options(&stream);
    if let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!(error:%; "the size of the send buffer was refused");
    }
    let progress = Arc::new(SendProgress::default());
    let written = Arc::clone(&progress);
    let stream = InspectWriter::new(stream, move |bytes: &[u8]| written.on_written(bytes.len()));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let Ok((sender, connection)) = handshake else {
        return Err(not_run());
    };
    let driver = tokio::spawn(async move {
        // A failure is reported to the request that uses the connection.
        drop(connection.await);
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        borrowed,
        progress,
    })
}

/// Sets the socket options that close a connection whose peer does not respond, and `TCP_NODELAY`.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!(error:%; "a socket option was refused");
    }
}

/// How long a connection may be idle and still be reused, by the headers of its last answer; `None` if it
/// must not be reused.
fn usable_for(headers: &HeaderMap) -> Option<Duration> {
    let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    if headers.get_all(CONNECTION).iter().any(closes) {
        return None;
    }
    let Some(stated) = headers.get("keep-alive").and_then(|v| v.to_str().ok()) else {
        return Some(DEFAULT_IDLE);
    };
    let seconds = stated.split(',').find_map(|field| {
        let (name, value) = field.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse::<u64>().ok())?
    });
    let stated = seconds.map_or(DEFAULT_IDLE, Duration::from_secs);
    stated.checked_sub(IDLE_MARGIN)
}
