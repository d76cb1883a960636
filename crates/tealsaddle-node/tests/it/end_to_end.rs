//! A completion from a caller through a node process to an engine, with a streamed response.

use hyper::Method;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::engine::server::EngineConfig;
use tealsaddle_testkit::engine::{server, text};
use tealsaddle_testkit::platform::{self, faults::VmState};
use tealsaddle_testkit::process::{ADMIN_TOKEN, NodeConfig};

use crate::support::{admin, put_config, spawn_node};

const CONFIG: &str = "
zones: [{name: buda-hall, region: hu-central}]
models: [{name: rules, first_token_ms: 490, between_tokens_ms: 37}]
engines:
  - {name: e1, zone: buda-hall, address: \"ENGINE\", models: [rules], role: mixed, prefill_tokens_per_s: 100000, decode_tokens_per_s: 1000, batch_requests: 8, kv_capacity_tokens: 100000}
";

/// Guards against a truncated, reordered or foreign response to a long prompt.
#[tokio::test]
async fn long_prompt_streams_the_whole_answer() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::bind(any).await.expect("the platform starts");
    let speed = EngineConfig {
        prefill_tokens_per_s: 100_000,
        between_tokens_ms: 1,
    };
    platform.set_vm("vm-1", "buda-hall", any, VmState::Live);
    let engine = server::bind(any, speed).await.expect("the engine starts");
    let node = spawn_node(
        "path",
        NodeConfig::new("vm-1", "buda-hall", platform.address()),
    );
    let config = CONFIG.replace("ENGINE", &engine.address().to_string());
    put_config(platform.address(), 1, &config).await;

    let client = Client::open();
    let caller = node.config.caller;
    wait_until(|| async {
        let status = admin(Method::GET, node.config.admin, "/admin/status", "").await;
        status.is_ok_and(|answer| answer.json()["engines"][0]["is_open"] == true)
    })
    .await;

    let prompt = (0..5_000)
        .map(|i| format!("rule{i}"))
        .collect::<Vec<_>>()
        .join(" ");
    let body = serde_json::json!({
        "model": "rules",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": 200,
        "seed": 7,
        "stream": true,
    });
    let answer = client.complete(caller, &body).await.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    let (streamed, is_done) = answer.streamed_text();
    assert!(is_done);
    assert_eq!(streamed, text::answer(&format!("user: {prompt}"), 7, 200));

    let path = format!("/admin/explain/{}", answer.header("x-request-id"));
    let token = format!("Bearer {ADMIN_TOKEN}");
    let headers = [("authorization", token.as_str())];
    let explained = client
        .call(Method::GET, node.config.admin, &path, &headers, "")
        .await;
    assert_eq!(explained.expect("an explanation").json()[0]["choice"], "e1");
}
