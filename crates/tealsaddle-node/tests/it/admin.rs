//! Administration API: authentication, invalid input and the stream of decisions.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::Method;
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_node::control;
use tealsaddle_node::engine::http::HttpEngineClient;
use tealsaddle_node::metrics::Counters;
use tealsaddle_node::platform::http::HttpPlatform;
use tealsaddle_node::settings::Settings;
use tealsaddle_node::traffic::Traffic;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::platform;
use tealsaddle_testkit::platform::Platform;
use tealsaddle_testkit::process::{NodeConfig, NodeProcess, free_address};
use yare::parameterized;

use crate::support::{AUTHORIZATION, admin, put_config, spawn_node};

const CONFIG: &str = "
zones: [{name: buda-hall, region: hu-central}]
models: [{name: rules}]
engines:
  - {name: e1, zone: buda-hall, address: \"127.0.0.1:9\", models: [rules], role: mixed, prefill_tokens_per_s: 1, decode_tokens_per_s: 1, batch_requests: 1, kv_capacity_tokens: 1}
";

async fn start(test: &str) -> (Platform, NodeProcess) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::bind(any).await.expect("the platform starts");
    let node = spawn_node(
        test,
        NodeConfig::new("vm-1", "buda-hall", platform.address()),
    );
    let address = node.config.admin;
    wait_until(|| async {
        admin(Method::GET, address, "/admin/status", "")
            .await
            .is_ok()
    })
    .await;
    (platform, node)
}

/// Guards against access without the token. A comparison of prefixes would accept some of the tokens.
#[tokio::test]
async fn wrong_token_is_refused() {
    let (_platform, node) = start("admin-token").await;
    for token in [
        "",
        "Bearer ",
        "Bearer test-toke",
        "Bearer test-token2",
        "test-token",
    ] {
        let headers = [("authorization", token)];
        let answer = Client::open()
            .call(
                Method::GET,
                node.config.admin,
                "/admin/status",
                &headers,
                "",
            )
            .await
            .expect("an answer");
        assert_eq!(answer.status, 401, "{token:?}");
    }
}

/// Guards against invalid input that is accepted, and against an error response without a message and
/// the next step.
#[parameterized(
    config_without_version = { "PUT", "/admin/config", CONFIG, 400, "if_version: must be given" },
    config_with_invalid_version = { "PUT", "/admin/config?if_version=x", CONFIG, 400, "if_version: \"x\"" },
    config_with_unknown_zone = { "PUT", "/admin/config?if_version=0", "engines: [{name: e1, zone: nowhere}]", 400, "engines[0].zone" },
    config_with_bad_line = { "POST", "/admin/config/check", "zones: [{name: a}]\nmodels: {", 400, "line" },
    config_with_unknown_field = { "POST", "/admin/config/check", "zonez: []", 400, "zonez" },
    config_of_control_characters = { "POST", "/admin/config/check", "\u{0}\u{1}", 400, "" },
    drain_without_body = { "POST", "/admin/drain", "", 400, "EOF" },
    drain_of_both = { "POST", "/admin/drain", "{\"engine\":\"e1\",\"node\":true}", 400, "either engine or node" },
    drain_of_unknown = { "POST", "/admin/drain", "{\"engine\":\"e9\"}", 404, "e9" },
    drain_with_unknown_field = { "POST", "/admin/drain", "{\"engin\":\"e9\"}", 400, "engin" },
    wrong_method = { "DELETE", "/admin/config", "", 405, "method" },
    unknown_path = { "GET", "/admin/nothing", "", 404, "/admin/nothing" },
    unknown_request = { "GET", "/admin/explain/r1", "", 404, "r1" },
)]
#[test_macro(tokio::test)]
async fn bad_input_is_explained(method: &str, path: &str, body: &str, status: u16, message: &str) {
    let test = format!(
        "admin-{}",
        method.len() + path.len() * 100 + body.len() * 10_000
    );
    let (_platform, node) = start(&test).await;
    let method = method.parse().expect("a method");
    let answer = admin(method, node.config.admin, path, body)
        .await
        .expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
    let error = answer.json()["error"].clone();
    assert!(
        error["message"]
            .as_str()
            .expect("a message")
            .contains(message),
        "{error}"
    );
    assert!(error["next"].is_string(), "{error}");
}

