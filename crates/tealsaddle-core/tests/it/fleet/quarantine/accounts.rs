//! Tests of the losses that are counted against a part.

use proptest::prelude::*;
use tealsaddle_core::fleet::quarantine::accounts::{CrashAccounts, Loss, RunnerProcess, Suspicion};
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, Subject, SubjectKey};
use tealsaddle_core::name::Name;
use yare::parameterized;

const MS: u64 = 1_000;
const DEADLY: u64 = 0xdead;

fn service() -> Name {
    Name::from("readers")
}

/// A loss 100 ms after the request was sent, of a process and a prompt of its own.
fn loss(number: u64, lost_us: u64, shared_parts: &[u64]) -> Loss {
    Loss {
        process: RunnerProcess {
            runner: Name::from(format!("r{number}")),
            started_unix_ms: 1,
        },
        request_id: format!("q{number}"),
        request: None,
        shared_parts: shared_parts.to_vec(),
        own_part: 1_000 + number,
        sent_us: lost_us - 100 * MS,
        lost_us,
        error_us: 0,
        has_begun: false,
    }
}

/// Counts losses and returns the suspicions after the last one.
fn suspicions(losses: Vec<Loss>) -> Vec<Suspicion> {
    let mut accounts = CrashAccounts::default();
    let mut found = Vec::new();
    for loss in losses {
        found = accounts.on_loss(&service(), loss);
    }
    found
}

/// Guards against a deadly part that is suspected too late: two losses one after the other are enough if no
/// answer had begun, else three.
#[parameterized(
    one = { 1, false, 0 },
    two = { 2, false, 1 },
    two_begun = { 2, true, 0 },
    three_begun = { 3, true, 1 },
)]
fn losses_in_a_row_lead_to_a_suspicion(count: u64, has_begun: bool, expected: usize) {
    let losses = (1..=count).map(|i| Loss {
        has_begun,
        ..loss(i, i * 1_000 * MS, &[DEADLY])
    });
    assert_eq!(suspicions(losses.collect()).len(), expected);
}

/// Guards against losses of runners that failed together and that count as several since the nodes' reports were
/// under way for long.
#[parameterized(
    exact = { 0, 100, 1 },
    error_of_one = { 60, 100, 0 },
    error_of_both = { 30, 100, 0 },
    longer_gap = { 60, 200, 1 },
)]
fn losses_whose_order_is_uncertain_count_as_one(error_ms: u64, gap_ms: u64, expected: usize) {
    let errors = if error_ms == 60 {
        [0, 60]
    } else {
        [error_ms; 2]
    };
    let losses = [0, 1].map(|i| {
        let lost_us = (1_000 + i * gap_ms) * MS;
        Loss {
            sent_us: lost_us - MS,
            error_us: errors[i as usize] * MS,
            ..loss(i, lost_us, &[DEADLY])
        }
    });
    assert_eq!(suspicions(losses.to_vec()).len(), expected);
}

/// Guards against suspicion by losses that say nothing: of runners that failed at the same moment, of one
/// process that several nodes saw end, or of long ago.
#[test]
fn unrelated_losses_lead_to_no_suspicion() {
    let second = 1_000 * MS;
    let at_once = (1..=8).map(|i| loss(i, second + i * MS, &[DEADLY]));
    assert_eq!(suspicions(at_once.collect()), []);
    let one_process = (1..=8).map(|i| Loss {
        process: loss(0, second, &[]).process,
        ..loss(i, i * second, &[DEADLY])
    });
    assert_eq!(suspicions(one_process.collect()), []);
    let apart = (1..=2).map(|i| loss(i, i * 700 * second, &[DEADLY]));
    assert_eq!(suspicions(apart.collect()), []);
}

/// Guards against a prompt whose second loss is not counted, since it was sent again in the moment of the first one.
#[test]
fn repeat_of_a_lost_prompt_counts() {
    let first = loss(1, 1_000 * MS, &[DEADLY]);
    let repeat = Loss {
        own_part: first.own_part,
        sent_us: first.lost_us - MS,
        ..loss(2, 1_100 * MS, &[DEADLY])
    };
    assert_eq!(suspicions(vec![first.clone(), repeat.clone()]).len(), 1);
    // The second runner fails together with the first one.
    let together = Loss {
        lost_us: first.lost_us + 20 * MS,
        ..repeat
    };
    assert_eq!(suspicions(vec![first, together]), []);
}

/// Guards against a restarted process under the same id whose second end is not counted.
#[test]
fn each_start_of_a_runner_counts() {
    let restarted = |i: u64| Loss {
        process: RunnerProcess {
            runner: Name::from("r"),
            started_unix_ms: i,
        },
        ..loss(i, i * 1_000 * MS, &[DEADLY])
    };
    assert_eq!(suspicions((1..=2).map(restarted).collect()).len(), 1);
}

