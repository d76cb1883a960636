//! Tests of the engine stand-in over HTTP.

use std::net::SocketAddr;

use hyper::Method;
use serde_json::{Value, json};
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Answer, Client, wait_until};
use tealsaddle_testkit::engine::record::{OrderEffect, conflicts, cut_off_by_role_change};
use tealsaddle_testkit::engine::server::{Engine, bind, model_version};
use tealsaddle_testkit::engine::sim::SimConfig;
use tealsaddle_testkit::engine::stream_faults::StreamFault;
use tealsaddle_testkit::engine::text;

async fn start(checks_fence: bool) -> Engine {
    let any = "127.0.0.1:0".parse().expect("an address");
    let config = SimConfig {
        models: vec![model_version("rules", "1")],
        step_us: 1_000,
        role_change_us: 50_000,
        checks_fence,
        ..SimConfig::default()
    };
    bind(any, config).await.expect("the engine starts")
}

async fn post(address: SocketAddr, path: &str, body: Value) -> Answer {
    let client = Client::open();
    let answer = client.call(Method::POST, address, path, &[], body.to_string());
    answer.await.expect("an answer")
}

fn generate(attempt: &str, max_tokens: u64) -> Value {
    json!({ "attempt_id": attempt, "model": "rules", "prompt": "a b c", "max_tokens": max_tokens,
            "stage": "full" })
}

fn order(id: &str, fence: u64, role: &str) -> Value {
    json!({ "order_id": id, "fence": fence, "kind": "role", "role": role })
}

fn events(answer: &Answer) -> Vec<Value> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    text.lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect()
}

/// Guards against output that differs between a full run, a resumed run and a run with KV import.
#[tokio::test]
async fn output_is_the_same_for_full_resumed_and_split_runs() {
    let engine = start(true).await;
    let address = engine.address();
    let mut resumed = generate("2", 8);
    resumed["resume_at"] = json!(3);
    let mut prefill = generate("3", 8);
    prefill["stage"] = json!("prefill");
    let handle = events(&post(address, "/generate", prefill).await)[0]["kv_handle"].clone();
    let handle = handle.as_str().expect("a handle").to_owned();
    let mut decode = generate("4", 8);
    decode["stage"] = json!("decode");
    decode["kv_from"] = json!(format!("http://{address}/kv/{handle}"));
    for (request, first) in [(generate("1", 8), 0), (resumed, 3), (decode.clone(), 0)] {
        let answer = events(&post(address, "/generate", request).await);
        let texts = answer.iter().filter_map(|event| event["text"].as_str());
        let expected: String = (first..8).map(|i| text::token("a b c", 0, i)).collect();
        assert_eq!(texts.collect::<String>(), expected);
        assert_eq!(
            answer.last().map(|event| event["done"].clone()),
            Some(json!(true))
        );
    }
    // The export was consumed by the first import, so a second one fails.
    assert_eq!(post(address, "/generate", decode).await.status, 503);
}

/// Guards against a wrong reason for a refusal, which misleads the search for a fault of the node.
#[tokio::test]
async fn refusals_name_their_reason() {
    let engine = start(true).await;
    let mut unknown_stage = generate("1", 1);
    unknown_stage["stage"] = json!("both");
    let too_long = generate("2", 1_000_000_000);
    for (request, reason) in [(unknown_stage, "unknown_stage"), (too_long, "too_long")] {
        let answer = post(engine.address(), "/generate", request).await;
        assert_eq!(answer.status, 400, "{answer:?}");
        let text = String::from_utf8_lossy(&answer.body);
        assert!(text.contains(reason), "{text}");
    }
}

/// Guards against a stand-in that does not record an aborted stream. With fencing enabled, it must
/// also refuse an old order.
#[tokio::test]
async fn orders_are_fenced_and_recorded() {
    for checks_fence in [true, false] {
        let engine = start(checks_fence).await;
        let address = engine.address();
        let stream = tokio::spawn(async move {
            Client::open()
                .call(
                    Method::POST,
                    address,
                    "/generate",
                    &[],
                    generate("1", 100_000).to_string(),
                )
                .await
        });
        wait_until(|| async { engine.attempts_running() == 1 }).await;
        assert_eq!(
            post(address, "/order", order("o2", 2, "prefill"))
                .await
                .status,
            200
        );
        stream
            .await
            .expect("no panic")
            .expect_err("the stream is cut off");
        assert_eq!(
            post(address, "/order", order("o2", 2, "prefill"))
                .await
                .status,
            200
        );
        let busy = post(address, "/order", order("o3", 3, "decode")).await;
        assert_eq!(
            (busy.status, busy.json()["error"].as_str()),
            (409, Some("busy"))
        );
        wait_until(|| async { engine.role() == Some((Role::Prefill, false)) }).await;
        assert_eq!(cut_off_by_role_change(&engine.record()), ["1"]);
        let late = post(address, "/order", order("o1", 1, "mixed")).await;
        assert_eq!(late.status, if checks_fence { 409 } else { 200 });
        let expected = if checks_fence {
            OrderEffect::StaleFence
        } else {
            OrderEffect::Started
        };
        assert_eq!(
            engine.orders().last().map(|(_, effect)| *effect),
            Some(expected)
        );
        assert_eq!(
            conflicts(&engine.record()).len(),
            if checks_fence { 1 } else { 2 }
        );
    }
}

/// Guards against a crashed engine that still answers. After a restart it must answer at the same
/// address.
#[tokio::test]
async fn crash_aborts_streams_and_restart_serves_again() {
    let engine = start(true).await;
    let address = engine.address();
    let client = Client::open();
    let stream = tokio::spawn(async move {
        let body = generate("1", 100_000).to_string();
        client
            .call(Method::POST, address, "/generate", &[], body)
            .await
    });
    wait_until(|| async { engine.attempts_running() == 1 }).await;
    engine.crash();
    stream
        .await
        .expect("no panic")
        .expect_err("the stream breaks");
    let load =
        |client: Client| async move { client.call(Method::GET, address, "/load", &[], "").await };
    load(Client::open()).await.expect_err("no answer");
    engine.restart().await.expect("the address is free");
    let answer = load(Client::open()).await.expect("an answer");
    assert_eq!(answer.json()["running"], 0);
}

/// Guards against tests of stream faults that pass only because no fault is injected.
#[tokio::test]
async fn stream_faults_change_the_events() {
    let engine = start(true).await;
    let plain = events(&post(engine.address(), "/generate", generate("0", 4)).await);
    let faults = [
        (StreamFault::Duplicate, 10),
        (StreamFault::Reorder, 5),
        (StreamFault::UnknownAttempt, 10),
        (StreamFault::PreviousAttempt, 10),
        (StreamFault::Truncate(2), 2),
    ];
    for (fault, count) in faults {
        engine.inject_stream_fault(fault, 1);
        let answer = events(&post(engine.address(), "/generate", generate("0", 4)).await);
        assert_eq!(answer.len(), count, "{fault:?}");
        assert_ne!(answer, plain, "{fault:?}");
    }
}
