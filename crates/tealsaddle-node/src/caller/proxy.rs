//! HTTP client for calls to targets and for forwarded requests, and the reading of whole bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::response::{Body, BodyError, Refusal};
use crate::traffic::{StopSignals, Traffic};

/// Timeout for opening a connection. Within a region that takes about a millisecond, and a lost SYN
/// is retransmitted after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without acknowledgements from the host after which a connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for the next frame of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the send buffer of a connection. What is in it counts as sent, so a large one would hide that a target has given
/// up a call.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// HTTP client for the targets of plain services and for peers.
#[derive(Debug)]
pub struct TargetClient {
    pooled: Client<HttpConnector, Body>,
    unpooled: Client<HttpConnector, Body>,
    stop_signals: StopSignals,
}

impl TargetClient {
    /// Creates a client without connecting.
    pub fn open(stop_signals: StopSignals) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_send_buffer_size(Some(SEND_BUFFER_BYTES));
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        connector.set_keepalive(Some(TCP_USER_TIMEOUT / 2));
        connector.set_keepalive_interval(Some(TCP_USER_TIMEOUT / 4));
        Self {
            pooled: Client::builder(TokioExecutor::new()).build(connector.clone()),
            unpooled: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector),
            stop_signals,
        }
    }

    /// Sends a request and waits for the head of the response until `deadline`, or until a stop of the
    /// node aborts the requests in flight.
    ///
    /// A request that is not repeatable uses a new connection: if the target closed an idle one at the
    /// same moment, the outcome would be unknown. Dropping the request after a timeout closes its
    /// connection, so that a late response cannot be taken for that of a later request.
    pub async fn send(
        &self,
        request: Request<Body>,
        is_repeatable: bool,
        deadline: Instant,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        let client = if is_repeatable {
            &self.pooled
        } else {
            &self.unpooled
        };
        let sent = self.stop_signals.send(deadline, client.request(request));
        sent.await?.map_err(|error| {
            if error.is_connect() {
                AttemptOutcome::NotRun(NotRunReason::ConnectFailed)
            } else {
                AttemptOutcome::Unknown(UnknownReason::ConnectionLost)
            }
        })
    }
}

/// Permit for the bytes of a body that was read as a whole, counted against the node's limit on all
/// bodies in memory. `None` if no bytes were read.
pub type BodyPermit = Option<OwnedSemaphorePermit>;

/// Reads a whole body, within the limits on one body and on all bodies in memory.
///
/// A node that is closing its connections refuses a request whose body is incomplete, since the
/// request would be new work.
pub async fn read_body(traffic: &Traffic, body: Incoming) -> Result<(Bytes, BodyPermit), Refusal> {
    let reading = read_whole(traffic, body);
    let read = traffic
        .stop_signals
        .closing
        .run_until_cancelled(reading)
        .await;
    read.unwrap_or_else(|| Err(Refusal::draining()))
}

async fn read_whole(traffic: &Traffic, body: Incoming) -> Result<(Bytes, BodyPermit), Refusal> {
    let limit_bytes = traffic.settings.limits.request_body_bytes as usize;
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_large(limit_bytes));
    }
    let mut body = Limited::new(body, limit_bytes);
    let mut bytes = BytesMut::new();
    let mut permit = BodyPermit::default();
    loop {
        let data = match tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
            Ok(None) => return Ok((bytes.freeze(), permit)),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => data,
                Err(_trailers) => continue,
            },
            Ok(Some(Err(error))) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(too_large(limit_bytes));
            }
            Ok(Some(Err(_broken))) => {
                let (reason, message) = ("body_cut_off", "the body was cut off");
                return Err(Refusal::not_run(StatusCode::BAD_REQUEST, reason, message));
            }
            Err(_elapsed) => {
                let (reason, message) = ("body_timeout", "the body did not arrive in time");
                return Err(Refusal::not_run(
                    StatusCode::REQUEST_TIMEOUT,
                    reason,
                    message,
                ));
            }
        };
        let count = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let budget = Arc::clone(&traffic.body_byte_permits);
        let Ok(more) = budget.try_acquire_many_owned(count) else {
            let message = "the node holds too many bytes of requests";
            return Err(Refusal::unavailable("body_space", message));
        };
        match &mut permit {
            Some(permit) => permit.merge(more),
            None => permit = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
}

fn too_large(limit_bytes: usize) -> Refusal {
    let message = format!("the body is longer than {limit_bytes} bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

/// A body that owns a guard, such as a semaphore permit, and releases it when dropped.
#[derive(Debug)]
pub struct GuardedBody<T> {
    body: Body,
    _guard: T,
}

impl<T> GuardedBody<T>
where
    T: Send + Unpin + 'static,
{
    /// Wraps a body so that `guard` is dropped when the body ends or the caller disconnects.
    pub fn wrap(body: Body, guard: T) -> Body {
        Self {
            body,
            _guard: guard,
        }
        .boxed_unsync()
    }
}

impl<T> HttpBody for GuardedBody<T>
where
    T: Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
