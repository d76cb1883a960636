//! What calls to targets and forwarded calls share: client, headers and bodies.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
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

/// Time to connect. Within a region a connection takes about a millisecond, and a lost SYN is sent
/// again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a connection to a host that does not acknowledge anything is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a caller must send the next part of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of the targets of plain services and of peers.
#[derive(Debug)]
pub struct TargetClient {
    pooled: Client<HttpConnector, Body>,
    fresh: Client<HttpConnector, Body>,
    stop_signals: StopSignals,
}

impl TargetClient {
    /// Opens a client; no call is made yet.
    pub fn open(stop_signals: StopSignals) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
        connector.set_keepalive(Some(SILENCE_TIMEOUT / 2));
        connector.set_keepalive_interval(Some(SILENCE_TIMEOUT / 4));
        Self {
            pooled: Client::builder(TokioExecutor::new()).build(connector.clone()),
            fresh: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build(connector),
            stop_signals,
        }
    }

    /// Sends a request and waits for the head of the answer until `deadline`, or until a stop gives
    /// requests up.
    ///
    /// A call that may not be repeated gets a fresh connection: an idle one that the target closes
    /// at this moment would make its outcome unknown. Dropping the call after a timeout closes its
    /// connection, so no late answer meets a later request.
    pub async fn send(
        &self,
        request: Request<Body>,
        is_repeatable: bool,
        deadline: Instant,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        let client = if is_repeatable {
            &self.pooled
        } else {
            &self.fresh
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

/// Bytes held in a body that was read as a whole, as counted against the node's bound.
pub type BytesHeld = Option<OwnedSemaphorePermit>;

/// Reads a whole body, within the bound on one body and the bound on all bodies that are held.
///
/// A node that takes no more connections does not wait for the rest of a body: the request would be new
/// work.
pub async fn read_body(traffic: &Traffic, body: Incoming) -> Result<(Bytes, BytesHeld), Refusal> {
    let reading = read_whole(traffic, body);
    let read = traffic
        .stop_signals
        .closing
        .run_until_cancelled(reading)
        .await;
    read.unwrap_or_else(|| Err(Refusal::leaving()))
}

async fn read_whole(traffic: &Traffic, body: Incoming) -> Result<(Bytes, BytesHeld), Refusal> {
    let limit_bytes = traffic.settings.limits.request_body_bytes as usize;
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_large(limit_bytes));
    }
    let mut body = Limited::new(body, limit_bytes);
    let mut bytes = BytesMut::new();
    let mut held = BytesHeld::default();
    loop {
        let data = match tokio::time::timeout(BODY_IDLE_TIMEOUT, body.frame()).await {
            Ok(None) => return Ok((bytes.freeze(), held)),
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
        let places = Arc::clone(&traffic.body_byte_permits);
        let Ok(more) = places.try_acquire_many_owned(count) else {
            let message = "the node holds too many bytes of requests";
            return Err(Refusal::busy("body_space", message));
        };
        match &mut held {
            Some(held) => held.merge(more),
            None => held = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
}

fn too_large(limit_bytes: usize) -> Refusal {
    let message = format!("the body is longer than {limit_bytes} bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

/// Body of a request that may be sent more than once.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A body that was read as a whole.
    Whole(Bytes),
    /// A body that is passed on while it arrives. It can be sent again as long as nothing of it was
    /// read.
    Stream(Arc<Mutex<StreamedBody>>),
}

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub struct StreamedBody {
    body: Limited<Incoming>,
    is_touched: bool,
}

impl Payload {
    /// A body that is passed on while it arrives, up to a length.
    pub fn stream(body: Incoming, limit_bytes: usize) -> Self {
        Self::Stream(Arc::new(Mutex::new(StreamedBody {
            body: Limited::new(body, limit_bytes),
            is_touched: false,
        })))
    }

    /// Whether the body can be sent (again) from its start.
    pub fn is_intact(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream(body) => {
                !body
                    .lock()
                    .expect("no holder of the lock panics")
                    .is_touched
            }
        }
    }

    /// The body for one attempt.
    pub fn body(&self) -> Body {
        match self {
            Self::Whole(bytes) => Full::new(bytes.clone())
                .map_err(|never| match never {})
                .boxed_unsync(),
            Self::Stream(body) => Shared(Arc::clone(body)).boxed_unsync(),
        }
    }
}

struct Shared(Arc<Mutex<StreamedBody>>);

impl HttpBody for Shared {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut shared = self.0.lock().expect("no holder of the lock panics");
        shared.is_touched = true;
        Pin::new(&mut shared.body).poll_frame(cx)
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.0.lock().expect("no holder of the lock panics");
        shared.body.size_hint()
    }
}

/// Passes a body on; what it holds is released with it.
#[derive(Debug)]
pub struct Holding<T> {
    body: Body,
    _held: T,
}

impl<T> Holding<T>
where
    T: Send + Unpin + 'static,
{
    /// A body that holds `held` until it ends or the caller goes away.
    pub fn wrap(body: Body, held: T) -> Body {
        Self { body, _held: held }.boxed_unsync()
    }
}

impl<T> HttpBody for Holding<T>
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
