//! Retry budget and attempts.

use tealsaddle_core::retry::{
    AttemptOutcome, Attempts, GiveUp, NotRunReason, RetryBudget, UnknownReason,
};
use yare::parameterized;

const SECOND_US: u64 = 1_000_000;
const NOT_RUN: AttemptOutcome = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
const UNKNOWN: AttemptOutcome = AttemptOutcome::Unknown(UnknownReason::Timeout);

/// Retries granted in the 10 s after a first second, while each request fails and asks for one.
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

/// Guards against retries that multiply the load in an outage, and against none at a low rate.
#[parameterized(
    two = { 2, 20 },
    twenty = { 20, 30 },
    thousand = { 1_000, 1_000 },
)]
fn budget_is_a_share_with_a_floor(requests_per_s: u64, expected: usize) {
    assert_eq!(granted(requests_per_s), expected);
}

/// Guards against a quiet hour that saves up a burst.
#[test]
fn idle_time_saves_up_no_burst() {
    let mut budget = RetryBudget::default();
    let later = 3_600 * SECOND_US;
    assert_eq!((0..100).filter(|_| budget.try_consume(later)).count(), 6);
}

/// Guards against a second run of what may not run twice.
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

/// Guards against an answer "not run" although an earlier attempt may have run.
#[test]
fn an_unknown_attempt_marks_the_request() {
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

/// Guards against more runs than the route allows, and against a refusal that uses up the only run.
#[parameterized(
    one_run = { true, 1, &[UNKNOWN], Err(GiveUp::Attempts) },
    refused_then_allowed = { false, 1, &[NOT_RUN], Ok(()) },
    second_run = { true, 2, &[UNKNOWN], Ok(()) },
    third_run = { true, 2, &[UNKNOWN, UNKNOWN], Err(GiveUp::Attempts) },
    refused_too_often = { true, 2, &[NOT_RUN, NOT_RUN, NOT_RUN], Err(GiveUp::Attempts) },
)]
fn runs_are_limited_by_the_route(
    is_repeatable: bool,
    max_runs: u32,
    outcomes: &[AttemptOutcome],
    expected: Result<(), GiveUp>,
) {
    let mut budget = RetryBudget::default();
    let mut attempts = Attempts::with_max_executions(is_repeatable, max_runs);
    let decisions = outcomes
        .iter()
        .map(|outcome| attempts.on_failure(*outcome, &mut budget, SECOND_US));
    assert_eq!(decisions.last(), Some(expected));
}

/// Guards against nodes that each take the whole budget which they share.
#[test]
fn budget_of_a_node_is_its_part() {
    let mut budget = RetryBudget::new(0.1, 4.0);
    budget.set_floor_per_s(0.5);
    let granted = (0..100).filter(|i| budget.try_consume((100 + i / 10) * SECOND_US));
    assert_eq!(granted.count(), 5);
}
