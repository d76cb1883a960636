//! The proof of a drain.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use tealsaddle_core::drain::{Blocker, Drain, TableVersion, sample_time_us};
use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

const SINCE: TableVersion = TableVersion {
    epoch: 2,
    sequence: 3,
};

fn process(i: u8) -> ProcessId {
    ProcessId {
        vm: format!("vm{i}"),
        incarnation: "1".to_owned(),
    }
}

fn record(routers: &[u8]) -> ZoneRecord {
    let entry = |i: &u8| RouterEntry {
        process: Some(process(*i)),
        address: format!("a{i}"),
    };
    ZoneRecord {
        routers: routers.iter().map(entry).collect(),
        ..ZoneRecord::default()
    }
}

/// Guards against reports that were counted under a table with the engine, or with work in flight.
#[yare::parameterized(
    older_sequence = { 2, 2, 0, false },
    older_epoch = { 1, 9, 0, false },
    in_flight = { 2, 3, 1, false },
    same_table = { 2, 3, 0, true },
    newer_epoch = { 3, 1, 0, true },
)]
fn report_counts(epoch: u64, sequence: u64, in_flight: u32, counts: bool) {
    let mut drain = Drain::new("o1", SINCE);
    drain.on_router_report(&process(1), TableVersion { epoch, sequence }, in_flight, 10);
    drain.on_load_report(11, true);
    assert_eq!(drain.prove(&record(&[1])).is_ok(), counts);
}

/// Guards against a proof that a router without a report, or its removal, escapes.
#[test]
fn removed_router_needs_a_new_sample() {
    let mut drain = Drain::new("o1", SINCE);
    drain.on_record(&record(&[1, 2]), 5);
    drain.on_router_report(&process(1), SINCE, 0, 10);
    drain.on_load_report(11, true);
    assert_eq!(
        drain.prove(&record(&[1, 2])),
        Err(Blocker::Router(process(2)))
    );
    assert_eq!(drain.prove(&record(&[1])), Err(Blocker::NoIdleSample));
    drain.on_record(&record(&[1]), 20);
    assert_eq!(drain.prove(&record(&[1])), Err(Blocker::NoIdleSample));
    drain.on_load_report(21, true);
    let drained = drain.prove(&record(&[1])).expect("all is proven");
    assert!(drained.covers("o1", &record(&[1])));
    assert!(
        !drained.covers("o1", &record(&[1, 3])),
        "a router was added"
    );
    assert!(
        !drained.covers("o2", &record(&[1])),
        "the proof is for one order"
    );
}

/// Guards against a proof without a report of every router and a later idle sample, in any order of
/// events.
#[test]
fn proof_needs_all_reports_and_a_later_sample() {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[2; 32]);
    let events = prop::collection::vec((0..4_u8, any::<bool>(), 0..40_u64), 0..12);
    TestRunner::new_with_rng(config, rng)
        .run(&events, |events| {
            let mut drain = Drain::new("o1", SINCE);
            let mut clear = [None; 3];
            let mut idle = None;
            for (now_us, (who, is_zero, sampled_us)) in (1..).zip(events) {
                if who == 3 {
                    drain.on_load_report(sampled_us, is_zero);
                    idle = idle.max(is_zero.then_some(sampled_us));
                } else {
                    drain.on_router_report(&process(who), SINCE, u32::from(!is_zero), now_us);
                    let first = &mut clear[usize::from(who)];
                    *first = first.or(is_zero.then_some(now_us));
                }
            }
            let last = clear.iter().flatten().max().copied();
            let is_drained = clear.iter().all(Option::is_some) && idle > last;
            prop_assert_eq!(drain.prove(&record(&[0, 1, 2])).is_ok(), is_drained);
            Ok(())
        })
        .expect("the property holds");
}

/// Guards against a sample that looks newer than it is, because the answer took long or the engine's
/// clock is coarse.
#[test]
fn sample_time_is_the_earliest_possible() {
    assert_eq!(sample_time_us(1_000_000, 70, 100), 969_000);
    assert_eq!(sample_time_us(1_000_000, 100, 100), 999_000);
    assert_eq!(sample_time_us(1_000, 0, 9_000), 0);
}
