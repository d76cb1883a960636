//! Stages of the runners of a model service.

use std::sync::Arc;

use tealsaddle_core::fleet::split::{DecodeUse, DecodeUseTracker, desired_prefill, plan};
use tealsaddle_core::fleet::{Runner, Stage};
use yare::parameterized;

use super::{SECOND_US, draining, runner};

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
    assert_eq!(desired_prefill(count), expected);
}

/// Guards against orders that only move the shortage to one zone.
#[test]
fn moves_come_from_all_zones() {
    let moves = plan(&pool(6, 12), DecodeUse::Low);
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
    assert!(plan(&pool(prefill, decode), DecodeUse::Low).is_empty());
}

/// Guards against an order to a runner that is about to leave.
#[test]
fn leaving_runners_get_no_order() {
    let mut runners = pool(2, 4);
    for runner in &mut runners[2..4] {
        *runner = draining(runner);
    }
    // Four remain, two of which read already.
    assert!(plan(&runners, DecodeUse::Low).is_empty());
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
    let moves = plan(&pool(prefill, decode), DecodeUse::Low);
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against streams that wait for want of decode runners while prefill runners idle, on a site whose
/// outputs outweigh its prompts, and against a pool that is left without readers.
#[parameterized(
    small = { 9, 3, 1 },
    large = { 58, 22, 7 },
    few_readers = { 2, 10, 0 },
)]
fn readers_go_back_while_decode_runners_are_full(prefill: usize, decode: usize, expected: usize) {
    let moves = plan(&pool(prefill, decode), DecodeUse::High);
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against orders back and forth: after a step back the use is lower, but no reason to undo it.
#[test]
fn moderate_use_needs_no_order() {
    assert!(plan(&pool(4, 8), DecodeUse::Moderate).is_empty());
    let mut watch = DecodeUseTracker::default();
    assert_eq!(watch.on_utilization(0.1, 0), DecodeUse::Low);
    assert_eq!(watch.on_utilization(0.4, 0), DecodeUse::Moderate);
}

/// Guards against an order for a burst that is over before the runner has changed its stage.
#[test]
fn only_lasting_use_is_high() {
    let mut watch = DecodeUseTracker::default();
    assert_eq!(watch.on_utilization(0.9, 0), DecodeUse::Moderate);
    assert_eq!(watch.on_utilization(0.5, SECOND_US), DecodeUse::Moderate);
    assert_eq!(
        watch.on_utilization(0.9, 2 * SECOND_US),
        DecodeUse::Moderate
    );
    assert_eq!(watch.on_utilization(0.9, 4 * SECOND_US), DecodeUse::High);
}
