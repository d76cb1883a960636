//! Tests of the split of runners between the stages.

use std::sync::Arc;

use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::generation::GeneratedStream;
use tealsaddle_core::fleet::load::ReportedLoad;
use tealsaddle_core::fleet::needs::StageNeeds;
use tealsaddle_core::fleet::placement::ServiceStats;
use tealsaddle_core::fleet::split::{Pool, StageMove, desired_prefill, plan};
use tealsaddle_core::fleet::stage_load::{StageLoad, StreamNeed};
use tealsaddle_core::fleet::{Runner, Stage};
use yare::parameterized;

use super::{SECOND_US, draining, runner};

const SWITCH_MS: u64 = 3_000;
const NOW_US: u64 = 100 * SECOND_US;
const ENGINE: EngineLimits = EngineLimits {
    slots: 64,
    kv_tokens: 600_000,
    kv_bytes_per_token: 18_432,
    link_mbps: 370_000.0,
    switch_ms: SWITCH_MS,
};

fn runners(prefill: usize, decode: usize) -> Vec<Arc<Runner>> {
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

fn pool(prefill: usize, decode: usize) -> Pool {
    Pool::new(&runners(prefill, decode), |_runner| None)
}

/// What a service needs whose prefill runners have `reads` requests each and whose decode runners have `batch`. The
/// longest answers have 200 events, which take 20 ms in an empty batch, and are due after 10 s.
fn needs(reads: u32, batch: f64) -> StageNeeds {
    needs_within(reads, batch, 1e7)
}

/// As [`needs`], with another time until the answers are due.
fn needs_within(reads: u32, batch: f64, allowed_us: f64) -> StageNeeds {
    let mut stats = ServiceStats::default();
    stats.event_times.on_stream(&GeneratedStream {
        expected_tokens: 2_000,
        events: 201,
        events_us: 200 * 20_000,
        batch: 0.0,
    });
    let mut load = StageLoad::default();
    load.objective_us.push(400_000.0, NOW_US);
    let report = ReportedLoad {
        running: reads,
        waiting: 0,
        slots: 64,
    };
    load.on_reads(report, NOW_US);
    let need = StreamNeed {
        events: 200.0,
        allowed_us,
    };
    load.demand.push(need, NOW_US);
    let needs = StageNeeds::observed(&load, &stats, &ENGINE, batch, NOW_US);
    needs.expect("the load is recent")
}

/// Plans for a load by which all runners of a stage are equal.
fn plan_for(pool: &Pool, needs: Option<&StageNeeds>) -> Vec<StageMove> {
    plan(pool, needs, SWITCH_MS, |_runner| 0.0)
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
    let moves = plan_for(&pool(6, 12), None);
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
    assert!(plan_for(&pool(prefill, decode), None).is_empty());
}

/// Guards against an order to a runner that is draining.
#[test]
fn draining_runners_get_no_order() {
    let mut runners = runners(2, 4);
    for runner in &mut runners[2..4] {
        *runner = draining(runner);
    }
    // Four runners remain, two of which are prefill runners already.
    let pool = Pool::new(&runners, |_runner| None);
    assert!(plan_for(&pool, None).is_empty());
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
    let moves = plan_for(&pool(prefill, decode), None);
    assert_eq!(moves.len(), expected);
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against streams that wait for decode runners, or end late, while prefill runners are idle. The pool must keep
/// its last prefill runners, and changes in small steps.
#[parameterized(
    small = { 9, 3, 1..=2 },
    large = { 58, 22, 7..=10 },
    few_prefill_runners = { 2, 10, 0..=0 },
)]
fn prefill_runners_change_back_while_decode_runners_are_full(
    prefill: usize,
    decode: usize,
    expected: std::ops::RangeInclusive<usize>,
) {
    let moves = plan_for(&pool(prefill, decode), Some(&needs(0, 62.0)));
    assert!(expected.contains(&moves.len()), "{}", moves.len());
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against decode runners with free places that are too full for the longest answers.
#[test]
fn long_answers_need_decode_runners_before_their_places_are_taken() {
    let needs = needs_within(0, 36.0, 8e6);
    let decode = needs.decode(1.0);
    assert!(decode.expected_ms > decode.allowed_ms, "{decode:?}");
    let moves = plan_for(&pool(9, 3), Some(&needs));
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|step| step.to == Stage::Decode));
}

/// Guards against decode runners that stay idle while prompts wait.
#[test]
fn decode_runners_change_while_prompts_wait() {
    let moves = plan_for(&pool(5, 7), Some(&needs(20, 4.0)));
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|step| step.to == Stage::Prefill));
}

/// Guards against relieving one stage at the price of a larger lack of the other.
#[test]
fn no_runner_changes_while_both_stages_are_overloaded() {
    assert!(plan_for(&pool(8, 4), Some(&needs(6, 90.0))).is_empty());
}

/// Guards against oscillation: a change lowers the need of one stage, which is no reason to undo it.
#[parameterized(
    default_split = { 9, 3 },
    more_decode_runners = { 6, 6 },
)]
fn moderate_needs_cause_no_order(prefill: usize, decode: usize) {
    assert!(plan_for(&pool(prefill, decode), Some(&needs(1, 22.0))).is_empty());
}

/// Guards against ordering further runners for a need that those already ordered will meet.
#[test]
fn ordered_runners_count_towards_their_new_stage() {
    let runners = runners(9, 3);
    let is_ordered = |runner: &Runner| &*runner.id == "Prefill0" || &*runner.id == "Prefill1";
    let pool = Pool::new(&runners, |runner| {
        is_ordered(runner).then_some(Stage::Decode)
    });
    assert!(plan_for(&pool, Some(&needs(0, 40.0))).is_empty());
}

/// Guards against a change that has to wait for the longest streams, while another runner of the zone has few.
#[test]
fn runner_with_the_lowest_load_changes_first() {
    let pool = pool(2, 9);
    let load_of = |runner: &Runner| if &*runner.id == "Decode5" { 1.0 } else { 30.0 };
    let moves = plan(&pool, None, SWITCH_MS, load_of);
    let of_zone = moves.iter().filter(|step| &*step.runner.zone == "c");
    let first = of_zone.map(|step| &*step.runner.id).next();
    assert_eq!(first, Some("Decode5"));
}
