//! Completions as callers see them: responses, refusals, limits and the stop of the node.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper::{Method, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::json;
use tealsaddle_core::digest::sha256_hex;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::process::free_address;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

use crate::test_node::{ScriptedEngine, TestNode, answer_text, body, config};

/// Starts a node with one engine. `limits` is the YAML of the settings section of that name, and `more`
/// is added to the configuration.
pub async fn start_node_with(engine: &ScriptedEngine, limits: &str, more: &str) -> TestNode {
    let yaml = config(&[(engine.address(), "mixed")]) + more;
    TestNode::start_with(&yaml, free_address(), limits).await
}

/// Guards against a response that an unmodified client of the OpenAI API cannot parse.
#[tokio::test]
async fn responses_have_the_openai_format() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    assert_eq!(node.get("/v1/models").await.json()["data"][0]["id"], "m");
    let usage = json!({ "prompt_tokens": 2, "completion_tokens": 4, "total_tokens": 6 });

    let whole = node.complete(4, false).await.json();
    assert_eq!(whole["object"], "text_completion");
    assert_eq!(whole["choices"][0]["text"], answer_text(4));
    assert_eq!(whole["choices"][0]["finish_reason"], "length");
    assert_eq!(whole["usage"], usage);

    let streamed = node.complete(4, true).await;
    assert_eq!(streamed.header("content-type"), "text/event-stream");
    let events = String::from_utf8_lossy(&streamed.body).into_owned();
    let events: Vec<&str> = events.split_terminator("\n\n").collect();
    assert_eq!(events.last(), Some(&"data: [DONE]"));
    let last: serde_json::Value =
        serde_json::from_str(events[events.len() - 2].trim_start_matches("data: ")).expect("JSON");
    assert_eq!((&last["usage"], &last["choices"]), (&usage, &json!([])));

    let chat = json!({
        "model": "m", "max_completion_tokens": 4, "seed": 7, "temperature": 0.5,
        "messages": [{ "role": "user", "content": [{ "type": "text", "text": "hi" }] }],
    });
    let answer = node
        .post("/v1/chat/completions", &[], &chat.to_string())
        .await;
    assert_eq!(answer.json()["object"], "chat.completion");
    assert_eq!(answer.json()["choices"][0]["message"]["role"], "assistant");
    assert_eq!(engine.received("/generate")[2]["prompt"], "user: hi");
    assert_eq!(answer.header("x-request-id").len(), 36);
}

