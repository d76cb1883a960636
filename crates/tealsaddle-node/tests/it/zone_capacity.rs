//! Spare capacity of the other zones.

use tealsaddle_core::name::Name;
use tealsaddle_node::control::zone_capacity::ZoneCapacities;
use tealsaddle_node::traffic::SpareCapacity;

const SPARE: SpareCapacity = SpareCapacity {
    spare_prefill_tokens: 1_000,
    spare_decode_requests: 1,
};

/// Guards against requests that spill to a zone on the strength of a report from before the zone fell silent.
#[test]
fn capacity_of_a_silent_zone_expires() {
    let mut capacities = ZoneCapacities::default();
    let [silent, reporting] = ["pest-hall", "csepel-hall"].map(Name::from);
    for zone in [&silent, &reporting] {
        assert!(capacities.on_report(zone, "rules", SPARE, 0));
    }
    assert!(!capacities.on_report(&reporting, "rules", SPARE, 10_000_000));
    assert!(!capacities.remove_expired(15_000_000));
    assert_eq!(capacities.to_snapshot().len(), 2);
    assert!(capacities.remove_expired(16_000_000));
    let left: Vec<_> = capacities.to_snapshot().into_keys().collect();
    assert_eq!(left, [(reporting, Name::from("rules"))]);
}
