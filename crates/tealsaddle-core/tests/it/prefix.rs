//! Tests of the estimate of the engines' prefix caches.

use tealsaddle_core::name::Name;
use tealsaddle_core::prefix::{BLOCK_WORDS, PrefixCacheEstimate, blocks};

fn prompt(name: &str, blocks: usize) -> String {
    let words: Vec<String> = (0..blocks * BLOCK_WORDS)
        .map(|i| format!("{name}{i}"))
        .collect();
    words.join(" ")
}

/// Guards against counting blocks after the first difference between two prompts.
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

/// Guards against counting a block that the cache contains only in the middle of another prompt.
#[test]
fn same_text_at_another_position_does_not_count() {
    let mut estimate = PrefixCacheEstimate::default();
    let first = blocks(&format!("{} {}", prompt("a", 1), prompt("b", 1)));
    estimate.on_read(&Name::from("e1"), 60_000, &first);
    assert_eq!(estimate.cached_tokens("e1", &blocks(&prompt("b", 1))), 0);
}

/// Guards against an estimate that exceeds the capacity of the cache.
#[test]
fn oldest_blocks_are_evicted_when_the_cache_is_full() {
    let engine = Name::from("e1");
    let mut estimate = PrefixCacheEstimate::default();
    let old = blocks(&prompt("old", 4));
    estimate.on_read(&engine, 8 * BLOCK_WORDS as u64, &old);
    estimate.on_read(&engine, 8 * BLOCK_WORDS as u64, &blocks(&prompt("new", 7)));
    // One block remains: the first one, which is evicted last.
    assert_eq!(estimate.cached_tokens("e1", &old), BLOCK_WORDS as u64);
}

/// Guards against counting blocks that the engine has evicted.
#[test]
fn answer_that_found_fewer_tokens_corrects_the_estimate() {
    let engine = Name::from("e1");
    let mut estimate = PrefixCacheEstimate::default();
    let (first, second) = (blocks(&prompt("a", 4)), blocks(&prompt("b", 4)));
    estimate.on_read(&engine, 60_000, &first);
    estimate.on_read(&engine, 60_000, &second);
    estimate.on_answer("e1", &second, 256, 0);
    assert_eq!(
        estimate.cached_tokens("e1", &first),
        0,
        "the first prompt was evicted"
    );
    assert_eq!(
        estimate.cached_tokens("e1", &second),
        256,
        "the second prompt was read again"
    );
}
