//! Malformed input from callers and engines.

use hyper::Method;
use proptest::prelude::*;
use tealsaddle_node::caller::openai::{CompletionRequest, Interface};
use tealsaddle_node::caller::service::normalize_path;
use tealsaddle_node::engine::GenerateEvent;
use tealsaddle_testkit::client::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

use crate::test_node::{
    ANY_PORT, ScriptedEngine, Step, TestNode, answer_text, config, end_event, full_answer, tokens,
};

/// Sends raw bytes and returns everything received until the connection closes. After a request with
/// a missing body the sending side of the connection is closed.
async fn send_raw(node: &TestNode, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    // The node may close the connection before it has read everything.
    drop(stream.write_all(sent).await);
    if sent.ends_with(b"content-length: 100\r\n\r\n") {
        drop(stream.shutdown().await);
    }
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(line: &str, headers: &str) -> Vec<u8> {
    format!("{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}\r\n").into_bytes()
}

fn with_body(body: &str) -> Vec<u8> {
    let headers = format!("content-length: {}\r\n", body.len());
    [head("POST /v1/completions", &headers), body.into()].concat()
}

/// Guards against a malformed request that stops the node or changes the response to a concurrent
/// request. `expected` is the start of the response.
#[parameterized(
    binary = { vec![0xff; 300], "HTTP/1.1 400" },
    tls = { b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "HTTP/1.1 400" },
    huge_header = { head("GET /v1/models", &format!("x: {}\r\n", "y".repeat(1 << 20))), "HTTP/1.1 431" },
    many_headers = { head("GET /v1/models", &"x: y\r\n".repeat(5_000)), "HTTP/1.1 431" },
    two_lengths = { head("POST /v1/completions", "content-length: 1\r\ncontent-length: 2\r\n"), "HTTP/1.1 400" },
    bad_chunk = { [head("POST /v1/completions", "transfer-encoding: chunked\r\n"), b"zz\r\n".to_vec()].concat(), "HTTP/1.1 400" },
    cut_off = { head("POST /v1/completions", "content-length: 100\r\n"), "HTTP/1.1 400" },
    huge_length = { head("POST /v1/completions", "content-length: 99999999999\r\n"), "HTTP/1.1 413" },
    not_utf8 = { [head("POST /v1/completions", "content-length: 2\r\n"), vec![0xc3, 0x28]].concat(), "HTTP/1.1 400" },
    deep = { with_body(&"[".repeat(1 << 20)), "HTTP/1.1 400" },
    deep_field = { with_body(&format!("{{\"model\":\"m\",\"prompt\":{}", "{\"a\":".repeat(100_000))), "HTTP/1.1 400" },
    huge_number = { with_body(r#"{"model":"m","prompt":"a","max_tokens":1e999}"#), "HTTP/1.1 400" },
    huge_integer = { with_body(r#"{"model":"m","prompt":"a","max_tokens":99999999999999999999999}"#), "HTTP/1.1 400" },
    nul = { with_body(r#"{"model":"m\u0000","prompt":"a"}"#), "HTTP/1.1 404" },
    bad_hops = { head("POST /v1/completions", "x-tealsaddle-hops: -1\r\nx-request-id: \x7f\r\n"), "HTTP/1.1 400" },
    escaped_service = { head("GET /services//%2e%2e/%00", ""), "HTTP/1.1 404" },
)]
#[test_macro(tokio::test)]
async fn malformed_request(sent: Vec<u8>, expected: &str) {
    let engine = ScriptedEngine::healthy(5).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let (concurrent, answer) = tokio::join!(node.complete(20, true), send_raw(&node, &sent));
    assert_eq!(concurrent.streamed_text(), (answer_text(20), true));
    assert!(answer.starts_with(expected), "{answer}");
    assert_eq!(node.complete(1, false).await.status, 200);
}

/// Guards against malformed events between tokens that end a response or become part of it.
#[tokio::test]
async fn junk_between_tokens_is_dropped_and_counted() {
    let engine = ScriptedEngine::start(|_, request| {
        let junk = [
            "",
            "null",
            "[]",
            "{}",
            "{\"attempt_id\": 7}",
            "\u{1}\u{2}",
            "data: {}",
            "{\"attempt_id\":\"x\",\"index\":18446744073709551615,\"text\":\"no\"}",
            "{\"attempt_id\":\"x\",\"done\":true,\"output_tokens\":99999}",
        ];
        let junk = junk.map(|line| Step::Line(line.to_owned())).to_vec();
        let own = request.attempt_id.as_str();
        let invalid_events = vec![
            Step::Line(format!(
                "{{\"attempt_id\":\"{own}\",\"text\":\"no index\"}}"
            )),
            Step::Line(format!("{{\"attempt_id\":\"{own}\",\"index\":2}}")),
            Step::Line(format!(
                "{{\"attempt_id\":\"{own}\",\"index\":0,\"text\":\"again\"}}"
            )),
            Step::Line("[".repeat(60_000)),
        ];
        let mut rest = full_answer(request, 0);
        // Skips the first four tokens and the pauses before them.
        rest.drain(..8);
        Ok([
            tokens(request, 2),
            junk.clone(),
            tokens(request, 4),
            invalid_events,
            rest,
        ]
        .concat())
    });
    let engine = engine.await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = node.complete(8, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(8), true));
    assert_eq!(engine.generate_calls(), 1);
    assert_eq!(
        (node.count("stream.foreign"), node.count("stream.duplicate")),
        (2, 3)
    );
    assert!(node.count("stream.junk") >= 8);
}

/// Guards against an engine that sends more tokens than requested.
#[tokio::test]
async fn excess_tokens_are_dropped() {
    let engine = ScriptedEngine::start(|_, request| {
        Ok([tokens(request, 9), vec![end_event(request, 9)]].concat())
    });
    let engine = engine.await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = node.complete(4, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(4), true));
    assert_eq!(node.count("stream.excess"), 5);
}

/// Guards against a request that fails without an outcome, or stays in flight, when a process that is
/// not an engine listens at the address of an engine.
#[parameterized(
    not_http = { b"220 mail ready\r\n".to_vec() },
    closes = { Vec::new() },
    endless_head = { vec![b'a'; 100_000] },
    no_body = { b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n".to_vec() },
)]
#[test_macro(tokio::test)]
async fn engine_that_speaks_another_protocol(sent: Vec<u8>) {
    let listener = tokio::net::TcpListener::bind(ANY_PORT)
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            drop(stream.read(&mut request).await);
            drop(stream.write_all(&sent).await);
        }
    });
    let node = TestNode::start(&config(&[(address, "mixed")])).await;
    let answer = node.complete(4, true).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    wait_until(|| async { node.traffic.in_flight.nonzero_counts().is_empty() }).await;
    server.abort();
}

