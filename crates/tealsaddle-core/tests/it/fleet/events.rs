//! Cutting a stream at the ends of events.

use tealsaddle_core::fleet::events::EventSplitter;
use yare::parameterized;

/// Guards against half an event before the point at which another runner goes on.
#[parameterized(
    nothing = { &["id: 1\ndata: a\n"], "", None },
    one = { &["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1") },
    in_pieces = { &["id: 1\nda", "ta: a\n", "\nid: 2\n"], "id: 1\ndata: a\n\n", Some("1") },
    two_and_a_half = { &["id:1\ndata: a\n\nid:2\ndata: b\n\nid:3"], "id:1\ndata: a\n\nid:2\ndata: b\n\n", Some("2") },
    carriage_returns = { &["id: 4\r\ndata: a\r\n\r\nid: 5\r\n"], "id: 4\r\ndata: a\r\n\r\n", Some("4") },
    no_id = { &["data: a\n\n"], "data: a\n\n", None },
)]
fn whole_events_pass(pieces: &[&str], passed: &str, last_id: Option<&str>) {
    let mut splitter = EventSplitter::default();
    let mut seen = Vec::new();
    for piece in pieces {
        seen.extend(splitter.push(piece.as_bytes()));
    }
    assert_eq!(String::from_utf8(seen).as_deref(), Ok(passed));
    assert_eq!(splitter.last_id(), last_id);
}

/// Guards against bytes lost at a clean end.
#[test]
fn rest_is_what_has_not_passed() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"data: a\n\ndata: b"), b"data: a\n\n");
    assert_eq!(splitter.take_incomplete(), b"data: b");
    assert_eq!(splitter.take_incomplete(), b"");
}
