//! Tests of the grace period for registrations after an outage of the store.

use tealsaddle_core::fleet::store_availability::{REREGISTRATION_WINDOW_US, StoreAvailability};

use super::SECOND_US;

/// Guards against an empty list of runners right after an outage, and against expired registrations that
/// are never removed.
#[test]
fn window_starts_when_the_store_returns() {
    let mut availability = StoreAvailability::default();
    assert!(!availability.on_answer(SECOND_US));
    assert_eq!(availability.keep_until_us(SECOND_US), None);
    assert!(availability.on_failure());
    assert!(!availability.on_failure());
    assert!(availability.on_answer(9 * SECOND_US));
    let window_end_us = 9 * SECOND_US + REREGISTRATION_WINDOW_US;
    assert_eq!(
        availability.keep_until_us(window_end_us - 1),
        Some(window_end_us)
    );
    assert_eq!(availability.keep_until_us(window_end_us), None);
}
