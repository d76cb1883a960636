//! Tests of the retry budget and of attempts.

use tealsaddle_core::retry::{
    AttemptOutcome, Attempts, GiveUp, NotRunReason, RetryBudget, UnknownReason,
};
use yare::parameterized;

const SECOND_US: u64 = 1_000_000;
const NOT_RUN: AttemptOutcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
const UNKNOWN: AttemptOutcome = AttemptOutcome::Unknown(UnknownReason::Timeout);

/// Returns the number of retries granted in the 10 s after a first second, if each request fails and needs
/// one retry.
fn granted(requests_per_s: u64) -> usize {
    let mut budget = RetryBudget::default();
    (0..11 * requests_per_s)
        .filter(|i| {
            let now_us = 1_000 * SECOND_US + i * SECOND_US / requests_per_s;
            budget.on_first_attempt(now_us);
            budget.try_consume(now_us) && *i >= requests_per_s
        })
        .count()
}

/// Guards against retries that multiply the load during an outage, and against a budget that grants no
/// retries at a low rate of requests.
#[parameterized(
    two = { 2, 20 },
    twenty = { 20, 30 },
    thousand = { 1_000, 1_000 },
)]
fn budget_is_a_share_with_a_floor(requests_per_s: u64, expected: usize) {
    assert_eq!(granted(requests_per_s), expected);
}

/// Guards against an idle hour that accumulates a burst of retries.
#[test]
fn idle_time_accumulates_no_burst() {
    let mut budget = RetryBudget::default();
    let later = 3_600 * SECOND_US;
    assert_eq!((0..100).filter(|_| budget.try_consume(later)).count(), 6);
}

/// Guards against a bound on the retries of a run that counts its length instead of the whole seconds that it
/// touches: each of those grants its minimum.
#[parameterized(
    one_second = { &[200], 23 },
    across_a_boundary = { &[10, 190], 25 },
    mostly_before_a_boundary = { &[190, 10], 25 },
)]
fn each_second_grants_its_minimum(requests_by_second: &[u64], expected: usize) {
    let mut budget = RetryBudget::default();
    let mut granted = 0;
    for (second, requests) in requests_by_second.iter().enumerate() {
        let now_us = (1_000 + second as u64) * SECOND_US;
        for _ in 0..*requests {
            budget.on_first_attempt(now_us);
            // Each request fails and asks for up to two retries.
            granted += (0..2).filter(|_| budget.try_consume(now_us)).count();
        }
    }
    assert_eq!(granted, expected);
}

/// Guards against executing a request twice that may be executed only once.
#[parameterized(
    unknown_not_repeatable = { false, UNKNOWN, Err(GiveUp::NotRepeatable) },
    not_run_not_repeatable = { false, NOT_RUN, Ok(()) },
    unknown_repeatable = { true, UNKNOWN, Ok(()) },
)]
fn failure_allows_a_retry(
    is_repeatable: bool,
    outcome: AttemptOutcome,
    expected: Result<(), GiveUp>,
) {
    let mut attempts = Attempts::new(is_repeatable);
    let mut budget = RetryBudget::default();
    assert_eq!(attempts.on_failure(outcome, &mut budget, 0), expected);
}

/// Guards against reporting "not run" although an earlier attempt may have been executed.
#[test]
fn unknown_attempt_makes_the_outcome_unknown() {
    let mut attempts = Attempts::new(true);
    let mut budget = RetryBudget::default();
    assert_eq!(attempts.on_failure(UNKNOWN, &mut budget, 0), Ok(()));
    assert_eq!(attempts.on_failure(NOT_RUN, &mut budget, 0), Ok(()));
    assert_eq!(
        attempts.on_failure(NOT_RUN, &mut budget, 0),
        Err(GiveUp::Attempts)
    );
    assert_eq!(attempts.outcome(NOT_RUN), UNKNOWN);
}

/// Guards against more executions than the route allows, and against counting an attempt that was certainly
/// not executed.
#[parameterized(
    one_execution = { true, 1, &[UNKNOWN], Err(GiveUp::Attempts) },
    refused_then_allowed = { false, 1, &[NOT_RUN], Ok(()) },
    second_execution = { true, 2, &[UNKNOWN], Ok(()) },
    third_execution = { true, 2, &[UNKNOWN, UNKNOWN], Err(GiveUp::Attempts) },
    refused_too_often = { true, 2, &[NOT_RUN, NOT_RUN, NOT_RUN], Err(GiveUp::Attempts) },
)]
fn executions_are_limited_by_the_route(
    is_repeatable: bool,
    max_executions: u32,
    outcomes: &[AttemptOutcome],
    expected: Result<(), GiveUp>,
) {
    let mut budget = RetryBudget::default();
    let mut attempts = Attempts::with_max_executions(is_repeatable, max_executions);
    let decisions = outcomes
        .iter()
        .map(|outcome| attempts.on_failure(*outcome, &mut budget, SECOND_US));
    assert_eq!(decisions.last(), Some(expected));
}

/// Guards against nodes that share a budget but each use all of it.
#[test]
fn budget_is_divided_among_the_nodes() {
    let mut budget = RetryBudget::new(0.1, 4.0);
    budget.set_floor_per_s(0.5);
    let granted = (0..100).filter(|i| budget.try_consume((100 + i / 10) * SECOND_US));
    assert_eq!(granted.count(), 5);
}

/// Guards against a silent attempt that is replaced although the request is not repeatable, or might be executed
/// by too many targets.
#[parameterized(
    allowed = { true, 2, None, Ok(()) },
    not_repeatable = { false, 2, None, Err(GiveUp::NotRepeatable) },
    one_execution = { true, 1, None, Err(GiveUp::Attempts) },
    one_failed = { true, 2, Some(UNKNOWN), Err(GiveUp::Attempts) },
    one_not_run = { true, 2, Some(NOT_RUN), Ok(()) },
)]
fn silent_attempt_is_replaced_within_limits(
    is_repeatable: bool,
    max_executions: u32,
    earlier: Option<AttemptOutcome>,
    expected: Result<(), GiveUp>,
) {
    let mut attempts = Attempts::with_max_executions(is_repeatable, max_executions);
    if let Some(earlier) = earlier {
        attempts.count(earlier);
    }
    assert_eq!(attempts.allows_beside(1), expected);
}

/// Guards against a silent attempt that uses up the attempts of a request although no other one started, and
/// against a second execution of a request that may be executed only once.
#[parameterized(
    repeatable = { true, GiveUp::Budget },
    not_repeatable = { false, GiveUp::NotRepeatable },
)]
fn refused_silence_leaves_no_trace(is_repeatable: bool, refused: GiveUp) {
    let mut attempts = Attempts::new(is_repeatable);
    let mut budget = RetryBudget::default();
    while budget.try_consume(0) {}
    for _ in 0..5 {
        assert_eq!(attempts.on_silence(&mut budget, 0), Err(refused));
    }
    assert_eq!(attempts.failed(), 0);
    assert_eq!(attempts.outcome(NOT_RUN), NOT_RUN);
}

/// Guards against an unlimited number of attempts beside silent ones.
#[test]
fn attempts_beside_silent_ones_are_limited() {
    let mut attempts = Attempts::new(true);
    let mut budget = RetryBudget::default();
    let started = (0..10).filter(|_| attempts.on_silence(&mut budget, 0).is_ok());
    assert_eq!(started.count(), 2);
    assert_eq!(attempts.outcome(NOT_RUN), UNKNOWN);
}
