//! Tests of what runners ask for in their answers, and of the permits at limited runners.

use std::time::Duration;

use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::backpressure::{Backpressure, RateObservation, RateSignal};
use tealsaddle_core::fleet::permit_counter::{Ask, CounterRole, PermitCounter, Reply, RunnerTerms};
use tealsaddle_core::fleet::send_gate::{AnswerObservation, Hold, HoldReason, SendGate, Standing};
use tealsaddle_core::name::Name;
use yare::parameterized;

use super::{SECOND_US, runner};

const MS: u64 = 1_000;

fn limited(per_s: f64) -> Backpressure {
    Backpressure {
        rate: RateSignal::PerSecond(per_s),
        ..Backpressure::default()
    }
}

fn paused(length_ms: u64) -> Backpressure {
    Backpressure {
        pause: Some(Duration::from_millis(length_ms)),
        ..Backpressure::default()
    }
}

const LEAVING: Backpressure = Backpressure {
    is_leaving: true,
    pause: None,
    rate: RateSignal::Unlimited,
};

const UNREADABLE: Backpressure = Backpressure {
    is_leaving: false,
    pause: None,
    rate: RateSignal::Unreadable,
};

/// An answer to a request that was sent and answered at these times.
fn answer(backpressure: Backpressure, sent_ms: u64, seen_ms: u64) -> AnswerObservation {
    AnswerObservation {
        backpressure,
        is_refusal: backpressure.pause.is_some(),
        sent_us: sent_ms * MS,
        seen_us: seen_ms * MS,
    }
}

fn refusal(sent_ms: u64, seen_ms: u64) -> AnswerObservation {
    AnswerObservation {
        is_refusal: true,
        ..answer(Backpressure::default(), sent_ms, seen_ms)
    }
}

fn process(started_unix_ms: u64) -> Runner {
    Runner {
        started_unix_ms,
        ..Runner::clone(&runner("r", "a", None))
    }
}

fn gate_after(answers: &[AnswerObservation]) -> SendGate {
    let mut gate = SendGate::default();
    for answer in answers {
        gate.on_answer(&process(1), answer);
    }
    gate
}

fn reason(standing: Standing) -> Option<HoldReason> {
    match standing {
        Standing::Held(hold) => Some(hold.reason),
        Standing::Open | Standing::Counted => None,
    }
}

/// Guards against an answer that overtakes another one and ends, or relaxes, a limit that still holds.
#[parameterized(
    ends = { &[answer(limited(4.0), 0, 10), answer(Backpressure::default(), 20, 30)], None },
    was_sent_before = { &[answer(limited(4.0), 0, 10), answer(Backpressure::default(), 5, 30)], Some(4.0) },
    is_relaxed = { &[answer(limited(4.0), 0, 10), answer(limited(8.0), 20, 30)], Some(8.0) },
    is_overtaken = { &[answer(limited(4.0), 0, 10), answer(limited(8.0), 5, 30)], Some(4.0) },
    is_stricter = { &[answer(limited(8.0), 0, 10), answer(limited(4.0), 5, 30)], Some(4.0) },
    refusal_is_no_end = { &[answer(limited(4.0), 0, 10), refusal(20, 30)], Some(4.0) },
    unreadable_is_no_end = { &[answer(limited(4.0), 0, 10), answer(UNREADABLE, 20, 30)], Some(4.0) },
    unreadable_is_no_limit = { &[answer(UNREADABLE, 20, 30)], None },
    flaps = { &[answer(limited(4.0), 0, 10), answer(Backpressure::default(), 20, 30), answer(limited(5.0), 21, 31)], Some(5.0) },
)]
fn newest_limit_holds(answers: &[AnswerObservation], expected: Option<f64>) {
    let gate = gate_after(answers);
    assert_eq!(gate.known(&process(1)).rate.limit_per_s, expected);
}

