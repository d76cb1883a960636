//! Tests of responses that end with their connection, or inside an event, on the paths that relay them.

use std::net::SocketAddr;

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