/// Guards against losses that still count after the part has survived.
#[test]
fn survival_clears_the_losses_before_it() {
    let mut accounts = CrashAccounts::default();
    let second = 1_000 * MS;
    let _first = accounts.on_loss(&service(), loss(1, second, &[DEADLY]));
    accounts.on_survived(&SubjectKey::part(&service(), DEADLY), 2 * second);
    assert_eq!(
        accounts.on_loss(&service(), loss(2, 3 * second, &[DEADLY])),
        []
    );
    assert_eq!(
        accounts
            .on_loss(&service(), loss(3, 4 * second, &[DEADLY]))
            .len(),
        1
    );
}

/// Guards against blaming a sound part that is always lost together with the deadly one.
#[parameterized(
    sound_first_part_survived_since = { 2, 2, &[(0xa, Some(9_000)), (DEADLY, None)], Some(DEADLY) },
    deadly_part_comes_first = { 2, 2, &[(DEADLY, None), (0xa, Some(500)), (0xb, Some(9_000))], Some(DEADLY) },
    none_ever_survived = { 2, 2, &[(0xa, None), (DEADLY, None)], Some(DEADLY) },
    all_survived_since = { 4, 2, &[(0xa, Some(2_000)), (0xb, Some(3_000))], None },
    turned_deadly = { 4, 2, &[(0xa, Some(900)), (DEADLY, Some(100))], Some(DEADLY) },
    deadly_last_part = { 4, 1, &[(0xa, Some(900)), (DEADLY, Some(100))], None },
    perhaps_turned_deadly = { 3, 2, &[(0xa, Some(900)), (DEADLY, Some(100))], None },
)]
fn cause_is_the_part_that_survived_longest_ago(
    losses: usize,
    prompts: usize,
    survivals: &[(u64, Option<u64>)],
    expected: Option<u64>,
) {
    let suspicion = Suspicion {
        service: service(),
        subjects: survivals
            .iter()
            .map(|(part, _)| Subject::Part(*part))
            .collect(),
        losses,
        prompts,
        first_lost_us: 1_000,
    };
    let survived_us = |subject| {
        let mut survivals = survivals.iter();
        survivals.find(|(p, _)| Subject::Part(*p) == subject)?.1
    };
    assert_eq!(suspicion.cause(survived_us), expected.map(Subject::Part));
}

/// Guards against a suspicion that compares the part with others that only some of the lost requests had.
#[test]
fn suspicion_names_the_parts_in_common() {
    let losses = vec![
        loss(1, 1_000 * MS, &[0xa, 0xb, DEADLY]),
        loss(2, 2_000 * MS, &[0xa, 0xc, DEADLY]),
    ];
    let found = suspicions(losses);
    let common = [0xa, DEADLY].map(Subject::Part);
    let subjects: Vec<&[Subject]> = found.iter().map(|s| s.subjects.as_slice()).collect();
    assert_eq!(subjects, [&common[..]]);
}

/// Guards against sound parts that are suspected for the runners that a deadly part has ended.
#[test]
fn losses_with_a_known_cause_are_forgotten() {
    let mut accounts = CrashAccounts::default();
    let second = 1_000 * MS;
    for i in 1..=2 {
        let _found = accounts.on_loss(&service(), loss(i, i * second, &[DEADLY]));
        let _found = accounts.on_loss(&service(), loss(i, i * second, &[0xa]));
    }
    assert!(accounts.on_decided(&SubjectKey::part(&service(), DEADLY), 2 * second));
    assert_eq!(
        accounts.on_loss(&service(), loss(3, 3 * second, &[0xa])),
        []
    );
}

/// Guards against refusing all requests of a service whose runners crash for another reason.
#[test]
fn number_of_decisions_is_limited() {
    let mut accounts = CrashAccounts::default();
    let decide = |accounts: &mut CrashAccounts, part, second: u64| {
        accounts.on_decided(&SubjectKey::part(&service(), part), second * 1_000 * MS)
    };
    let decided = (0..10)
        .filter(|part| decide(&mut accounts, *part, 100))
        .count();
    assert_eq!(decided, 4);
    assert!(decide(&mut accounts, 11, 131));
}

proptest! {
    /// Guards against a wrong count when reports of several nodes arrive in another order than the losses.
    #[test]
    fn order_of_arrival_does_not_matter(order in Just((1..=6_u64).collect::<Vec<_>>()).prop_shuffle()) {
        let losses = order.into_iter().map(|i| loss(i, i * 1_000 * MS, &[DEADLY]));
        let found = suspicions(losses.collect());
        prop_assert_eq!(found.len(), 1);
        prop_assert_eq!(found[0].losses, 6);
        prop_assert_eq!(found[0].first_lost_us, 1_000 * MS);
    }
}

/// A loss of a request of a plain service, which ran for 30 ms.
fn request_loss(number: u64, sent_us: u64, request: RequestDigest) -> Loss {
    Loss {
        request: Some(request),
        own_part: 0,
        sent_us,
        ..loss(number, sent_us + 30 * MS, &[])
    }
}

