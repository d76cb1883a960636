//! Stages of the runners of a model service.

use std::sync::Arc;

use tealsaddle_core::fleet::split::{plan, prefill_target};
use tealsaddle_core::fleet::{Runner, Stage};
use yare::parameterized;

use super::{draining, runner};

fn pool(prefill: usize, decode: usize) -> Vec<Arc<Runner>> {
    let zones = ["a", "b", "c"];
    let stages = [(Stage::Prefill, prefill), (Stage::Decode, decode)];
    let mut runners = Vec::new();
    for (stage, count) in stages {
        for i in 0..count {
            let id = format!("{stage:?}{i}");
            runners.push(runner(&id, zones[i % 3], Some(stage)));
        }
    }
    runners
}

/// Guards against a split beyond the edge at which streams stop for want of decode runners.
#[parameterized(
    none = { 0, 0 },
    one = { 1, 0 },
    two = { 2, 0 },
    three = { 3, 1 },
    six = { 6, 4 },
    twelve = { 12, 9 },
    eighteen = { 18, 13 },
)]
fn target_leaves_decode_runners(count: usize, expected: usize) {
    assert_eq!(prefill_target(count), expected);
}

/// Guards against orders that only move the shortage to one zone.
#[test]
fn moves_come_from_all_zones() {
    let moves = plan(&pool(6, 12));
    assert_eq!(moves.len(), 7);
    assert!(moves.iter().all(|step| step.to == Stage::Prefill));
    let taken = |zone: &str| {
        moves
            .iter()
            .filter(|step| *step.runner.zone == *zone)
            .count()
    };
    let most = ["a", "b", "c"].map(taken);
    assert!(most.iter().all(|count| (2..=3).contains(count)), "{most:?}");
}

/// Guards against orders without a need: each takes a runner away for seconds.
#[parameterized(
    at_target = { 13, 5 },
    beyond_target = { 15, 3 },
    plain_service = { 0, 0 },
)]
fn enough_readers_need_no_order(prefill: usize, decode: usize) {
    assert!(plan(&pool(prefill, decode)).is_empty());
}

/// Guards against an order to a runner that is about to leave.
#[test]
fn leaving_runners_get_no_order() {
    let mut runners = pool(2, 4);
    for runner in &mut runners[2..4] {
        *runner = draining(runner);
    }
    // Four remain, two of which read already.
    assert!(plan(&runners).is_empty());
}

/// Guards against a pool that cannot serve at all, since decode runners were lost or none was there.
#[parameterized(
    none_left = { 9, 0, 2 },
    one_left = { 9, 1, 1 },
    two_left = { 9, 2, 0 },
    single_reader = { 1, 0, 1 },
    empty = { 0, 0, 0 },
)]
fn readers_go_back_when_decode_runners_are_lost(prefill: usize, decode: usize, expected: usize) {
    let moves = plan(&pool(prefill, decode));
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}
