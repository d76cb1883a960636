//! Tests of the times at which parts survived.

use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, SubjectKey};
use tealsaddle_core::fleet::quarantine::survivals::Survivals;
use tealsaddle_core::name::Name;

use crate::fleet::prompt;

fn request() -> RequestDigest {
    RequestDigest::of([&b"a"[..]])
}

/// Guards against a survival that is recorded for a part of another service or for the request's own part, and
/// against one that goes back in time when answers end out of order.
#[test]
fn shared_parts_survive_with_their_answer() {
    let service = Name::from("readers");
    let mut survivals = Survivals::default();
    survivals.on_survived(&service, request(), &prompt(1, 100, 2, 50), 7);
    survivals.on_survived(&service, request(), &prompt(1, 100, 3, 50), 5);
    let survived_us = |service: &str, part| {
        let service = Name::from(service);
        survivals.survived_us(&SubjectKey::part(&service, part))
    };
    assert_eq!(survived_us("readers", 1), Some(7));
    assert_eq!(survived_us("readers", 2), None);
    assert_eq!(survived_us("writers", 1), None);
}

/// Guards against memory that grows with the number of parts that callers name.
#[test]
fn number_of_parts_is_bounded() {
    let service = Name::from("readers");
    let mut survivals = Survivals::default();
    for part in 0..10_000 {
        survivals.on_survived(&service, request(), &prompt(part, 100, 1, 50), part + 1);
    }
    let is_known = |part: &u64| {
        survivals
            .survived_us(&SubjectKey::part(&service, *part))
            .is_some()
    };
    let known: Vec<u64> = (0..10_000).filter(is_known).collect();
    assert_eq!(known.first(), Some(&5_904));
    assert_eq!(known.len(), 4_096);
}

/// Guards against a request without a prompt that leaves no sign of its answer.
#[test]
fn request_survives_with_its_answer() {
    let service = Name::from("ladder");
    let mut survivals = Survivals::default();
    survivals.on_survived(&service, request(), &[], 7);
    let key = SubjectKey::request(&service, request());
    assert_eq!(survivals.survived_us(&key), Some(7));
}