/// Guards against a refusal without its reason, its outcome or the invalid field.
#[parameterized(
    no_path = { "GET", "/v2", "", 404, "no_such_path", None },
    method = { "GET", "/v1/completions", "", 405, "method_not_allowed", None },
    not_json = { "POST", "/v1/completions", "{", 400, "invalid_request", Some("body") },
    no_model = { "POST", "/v1/completions", r#"{"prompt": "a"}"#, 400, "invalid_request", Some("model") },
    unknown_model = { "POST", "/v1/completions", r#"{"model": "x", "prompt": "a"}"#, 404, "model_not_found", Some("model") },
    prompt = { "POST", "/v1/completions", r#"{"model": "m", "prompt": 1}"#, 400, "invalid_request", Some("prompt") },
    content = { "POST", "/v1/chat/completions", r#"{"model": "m", "messages": [{"role": "user"}]}"#, 400, "invalid_request", Some("messages[0].content") },
    tokens = { "POST", "/v1/completions", r#"{"model": "m", "prompt": "a", "max_tokens": -1}"#, 400, "invalid_request", Some("max_tokens") },
    several = { "POST", "/v1/completions", r#"{"model": "m", "prompt": "a", "n": 2}"#, 400, "invalid_request", Some("n") },
    service = { "POST", "/services/x/y", "", 404, "service_not_found", None },
)]
#[test_macro(tokio::test)]
async fn refusal_explains_the_error(
    method: &str,
    path: &str,
    body: &'static str,
    status: u16,
    reason: &str,
    param: Option<&str>,
) {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    let method: Method = method.parse().expect("a method");
    let answer = node
        .client
        .call(method, node.address, path, &[], body)
        .await;
    let answer = answer.expect("an answer");
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (status, ("not-run", reason)));
    let error = &answer.json()["error"];
    assert_eq!(error["param"], json!(param));
    assert_eq!(error["type"], "invalid_request_error");
    assert_eq!(node.count(&format!("refused.{reason}")), 1);
    assert_eq!(engine.generate_calls(), 0);
}

/// Guards against requests that pass without a check of API key, rate and body size.
#[tokio::test]
async fn keys_rates_and_sizes_are_checked() {
    let engine = ScriptedEngine::healthy(0).await;
    let key = sha256_hex(&[b"secret"]);
    let customers =
        format!("customers: [{{name: c, api_key_sha256: [{key}], requests_per_s: 0.01}}]\n");
    let node = start_node_with(&engine, "request_body_bytes: 1000", &customers).await;
    for headers in [vec![], vec![("authorization", "Bearer wrong")]] {
        let answer = node
            .post("/v1/completions", &headers, &body(1, false))
            .await;
        assert_eq!(
            (answer.status, answer.header("x-outcome")),
            (401, "not-run")
        );
    }
    let known = [("authorization", "Bearer secret")];
    let long = body(1, false).replace("p q", &"p ".repeat(1_000));
    let answer = node.post("/v1/completions", &known, &long).await;
    assert_eq!(
        (answer.status, answer.header("x-reason")),
        (413, "body_too_large")
    );
    let answer = node.post("/v1/completions", &known, &body(1, false)).await;
    assert_eq!(answer.status, 200);
    let answer = node.post("/v1/completions", &known, &body(1, false)).await;
    assert_eq!(
        (answer.status, answer.header("x-reason")),
        (429, "customer_rate")
    );
    assert!(
        answer
            .header("retry-after")
            .parse::<u64>()
            .expect("seconds")
            > 10
    );
    assert_eq!(engine.generate_calls(), 1);
    let explained = node.traffic.explain(answer.header("x-request-id"));
    assert!(
        explained
            .iter()
            .any(|decision| decision.choice == "customer_rate")
    );
}

/// Guards against a rate limit that applies to each model and service separately, or that a caller
/// evades by sending the hop header.
#[tokio::test]
async fn rate_covers_all_requests_of_a_customer() {
    let engine = ScriptedEngine::healthy(0).await;
    let key = sha256_hex(&[b"secret"]);
    let more = format!(
        "customers: [{{name: c, api_key_sha256: [{key}], requests_per_s: 0.01}}]\n\
         services: [{{name: s, targets: [{{name: t, zone: a, address: \"{}\"}}]}}]\n",
        engine.address()
    );
    let node = start_node_with(&engine, "", &more).await;
    let headers = [
        ("authorization", "Bearer secret"),
        ("x-tealsaddle-hops", "1"),
    ];
    let answer = node
        .post("/v1/completions", &headers, &body(1, false))
        .await;
    assert_eq!(answer.status, 200);
    let answer = node.post("/services/s/cancel", &headers, "{}").await;
    assert_eq!(
        (answer.status, answer.header("x-reason")),
        (429, "customer_rate")
    );
    assert!(engine.received("/cancel").is_empty());
}

/// Guards against incomplete bodies that together exhaust the memory. The limit is 32 bodies of the
/// maximum size.
#[tokio::test]
async fn incomplete_bodies_are_bounded() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "request_body_bytes: 1000", "").await;
    let mut connections = Vec::new();
    for _ in 0..32 {
        let mut stream = TcpStream::connect(node.address)
            .await
            .expect("a connection");
        let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n";
        let part = format!("{head}{}", " ".repeat(990));
        stream.write_all(part.as_bytes()).await.expect("sent");
        connections.push(stream);
    }
    // Each of the 32 bodies lacks 10 of its 1,000 bytes.
    wait_until(|| async { node.traffic.body_byte_permits.available_permits() == 320 }).await;
    let long = body(1, false).replace("p q", &"p ".repeat(300));
    let answer = node.post("/v1/completions", &[], &long).await;
    assert_eq!(
        (answer.status, answer.header("x-reason")),
        (503, "body_space")
    );
    drop(connections);
    wait_until(|| async { node.traffic.body_byte_permits.available_permits() == 32_000 }).await;
    assert_eq!(node.complete(1, false).await.status, 200);
}

/// Guards against responses over HTTP/2 that differ from those over HTTP/1.1.
#[tokio::test]
async fn http2_callers_are_served() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    let stream = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    let (executor, io) = (TokioExecutor::new(), TokioIo::new(stream));
    let (mut sender, connection) = http2::handshake(executor, io).await.expect("HTTP/2");
    let connection = tokio::spawn(connection);
    let mut post = |path: &str| {
        let request = hyper::Request::post(format!("http://{}{path}", node.address));
        let body = Full::<bytes::Bytes>::from(body(5, true));
        sender.send_request(request.body(body).expect("a request"))
    };
    let answer = post("/v1/completions").await.expect("an answer");
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("a whole answer")
        .to_bytes();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    node.publish(|snapshot| snapshot.is_leaving = true);
    let refused = post("/v1/completions").await.expect("an answer");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["x-reason"], "draining");
    connection.abort();
}

