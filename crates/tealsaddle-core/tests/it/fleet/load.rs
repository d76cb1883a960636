//! Tests of a node's view of a runner's load.

use tealsaddle_core::fleet::load::{ReportedLoad, RunnerView, Work};

use super::SECOND_US;

fn report(running: u32, waiting: u32) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots: 64,
    }
}

/// Guards against counting the node's own requests twice, and against a reported count that never decays.
#[test]
fn requests_of_other_nodes_are_the_rest_of_the_report_and_decay() {
    let mut view = RunnerView::default();
    for _ in 0..3 {
        view.on_request_start(Work::default());
    }
    view.on_report(report(6, 1), SECOND_US);
    assert!((view.other_nodes_requests(SECOND_US) - 4.0).abs() < 1e-9);
    assert!((view.other_nodes_requests(2 * SECOND_US) - 2.0).abs() < 1e-9);
    assert!(view.other_nodes_requests(20 * SECOND_US) < 0.01);
    assert_eq!(view.other_nodes_waiting(SECOND_US, SECOND_US), 1);
    assert_eq!(view.other_nodes_waiting(3 * SECOND_US, SECOND_US), 0);
}

/// Guards against sending requests to an unreachable runner without a backoff, and against never sending
/// requests to the runner again.
#[test]
fn backoff_doubles_and_an_answer_ends_it() {
    let mut view = RunnerView::default();
    let mut backoffs_s = Vec::new();
    let mut now_us = SECOND_US;
    for _ in 0..6 {
        view.on_unreachable(now_us);
        let end_us = (now_us..).step_by(SECOND_US as usize);
        let end_us = end_us.skip(1).find(|at_us| !view.is_avoided(*at_us));
        let end_us = end_us.expect("each backoff ends");
        backoffs_s.push((end_us - now_us) / SECOND_US);
        now_us = end_us;
    }
    assert_eq!(backoffs_s, [1, 2, 4, 8, 8, 8]);
    view.on_unreachable(now_us);
    view.on_success(now_us);
    assert!(!view.is_avoided(now_us));
    assert_eq!(view.unreachable_since_us(), None);
}

/// Guards against avoiding a runner permanently after a series of failures.
#[test]
fn failure_rate_decays() {
    let mut view = RunnerView::default();
    for _ in 0..20 {
        view.on_failure(SECOND_US);
    }
    let at_first = view.failure_rate_at(SECOND_US);
    assert!(at_first > 0.9);
    assert!(view.failure_rate_at(41 * SECOND_US) < at_first / 500.0);
}

/// Guards against treating a runner as slow after a single slow request.
#[test]
fn slowdown_is_learned_from_many_requests() {
    let mut view = RunnerView::default();
    view.on_duration(1e9, 1e5);
    assert!(view.slowdown() < 1.6);
    for _ in 0..100 {
        view.on_duration(5e5, 1e5);
    }
    assert!((view.slowdown() - 5.0).abs() < 0.1);
}

/// Guards against placing prompts by the cache that a runner lost when it restarted under its id, and
/// against losing the count of requests sent before the restart.
#[test]
fn restart_clears_the_cached_parts() {
    let parts = super::prompt(7, 10_000, 900, 1_000);
    let mut view = RunnerView::default();
    view.on_process_start(1);
    view.on_request_start(Work {
        read_tokens: 100,
        kv_tokens: 100,
        is_deferred: false,
    });
    view.cached_parts.on_read(&parts, 100_000);
    view.on_process_start(1);
    assert_eq!(view.cached_parts.cached_tokens(&parts), 11_000);
    view.on_process_start(2);
    assert_eq!(view.cached_parts.cached_tokens(&parts), 0);
    assert_eq!(view.own_requests(), 1);
}

/// Guards against sending one request after another to a runner that is changing its stage: it refuses them for seconds,
/// and looks idle. One that is full for a moment gets requests again soon.
#[test]
fn backoff_after_refusals_in_a_row_doubles() {
    let mut view = RunnerView::default();
    let mut refused_at_ms = Vec::new();
    for now_ms in 1_000..10_000 {
        if !view.is_avoided(now_ms * 1_000) {
            view.on_refused(now_ms * 1_000);
            refused_at_ms.push(now_ms - 1_000);
        }
    }
    assert_eq!(refused_at_ms, [0, 150, 450, 1_050, 2_250, 4_650, 7_050]);
    view.on_success(SECOND_US);
    view.on_refused(20 * SECOND_US);
    assert!(!view.is_avoided(20 * SECOND_US + 150_000));
}
