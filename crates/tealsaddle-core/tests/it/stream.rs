//! Joined token streams.

use proptest::prelude::*;
use tealsaddle_core::stream::{EndAction, StreamJoiner, TokenAction};

/// What an engine may send: a token under the right or a wrong attempt id.
#[derive(Debug, Clone)]
struct Sent {
    is_own: bool,
    index: u64,
}

fn sent() -> impl Strategy<Value = Sent> {
    (prop::bool::weighted(0.8), 0_u64..40).prop_map(|(is_own, index)| Sent { is_own, index })
}

proptest! {
    /// Guards against a lost, repeated, reordered or foreign token, whatever engines send over
    /// several attempts.
    #[test]
    fn answer_is_a_prefix_of_the_whole(attempts in prop::collection::vec(prop::collection::vec(sent(), 0..60), 1..4)) {
        let mut joiner = StreamJoiner::new(30);
        let mut delivered = Vec::new();
        for tokens in attempts {
            prop_assert_eq!(joiner.begin_attempt(), delivered.len() as u64);
            for token in tokens {
                let actual = if token.is_own { "own" } else { "other" };
                match joiner.on_token("own", actual, token.index) {
                    TokenAction::Deliver => {
                        prop_assert!(token.is_own);
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

/// Guards against a truncated answer that passes as whole because the engine said "done".
#[test]
fn end_with_missing_tokens_is_a_gap() {
    let mut joiner = StreamJoiner::new(10);
    assert_eq!(joiner.on_token("a", "a", 0), TokenAction::Deliver);
    assert_eq!(joiner.on_end("a", "a", Some(2)), EndAction::Gap);
    assert_eq!(joiner.begin_attempt(), 1);
    assert_eq!(joiner.on_token("b", "b", 1), TokenAction::Deliver);
    assert_eq!(joiner.on_end("b", "a", Some(1)), EndAction::DropForeign);
    assert_eq!(joiner.on_end("b", "b", Some(1)), EndAction::Finish);
}
