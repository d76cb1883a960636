//! Tests of the grace period for registrations after an outage of the store.

use tealsaddle_core::fleet::store_availability::StoreAvailability;
use tealsaddle_core::fleet::store_words::{REREGISTRATION_WINDOW_US, StoreWord, StoreWords};
use yare::parameterized;

use super::SECOND_US;

/// Time between two renewals of a registration.
const RENEWAL_US: u64 = 1_200_000;

fn words_at(times_us: &[u64]) -> StoreWords {
    let mut words = StoreWords::open(RENEWAL_US);
    for us in times_us {
        words.on_word(StoreWord {
            from_us: *us,
            to_us: *us,
        });
    }
    words
}

/// Guards against an empty list of runners right after an outage, and against expired registrations that
/// are never removed.
#[test]
fn window_starts_when_the_store_returns() {
    let mut words = words_at(&[SECOND_US]);
    assert_eq!(words.keep_until_us(SECOND_US), None);
    words.on_word(StoreWord {
        from_us: 9 * SECOND_US,
        to_us: 9 * SECOND_US,
    });
    let window_end_us = 9 * SECOND_US + REREGISTRATION_WINDOW_US;
    assert_eq!(words.keep_until_us(window_end_us - 1), Some(window_end_us));
    assert_eq!(words.keep_until_us(window_end_us), None);
}

/// Guards against an outage that is not noticed, or noticed twice.
#[test]
fn outage_begins_and_ends_once() {
    let mut availability = StoreAvailability::default();
    assert!(!availability.on_answer());
    assert!(availability.on_failure());
    assert!(!availability.on_failure());
    assert!(availability.on_answer());
    assert!(!availability.on_answer());
}

/// Guards against a silence that is taken for an outage although no registration can lapse in it, and the other way
/// round.
#[parameterized(
    shorter_than_a_renewal = { &[0, RENEWAL_US - 1], None },
    one_renewal = { &[0, RENEWAL_US], Some(RENEWAL_US) },
    filled_by_another_node = { &[0, 2 * RENEWAL_US - 2, RENEWAL_US - 1], None },
    filled_in_part = { &[0, 3 * RENEWAL_US, RENEWAL_US - 1], Some(3 * RENEWAL_US) },
    told_out_of_order = { &[3 * RENEWAL_US - 3, 0, 2 * RENEWAL_US - 2, RENEWAL_US - 1], None },
    of_two_the_later = { &[0, 2 * RENEWAL_US, 2 * RENEWAL_US + 1, 4 * RENEWAL_US], Some(4 * RENEWAL_US) },
)]
fn outage_needs_a_silence_of_a_renewal(times_us: &[u64], end_us: Option<u64>) {
    let begin_us = 60 * SECOND_US;
    let shifted: Vec<u64> = times_us.iter().map(|us| begin_us + us).collect();
    let expected = end_us.map(|us| begin_us + us);
    assert_eq!(words_at(&shifted).outage_end_us(), expected);
}

/// Guards against an answer that came late and is taken for one of the time at which it was read.
#[test]
fn answer_that_may_be_older_does_not_end_a_silence() {
    let mut words = words_at(&[0]);
    words.on_word(StoreWord {
        from_us: 10_000,
        to_us: 2 * RENEWAL_US,
    });
    assert_eq!(words.outage_end_us(), Some(2 * RENEWAL_US));
}

/// Guards against words that fill the memory, and against a silence that is forgotten while its window is open.
#[test]
fn many_words_are_thinned_without_a_silence() {
    let mut words = words_at(&[0]);
    for us in (2 * RENEWAL_US..20 * SECOND_US).step_by(10_000) {
        words.on_word(StoreWord {
            from_us: us,
            to_us: us,
        });
        let is_kept = us < 2 * RENEWAL_US + REREGISTRATION_WINDOW_US;
        assert_eq!(words.keep_until_us(us).is_some(), is_kept, "{us}");
    }
    assert!(words.since(0).count() < 100);
}
