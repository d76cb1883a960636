//! The right to give orders.

use tealsaddle_core::fleet::lease::{Authority, LeaseTerms};

use super::SECOND_US;

const TERMS: LeaseTerms = LeaseTerms {
    ttl_us: 8 * SECOND_US,
    margin_us: 2 * SECOND_US,
    first_order_delay_us: 3 * SECOND_US,
    intent_valid_us: SECOND_US,
};

fn authority() -> Authority {
    Authority::new(7, 101 * SECOND_US, 100 * SECOND_US, TERMS)
}

/// Guards against orders while those of the holder before may still arrive.
#[test]
fn first_order_waits() {
    assert!(!authority().may_order(104 * SECOND_US - 1));
    assert!(authority().may_order(104 * SECOND_US));
}

/// Guards against a holder that acts after its lease, such as one that was frozen while the answer to
/// its renewal was on its way.
#[test]
fn right_ends_before_the_lease() {
    let mut authority = authority();
    // Sent in time, answered only after the process was frozen for 20 s.
    authority.on_renewed(102 * SECOND_US);
    assert!(authority.may_order(108 * SECOND_US - 1));
    assert!(!authority.may_order(108 * SECOND_US));
    assert!(authority.is_expired(122 * SECOND_US));
}

/// Guards against a late answer to an old renewal that shortens the right.
#[test]
fn older_renewal_changes_nothing() {
    let mut authority = authority();
    authority.on_renewed(104 * SECOND_US);
    authority.on_renewed(102 * SECOND_US);
    assert!(authority.may_order(110 * SECOND_US - 1));
}

/// Guards against an order of a holder that was frozen after it wrote the intent, while the store took
/// its key away.
#[test]
fn order_follows_its_intent_at_once() {
    let intent_us = 104 * SECOND_US;
    assert!(authority().may_send(intent_us, intent_us + SECOND_US - 1));
    assert!(!authority().may_send(intent_us, intent_us + SECOND_US));
    assert!(!authority().may_send(106 * SECOND_US - 1, 106 * SECOND_US));
}