/// Guards against a pause that another answer ends, that is passed over, or after which all requests go at once.
#[test]
fn pause_lasts_and_one_request_goes_first() {
    let mut gate = gate_after(&[
        answer(paused(500), 0, 100),
        answer(Backpressure::default(), 50, 200),
    ]);
    let runner = process(1);
    let held = |until_ms: u64| {
        Standing::Held(Hold {
            reason: HoldReason::Paused,
            until_us: Some(until_ms * MS),
        })
    };
    assert_eq!(gate.standing(&runner, 599 * MS), held(600));
    assert_eq!(gate.standing(&runner, 600 * MS), Standing::Open);
    gate.on_send(&runner, 610 * MS);
    assert_eq!(gate.standing(&runner, 620 * MS), held(1_610));
    gate.on_answer(&runner, &answer(paused(500), 610, 630));
    assert_eq!(gate.standing(&runner, 640 * MS), held(1_130));
    gate.on_send(&runner, 1_200 * MS);
    gate.on_answer(&runner, &answer(Backpressure::default(), 1_200, 1_220));
    assert_eq!(gate.standing(&runner, 1_230 * MS), Standing::Open);
    assert!(gate.is_empty());
}

/// Guards against requests that wait for ever for the first one after a pause, which was lost.
#[test]
fn lost_first_request_after_a_pause_is_followed_by_another() {
    let mut gate = gate_after(&[answer(paused(500), 0, 100)]);
    gate.on_send(&process(1), 700 * MS);
    let later_us = 700 * MS + SECOND_US;
    assert_eq!(gate.standing(&process(1), later_us), Standing::Open);
}

/// Guards against a runner that is used again although its process is about to stop, or not used although it is another
/// process.
#[test]
fn leaving_ends_with_the_process() {
    let mut gate = gate_after(&[
        answer(LEAVING, 0, 10),
        answer(Backpressure::default(), 20, 30),
    ]);
    assert_eq!(
        reason(gate.standing(&process(1), SECOND_US)),
        Some(HoldReason::Leaving)
    );
    assert_eq!(gate.standing(&process(2), SECOND_US), Standing::Open);
    gate.on_answer(&process(2), &answer(limited(4.0), 40, 50));
    assert_eq!(gate.standing(&process(2), SECOND_US), Standing::Counted);
    // A late answer of the process before.
    gate.on_answer(&process(1), &answer(LEAVING, 0, 60));
    assert_eq!(gate.standing(&process(2), SECOND_US), Standing::Counted);
}

/// Guards against a runner that is forgotten while its registration is missing for a moment.
#[test]
fn runner_without_registration_is_remembered() {
    let mut gate = gate_after(&[answer(LEAVING, 0, 10)]);
    gate.forget(|_runner| false, 60 * SECOND_US);
    assert!(reason(gate.standing(&process(1), 60 * SECOND_US)).is_some());
    gate.forget(|_runner| false, 7_200 * SECOND_US);
    assert!(gate.is_empty());
}

/// Guards against a weaker wish that hides a stronger one.
#[parameterized(
    leaving_and_limited = { &[answer(limited(4.0), 0, 10), answer(LEAVING, 11, 12)], HoldReason::Leaving },
    leaving_and_paused = { &[answer(paused(900), 0, 10), answer(LEAVING, 0, 12)], HoldReason::Leaving },
    paused_and_limited = { &[answer(limited(4.0), 0, 10), answer(paused(900), 0, 12)], HoldReason::Paused },
)]
fn strictest_wish_holds(answers: &[AnswerObservation], expected: HoldReason) {
    let gate = gate_after(answers);
    assert_eq!(reason(gate.standing(&process(1), 100 * MS)), Some(expected));
}

