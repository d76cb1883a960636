//! Tests of joining token streams.

use proptest::prelude::*;
use tealsaddle_core::stream::{EndAction, StreamJoiner, TokenAction};

/// A token that an engine may send, with the right or a wrong attempt id.
#[derive(Debug, Clone)]
struct Sent {
    has_expected_id: bool,
    index: u64,
}

fn sent() -> impl Strategy<Value = Sent> {
    (prop::bool::weighted(0.8), 0_u64..40).prop_map(|(has_expected_id, index)| Sent {
        has_expected_id,
        index,
    })
}

proptest! {
    /// Guards against a lost, repeated or reordered token in the answer, and against one of another attempt.
    /// Engines send random tokens over several attempts.
    #[test]
    fn delivered_tokens_are_a_prefix_of_the_answer(attempts in prop::collection::vec(prop::collection::vec(sent(), 0..60), 1..4)) {
        let mut joiner = StreamJoiner::new(30);
        let mut delivered = Vec::new();
        for tokens in attempts {
            prop_assert_eq!(joiner.next_index(), delivered.len() as u64);
            for token in tokens {
                let actual = if token.has_expected_id { "own" } else { "other" };
                match joiner.on_token("own", actual, token.index) {
                    TokenAction::Deliver => {
                        prop_assert!(token.has_expected_id);
                        delivered.push(token.index);
                    }
                    TokenAction::Gap => break,
                    _ => {}
                }
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert!(delivered.len() <= 30);
        prop_assert_eq!(delivered, expected);
    }
}

/// Guards against accepting a truncated answer as complete because the engine reported the end.
#[test]
fn end_with_missing_tokens_is_a_gap() {
    let mut joiner = StreamJoiner::new(10);
    assert_eq!(joiner.on_token("a", "a", 0), TokenAction::Deliver);
    assert_eq!(joiner.on_end("a", "a", 0, Some(2)), EndAction::Gap);
    assert_eq!(joiner.next_index(), 1);
    assert_eq!(joiner.on_token("b", "b", 1), TokenAction::Deliver);
    assert_eq!(joiner.on_end("b", "a", 1, Some(1)), EndAction::DropForeign);
    assert_eq!(joiner.on_end("b", "b", 1, Some(1)), EndAction::Finish);
}

/// Guards against a complete answer that counts as truncated because another attempt has started beside the
/// one that delivers it.
#[test]
fn end_is_checked_against_the_start_of_its_own_attempt() {
    let mut joiner = StreamJoiner::new(10);
    assert_eq!(joiner.on_token("a", "a", 0), TokenAction::Deliver);
    let second_resumed_at = joiner.next_index();
    assert_eq!(joiner.on_token("a", "a", 1), TokenAction::Deliver);
    assert_eq!(joiner.on_end("a", "a", 0, Some(2)), EndAction::Finish);
    assert_eq!(
        joiner.on_end("b", "b", second_resumed_at, Some(2)),
        EndAction::Gap
    );
}
