//! Tests of responses that end with their connection, or inside an event, on the paths that relay them.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use tealsaddle_node::traffic::PeerEndpoint;
use tealsaddle_testkit::platform;
use tealsaddle_testkit::process::unused_ip;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

use crate::service::{call, services};
use crate::test_node::{ANY_PORT, TestNode, body};

const EVENT: &str = "id: 1\ndata: a\n\n";
const HALF_EVENT: &str = "id: 2\nda";

/// A server that answers each request with these bytes and closes the connection.
async fn closing_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind((unused_ip(), 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _from)) = listener.accept().await {
            let mut request = [0; 16_384];
            if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                drop(stream.write_all(response.as_bytes()).await);
            }
        }
    });
    address
}

/// How a response says where it ends.
#[derive(Debug, Clone, Copy)]
enum Framed {
    Length,
    Chunks,
    UntilClose,
}

fn response(framed: Framed, content_type: &str, body: &str) -> String {
    let length = body.len();
    let (header, body) = match framed {
        Framed::Length => (format!("content-length: {length}\r\n"), body.to_owned()),
        Framed::Chunks => (
            "transfer-encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ),
        Framed::UntilClose => (String::new(), body.to_owned()),
    };
    format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n{header}\r\n{body}")
}

async fn node_with_target(target: SocketAddr) -> TestNode {
    TestNode::start(&services(&[("t", "a", target)])).await
}

/// Guards against a stream of a plain service that ends inside an event and looks complete.
#[parameterized(
    length = { Framed::Length },
    chunks = { Framed::Chunks },
    until_close = { Framed::UntilClose },
)]
#[test_macro(tokio::test)]
async fn stream_of_a_service_that_ends_inside_an_event_does_not_look_complete(framed: Framed) {
    let text = response(framed, "text/event-stream", &format!("{EVENT}{HALF_EVENT}"));
    let node = node_with_target(closing_server(text).await).await;
    let path = "/services/ladder/events".to_owned();
    let sent = node
        .client
        .call(Method::GET, node.address, &path, &[], String::new());
    sent.await.expect_err("the stream is cut");
}

/// Guards against a whole stream of a plain service that is cut.
#[parameterized(
    length = { Framed::Length },
    chunks = { Framed::Chunks },
    until_close = { Framed::UntilClose },
)]
#[test_macro(tokio::test)]
async fn whole_stream_of_a_service_looks_complete(framed: Framed) {
    let text = response(framed, "text/event-stream", EVENT);
    let node = node_with_target(closing_server(text).await).await;
    let answer = call(&node, Method::GET, "/services/ladder/events", &[], "").await;
    assert_eq!((answer.status, &*answer.body), (200, EVENT.as_bytes()));
}

/// Guards against half an event of a peer that looks complete, or that swallows the event with the error.
#[parameterized(
    length = { Framed::Length },
    chunks = { Framed::Chunks },
    until_close = { Framed::UntilClose },
)]
#[test_macro(tokio::test)]
async fn stream_of_a_peer_that_ends_inside_an_event_does_not_look_complete(framed: Framed) {
    let text = response(framed, "text/event-stream", &format!("{EVENT}{HALF_EVENT}"));
    let peer = PeerEndpoint {
        vm: "vm-peer".into(),
        zone: "a".into(),
        caller_address: closing_server(text).await,
        is_registered: true,
    };
    let node = TestNode::start(&services(&[])).await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![peer.clone()];
    });
    let sent = node.client.call(
        Method::POST,
        node.address,
        "/v1/completions",
        &[],
        body(5, true),
    );
    sent.await.expect_err("the stream is cut");
}