/// Guards against a node that keeps its own word although the node that counts knows better, or that loses what it has
/// heard since it asked.
#[parameterized(
    nothing_heard_since = { None, None },
    heard_since = { Some(3.0), Some(3.0) },
)]
fn word_of_the_counting_node_replaces_the_own(heard: Option<f64>, expected: Option<f64>) {
    let runner = process(1);
    let mut gate = gate_after(&[answer(limited(4.0), 0, 10)]);
    let told = gate.known(&runner);
    if let Some(limit) = heard {
        gate.on_answer(&runner, &answer(limited(limit), 15, 40));
    }
    let reply = RunnerTerms {
        rate: RateObservation {
            limit_per_s: None,
            sent_us: 5 * MS,
            seen_us: 20 * MS,
        },
        ..told.clone()
    };
    gate.on_reply(&told, &reply, 50 * MS);
    assert_eq!(gate.known(&runner).rate.limit_per_s, expected);
}

fn counter_with(limit_per_s: f64) -> PermitCounter {
    let mut counter = PermitCounter::default();
    counter.on_terms(&terms(limit_per_s, 0), 0);
    counter
}

fn terms(limit_per_s: f64, at_us: u64) -> RunnerTerms {
    RunnerTerms {
        runner: Name::from("r"),
        started_unix_ms: 1,
        is_leaving: false,
        rate: RateObservation {
            limit_per_s: Some(limit_per_s),
            sent_us: at_us,
            seen_us: at_us,
        },
    }
}

fn ask(max_wait_ms: u64) -> Ask {
    Ask {
        runner: Name::from("r"),
        max_wait_us: max_wait_ms * MS,
    }
}

/// Guards against less urgent requests that take the places of urgent ones: these look further ahead.
#[test]
fn places_ahead_go_to_those_that_wait_longer() {
    let mut counter = counter_with(4.0);
    let mut granted = |max_wait_ms| {
        let reply = counter.on_ask(&ask(max_wait_ms), CounterRole::First, SECOND_US);
        matches!(reply, Reply::Granted { .. })
    };
    assert!(granted(0) && granted(0));
    assert!(!granted(100));
    assert!(granted(300));
    assert!(!granted(300));
    assert!(granted(600));
}

/// Guards against callers that are all told to return at the same time.
#[test]
fn denied_requests_are_told_later_and_later_times() {
    let mut counter = counter_with(4.0);
    let mut returns_ms = Vec::new();
    for _request in 0..6 {
        if let Reply::Denied { return_us, .. } =
            counter.on_ask(&ask(0), CounterRole::First, SECOND_US)
        {
            returns_ms.push(return_us / MS);
        }
    }
    assert_eq!(returns_ms, [250, 500, 750, 1_000]);
}

/// Guards against a raised limit whose first places are those of the old one, and against a lowered one that gives a
/// second burst.
#[parameterized(
    raised = { 20.0, 50 },
    lowered = { 1.0, 1_000 },
)]
fn change_of_a_limit_keeps_what_was_sent(limit_per_s: f64, expected_wait_ms: u64) {
    let mut counter = counter_with(4.0);
    for _request in 0..2 {
        counter.on_ask(&ask(0), CounterRole::First, SECOND_US);
    }
    counter.on_terms(&terms(limit_per_s, SECOND_US), SECOND_US);
    let reply = counter.on_ask(&ask(0), CounterRole::First, SECOND_US);
    let Reply::Denied { wait_us, .. } = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(wait_us / MS, expected_wait_ms);
}

/// Guards against the account of a process that goes on for the next one under the same id.
#[test]
fn account_belongs_to_a_process() {
    let mut counter = counter_with(4.0);
    let next = RunnerTerms {
        started_unix_ms: 2,
        rate: RateObservation::default(),
        ..terms(4.0, 0)
    };
    counter.on_terms(&next, SECOND_US);
    counter.on_terms(&terms(4.0, 2 * SECOND_US), 2 * SECOND_US);
    let known = counter.terms(&Name::from("r")).expect("it was told");
    assert_eq!(known.rate.limit_per_s, None);
}