/// Guards against an unlimited number of requests in flight. Callers that do not read their responses
/// count as well, and a dropped connection releases its permit.
#[tokio::test]
async fn requests_in_flight_are_bounded() {
    let engine = ScriptedEngine::healthy(20).await;
    let node = start_node_with(&engine, "requests_in_flight: 2", "").await;
    let start = || {
        let (path, body) = ("/v1/completions", body(20, true));
        node.client
            .start(Method::POST, node.address, path, &[], body)
    };
    // Two callers that have read only the head of the response.
    let first = start().await.expect("an answer");
    let second = start().await.expect("an answer");
    let refused = node.complete(1, false).await;
    assert_eq!(
        (refused.status, refused.header("x-reason")),
        (503, "queue_full")
    );
    assert_eq!(refused.header("retry-after"), "1");
    drop(first);
    wait_until(|| async { node.complete(1, false).await.status == 200 }).await;
    drop(second);
}

/// Guards against a request that is sent to a drained engine, and against a request in flight that is
/// missing from the count that a drain waits for.
#[tokio::test]
async fn only_open_engines_get_work() {
    let engine = ScriptedEngine::healthy(20).await;
    let node = start_node_with(&engine, "", "").await;
    let close_engine = async {
        wait_until(|| async { node.traffic.in_flight.count("e0") == 1 }).await;
        node.publish(|snapshot| snapshot.open_engines.clear());
    };
    let (running, ()) = tokio::join!(node.complete(10, true), close_engine);
    // The request in flight when the engine is closed completes.
    assert_eq!(running.streamed_text(), (answer_text(10), true));
    assert_eq!(node.traffic.in_flight.count("e0"), 0);
    let refused = node.complete(1, false).await;
    assert_eq!(
        (refused.status, refused.header("x-reason")),
        (503, "no_engine")
    );
    assert_eq!(engine.generate_calls(), 1);
    // An engine on a leaving VM receives no work either.
    node.publish(|snapshot| {
        snapshot.open_engines.extend([("e0".into(), Role::Mixed)]);
        snapshot.leaving_vms.extend(["vm-e0".into()]);
    });
    assert_eq!(node.complete(1, false).await.status, 503);
    node.publish(|snapshot| snapshot.open_engines.clear());
    assert!(node.traffic.begin_request(&"e0".into()).is_none());
    assert_eq!(node.traffic.in_flight.count("e0"), 0);
}

