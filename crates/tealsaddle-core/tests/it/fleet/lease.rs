//! Tests of the authority to send orders.

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

/// Guards against an order of a new holder while orders of the previous holder may still arrive.
#[test]
fn first_order_is_delayed() {
    assert!(!authority().may_order(104 * SECOND_US - 1));
    assert!(authority().may_order(104 * SECOND_US));
}

/// Guards against a holder that sends orders after its lease has expired, for example because its process
/// was frozen while the answer to a renewal was in transit.
#[test]
fn authority_ends_before_the_lease() {
    let mut authority = authority();
    // The renewal was sent in time; its answer is processed after a freeze of 20 s.
    authority.on_renewed(102 * SECOND_US);
    assert!(authority.may_order(108 * SECOND_US - 1));
    assert!(!authority.may_order(108 * SECOND_US));
    assert!(authority.is_expired(122 * SECOND_US));
}

/// Guards against a late answer to an old renewal that shortens the authority.
#[test]
fn older_renewal_has_no_effect() {
    let mut authority = authority();
    authority.on_renewed(104 * SECOND_US);
    authority.on_renewed(102 * SECOND_US);
    assert!(authority.may_order(110 * SECOND_US - 1));
}

/// Guards against an order that was delayed by a freeze of the process after its intent was written. The
/// store may have removed the key of the holder meanwhile.
#[test]
fn order_needs_a_recent_intent() {
    let intent_us = 104 * SECOND_US;
    assert!(authority().may_send(intent_us, intent_us + SECOND_US - 1));
    assert!(!authority().may_send(intent_us, intent_us + SECOND_US));
    assert!(!authority().may_send(106 * SECOND_US - 1, 106 * SECOND_US));
}