/// Guards against an answer of which nothing shows that it is whole, and that is given again as a whole one.
#[parameterized(
    length = { Framed::Length, "" },
    until_close = { Framed::UntilClose, "answered-before" },
)]
#[test_macro(tokio::test)]
async fn keyed_answer_is_repeated_only_if_it_is_known_to_be_whole(framed: Framed, outcome: &str) {
    let text = response(framed, "text/plain", "receipt 7");
    let target = closing_server(text).await;
    let platform = platform::bind(ANY_PORT).await.expect("the platform starts");
    let yaml = services(&[("t", "a", target)]);
    let node = TestNode::start_with(&yaml, platform.address(), "").await;
    let key = [("idempotency-key", "k1")];
    let path = "/services/ladder/scores";
    let first = call(&node, Method::POST, path, &key, "7").await;
    assert_eq!((first.status, &*first.body), (200, b"receipt 7".as_slice()));
    let repeated = call(&node, Method::POST, path, &key, "7").await;
    assert_eq!(
        (repeated.status, repeated.header("x-outcome")),
        (200, outcome)
    );
    let body = if outcome.is_empty() { "receipt 7" } else { "" };
    assert_eq!(repeated.body, body);
}

/// Far more than the buffers of a connection hold, so that a target answers while it is being sent.
const UPLOAD_BYTES: usize = 3_500_000;
/// Calls of a case; each of them is reset at another moment.
const CALLS: u64 = 8;
/// Step by which the pause before the reset grows.
const PAUSE_STEP: Duration = Duration::from_millis(5);

/// A server that answers each request when its head has arrived, and then resets the connection; before that it ends the
/// answer as after a whole one if `closes_first` is set.
async fn resetting_server(response: String, closes_first: bool) -> SocketAddr {
    let listener = TcpListener::bind((unused_ip(), 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        let mut calls = 0;
        while let Ok((mut stream, _from)) = listener.accept().await {
            let response = response.clone();
            let pause = PAUSE_STEP * (calls % CALLS) as u32;
            calls += 1;
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                if stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    drop(stream.write_all(response.as_bytes()).await);
                    if closes_first {
                        drop(stream.shutdown().await);
                    }
                    tokio::time::sleep(pause).await;
                    drop(stream.set_zero_linger());
                }
            });
        }
    });
    address
}

/// Guards against a part of an answer that looks complete, since its target resets the connection while it is still being
/// sent the call.
#[parameterized(
    text = { "text/plain", "part", false },
    events = { "text/event-stream", EVENT, false },
    head = { "text/plain", "", false },
    closed_text = { "text/plain", "part", true },
    closed_events = { "text/event-stream", EVENT, true },
    closed_head = { "text/plain", "", true },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn early_answer_that_is_reset_does_not_look_complete(
    content_type: &str,
    part: &str,
    closes_first: bool,
) {
    let text = response(Framed::UntilClose, content_type, part);
    let node = node_with_target(resetting_server(text, closes_first).await).await;
    for method in [Method::POST, Method::PUT] {
        for _call in 0..CALLS {
            let upload = "u".repeat(UPLOAD_BYTES);
            let path = "/services/ladder/upload";
            let sent = node
                .client
                .call(method.clone(), node.address, path, &[], upload);
            if let Ok(answer) = sent.await {
                assert_eq!(answer.status, 502, "{:?}", answer.body);
            }
        }
    }
}

/// Guards against an answer that is passed on although its status is none that an answer may have.
#[parameterized(
    zero = { "000 None" },
    below_100 = { "099 Odd" },
    interim = { "100 Continue" },
    unknown_interim = { "199 Odd" },
    two_digits = { "20 OK" },
)]
#[test_macro(tokio::test)]
async fn answer_without_a_valid_status_is_not_passed_on(status: &str) {
    let text = response(Framed::Length, "text/plain", "part").replace("200 OK", status);
    let node = node_with_target(closing_server(text).await).await;
    for method in [Method::GET, Method::POST] {
        let answer = call(&node, method, "/services/ladder/x", &[], "").await;
        assert_eq!(answer.status, 502, "{:?}", answer.body);
        assert!(!answer.body.windows(4).any(|bytes| bytes == b"part"));
    }
}
