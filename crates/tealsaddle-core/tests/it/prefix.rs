//! Guards against an estimate of the prefix caches that is wrong or grows without bound.

use tealsaddle_core::name::Name;
use tealsaddle_core::prefix::{BLOCK_WORDS, PrefixCacheEstimate, blocks};

fn prompt(name: &str, blocks: usize) -> String {
    let words: Vec<String> = (0..blocks * BLOCK_WORDS)
        .map(|i| format!("{name}{i}"))
        .collect();
    words.join(" ")
}

#[test]
fn shared_start_counts_up_to_the_first_difference() {
    let rules = prompt("rule", 3);
    let first = blocks(&format!("{rules} {}", prompt("score", 2)));
    let second = blocks(&format!("{rules} {}", prompt("tilt", 2)));
    let engine = Name::from("e1");
    let mut estimate = PrefixCacheEstimate::default();
    estimate.on_read(&engine, 60_000, &first);
    assert_eq!(estimate.cached_tokens("e1", &first), 5 * BLOCK_WORDS as u64);
    assert_eq!(
        estimate.cached_tokens("e1", &second),
        3 * BLOCK_WORDS as u64
    );
    assert_eq!(estimate.cached_tokens("e2", &second), 0);
}

/// A block in the middle of another prompt says nothing about the start of this one.
#[test]
fn same_text_at_another_place_does_not_count() {
    let mut estimate = PrefixCacheEstimate::default();
    let first = blocks(&format!("{} {}", prompt("a", 1), prompt("b", 1)));
    estimate.on_read(&Name::from("e1"), 60_000, &first);
    assert_eq!(estimate.cached_tokens("e1", &blocks(&prompt("b", 1))), 0);
}

#[test]
fn old_prompts_go_when_the_cache_is_full() {
    let engine = Name::from("e1");
    let mut estimate = PrefixCacheEstimate::default();
    let old = blocks(&prompt("old", 4));
    estimate.on_read(&engine, 8 * BLOCK_WORDS as u64, &old);
    estimate.on_read(&engine, 8 * BLOCK_WORDS as u64, &blocks(&prompt("new", 7)));
    // One block is left: the start, which is the last to go.
    assert_eq!(estimate.cached_tokens("e1", &old), BLOCK_WORDS as u64);
}

#[test]
fn an_answer_that_found_less_corrects_the_knowledge() {
    let engine = Name::from("e1");
    let mut estimate = PrefixCacheEstimate::default();
    let (first, second) = (blocks(&prompt("a", 4)), blocks(&prompt("b", 4)));
    estimate.on_read(&engine, 60_000, &first);
    estimate.on_read(&engine, 60_000, &second);
    estimate.on_answer("e1", &second, 256, 0);
    assert_eq!(
        estimate.cached_tokens("e1", &first),
        0,
        "it was evicted before"
    );
    assert_eq!(
        estimate.cached_tokens("e1", &second),
        256,
        "it was read again"
    );
}
