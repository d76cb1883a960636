//! Tests of the split of runners between the stages.

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

/// Guards against a split that leaves too few decode runners, with which streams stop.
#[parameterized(
    none = { 0, 0 },
    one = { 1, 0 },
    two = { 2, 0 },
    three = { 3, 1 },
    six = { 6, 4 },
    twelve = { 12, 9 },
    eighteen = { 18, 13 },
)]
fn desired_split_leaves_decode_runners(count: usize, expected: usize) {
    assert_eq!(desired_prefill(count), expected);
}

/// Guards against taking all runners from one zone, which then lacks decode runners.
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
    let counts = ["a", "b", "c"].map(taken);
    assert!(
        counts.iter().all(|count| (2..=3).contains(count)),
        "{counts:?}"
    );
}

/// Guards against unnecessary orders, each of which makes a runner unavailable for seconds.
#[parameterized(
    at_target = { 13, 5 },
    beyond_target = { 15, 3 },
    plain_service = { 0, 0 },
)]
fn enough_prefill_runners_need_no_order(prefill: usize, decode: usize) {
    assert!(plan(&pool(prefill, decode), DecodeUse::Low).is_empty());
}

/// Guards against an order to a runner that is draining.
#[test]
fn draining_runners_get_no_order() {
    let mut runners = pool(2, 4);
    for runner in &mut runners[2..4] {
        *runner = draining(runner);
    }
    // Four runners remain, two of which are prefill runners already.
    assert!(plan(&runners, DecodeUse::Low).is_empty());
}

/// Guards against a pool without decode runners, which cannot serve any request.
#[parameterized(
    none_left = { 9, 0, 2 },
    one_left = { 9, 1, 1 },
    two_left = { 9, 2, 0 },
    single_prefill_runner = { 1, 0, 1 },
    empty = { 0, 0, 0 },
)]
fn prefill_runners_change_back_when_decode_runners_are_lost(
    prefill: usize,
    decode: usize,
    expected: usize,
) {
    let moves = plan(&pool(prefill, decode), DecodeUse::Low);
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against streams that wait for decode runners while prefill runners are idle, which happens if
/// generating output is most of the work. The pool must keep its last prefill runners.
#[parameterized(
    small = { 9, 3, 1 },
    large = { 58, 22, 7 },
    few_prefill_runners = { 2, 10, 0 },
)]
fn prefill_runners_change_back_while_decode_runners_are_full(
    prefill: usize,
    decode: usize,
    expected: usize,
) {
    let moves = plan(&pool(prefill, decode), DecodeUse::High);
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against oscillation: a change back to decode lowers the utilization, which is no reason to undo
/// the change.
#[test]
fn moderate_utilization_needs_no_order() {
    assert!(plan(&pool(4, 8), DecodeUse::Moderate).is_empty());
    let mut tracker = DecodeUseTracker::default();
    assert_eq!(tracker.on_utilization(0.1, 0), DecodeUse::Low);
    assert_eq!(tracker.on_utilization(0.4, 0), DecodeUse::Moderate);
}

/// Guards against an order because of a burst that ends before the runner has changed its stage.
#[test]
fn only_lasting_utilization_is_high() {
    let mut tracker = DecodeUseTracker::default();
    assert_eq!(tracker.on_utilization(0.9, 0), DecodeUse::Moderate);
    assert_eq!(tracker.on_utilization(0.5, SECOND_US), DecodeUse::Moderate);
    assert_eq!(
        tracker.on_utilization(0.9, 2 * SECOND_US),
        DecodeUse::Moderate
    );
    assert_eq!(tracker.on_utilization(0.9, 4 * SECOND_US), DecodeUse::High);
}
