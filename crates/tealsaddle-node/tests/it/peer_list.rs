//! The list of the other nodes.

use tealsaddle_node::control::peers::{Peer, Peers};
use tealsaddle_schema::record::ProcessId;

const NOW_US: u64 = 60_000_000;

fn peer(port: u16, last_seen_us: u64) -> Peer {
    let address = ([127, 0, 0, 1], port).into();
    Peer {
        process: ProcessId {
            vm: "vm-1".to_owned(),
            incarnation: "1".to_owned(),
        },
        zone: "buda-hall".into(),
        peer_address: address,
        caller_address: address,
        is_leaving: false,
        is_registered: true,
        config_version: 1,
        last_seen_us,
        is_failing: false,
    }
}

/// Guards against requests that are forwarded to the former address of a known process, because the
/// snapshot is not published again.
#[test]
fn changed_address_of_a_known_process_is_a_change() {
    let mut peers = Peers::default();
    assert!(peers.update(peer(1, NOW_US), true, NOW_US));
    assert!(!peers.update(peer(1, NOW_US + 1), false, NOW_US + 1));
    assert!(peers.update(peer(2, NOW_US + 2), false, NOW_US + 2));
    assert_eq!(
        peers.iter().next().map(|p| p.caller_address.port()),
        Some(2)
    );
    // Older information changes nothing.
    assert!(!peers.update(peer(3, NOW_US), false, NOW_US + 2));
    assert_eq!(
        peers.iter().next().map(|p| p.caller_address.port()),
        Some(2)
    );
}

/// Guards against a registration that reaches the list but not the snapshot, because it is as old as the
/// known information.
#[test]
fn registration_with_an_equal_age_is_a_change() {
    let mut peers = Peers::default();
    let unregistered = Peer {
        is_registered: false,
        ..peer(1, NOW_US)
    };
    assert!(peers.update(unregistered, true, NOW_US));
    assert!(peers.update(peer(1, NOW_US), false, NOW_US));
    assert!(peers.iter().all(|peer| peer.is_registered));
}
