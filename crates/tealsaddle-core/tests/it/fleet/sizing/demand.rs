//! Tests of the demand that nodes report.

use tealsaddle_core::fleet::sizing::demand::{FleetDemand, NodeLoad, ServiceDemand};
use tealsaddle_core::fleet::sizing::need::{ReadyRunners, needed};
use yare::parameterized;

use super::engine;
use crate::fleet::SECOND_US;

/// Load of a node that keeps `busy` places in use, after some seconds.
fn load(busy: u64, seconds: u64) -> NodeLoad {
    NodeLoad {
        requests: 10 * seconds,
        ended: 10 * seconds,
        refused: seconds,
        busy_us: busy * seconds * SECOND_US,
        running: busy as u32,
        ..NodeLoad::default()
    }
}

fn close(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 1e-6
}

/// Guards against a demand that falls because nodes have not been asked yet.
#[test]
fn unseen_nodes_count_as_much_as_the_others() {
    let mut demand = FleetDemand::default();
    for node in 0..2 {
        demand.on_report(node, load(6, 10), 0);
        demand.on_report(node, load(6, 12), 2 * SECOND_US);
    }
    let total = demand.total(4, 2 * SECOND_US).expect("rates are known");
    assert!(close(total.running, 24.0), "{total:?}");
    assert!(close(total.requests_per_s, 40.0), "{total:?}");
    assert!(close(total.refused_share, 0.1), "{total:?}");
    assert!(close(total.known_share, 0.5), "{total:?}");
}

/// Guards against rates from totals that began again, which would be taken for a jump of the demand.
#[test]
fn restart_of_a_node_gives_no_rates() {
    let mut demand = FleetDemand::default();
    demand.on_report(1, load(6, 10), 0);
    demand.on_report(1, load(6, 1), 2 * SECOND_US);
    assert_eq!(demand.total(1, 2 * SECOND_US), None);
}

/// Guards against a node that is cut off whose callers are forgotten, and against one whose last report counts for ever.
#[test]
fn silent_node_counts_for_a_while() {
    let mut demand = FleetDemand::default();
    demand.on_report(1, load(6, 10), 0);
    demand.on_report(1, load(6, 12), 2 * SECOND_US);
    let later = demand.total(1, 20 * SECOND_US).expect("still known");
    assert!(close(later.running, 6.0), "{later:?}");
    assert_eq!(demand.total(1, 40 * SECOND_US), None);
}

/// Guards against a need by work alone where answers would come late, and against one that follows times without end although
/// the runners are idle.
#[parameterized(
    in_time = { 0.2, 10.0 / 0.6 + 15.0 / 0.7 },
    late = { 1.2, 1.2 * 60.0 },
    very_late = { 2.0, 1.5 * 60.0 },
)]
fn times_count_beside_work(ratio: f64, expected: f64) {
    let demand = ServiceDemand {
        reading: 10.0,
        running: 15.0 * 32.0,
        prefill_ratio: Some(ratio),
        decode_ratio: Some(ratio),
        ..ServiceDemand::default()
    };
    let ready = ReadyRunners {
        all: 60,
        prefill: 30,
        decode: 30,
        slots: 60 * 32,
    };
    let need = needed(&demand, Some(&engine()), &ready);
    assert!(close(need, expected), "{need}");
    let idle = ServiceDemand {
        reading: 0.1,
        running: 1.0,
        ..demand
    };
    assert!(needed(&idle, Some(&engine()), &ready) <= 16.0);
}
