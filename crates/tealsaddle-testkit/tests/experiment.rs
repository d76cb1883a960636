//! Tests of the experiment harness.

use std::sync::Arc;

use tealsaddle_testkit::experiment::measure::Outcome;
use tealsaddle_testkit::experiment::scenario::{
    Deployment, Fault, Phase, PolicyKind, Scenario, US_PER_S, flipperliga, karoo,
};
use tealsaddle_testkit::experiment::{Run, run_all};

fn shift(fault: Option<(u64, u64, Fault)>) -> Scenario {
    let phase = |from_s: u64, first_kind_share| Phase {
        from_us: from_s * US_PER_S,
        first_kind_share,
        load: 0.8,
    };
    Scenario {
        name: "short shift",
        phases: vec![phase(0, 0.92), phase(75, 0.08)],
        length_us: 120 * US_PER_S,
        fault,
        runs_all_policies: true,
    }
}

fn run(deployment: Deployment, fault: Option<(u64, u64, Fault)>, policy: PolicyKind) -> Outcome {
    let run = Run {
        deployment: Arc::new(deployment),
        scenario: Arc::new(shift(fault)),
        policy,
        seed: 7,
    };
    let outcomes = run_all(&[run.clone(), run], 2);
    let [first, second] = <[Outcome; 2]>::try_from(outcomes).unwrap();
    assert_eq!(figures(&first), figures(&second));
    first
}

fn figures(outcome: &Outcome) -> String {
    let mut refused: Vec<_> = outcome
        .refused
        .iter()
        .map(|(r, n)| (r.as_str(), *n))
        .collect();
    refused.sort_unstable();
    format!(
        "offered {}, on time {}, late {}, failed {}, refused {refused:?}, changes {}, p95 {} us",
        outcome.offered,
        outcome.on_time,
        outcome.late,
        outcome.failed,
        outcome.role_changes,
        outcome.first_token.value_at_quantile(0.95),
    )
}

/// Guards against a change of behaviour that no other test detects. [`run`] also compares two runs
/// of the same seed.
#[test]
fn short_shift_results_with_the_cost_planner() {
    let outcome = run(flipperliga(), None, PolicyKind::Cost(1.0));
    insta::assert_snapshot!(figures(&outcome), @r#"
        offered 2502, on time 2451, late 22, failed 0, refused [("deadline_infeasible", 29)], changes 16, p95 701439 us
    "#);
}

/// Guards against an undetected change of the baseline planner, which would distort comparisons.
#[test]
fn short_shift_results_with_the_threshold_planner() {
    let outcome = run(karoo(), None, PolicyKind::Threshold);
    insta::assert_snapshot!(figures(&outcome), @r#"
        offered 1013, on time 825, late 47, failed 0, refused [("deadline_infeasible", 102), ("fair_share", 39)], changes 16, p95 1430527 us
    "#);
}

/// Guards against requests that are neither answered nor refused, because a planned role change or
/// a crash during one aborted them.
#[test]
fn every_request_is_answered_or_refused_under_faults() {
    let faults = [
        Fault::CrashInChange {
            down_us: 10 * US_PER_S,
        },
        Fault::ReportsLate {
            lag_us: 4 * US_PER_S,
        },
        Fault::KeyValueDown,
        Fault::ZoneCutOff { zone: 0 },
        Fault::EngineWithdrawn { engine: 0 },
    ];
    for fault in faults {
        let outcome = run(
            flipperliga(),
            Some((70 * US_PER_S, 90 * US_PER_S, fault)),
            PolicyKind::Cost(1.0),
        );
        let refused: u64 = outcome.refused.values().sum();
        let answered = outcome.on_time + outcome.late;
        assert_eq!(outcome.failed, 0, "{fault:?}");
        assert_eq!(answered + refused, outcome.offered, "{fault:?}");
        assert_eq!(outcome.dwell_breaches, 0, "{fault:?}");
    }
}

/// Guards against orders while the key-value service is down.
#[test]
fn no_role_changes_while_the_key_value_service_is_down() {
    // The fault lasts until after the end of the run, which continues for a while after the last
    // arrival.
    let down = Some((1, 300 * US_PER_S, Fault::KeyValueDown));
    let outcome = run(flipperliga(), down, PolicyKind::Cost(1.0));
    assert_eq!(outcome.role_changes, 0);
}
