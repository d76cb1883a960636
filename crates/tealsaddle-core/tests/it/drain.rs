//! Proof that an engine is drained, and the sample time that the proof relies on.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use tealsaddle_core::drain::{Blocker, Drain, TableVersion, sample_time_us};
use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

const FIRST_TABLE: TableVersion = TableVersion {
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

/// Guards against a proof that uses a report counted under a table with the engine. Also guards
/// against a proof that ignores requests in flight.
#[yare::parameterized(
    older_sequence = { 2, 2, 0, false },
    older_epoch = { 1, 9, 0, false },
    in_flight = { 2, 3, 1, false },
    same_table = { 2, 3, 0, true },
    newer_epoch = { 3, 1, 0, true },
)]
fn only_zero_reports_under_a_later_table_count(
    epoch: u64,
    sequence: u64,
    in_flight: u32,
    counts: bool,
) {
    let mut drain = Drain::new("o1", FIRST_TABLE);
    drain.on_router_report(&process(1), TableVersion { epoch, sequence }, in_flight, 10);
    drain.on_load_report(11, true);
    assert_eq!(drain.prove(&record(&[1])).is_ok(), counts);
}

/// Guards against a proof without the report of a listed router. Also guards against a proof
/// without an idle sample that was taken after the removal of a router that did not report.
#[test]
fn removed_router_requires_a_new_sample() {
    let mut drain = Drain::new("o1", FIRST_TABLE);
    drain.on_record(&record(&[1, 2]), 5);
    drain.on_router_report(&process(1), FIRST_TABLE, 0, 10);
    drain.on_load_report(11, true);
    assert_eq!(
        drain.prove(&record(&[1, 2])),
        Err(Blocker::Router(process(2)))
    );
    assert_eq!(drain.prove(&record(&[1])), Err(Blocker::NoIdleSample));
    drain.on_record(&record(&[1]), 20);
    assert_eq!(drain.prove(&record(&[1])), Err(Blocker::NoIdleSample));
    drain.on_load_report(21, true);
    let drained = drain
        .prove(&record(&[1]))
        .expect("all routers reported and the sample is recent");
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

/// Guards against an order of events in which a proof lacks the report of a router, or an idle
/// sample that was taken after the reports.
#[test]
fn proof_requires_all_reports_and_a_later_sample() {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[2; 32]);
    let events = prop::collection::vec((0..4_u8, any::<bool>(), 0..40_u64), 0..12);
    TestRunner::new_with_rng(config, rng)
        .run(&events, |events| {
            let mut drain = Drain::new("o1", FIRST_TABLE);
            let mut cleared_at = [None; 3];
            let mut idle = None;
            for (now_us, (who, is_zero, sampled_us)) in (1..).zip(events) {
                if who == 3 {
                    drain.on_load_report(sampled_us, is_zero);
                    idle = idle.max(is_zero.then_some(sampled_us));
                } else {
                    drain.on_router_report(&process(who), FIRST_TABLE, u32::from(!is_zero), now_us);
                    let first = &mut cleared_at[usize::from(who)];
                    *first = first.or(is_zero.then_some(now_us));
                }
            }
            let last = cleared_at.iter().flatten().max().copied();
            let is_drained = cleared_at.iter().all(Option::is_some) && idle > last;
            prop_assert_eq!(drain.prove(&record(&[0, 1, 2])).is_ok(), is_drained);
            Ok(())
        })
        .expect("the property holds");
}

/// Guards against a sample time that is later than the real one. A slow response and the coarse
/// resolution of the engine's clock could cause this.
#[test]
fn sample_time_is_the_earliest_possible() {
    assert_eq!(sample_time_us(1_000_000, 70, 100), 969_000);
    assert_eq!(sample_time_us(1_000_000, 100, 100), 999_000);
    assert_eq!(sample_time_us(1_000, 0, 9_000), 0);
}
