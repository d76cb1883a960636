//! Tests of splitting a stream at event boundaries.

use proptest::prelude::*;
use tealsaddle_core::fleet::events::{EventBoundary, EventSplitter};
use yare::parameterized;

/// Guards against passing on an incomplete event, after which another runner would resume in the middle of
/// the event.
#[parameterized(
    nothing = { &["id: 1\ndata: a\n"], "", None },
    one = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1") },
    in_pieces = { &["id: 1\nda", "ta: a\n", "\nid: 2\n"], "id: 1\ndata: a\n\n", Some("1") },
    two_and_a_half = { &["id:1\ndata: a\n\nid:2\ndata: b\n\nid:3"], "id:1\ndata: a\n\nid:2\ndata: b\n\n", Some("2") },
    carriage_returns = { &["id: 4\r\ndata: a\r\n\r\nid: 5\r\n"], "id: 4\r\ndata: a\r\n\r\n", Some("4") },
    no_id = { &["data: a\n\n"], "data: a\n\n", None },
)]
fn only_complete_events_are_released(pieces: &[&str], released: &str, last_id: Option<&str>) {
    let mut splitter = EventSplitter::default();
    let mut output = Vec::new();
    for piece in pieces {
        output.extend(splitter.push(piece.as_bytes()));
    }
    assert_eq!(String::from_utf8(output).as_deref(), Ok(released));
    assert_eq!(splitter.last_id(), last_id);
}

/// Guards against losing the bytes of an incomplete event when a stream ends normally.
#[test]
fn incomplete_event_can_be_taken() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"data: a\n\ndata: b"), b"data: a\n\n");
    assert_eq!(splitter.take_incomplete(), b"data: b");
    assert_eq!(splitter.take_incomplete(), b"");
}

/// Guards against taking a stream for complete that was broken off inside an event, and the other way round.
#[parameterized(
    nothing = { "", 0 },
    one = { "id: 1\ndata: a\n\n", 0 },
    without_empty_line = { "id: 1\ndata: a\n", 14 },
    half_a_line = { "id: 1\ndata: a\n\nid", 2 },
    carriage_returns = { "id: 4\r\ndata: a\r\n\r\n", 0 },
    half_an_empty_line = { "id: 4\r\ndata: a\r\n\r", 17 },
    more_empty_lines = { "\n\nid: 1\n\n\n", 0 },
)]
fn incomplete_bytes_are_counted(text: &str, expected: usize) {
    let mut boundary = EventBoundary::default();
    boundary.push(text.as_bytes());
    assert_eq!(boundary.incomplete_bytes(), expected);
}

proptest! {
    /// Guards against a boundary that depends on how the bytes arrive, or differs from that of resumed streams.
    #[test]
    fn boundary_agrees_with_the_splitter(text in "[a\r\n]{0,40}", cut in 0_usize..40) {
        let cut = cut.min(text.len());
        let mut boundary = EventBoundary::default();
        boundary.push(&text.as_bytes()[..cut]);
        boundary.push(&text.as_bytes()[cut..]);
        let mut whole = EventBoundary::default();
        whole.push(text.as_bytes());
        prop_assert_eq!(boundary.incomplete_bytes(), whole.incomplete_bytes());
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        if !text.starts_with(['\r', '\n']) && !text.contains("\r\r") && !text.contains("a\ra") {
            prop_assert_eq!(splitter.incomplete_bytes(), whole.incomplete_bytes());
        }
    }
}
