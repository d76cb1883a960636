//! Tests of the list of quarantined parts.

use tealsaddle_core::fleet::quarantine::list::{QuarantineList, Record, StoreState};
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, Subject, SubjectKey};
use tealsaddle_core::name::Name;
use yare::parameterized;

use crate::fleet::{SECOND_US, prompt};

const LOSSES: u32 = 3;
/// Time after which a node stores a record that it was told.
const WRITE_DELAY_US: u64 = SECOND_US;
/// More losses or trials than any part has.
const MANY: u32 = 20;

fn key() -> SubjectKey {
    SubjectKey::part(&Name::from("readers"), 0xdead)
}

fn record(decision: &str, losses: u32, trials: u32) -> Record {
    Record {
        key: key(),
        decision: Name::from(decision),
        losses,
        trials,
        first_loss_age_us: SECOND_US,
        decided_at_unix_ms: 0,
    }
}

const fn store(revision: u64, era: u64) -> StoreState {
    StoreState {
        revision,
        era: Some(era),
    }
}

/// A list with one part, stored at revision 10.
fn stored() -> QuarantineList {
    let mut list = QuarantineList::default();
    assert!(list.on_stored(record("q1", LOSSES, 0), 10, 0, 0));
    list
}

/// Guards against refusing requests in which the part is the last one, or those of another service.
#[test]
fn shared_parts_of_a_service_are_quarantined() {
    let list = stored();
    let readers = Name::from("readers");
    assert!(
        list.find(&readers, None, &prompt(0xdead, 9, 1, 9))
            .is_some()
    );
    assert!(
        list.find(&readers, None, &prompt(1, 9, 0xdead, 9))
            .is_none()
    );
    let writers = Name::from("writers");
    assert!(
        list.find(&writers, None, &prompt(0xdead, 9, 1, 9))
            .is_none()
    );
}

/// Guards against a held request that is not found, and against one that holds others.
#[test]
fn request_of_a_service_is_quarantined() {
    let (held, other) = (
        RequestDigest::of([&b"a"[..]]),
        RequestDigest::of([&b"b"[..]]),
    );
    let (readers, writers) = (Name::from("readers"), Name::from("writers"));
    let mut list = QuarantineList::default();
    let record = Record {
        key: SubjectKey::request(&readers, held),
        ..record("q1", LOSSES, 0)
    };
    assert!(list.on_told(record, 0, 0));
    assert!(list.has_requests(&readers) && !list.has_requests(&writers));
    assert!(list.find(&readers, Some(held), &[]).is_some());
    assert!(list.find(&readers, Some(other), &[]).is_none());
    assert!(list.find(&writers, Some(held), &[]).is_none());
}

/// Guards against a digest that reads otherwise in logs than in the key of its record.
#[test]
fn digest_has_one_text_form() {
    let digest = RequestDigest::of([&b"a"[..]]);
    let text = digest.to_string();
    assert_eq!(Subject::parse(&text), Some(Subject::Request(digest)));
    assert_eq!(
        format!("{:?}", Subject::Request(digest)),
        format!("Request({text})")
    );
    assert_eq!(Subject::parse("dead"), Some(Subject::Part(0xdead)));
}

/// Guards against a deadly part that is tried too often, and against a sound part that is refused for long after
/// few losses, or after a trial whose outcome never became known.
#[test]
fn trials_become_rare() {
    let delay_s = |losses, trials| {
        let mut list = QuarantineList::default();
        assert!(list.on_told(record("q1", losses, trials), 0, 0));
        list.entry(&key()).expect("it was added").trial_due_us / SECOND_US
    };
    let by_losses: Vec<u64> = (2..7).map(|losses| delay_s(losses, 0)).collect();
    assert_eq!(by_losses, [2, 60, 120, 240, 480]);
    assert_eq!(delay_s(MANY, 0), 3_600);
    // Trials without an outcome.
    let by_trials: Vec<u64> = (0..4).map(|trials| delay_s(2, trials)).collect();
    assert_eq!(by_trials, [2, 5, 10, 20]);
    assert_eq!(delay_s(2, MANY), 3_600);
}