/// Guards against an engine that continues to work for a disconnected caller.
#[parameterized(
    streamed = { true },
    plain = { false },
)]
#[test_macro(tokio::test)]
async fn disconnected_caller_cancels_the_attempt(is_streamed: bool) {
    let engine = ScriptedEngine::healthy(20).await;
    let node = start_node_with(&engine, "", "").await;
    let call = node.complete(1_000, is_streamed);
    let cut = tokio::time::timeout(Duration::from_millis(300), call);
    cut.await.expect_err("the call takes longer");
    wait_until(|| async { engine.received("/cancel").len() == 1 }).await;
    let attempt = &engine.received("/generate")[0]["attempt_id"];
    assert_eq!(&engine.received("/cancel")[0]["attempt_id"], attempt);
    wait_until(|| async { node.traffic.in_flight.count("e0") == 0 }).await;
    assert_eq!(node.count("caller.gone"), 1);
}

/// Guards against new work on a leaving node, and against a stop that truncates responses.
#[tokio::test]
async fn leaving_node_completes_requests_in_flight() {
    let engine = ScriptedEngine::healthy(50).await;
    let mut node = start_node_with(&engine, "", "").await;
    assert_eq!(node.get("/readyz").await.status, 200);
    let server = node.server.take().expect("a server");
    let node = Arc::new(node);
    let running = tokio::spawn({
        let node = Arc::clone(&node);
        async move { node.complete(20, true).await }
    });
    wait_until(|| async { node.traffic.in_flight.count("e0") == 1 }).await;
    node.publish(|snapshot| snapshot.is_leaving = true);
    assert_eq!(node.get("/readyz").await.status, 503);
    let refused = node.complete(1, false).await;
    let headers = (refused.header("x-outcome"), refused.header("x-reason"));
    assert_eq!((refused.status, headers), (503, ("not-run", "draining")));
    assert_eq!(refused.header("retry-after"), "1");
    assert_eq!(refused.header("connection"), "close");

    server.shutdown().await;
    let refused = TcpStream::connect(node.address).await;
    refused.expect_err("the port is closed");
    let running = running.await.expect("no panic");
    assert_eq!(running.streamed_text(), (answer_text(20), true));
}

/// Guards against routing by outdated state after a pause of the process, and against a request that
/// waits without a limit for newer state.
#[tokio::test]
async fn stale_node_delays_new_requests() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| snapshot.is_stale = true);
    let refresh = async {
        wait_until(|| async { node.count("caller.held_while_stale") == 1 }).await;
        assert_eq!(engine.generate_calls(), 0);
        node.publish(|snapshot| snapshot.is_stale = false);
    };
    let (answer, ()) = tokio::join!(node.complete(1, false), refresh);
    assert_eq!(answer.status, 200);
    node.publish(|snapshot| snapshot.is_stale = true);
    assert_eq!(node.complete(1, false).await.status, 200);
}

/// Guards against connections that stay open for callers that send no complete request head.
#[parameterized(
    nothing = { b"" },
    part_of_a_head = { b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n" },
    part_of_http2 = { b"PRI * HT" },
)]
#[test_macro(tokio::test)]
async fn request_head_times_out(sent: &[u8]) {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "header_timeout_ms: 200", "").await;
    let mut stream = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    stream.write_all(sent).await.expect("sent");
    let mut rest = Vec::new();
    // The read returns only when the node closes the connection.
    drop(stream.read_to_end(&mut rest).await);
    assert_eq!(node.complete(1, false).await.status, 200);
}

/// Guards against more connections than the configured limit.
#[tokio::test]
async fn connections_are_bounded() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "connections: 2", "").await;
    let connections = [
        TcpStream::connect(node.address).await,
        TcpStream::connect(node.address).await,
    ];
    let mut third = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    let mut byte = [0; 1];
    assert!(matches!(third.read(&mut byte).await, Ok(0) | Err(_)));
    assert_eq!(node.count("refused.connections"), 1);
    drop(connections);
}
