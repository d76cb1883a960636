//! Registrations that lapse while the store is away.

use tealsaddle_core::fleet::store_availability::{REREGISTRATION_WINDOW_US, StoreAvailability};

use super::SECOND_US;

/// Guards against an empty list of runners in the first moment after an outage, and against runners
/// that are kept for ever.
#[test]
fn window_opens_with_the_return_of_the_store() {
    let mut availability = StoreAvailability::default();
    assert!(!availability.on_answer(SECOND_US));
    assert_eq!(availability.keep_until_us(SECOND_US), None);
    assert!(availability.on_failure());
    assert!(!availability.on_failure());
    assert!(availability.on_answer(9 * SECOND_US));
    let until_us = 9 * SECOND_US + REREGISTRATION_WINDOW_US;
    assert_eq!(availability.keep_until_us(until_us - 1), Some(until_us));
    assert_eq!(availability.keep_until_us(until_us), None);
}