/// Guards against a decision that is lost when the store comes back from an older copy, and against one that
/// stays after it was removed while the node was not watching.
#[parameterized(
    removed = { store(12, 1), true },
    older_copy_by_revision = { store(8, 1), false },
    older_copy_by_era = { store(12, 2), false },
)]
fn unlisted_record_is_removed_or_stored_again(state: StoreState, is_removed: bool) {
    let mut list = QuarantineList::default();
    let listed = vec![(record("q1", LOSSES, 0), 10)];
    list.on_listing(listed, store(11, 1), 0, 0);
    list.on_listing(Vec::new(), state, SECOND_US, WRITE_DELAY_US);
    assert_eq!(list.is_empty(), is_removed);
    assert_eq!(list.unwritten(SECOND_US).len(), 0);
    let unwritten = list.unwritten(SECOND_US + WRITE_DELAY_US);
    let revisions: Vec<Option<u64>> = unwritten.iter().map(|entry| entry.revision).collect();
    assert_eq!(revisions, if is_removed { vec![] } else { vec![None] });
}

/// Guards against a trial that is forgotten, and so repeated, when the store comes back from an older copy.
#[test]
fn later_state_is_stored_over_an_older_one() {
    let mut list = stored();
    assert!(list.on_stored(record("q1", LOSSES, 2), 11, 0, 0));
    let older = vec![(record("q1", LOSSES, 1), 9)];
    list.on_listing(older, store(9, 0), 0, WRITE_DELAY_US);
    let unwritten = list.unwritten(WRITE_DELAY_US);
    assert_eq!(unwritten.len(), 1);
    assert_eq!(unwritten[0].record.trials, 2);
    assert_eq!(unwritten[0].revision, Some(9));
}

/// Guards against a state that goes back since a watch repeats what a listing had.
#[test]
fn earlier_state_of_the_watch_is_ignored() {
    let mut list = stored();
    assert!(list.on_stored(record("q1", LOSSES, 1), 12, 0, 0));
    assert!(list.on_stored(record("q0", LOSSES, 0), 9, 0, 0));
    let entry = list.entry(&key()).expect("it stays");
    assert_eq!(entry.record.trials, 1);
    assert_eq!(list.unwritten(SECOND_US).len(), 0);
}

/// Guards against a released part that is quarantined again by a late message, by a write that was on its way,
/// or by an older copy of the store.
#[test]
fn released_decision_does_not_come_back() {
    let mut list = stored();
    let entry = list.release(&Name::from("q1")).expect("it was quarantined");
    assert_eq!(entry.revision, Some(10));
    assert!(!list.on_told(record("q1", LOSSES, 1), 0, 0));
    assert!(!list.on_stored(record("q1", LOSSES, 1), 12, 0, 0));
    list.on_listing(vec![(record("q1", LOSSES, 1), 13)], store(13, 1), 0, 0);
    assert!(list.is_empty());
    let removals: Vec<u64> = list.removals().iter().map(|r| r.revision).collect();
    assert_eq!(removals, [10, 12, 13]);
    assert!(list.on_told(record("q2", LOSSES, 0), 0, 0));
}

/// Guards against a decision known from a peer that is never stored, since the node that took it was killed.
#[test]
fn told_decision_is_stored_unless_another_node_does() {
    let mut list = QuarantineList::default();
    assert!(list.on_told(record("q1", LOSSES, 0), 0, WRITE_DELAY_US));
    assert_eq!(list.unwritten(WRITE_DELAY_US - 1).len(), 0);
    assert_eq!(list.unwritten(WRITE_DELAY_US).len(), 1);
    list.retry_write_at(&key(), 3 * SECOND_US);
    assert_eq!(list.unwritten(WRITE_DELAY_US).len(), 0);
    assert!(list.on_stored(record("q1", LOSSES, 0), 10, 0, 0));
    assert_eq!(list.unwritten(9 * SECOND_US).len(), 0);
}

/// Guards against a record that is dropped by the removal of an earlier one, as when watches overlap.
#[test]
fn earlier_removal_does_not_end_the_quarantine() {
    let mut list = stored();
    assert!(!list.on_removed(&key(), 9));
    assert!(list.on_removed(&key(), 11));
    assert!(list.is_empty());
}

/// Guards against memory that grows with the number of records that others write.
#[test]
fn number_of_parts_is_bounded() {
    let mut list = QuarantineList::default();
    for part in 0..1_000 {
        let mut record = record(&format!("q{part}"), LOSSES, 0);
        record.key.subject = Subject::Part(part);
        list.on_stored(record, part, 0, 0);
    }
    assert_eq!(list.len(), 128);
}
