//! Input that no well-behaved caller, engine or target would send.

use hyper::Method;
use proptest::prelude::*;
use tealsaddle_node::caller::openai::{CompletionRequest, Interface};
use tealsaddle_node::caller::service::plain_path;
use tealsaddle_node::engine::GenerateEvent;
use tealsaddle_testkit::client::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

use crate::rig::{ANY, Engine, Rig, Step, answer_text, config, done, tokens, whole};

/// Sends bytes as they are and gives the answer up to the end of the connection. A request whose
/// body is cut off ends its side of the connection.
async fn raw(rig: &Rig, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(rig.address).await.expect("a connection");
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

/// Guards against a malformed request that stops the node or harms a neighbour's answer. `expected`
/// starts the answer.
#[parameterized(
    binary = { vec![0xff; 300], "HTTP/1.1 400" },
    tls = { b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(), "HTTP/1.1 400" },
    huge_header = { head("GET /v1/models", &format!("x: {}\r\n", "y".repeat(1 << 20))), "HTTP/1.1 431" },
    many_headers = { head("GET /v1/models", &"x: y\r\n".repeat(5_000)), "HTTP/1.1 431" },
    two_lengths = { head("POST /v1/completions", "content-length: 1\r\ncontent-length: 2\r\n"), "HTTP/1.1 400" },
    bad_chunk = { [head("POST /v1/completions", "transfer-encoding: chunked\r\n"), b"zz\r\n".to_vec()].concat(), "HTTP/1.1 400" },
    cut_off = { head("POST /v1/completions", "content-length: 100\r\n"), "HTTP/1.1 400" },
    claims_much = { head("POST /v1/completions", "content-length: 99999999999\r\n"), "HTTP/1.1 413" },
    not_utf8 = { [head("POST /v1/completions", "content-length: 2\r\n"), vec![0xc3, 0x28]].concat(), "HTTP/1.1 400" },
    deep = { with_body(&"[".repeat(1 << 20)), "HTTP/1.1 400" },
    deep_field = { with_body(&format!("{{\"model\":\"m\",\"prompt\":{}", "{\"a\":".repeat(100_000))), "HTTP/1.1 400" },
    huge_number = { with_body(r#"{"model":"m","prompt":"a","max_tokens":1e999}"#), "HTTP/1.1 400" },
    huge_integer = { with_body(r#"{"model":"m","prompt":"a","max_tokens":99999999999999999999999}"#), "HTTP/1.1 400" },
    nul = { with_body(r#"{"model":"m\u0000","prompt":"a"}"#), "HTTP/1.1 404" },
    bad_hops = { head("POST /v1/completions", "x-tealsaddle-hops: -1\r\nx-request-id: \x7f\r\n"), "HTTP/1.1 400" },
    odd_service = { head("GET /services//%2e%2e/%00", ""), "HTTP/1.1 404" },
)]
#[test_macro(tokio::test)]
async fn malformed_request(sent: Vec<u8>, expected: &str) {
    let engine = Engine::good(5).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let (neighbour, answer) = tokio::join!(rig.complete(20, true), raw(&rig, &sent));
    assert_eq!(neighbour.streamed_text(), (answer_text(20), true));
    assert!(answer.starts_with(expected), "{answer}");
    assert_eq!(rig.complete(1, false).await.status, 200);
}

/// Guards against junk between the tokens that ends an answer or gets into it.
#[tokio::test]
async fn junk_between_tokens_is_dropped_and_counted() {
    let engine = Engine::start(|_, request| {
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
        let odd = vec![
            Step::Line(format!(
                "{{\"attempt_id\":\"{own}\",\"text\":\"no index\"}}"
            )),
            Step::Line(format!("{{\"attempt_id\":\"{own}\",\"index\":2}}")),
            Step::Line(format!(
                "{{\"attempt_id\":\"{own}\",\"index\":0,\"text\":\"again\"}}"
            )),
            Step::Line("[".repeat(60_000)),
        ];
        let mut rest = whole(request, 0);
        // The first four tokens, each after its pause.
        rest.drain(..8);
        Ok([
            tokens(request, 2),
            junk.clone(),
            tokens(request, 4),
            odd,
            rest,
        ]
        .concat())
    });
    let engine = engine.await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = rig.complete(8, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(8), true));
    assert_eq!(engine.generated(), 1);
    assert_eq!(
        (rig.count("stream.foreign"), rig.count("stream.duplicate")),
        (2, 3)
    );
    assert!(rig.count("stream.junk") >= 8);
}

/// Guards against an engine that sends more than was asked for.
#[tokio::test]
async fn excess_tokens_are_dropped() {
    let engine =
        Engine::start(|_, request| Ok([tokens(request, 9), vec![done(request, 9)]].concat()));
    let engine = engine.await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    let answer = rig.complete(4, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(4), true));
    assert_eq!(rig.count("stream.excess"), 5);
}

/// Guards against an engine that is no engine at all.
#[parameterized(
    not_http = { b"220 mail ready\r\n".to_vec() },
    closes = { Vec::new() },
    endless_head = { vec![b'a'; 100_000] },
    no_body = { b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n".to_vec() },
)]
#[test_macro(tokio::test)]
async fn engine_that_speaks_another_protocol(sent: Vec<u8>) {
    let listener = tokio::net::TcpListener::bind(ANY).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1_024];
            drop(stream.read(&mut request).await);
            drop(stream.write_all(&sent).await);
        }
    });
    let rig = Rig::start(&config(&[(address, "mixed")])).await;
    let answer = rig.complete(4, true).await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    wait_until(|| async { rig.traffic.in_flight.nonzero_counts().is_empty() }).await;
    server.abort();
}

/// Guards against a caller's key that gives it another caller's answer by odd characters.
#[tokio::test]
async fn odd_methods_and_targets_are_refused() {
    let engine = Engine::good(0).await;
    let rig = Rig::start(&config(&[(engine.address(), "mixed")])).await;
    for method in ["CONNECT", "TRACE", "PRI"] {
        let sent = head(&format!("{method} /v1/completions"), "");
        let answer = raw(&rig, &sent).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    let answer = rig
        .client
        .call(Method::GET, rig.address, "/v1/models", &[], "")
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
    /// Guards against a panic of the parsers of callers' and engines' messages.
    #[test]
    fn parsers_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for interface in [Interface::Chat, Interface::Text] {
            if let Err(invalid) = CompletionRequest::from_json(interface, &bytes) {
                prop_assert!(!invalid.field.is_empty());
            }
        }
        drop(serde_json::from_slice::<GenerateEvent>(&bytes));
        drop(plain_path(&String::from_utf8_lossy(&bytes)));
    }

    /// Guards against a request that is accepted with a field of the wrong kind.
    #[test]
    fn accepted_requests_say_what_they_mean(value in json()) {
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

    /// Guards against a path that is plain in one spelling and not in another.
    #[test]
    fn plain_paths_have_no_dots(path in "(/|\\.|%2e|%2F|a|%|%zz){0,12}") {
        let plain = plain_path(&path);
        prop_assert!(plain.starts_with('/'));
        prop_assert!(plain.split('/').all(|segment| segment != "." && segment != ".."));
    }
}
