//! Tests of the corrected load.

use tealsaddle_core::inventory::Role;
use tealsaddle_core::load::{Completion, EngineLoad, LoadReport, SentRequest};

fn report(sampled_at_us: u64, running: u32) -> LoadReport {
    LoadReport {
        sampled_at_us,
        role: Role::Mixed,
        is_changing: false,
        running,
        waiting: 0,
        queued_prefill_tokens: 0,
        kv_used_tokens: 0,
    }
}

fn send(at_us: u64) -> SentRequest {
    SentRequest {
        at_us,
        prefill_tokens: 100,
        decodes: true,
        kv_tokens: 150,
    }
}

/// Guards against two effects of delayed reports: an engine that appears idle although it has been sent
/// requests, and one that appears full although its requests have ended.
#[test]
fn sent_requests_and_completions_count_until_a_report_includes_them() {
    let mut load = EngineLoad::default();
    load.on_report(report(10, 2));
    load.on_send(send(20));
    load.on_send(send(40));
    assert_eq!(load.corrected(50).running, 4);
    assert_eq!(load.corrected(50).queued_prefill_tokens, 200);
    load.on_completion(Completion {
        at_us: 50,
        prefill_tokens: 100,
        ends_decode: true,
        kv_tokens: 150,
    });
    let corrected = load.corrected(60);
    let counts = (
        corrected.running,
        corrected.queued_prefill_tokens,
        corrected.kv_used_tokens,
    );
    assert_eq!(counts, (3, 100, 150));
    load.on_report(report(30, 3));
    assert_eq!(load.corrected(60).running, 3);
    load.on_report(report(55, 3));
    assert_eq!(load.corrected(60).running, 3);
}

/// Guards against a report that removes reservations.
#[test]
fn reservations_outlast_reports() {
    let mut load = EngineLoad::default();
    load.on_reserve(500);
    load.on_report(report(100, 1));
    let corrected = load.corrected(100);
    assert_eq!((corrected.running, corrected.kv_used_tokens), (2, 500));
    load.on_reservation_end(500);
    assert_eq!(load.corrected(100).running, 1);
}
