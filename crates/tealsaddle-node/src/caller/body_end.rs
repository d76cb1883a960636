//! Where the body of a relayed response may end.

use bytes::Bytes;
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use tealsaddle_core::fleet::events::EventBoundary;

/// Follows the events of a relayed body. A body of another type ends where its framing says.
#[derive(Debug)]
pub struct BodyEnd {
    boundary: Option<EventBoundary>,
}

impl BodyEnd {
    /// Begins with the head of a response. The length of an event stream is removed, since the caller would take
    /// the stream for complete at this length, whatever is found at its end.
    pub fn begin(headers: &mut HeaderMap) -> Self {
        let is_event_stream = headers
            .get(CONTENT_TYPE)
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        if is_event_stream {
            headers.remove(CONTENT_LENGTH);
        }
        Self {
            boundary: is_event_stream.then(EventBoundary::default),
        }
    }

    /// Takes the next frame.
    pub fn on_frame(&mut self, frame: &Frame<Bytes>) {
        if let (Some(boundary), Some(data)) = (&mut self.boundary, frame.data_ref()) {
            boundary.push(data);
        }
    }

    /// Whether the body is an event stream.
    pub const fn is_event_stream(&self) -> bool {
        self.boundary.is_some()
    }

    /// Whether the body is not inside an event.
    pub fn is_between_events(&self) -> bool {
        let boundary = self.boundary.as_ref();
        boundary.is_none_or(|boundary| boundary.incomplete_bytes() == 0)
    }
}