fn digest(text: &str) -> RequestDigest {
    RequestDigest::of([text.as_bytes()])
}

/// Guards against a deadly request that is found too late, and against one that is found for requests that were
/// under way at the same time.
#[parameterized(
    two = { &[1_000, 2_000], 0 },
    three = { &[1_000, 2_000, 3_000], 1 },
    retries_at_once = { &[1_000, 1_033, 1_066], 1 },
    at_the_same_time = { &[1_000, 1_010, 1_020], 0 },
    two_at_a_time = { &[1_000, 1_001, 2_000, 2_001], 0 },
    overlapping = { &[1_000, 1_033, 1_055], 1 },
    in_one_failure = { &[1_000, 1_033, 1_040], 0 },
)]
fn request_that_is_lost_in_a_row_is_suspected(sent_ms: &[u64], expected: usize) {
    let losses = sent_ms.iter().zip(1..);
    let losses = losses.map(|(at_ms, number)| request_loss(number, at_ms * MS, digest("a")));
    let found = suspicions(losses.collect());
    assert_eq!(found.len(), expected);
    for suspicion in found {
        assert_eq!(suspicion.subjects, [Subject::Request(digest("a"))]);
        assert_eq!(
            suspicion.cause(|_subject| None),
            Some(suspicion.subjects[0])
        );
    }
}

/// Guards against requests of one caller, or of one page, that are blamed together.
#[test]
fn losses_of_different_requests_are_not_added_up() {
    let texts = ["a", "b", "a", "b", "c"];
    let losses = texts.iter().zip(1..);
    let losses =
        losses.map(|(text, number)| request_loss(number, number * 1_000 * MS, digest(text)));
    assert_eq!(suspicions(losses.collect()), []);
}

/// Guards against a request that is held although it has been answered since its first loss, and against one that is
/// never held since it was answered long ago.
#[parameterized(
    never_answered = { 3, None, true },
    answered_since = { 3, Some(2_000), false },
    answered_before = { 3, Some(500), false },
    answered_before_and_lost_often = { 4, Some(500), true },
)]
fn answered_request_is_sound(losses: usize, survived_ms: Option<u64>, is_cause: bool) {
    let suspicion = Suspicion {
        service: service(),
        subjects: vec![Subject::Request(digest("a"))],
        losses,
        prompts: 1,
        first_lost_us: 1_000 * MS,
    };
    let cause = suspicion.cause(|_subject| survived_ms.map(|at_ms| at_ms * MS));
    assert_eq!(cause.is_some(), is_cause);
}

/// A loss of a prompt with the part [`DEADLY`] that is sent again and again.
fn loss_of_one_prompt(number: u64) -> Loss {
    Loss {
        request: Some(digest("a")),
        own_part: 7,
        ..loss(number, number * 1_000 * MS, &[DEADLY])
    }
}

/// Guards against a part that is blamed for the crashes of a request: its other requests would be refused.
#[test]
fn losses_that_a_request_explains_do_not_count_against_its_parts() {
    let mut accounts = CrashAccounts::default();
    for number in 1..=2 {
        accounts.on_loss(&service(), loss_of_one_prompt(number));
    }
    let key = SubjectKey::request(&service(), digest("a"));
    assert!(accounts.on_decided(&key, 2_500 * MS));
    let other = loss(3, 3_000 * MS, &[DEADLY]);
    assert_eq!(accounts.on_loss(&service(), other), []);
}

/// Guards against a deadly request that ends three runners more after a part of its prompt was held in its place and
/// has turned out to be sound.
#[test]
fn losses_of_a_request_outlast_a_wrong_decision_on_its_part() {
    let mut accounts = CrashAccounts::default();
    for number in 1..=2 {
        accounts.on_loss(&service(), loss_of_one_prompt(number));
    }
    let part = SubjectKey::part(&service(), DEADLY);
    assert!(accounts.on_decided(&part, 2_500 * MS));
    accounts.forget(&part);
    let found = accounts.on_loss(&service(), loss_of_one_prompt(5));
    let subjects: Vec<&[Subject]> = found.iter().map(|s| s.subjects.as_slice()).collect();
    assert_eq!(subjects, [&[Subject::Request(digest("a"))]]);
}

/// Guards against many deadly requests that use up the decisions on parts.
#[test]
fn decisions_on_requests_leave_room_for_parts() {
    let mut accounts = CrashAccounts::default();
    let mut decide = |key: &SubjectKey| accounts.on_decided(key, 1_000 * MS);
    let requests = ["a", "b", "c", "d", "e"].map(digest);
    let decided = requests.map(|request| decide(&SubjectKey::request(&service(), request)));
    assert_eq!(decided, [true, true, true, true, false]);
    assert!(decide(&SubjectKey::part(&service(), DEADLY)));
}
