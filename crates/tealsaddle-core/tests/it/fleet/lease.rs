//! The right to give orders.

use tealsaddle_core::fleet::lease::Authority;

use super::SECOND_US;

const TTL_US: u64 = 8 * SECOND_US;
const MARGIN_US: u64 = 2 * SECOND_US;
const WAIT_US: u64 = 3 * SECOND_US;

fn authority() -> Authority {
    Authority::new(7, 100 * SECOND_US, TTL_US, MARGIN_US, WAIT_US)
}

/// Guards against orders while those of the holder before may still arrive.
#[test]
fn first_order_waits() {
    assert!(!authority().may_order(103 * SECOND_US - 1));
    assert!(authority().may_order(103 * SECOND_US));
}

/// Guards against a holder that acts after its lease, such as one that was frozen while the answer to
/// its renewal was on its way.
#[test]
fn right_ends_before_the_lease() {
    let mut authority = authority();
    // Sent in time, answered only after the process was frozen for 20 s.
    authority.on_renewed(102 * SECOND_US, TTL_US, MARGIN_US);
    assert!(authority.may_order(108 * SECOND_US - 1));
    assert!(!authority.may_order(108 * SECOND_US));
    assert!(authority.is_over(122 * SECOND_US));
}

/// Guards against a late answer to an old renewal that shortens the right.
#[test]
fn older_renewal_changes_nothing() {
    let mut authority = authority();
    authority.on_renewed(104 * SECOND_US, TTL_US, MARGIN_US);
    authority.on_renewed(102 * SECOND_US, TTL_US, MARGIN_US);
    assert!(authority.may_order(110 * SECOND_US - 1));
}