/// Guards against a body that exhausts the memory of the node because it is read without a limit.
#[tokio::test]
async fn long_body_is_refused() {
    let (_platform, node) = start("admin-long-body").await;
    let body = "#".repeat(2 << 20);
    let answer = admin(
        Method::POST,
        node.config.admin,
        "/admin/config/check",
        &body,
    )
    .await;
    // The node may close the connection before the client has sent the whole body.
    assert!(answer.map_or(true, |answer| answer.status == 413));
    let status = admin(Method::GET, node.config.admin, "/admin/status", "").await;
    assert_eq!(status.expect("the node still answers").status, 200);
}

/// Opens a stream and returns a task that waits for its first event.
async fn first_event(address: SocketAddr, path: &str) -> tokio::task::JoinHandle<String> {
    let mut response = Client::open()
        .start(Method::GET, address, path, &[AUTHORIZATION], "")
        .await
        .expect("a stream");
    assert_eq!(response.status(), 200);
    tokio::spawn(async move {
        let frame = response.frame().await.expect("a frame").expect("no error");
        let bytes = frame.into_data().expect("data");
        String::from_utf8_lossy(&bytes).into_owned()
    })
}

/// Guards against decisions that a watcher does not receive when they are made.
#[tokio::test]
async fn watcher_sees_the_configuration_come_into_force() {
    let (platform, node) = start("admin-watch").await;
    let event = first_event(node.config.admin, "/admin/watch?kind=config").await;
    put_config(platform.address(), 1, CONFIG).await;
    let event = event.await.expect("an event");
    assert!(event.starts_with("event: decision\ndata: {"), "{event}");
    assert!(event.contains("\"kind\":\"config\""), "{event}");
    assert!(event.contains("\"subject\":\"config 1\""), "{event}");
}

/// Guards against a slow watcher that blocks the node. Its queue is bounded, and an event reports the
/// number of decisions lost.
#[tokio::test]
async fn slow_watcher_receives_the_number_of_lost_decisions() {
    let config = NodeConfig::new("vm-1", "buda-hall", free_address());
    let settings = Settings::from_yaml(&config.to_yaml()).expect("valid settings");
    let platform = HttpPlatform::open(settings.platform_address, settings.platform_timeout);
    let platform = Arc::new(platform);
    let counters = Counters::open(&settings.metrics).expect("counters without a collector");
    let engines = Arc::new(HttpEngineClient::open());
    let key_value = Arc::<HttpPlatform>::clone(&platform);
    let traffic = Arc::new(Traffic::new(settings, engines, key_value, counters));
    let services = control::PlatformServices {
        key_value: Arc::<HttpPlatform>::clone(&platform),
        vms: platform,
    };
    let handle = control::spawn(Arc::clone(&traffic), services).expect("the control thread");
    tealsaddle_node::admin::bind(config.admin, Arc::clone(&traffic), handle)
        .await
        .expect("the address is free");
    let client = Client::open();
    let start = client.start(
        Method::GET,
        config.admin,
        "/admin/watch",
        &[AUTHORIZATION],
        "",
    );
    let mut response = start.await.expect("a stream");
    // More than fit into the queue of 1,024 decisions and the buffers of the connection.
    for number in 0..50_000 {
        traffic.record(Decision {
            at_us: number,
            kind: DecisionKind::Route,
            subject: format!("request {number}"),
            choice: "x".repeat(1_000),
            reason: String::new(),
            inputs: Vec::new(),
            alternatives: Vec::new(),
        });
    }
    loop {
        let frame = response.frame().await.expect("a frame").expect("no error");
        let bytes = frame.into_data().expect("data");
        if String::from_utf8_lossy(&bytes).contains("event: lost\ndata: {\"lost\":") {
            break;
        }
    }
    assert!(traffic.counters.snapshot()["admin.watch_lost"] >= 1);
}
