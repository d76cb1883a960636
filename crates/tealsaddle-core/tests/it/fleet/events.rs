//! Tests of splitting a stream at event boundaries.

use tealsaddle_core::fleet::events::EventSplitter;
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
