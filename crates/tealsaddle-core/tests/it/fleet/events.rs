//! Tests of splitting a stream at event boundaries.

use proptest::prelude::*;
use tealsaddle_core::fleet::events::{EventBoundary, EventSplitter, FirstEvent};
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
    bare_carriage_returns = { &["id: 4\rdata: a\r\r", "id: 5\r"], "id: 4\rdata: a\r\r", Some("4") },
    byte_order_mark = { &["\u{feff}id: 4\n\nid"], "\u{feff}id: 4\n\n", Some("4") },
    comment_between_events = { &["id: 4\n\n: ping\nid: 5\n"], "id: 4\n\n: ping\n", Some("4") },
    comment_in_an_event = { &["id: 4\n: ping\n"], "", None },
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

/// Guards against a wrong id of the event with which a runner goes on with a stream.
#[parameterized(
    nothing = { "", None },
    one = { "id: 4\ndata: a\n\nid: 5\ndata: b\n\n", Some(Some("4")) },
    id_after_the_data = { "data: a\nid: 4\n\n", Some(Some("4")) },
    without_id = { "data: a\n\nid: 5\ndata: b\n\n", Some(None) },
    empty_data = { "id: 4\ndata\n\n", Some(Some("4")) },
    carriage_returns = { "id: 4\r\ndata: a\r\n\r\n", Some(Some("4")) },
    bare_carriage_returns = { "id: 4\rdata: a\r\r", Some(Some("4")) },
    comment_first = { ": ping\n\nid: 4\ndata: a\n\n", Some(Some("4")) },
    id_without_data = { "id: 4\n\ndata: a\n\n", Some(Some("4")) },
    nothing_but_a_retry_time = { "retry: 4\n\n", None },
    byte_order_mark = { "\u{feff}id: 4\ndata: a\n\n", Some(Some("4")) },
)]
fn first_event_is_found(events: &str, id: Option<Option<&str>>) {
    let first = FirstEvent::find(events.as_bytes());
    let first_id = first.as_ref().map(|first| first.id.as_deref());
    assert_eq!(first_id, id);
}

/// Guards against events of a runner that goes on elsewhere than asked, and against an order that is not told.
#[parameterized(
    next = { "id: 3\ndata: c\n\n", true },
    later = { "id: 10\ndata: c\n\n", true },
    same = { "id: 2\ndata: b\n\n", false },
    earlier = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false },
    without_id = { "data: c\n\n", false },
    after_a_comment = { ": ping\n\nid: 2\ndata: b\n\n", false },
    id_alone = { "id: 1\n\nid: 3\ndata: c\n\n", false },
)]
fn events_of_another_runner_follow_the_last_one(events: &str, follow: bool) {
    let mut splitter = EventSplitter::default();
    assert!(
        !splitter
            .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3")
            .is_empty()
    );
    drop(splitter.take_incomplete());
    let released = splitter.push(events.as_bytes());
    assert_eq!(!released.is_empty(), follow);
    assert_eq!(splitter.is_out_of_order(), !follow);
    if !follow {
        assert_eq!(splitter.last_id(), Some("2"));
        drop(splitter.take_incomplete());
        assert!(!splitter.push(b"id: 3\ndata: c\n\n").is_empty());
    }
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
    bare_carriage_returns = { "id: 4\rdata: a\r\r", 0 },
    bare_carriage_returns_without_empty_line = { "id: 4\rdata: a\r", 14 },
    mixed_line_ends = { "id: 4\rdata: a\r\n\r\n", 0 },
    comment_between_events = { "id: 4\n\n: ping\n", 0 },
    half_a_comment = { "id: 4\n\n: ping", 6 },
    comment_in_an_event = { "id: 4\n: ping\n", 13 },
    byte_order_mark = { "\u{feff}id: 4\n\n", 0 },
    byte_order_mark_alone = { "\u{feff}", 3 },
    half_a_character = { "data: \u{fc}\n\ndata: \u{fc}", 8 },
)]
fn incomplete_bytes_are_counted(text: &str, expected: usize) {
    let mut boundary = EventBoundary::default();
    boundary.push(text.as_bytes());
    assert_eq!(boundary.incomplete_bytes(), expected);
}

/// Guards against a byte order mark in the middle of a stream that another runner goes on with.
#[test]
fn byte_order_mark_of_the_next_stream_is_dropped() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 1\n\nid"), b"id: 1\n\n");
    assert_eq!(splitter.take_incomplete(), b"id");
    assert_eq!(splitter.push("\u{feff}id: 2\n\n".as_bytes()), b"id: 2\n\n");
    assert_eq!(splitter.last_id(), Some("2"));
}

/// The lines of a text, by the definition of server-sent events. The last one has not ended.
fn lines(text: &str) -> Vec<String> {
    let unified = text.replace("\r\n", "\n").replace('\r', "\n");
    unified.split('\n').map(str::to_owned).collect()
}

proptest! {
    /// Guards against an end inside an event that is taken for one between two, and the other way round.
    #[test]
    fn boundary_follows_the_definition_of_events(text in "[a:\r\n]{0,40}") {
        // Whether a CR at the end is a whole line end depends on what came before it.
        prop_assume!(!text.ends_with('\r'));
        let mut boundary = EventBoundary::default();
        boundary.push(text.as_bytes());
        let lines = lines(&text);
        let (open, ended) = lines.split_last().expect("a split has a part");
        let last_empty = ended.iter().rposition(String::is_empty);
        let event = &ended[last_empty.map_or(0, |at| at + 1)..];
        let is_between = open.is_empty() && event.iter().all(|line| line.starts_with(':'));
        prop_assert_eq!(boundary.incomplete_bytes() == 0, is_between);
    }

    /// Guards against a boundary that depends on how the bytes arrive, or differs from that of resumed streams.
    #[test]
    fn boundary_agrees_with_the_splitter(text in "[a:\r\n]{0,40}", cut in 0_usize..40) {
        let cut = cut.min(text.len());
        let mut boundary = EventBoundary::default();
        boundary.push(&text.as_bytes()[..cut]);
        boundary.push(&text.as_bytes()[cut..]);
        let mut whole = EventBoundary::default();
        whole.push(text.as_bytes());
        prop_assert_eq!(boundary.incomplete_bytes(), whole.incomplete_bytes());
        let mut splitter = EventSplitter::default();
        splitter.push(text.as_bytes());
        prop_assert_eq!(splitter.incomplete_bytes(), whole.incomplete_bytes());
    }
}
