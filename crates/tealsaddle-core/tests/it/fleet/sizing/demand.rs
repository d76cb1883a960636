//! Tests of the demand that nodes report.

use tealsaddle_core::fleet::sizing::demand::{FleetDemand, NodeLoad};

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

/// Guards against rates from totals that began anew, which would be taken for a jump of the demand.
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
