//! Drawn histories of nodes that hear of changes in the store from each other.

use std::fmt::Write as _;

use yare::parameterized;

use super::SECOND_US;
use super::change_sim::{BOUND_US, END_US, FAULT_US, Fault, Fleet, SETTLED_US};

/// Numbers of nodes with the zones in which they are.
const FLEETS: [(usize, usize); 3] = [(7, 3), (74, 3), (360, 11)];

/// Guards against a node that learns of a change after it binds, though it reaches one that knows it in time.
#[parameterized(
    calm = { &[] },
    silent_for_half = { &[Fault::StoreSilent(0.5)] },
    silent_for_most = { &[Fault::StoreSilent(0.9)] },
    refusing_half = { &[Fault::StoreRefuses(0.5)] },
    watchers_dead = { &[Fault::WatchersDead] },
    zone_cut = { &[Fault::ZoneCut] },
    watchers_freeze = { &[Fault::WatchersFreeze] },
    some_freeze = { &[Fault::Freeze(0.3)] },
    zone_cut_beside_an_outage_for_half = { &[Fault::ZoneCut, Fault::StoreSilent(0.5)] },
    freezes_beside_an_outage_for_half = { &[Fault::Freeze(0.3), Fault::StoreSilent(0.5)] },
    watchers_freeze_beside_a_zone_cut = { &[Fault::WatchersFreeze, Fault::ZoneCut] },
    watchers_freeze_beside_an_outage_for_half = { &[Fault::WatchersFreeze, Fault::StoreSilent(0.5)] },
    watchers_dead_beside_freezes = { &[Fault::WatchersDead, Fault::Freeze(0.3)] },
)]
fn changes_are_known_before_they_bind(faults: &[Fault]) {
    for (count, zones) in FLEETS {
        for seed in 0..4 {
            let fleet = Fleet::open(count, zones, faults, seed);
            if !fleet.is_store_heard_everywhere() {
                continue;
            }
            let outcome = fleet.run();
            assert!(
                outcome.slowest_ms * 1_000 < BOUND_US,
                "{count} nodes, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against nodes that do not know that their knowledge is old while no node reaches the store.
#[parameterized(silent = { Fault::StoreSilent(1.0) }, refusing = { Fault::StoreRefuses(1.0) })]
fn nodes_without_the_store_are_in_doubt(fault: Fault) {
    for (count, zones) in FLEETS {
        let outcome = Fleet::open(count, zones, &[fault], 0).run();
        let away_us = (FAULT_US[1] - FAULT_US[0]) as f64;
        let expected = (away_us - BOUND_US as f64) / (END_US - SETTLED_US) as f64;
        assert!(outcome.doubtful > expected, "{count} nodes: {outcome:?}");
    }
}

/// Guards against calls to the store that grow with the number of nodes, and against times that do.
#[test]
fn calls_do_not_grow_with_the_number_of_nodes() {
    let cases: [&[Fault]; 11] = [
        &[],
        &[Fault::StoreSilent(0.5)],
        &[Fault::StoreSilent(0.9)],
        &[Fault::StoreRefuses(0.5)],
        &[Fault::WatchersDead],
        &[Fault::ZoneCut],
        &[Fault::WatchersFreeze],
        &[Fault::Freeze(0.3)],
        &[Fault::Freeze(0.3), Fault::StoreSilent(0.5)],
        &[Fault::WatchersFreeze, Fault::ZoneCut],
        &[Fault::ZoneCut, Fault::StoreSilent(0.5)],
    ];
    let mut table = String::new();
    for faults in cases {
        writeln!(table, "{faults:?}").expect("writing to a string cannot fail");
        for (count, zones) in FLEETS {
            let outcome = Fleet::open(count, zones, faults, 1).run();
            writeln!(
                table,
                "  {count} nodes: {:.1} calls/s calm, {:.1} beside changes, {:.1} messages a node and second, \
                 slowest {} ms, kept {}",
                outcome.calm_calls_per_s,
                outcome.release_calls_per_s,
                outcome.messages_per_node_s,
                outcome.slowest_ms,
                outcome.kept
            )
            .expect("writing to a string cannot fail");
        }
    }
    insta::assert_snapshot!(table);
}

/// Guards against a fleet without runners after an outage of the store in which registrations lapse, and against one that
/// keeps them for ever.
#[parameterized(
    alone = { &[Fault::StoreSilent(1.0)] },
    refusing = { &[Fault::StoreRefuses(1.0)] },
    beside_freezes = { &[Fault::StoreSilent(1.0), Fault::Freeze(0.3)] },
    beside_a_zone_cut = { &[Fault::StoreSilent(1.0), Fault::ZoneCut] },
)]
fn registrations_that_lapse_in_an_outage_are_kept(faults: &[Fault]) {
    for (count, zones) in FLEETS {
        for seed in 0..2 {
            let mut fleet = Fleet::open(count, zones, faults, seed);
            fleet.play_until(FAULT_US[1] - SECOND_US);
            // Leases run out while the store is away, and no node learns of it before its return.
            fleet.change();
            fleet.play_until(FAULT_US[1] + SECOND_US);
            for place in 0..count {
                let heard = (fleet.known_by(place), fleet.kept_by(place));
                assert!(
                    heard == (1, 1) || heard == (0, 0),
                    "{count} nodes, seed {seed}: {heard:?}"
                );
            }
            fleet.play_until(FAULT_US[1] + 6 * SECOND_US);
            for place in 0..count {
                assert_eq!((fleet.known_by(place), fleet.kept_by(place)), (1, 0));
            }
        }
    }
}
