//! The events of one answer, on their way from its runners to the caller.
//!
//! A stream that may be resumed is passed on in whole events; another one as it arrives. A stream of events is
//! complete only if it ends between two events, however its runner frames it. A limit on the size of an event, and one on
//! what all streams of the node hold, keep events without end out of memory.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use tealsaddle_core::fleet::config::RepeatPolicy;
use tealsaddle_core::fleet::events::{EventBoundary, EventSplitter, FirstEvent};
use tealsaddle_core::retry::UnknownReason;

use crate::framing::Framing;
use crate::held_bytes::{HeldBytes, HeldShare};

/// Largest event. A runner that sends more bytes without the end of an event has failed.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of a stream, by the route's policy.
#[derive(Debug)]
pub struct EventStream {
    /// Splits the stream after complete events; `None` if the stream must not be resumed.
    splitter: Option<EventSplitter>,
    boundary: EventBoundary,
    /// What the splitter holds back.
    held: HeldShare,
    /// Whether the answer consists of events, so that its end inside of one means that it was broken off.
    has_events: bool,
    /// Whether the caller has got any event.
    has_passed_events: bool,
    /// Whether several runners have written the stream.
    has_continued: bool,
}

impl EventStream {
    /// Begins the stream of an answer with this head. `received_id` is the id of the last event that the caller has
    /// received before, and `of_all_streams` what the streams of the node hold.
    pub fn begin(
        repeat: RepeatPolicy,
        head: &Parts,
        framing: Framing,
        received_id: Option<&str>,
        of_all_streams: &Arc<HeldBytes>,
    ) -> Self {
        let is_success = head.status.is_success();
        let mut splitter = (repeat.may_repeat() && is_success).then(EventSplitter::default);
        if let (Some(splitter), Some(id)) = (&mut splitter, received_id) {
            splitter.expect_after(id);
        }
        Self {
            splitter,
            boundary: EventBoundary::default(),
            held: HeldShare::open(Arc::clone(of_all_streams)),
            has_events: repeat.is_stream() && is_success && has_events(head, framing),
            has_passed_events: false,
            has_continued: false,
        }
    }

    /// Goes on with the answer of another runner after the last complete event.
    pub fn continue_with(&mut self, head: &Parts, framing: Framing) {
        drop(self.take_rest());
        self.has_continued = true;
        self.has_events |= has_events(head, framing);
    }

    /// Takes bytes of the runner and returns those to pass on now; `None` if there is no complete event yet.
    pub fn push(&mut self, data: Bytes) -> Result<Option<Bytes>, UnknownReason> {
        let Some(splitter) = &mut self.splitter else {
            if self.has_events {
                self.boundary.push(&data);
                self.check_size()?;
            }
            return Ok(Some(data));
        };
        let events = splitter.push(&data);
        if splitter.is_out_of_order() {
            return Err(UnknownReason::InvalidAnswer);
        }
        self.has_passed_events |= FirstEvent::find(&events).is_some();
        self.check_size()?;
        if !self.held.set(self.incomplete_bytes()) {
            return Err(UnknownReason::InvalidAnswer);
        }
        Ok((!events.is_empty()).then(|| Bytes::from(events)))
    }

    fn check_size(&self) -> Result<(), UnknownReason> {
        if self.incomplete_bytes() > MAX_EVENT_BYTES {
            return Err(UnknownReason::InvalidAnswer);
        }
        Ok(())
    }

    /// Whether the present runner did not go on after the last event that the caller has received.
    pub fn is_out_of_order(&self) -> bool {
        let splitter = self.splitter.as_ref();
        splitter.is_some_and(EventSplitter::is_out_of_order)
    }

    /// Number of bytes after the last complete event; 0 if the answer does not consist of events.
    pub fn incomplete_bytes(&self) -> usize {
        let splitter = self.splitter.as_ref();
        splitter.map_or(
            self.boundary.incomplete_bytes(),
            EventSplitter::incomplete_bytes,
        )
    }

    /// Number of complete events; `None` if several runners have written them.
    pub fn count(&self) -> Option<u64> {
        let splitter = self.splitter.as_ref();
        let count = splitter.map_or(self.boundary.events(), EventSplitter::events);
        (!self.has_continued).then_some(count)
    }

    /// Whether the answer consists of events.
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether the answer consists of events and none of them has come, in this attempt or before. A complete run has one.
    pub fn is_without_events(&self) -> bool {
        let has_begun = self.has_passed_events || self.boundary.events() > 0;
        let splitter = self.splitter.as_ref();
        let is_taken_up = splitter.is_some_and(EventSplitter::is_expected_to_go_on);
        self.has_events && !has_begun && !is_taken_up
    }

    /// Whether the stream is complete if it ends here.
    pub fn may_end(&self) -> bool {
        !self.has_events || self.incomplete_bytes() == 0
    }

    /// Removes and returns the bytes that were held back.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.splitter.as_mut()?.take_incomplete();
        self.held.set(0);
        (!rest.is_empty()).then(|| Bytes::from(rest))
    }

    /// Whether another runner may go on with the stream: not if events without an id were passed on.
    pub fn may_resume(&self) -> bool {
        let splitter = self.splitter.as_ref();
        splitter.is_some_and(|s| s.last_id().is_some() || !self.has_passed_events)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.splitter.as_ref()?.last_id()
    }
}

/// Whether a successful answer on a route of streams consists of events. One that is not marked as such and states
/// its length may be something else.
fn has_events(head: &Parts, framing: Framing) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    let stated = head.headers.get(CONTENT_TYPE);
    let is_marked = stated.is_some_and(|value| {
        let start = value.as_bytes().get(..EVENT_STREAM.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    });
    is_marked || framing != Framing::Length
}
