//! Bodies of requests to targets and peers: held in memory, or relayed while they arrive.
//!
//! Each attempt learns whether its connection has taken the whole body for sending. A response without a length that ends
//! before that is not known to be whole.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::response::{Body, BodyError};

/// Body of a request that may be sent in more than one attempt.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A body in memory, which can be sent any number of times.
    Whole(Bytes),
    /// A body that is relayed while it arrives. It can be sent again only if none of it has been read.
    Stream(Arc<Mutex<StreamedBody>>),
}

/// A body that is relayed while it arrives, shared between attempts.
#[derive(Debug)]
pub struct StreamedBody {
    body: Limited<Incoming>,
    has_been_read: bool,
}

/// Whether all of a request's body has been taken for sending by the connection of an attempt.
#[derive(Debug, Clone, Default)]
pub struct BodySent(Arc<AtomicBool>);

impl BodySent {
    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it has.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Payload {
    /// Creates a payload that is relayed while it arrives, up to `limit_bytes`.
    pub fn stream(body: Incoming, limit_bytes: usize) -> Self {
        Self::Stream(Arc::new(Mutex::new(StreamedBody {
            body: Limited::new(body, limit_bytes),
            has_been_read: false,
        })))
    }

    /// Whether the body can be sent from its start.
    pub fn is_unread(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream(body) => {
                !body
                    .lock()
                    .expect("no holder of the lock panics")
                    .has_been_read
            }
        }
    }

    /// Returns the body for one attempt, and what tells when it has been sent.
    pub fn body(&self) -> (Body, BodySent) {
        let sent = BodySent::default();
        if matches!(self, Self::Whole(bytes) if bytes.is_empty()) {
            sent.set();
        }
        let body = match self {
            Self::Whole(bytes) => WholeBody {
                rest: bytes.clone(),
                sent: sent.clone(),
            }
            .boxed_unsync(),
            Self::Stream(body) => SharedBody {
                body: Arc::clone(body),
                sent: sent.clone(),
            }
            .boxed_unsync(),
        };
        (body, sent)
    }
}

/// Longest frame of a body in memory. A connection takes a few frames ahead of those that it has sent.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// A body in memory, which is sent in short frames so that it is known how far it has been sent.
struct WholeBody {
    rest: Bytes,
    sent: BodySent,
}

impl HttpBody for WholeBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let length = self.rest.len().min(MAX_FRAME_BYTES);
        let frame = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.sent.set();
        }
        Poll::Ready((!frame.is_empty()).then(|| Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

struct SharedBody {
    body: Arc<Mutex<StreamedBody>>,
    sent: BodySent,
}

impl HttpBody for SharedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut shared = self.body.lock().expect("no holder of the lock panics");
        shared.has_been_read = true;
        let polled = Pin::new(&mut shared.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || shared.body.is_end_stream() {
            self.sent.set();
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.body.lock().expect("no holder of the lock panics");
        shared.body.size_hint()
    }
}