/// Guards against a success response to a method that the path does not support.
#[tokio::test]
async fn unsupported_methods_are_refused() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = TestNode::start(&config(&[(engine.address(), "mixed")])).await;
    for method in ["CONNECT", "TRACE", "PRI"] {
        let sent = head(&format!("{method} /v1/completions"), "");
        let answer = send_raw(&node, &sent).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    let answer = node
        .client
        .call(Method::GET, node.address, "/v1/models", &[], "")
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
}

fn json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        any::<f64>().prop_map(serde_json::Value::from),
        ".{0,8}".prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(4, 32, 6, |inner| {
        let field = prop_oneof![
            Just("model"),
            Just("prompt"),
            Just("messages"),
            Just("role"),
            Just("content"),
            Just("text"),
            Just("max_tokens"),
            Just("seed"),
            Just("stream"),
            Just("n"),
            Just("stream_options"),
            Just("stop"),
            Just("attempt_id"),
            Just("index"),
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(serde_json::Value::from),
            prop::collection::vec((field, inner), 0..8).prop_map(|fields| {
                fields
                    .into_iter()
                    .map(|(name, value)| (name.to_owned(), value))
                    .collect()
            }),
        ]
    })
}

proptest! {
    /// Guards against a panic in the parsers of messages from callers and engines.
    #[test]
    fn parsers_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for interface in [Interface::Chat, Interface::Text] {
            if let Err(invalid) = CompletionRequest::from_json(interface, &bytes) {
                prop_assert!(!invalid.field.is_empty());
            }
        }
        drop(serde_json::from_slice::<GenerateEvent>(&bytes));
        drop(normalize_path(&String::from_utf8_lossy(&bytes)));
    }

    /// Guards against a request that is accepted although a field has the wrong type.
    #[test]
    fn accepted_requests_match_their_fields(value in json()) {
        for interface in [Interface::Chat, Interface::Text] {
            if let Ok(request) = CompletionRequest::from_json(interface, value.to_string().as_bytes()) {
                prop_assert_eq!(&value["model"], &request.model);
                prop_assert_ne!(request.max_tokens, Some(0));
                if request.is_streamed {
                    prop_assert_eq!(&value["stream"], true);
                }
            }
        }
        drop(serde_json::from_value::<GenerateEvent>(value));
    }

    /// Guards against dot segments that remain in a normalized path, in any spelling.
    #[test]
    fn normalized_paths_have_no_dot_segments(path in "(/|\\.|%2e|%2F|a|%|%zz){0,12}") {
        let normalized = normalize_path(&path);
        prop_assert!(normalized.starts_with('/'));
        prop_assert!(normalized.split('/').all(|segment| segment != "." && segment != ".."));
    }
}
