//! The planner in a running zone.

use std::path::Path;

use tealsaddle_core::inventory::Role;
use tealsaddle_core::load::{CorrectedLoad, SentRequest};
use tealsaddle_schema::inventory::Policy;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::deployment::{Deployment, MODEL, Plan, fast_engine_config};
use tealsaddle_testkit::engine::sim::SimConfig;

use crate::completions::start_node_with;
use crate::support::assert_no_conflict_or_cut_off;
use crate::test_node::ScriptedEngine;

/// Sends `count` requests for `max_tokens` tokens each, `concurrency` of them at a time.
async fn send(deployment: &Deployment, count: u64, concurrency: u64, max_tokens: u64) {
    let caller = deployment.config("vm-1").caller;
    let client = Client::open();
    let senders = (0..concurrency).map(|sender| {
        let client = client.clone();
        tokio::spawn(async move {
            for question in 0..count / concurrency {
                let prompt = format!("question {question} of {sender}");
                let body = serde_json::json!({
                    "model": MODEL, "max_tokens": max_tokens, "seed": question,
                    "messages": [{ "role": "user", "content": prompt }],
                });
                let answer = client.complete(caller, &body).await.expect("an answer");
                assert_eq!(answer.status, 200, "{answer:?}");
            }
        })
    });
    for sender in senders.collect::<Vec<_>>() {
        sender.await.expect("no panic");
    }
}

/// Guards against a planner that takes an engine for idle which this node has loaded since its last report.
#[tokio::test]
async fn load_for_the_planner_includes_requests_sent_since_the_report() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    node.report_load("e0", Role::Mixed, 3, 100);
    let now_us = tealsaddle_node::clock::now_us();
    let send = SentRequest {
        at_us: now_us,
        prefill_tokens: 500,
        decodes: true,
        kv_tokens: 700,
    };
    node.traffic.on_send(&"e0".into(), send);
    let load = node.traffic.engine_load("e0", now_us);
    assert_eq!((load.running, load.queued_prefill_tokens), (4, 600));
    assert!(load.report_age_us.is_some());
    assert_eq!(
        node.traffic.engine_load("e9", now_us),
        CorrectedLoad::default()
    );
}

/// Guards against a planner that misses a shift of the request mix because it averages all answers since
/// the start.
#[tokio::test]
async fn shift_to_long_outputs_changes_the_role_of_an_engine() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("planner-shift");
    let mut plan = Plan::new(Path::new(env!("CARGO_BIN_EXE_tealsaddle")), &directory)
        .node("vm-1", "buda-hall");
    let roles = [Role::Prefill, Role::Prefill, Role::Mixed, Role::Decode];
    for (number, role) in roles.into_iter().enumerate() {
        let config = SimConfig {
            step_us: 10_000,
            batch_requests: 4,
            ..fast_engine_config(role, number % 2 == 0)
        };
        plan = plan.engine(&format!("e{number}"), "buda-hall", config);
    }
    plan.policy = Policy {
        planner: "cost".to_owned(),
        role_change_weight: 1.0,
        min_dwell_ms: 2_000,
        max_moving_share: 0.5,
        plan_interval_ms: 500,
        ..Policy::default()
    };
    let deployment = plan.start().await.expect("the deployment starts");
    send(&deployment, 800, 2, 1).await;
    let before = deployment.status("vm-1").await;
    assert!(!has_changed_role(&deployment), "{before}");
    let mut rounds = 0;
    while !has_changed_role(&deployment) {
        rounds += 1;
        assert!(
            rounds < 40,
            "no role changed: {}",
            deployment.status("vm-1").await
        );
        send(&deployment, 16, 16, 100).await;
    }
    assert_no_conflict_or_cut_off(&deployment);
}

fn has_changed_role(deployment: &Deployment) -> bool {
    let mut prefill = deployment.engines().take(2);
    prefill.any(|(_, engine)| engine.role().is_some_and(|(role, _)| role != Role::Prefill))
}
