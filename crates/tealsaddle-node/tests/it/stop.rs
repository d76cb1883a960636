//! A planned stop, as callers and peers see it.

use std::io::Write as _;
use std::net::TcpStream as BlockingStream;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::http;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

use crate::completions::start_node_with;
use crate::test_node::{ANY_PORT, ScriptedEngine, TestNode, body};

/// Number of connections on which late requests are sent.
const LATE_CALLERS: usize = 16;
/// Delay of the response of a peer that has closed its listener. Several probes fall within the delay.
const PEER_RESPONSE_DELAY: Duration = Duration::from_secs(4);

/// What a node has received when it stops accepting connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Received {
    /// A connection in the accept queue, with a whole request.
    WaitingConnection,
    /// A whole request on an accepted connection.
    Request,
    /// An accepted connection without a request.
    Connection,
    /// The first half of a request head on an accepted connection.
    HalfHead,
}

impl Received {
    /// Splits a request into the part sent before the stop and the part sent after it.
    fn split(self, request: &str) -> (&str, &str) {
        request.split_at(match self {
            Self::WaitingConnection | Self::Request => request.len(),
            Self::Connection => 0,
            Self::HalfHead => 20,
        })
    }
}

fn request(body: &str) -> String {
    let length = body.len();
    format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Connects without yielding to the tasks of the node.
fn connect(node: &TestNode) -> BlockingStream {
    BlockingStream::connect(node.address).expect("the node listens")
}

fn into_async(stream: BlockingStream) -> TcpStream {
    stream.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(stream).expect("a socket")
}

/// Reads until the connection is closed or reset.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

async fn until_port_is_closed(node: &TestNode) {
    wait_until(|| async { TcpStream::connect(node.address).await.is_err() }).await;
}

/// Guards against a request that a stopping node discards unread, which leaves its outcome unknown to the
/// caller.
#[parameterized(
    waiting_connection = { Received::WaitingConnection },
    whole_request = { Received::Request },
    connection = { Received::Connection },
    half_head = { Received::HalfHead },
)]
#[test_macro(tokio::test)]
async fn late_request_is_refused_by_a_stopping_node(received: Received) {
    let engine = ScriptedEngine::healthy(0).await;
    let mut node = start_node_with(&engine, "", "").await;
    let server = node.server.take().expect("a server");
    node.publish(|snapshot| snapshot.is_leaving = true);
    let request = request(&body(1, false));
    let (before, after) = received.split(&request);
    let mut callers: Vec<BlockingStream> = (0..LATE_CALLERS).map(|_| connect(&node)).collect();
    if received != Received::WaitingConnection {
        // This connection is accepted after the others, so its response shows that all are accepted.
        node.get("/readyz").await;
    }
    for caller in &mut callers {
        caller.write_all(before.as_bytes()).expect("the node reads");
    }
    if received == Received::HalfHead {
        node.get("/readyz").await;
    }
    let shutdown = tokio::spawn(server.shutdown());
    until_port_is_closed(&node).await;
    let mut callers: Vec<TcpStream> = callers.into_iter().map(into_async).collect();
    for caller in &mut callers {
        // The node may have closed the connection.
        drop(caller.write_all(after.as_bytes()).await);
    }
    for caller in &mut callers {
        let answer = read_to_end(caller).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.contains("x-outcome: not-run\r\n"), "{answer}");
    }
    shutdown.await.expect("no panic");
    assert_eq!(engine.generate_calls(), 0);
}

/// Guards against a stop that waits for the rest of incomplete request bodies. Such requests must be
/// refused without being run.
#[tokio::test]
async fn incomplete_body_is_refused_by_a_stopping_node() {
    let engine = ScriptedEngine::healthy(0).await;
    let mut node = start_node_with(&engine, "", "services: [{name: ladder}]\n").await;
    let server = node.server.take().expect("a server");
    let plain_request = request(&body(1, false));
    let keyed_request = plain_request.replace("/v1/completions", "/services/ladder/scores");
    let keyed_request = keyed_request.replace("host: a", "host: a\r\nidempotency-key: k");
    let mut callers = Vec::new();
    for request in [&plain_request, &keyed_request] {
        let mut caller = TcpStream::connect(node.address)
            .await
            .expect("a connection");
        let half = &request.as_bytes()[..request.len() - 5];
        caller.write_all(half).await.expect("the node reads");
        callers.push(caller);
    }
    wait_until(|| async { node.count("caller.requests") == 2 }).await;
    node.publish(|snapshot| snapshot.is_leaving = true);
    let shutdown = tokio::spawn(server.shutdown());
    for caller in &mut callers {
        let answer = read_to_end(caller).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.contains("x-outcome: not-run\r\n"), "{answer}");
        assert!(answer.contains("x-reason: draining\r\n"), "{answer}");
    }
    shutdown.await.expect("no panic");
    assert_eq!(engine.generate_calls(), 0);
}

/// Guards against a forwarded request that fails because its peer has closed the listener. A stopping
/// peer does so while it still completes its requests.
#[tokio::test]
async fn forwarded_request_waits_for_a_stopping_peer() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    let listener = TcpListener::bind(ANY_PORT).await.expect("a listener");
    let mut peer = node.as_peer("a");
    peer.caller_address = listener.local_addr().expect("an address");
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![peer];
    });
    let peer = tokio::spawn(async move {
        let (mut stream, _address) = listener.accept().await.expect("a connection");
        drop(listener);
        tokio::time::sleep(PEER_RESPONSE_DELAY).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.expect("the node reads");
        read_to_end(&mut stream).await
    });
    let answer = node.complete(1, false).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, "ok");
    peer.abort();
}

/// Guards against wrong handling of a forwarded request that a stopping peer has aborted. A repeatable
/// request must be repeated at another peer; a non-repeatable one must end with an unknown outcome.
#[parameterized(
    repeatable = { false, 200, 1 },
    marked = { true, 504, 0 },
)]
#[test_macro(tokio::test)]
async fn request_aborted_by_a_stopping_peer(is_marked: bool, status: u16, expected_calls: usize) {
    let engine = ScriptedEngine::healthy(0).await;
    let stopping = http::bind(ANY_PORT, |request| async move {
        drop(request.into_body().collect().await);
        let mut response = http::json(StatusCode::GATEWAY_TIMEOUT, &"stopped");
        for (name, value) in [("x-outcome", "unknown"), ("x-reason", "node_stopped")] {
            let value = value.parse().expect("a header value");
            response.headers_mut().insert(name, value);
        }
        response
    });
    let stopping = stopping.await.expect("a server");
    let healthy = start_node_with(&engine, "", "").await;
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        // Peers of the node's own zone are tried first.
        let mut first = healthy.as_peer("a");
        first.caller_address = stopping.address();
        snapshot.peers = vec![healthy.as_peer("b"), first];
    });
    let headers: &[(&str, &str)] = if is_marked {
        &[("x-non-repeatable", "true")]
    } else {
        &[]
    };
    let answer = node.post("/v1/completions", headers, &body(3, false)).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(engine.generate_calls(), expected_calls);
    if is_marked {
        assert_eq!(answer.header("x-outcome"), "unknown");
    }
}

/// Guards against the outcome "unknown" for a request that a stop has aborted before it was sent.
#[tokio::test]
async fn request_aborted_before_sending_is_refused_as_not_run() {
    let engine = ScriptedEngine::healthy(0).await;
    let target = ScriptedEngine::healthy(0).await;
    let service = format!(
        "services: [{{name: ladder, targets: [{{name: l, zone: a, vm: v, address: \"{}\"}}]}}]\n",
        target.address()
    );
    let node = start_node_with(&engine, "", &service).await;
    node.traffic.stop_signals.aborting.cancel();
    let calls = [
        node.complete(1, false).await,
        node.complete(1, true).await,
        node.post("/services/ladder/scores", &[], "{}").await,
    ];
    for answer in calls {
        let headers = (answer.header("x-outcome"), answer.header("x-reason"));
        assert_eq!(
            (answer.status, headers),
            (503, ("not-run", "node_stopping")),
            "{answer:?}"
        );
    }
    assert_eq!(engine.generate_calls(), 0);
    assert!(target.received("/scores").is_empty());
}

/// Guards against a forwarded response that a stopping node cuts off without an outcome.
#[parameterized(plain = { false }, streamed = { true })]
#[test_macro(tokio::test)]
async fn aborted_forwarded_request_has_an_outcome(is_streamed: bool) {
    let engine = ScriptedEngine::healthy(20).await;
    let other = start_node_with(&engine, "", "").await;
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![other.as_peer("a")];
    });
    let abort = async {
        wait_until(|| async { other.traffic.in_flight.count("e0") == 1 }).await;
        node.traffic.stop_signals.aborting.cancel();
    };
    let (answer, ()) = tokio::join!(node.complete(100_000, is_streamed), abort);
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("\"outcome\":\"unknown\""), "{answer:?}");
    assert!(text.contains("\"reason\":\"node_stopped\""), "{answer:?}");
    // The peer cancels the work of the disconnected request.
    wait_until(|| async { other.traffic.in_flight.count("e0") == 0 }).await;
}

/// Guards against a forwarded request that keeps waiting for an unreachable peer.
#[tokio::test]
async fn unreachable_peer_is_unresponsive() {
    let engine = ScriptedEngine::healthy(0).await;
    let node = start_node_with(&engine, "", "").await;
    // Connections to the broadcast address fail at once, but not as refused by a host.
    let unreachable = "255.255.255.255:9".parse().expect("an address");
    let probes =
        tealsaddle_node::caller::liveness::wait_until_unresponsive(&node.traffic, unreachable);
    let result = tokio::time::timeout(Duration::from_secs(8), probes).await;
    assert!(result.is_ok(), "an unreachable peer counts as responsive");
}

/// Guards against a request that arrives on a keep-alive connection just before the node closes it and
/// is discarded unread.
#[tokio::test]
async fn request_on_a_keep_alive_connection_is_refused_by_a_stopping_node() {
    let engine = ScriptedEngine::healthy(0).await;
    let mut node = start_node_with(&engine, "", "").await;
    let server = node.server.take().expect("a server");
    let request = request(&body(1, false));
    let mut callers = Vec::new();
    for _ in 0..LATE_CALLERS {
        let mut caller = TcpStream::connect(node.address)
            .await
            .expect("a connection");
        let first = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(first).await.expect("the node reads");
        let mut answer = Vec::new();
        while !answer.ends_with(b"}") {
            caller.read_buf(&mut answer).await.expect("an answer");
        }
        callers.push(caller);
    }
    node.publish(|snapshot| snapshot.is_leaving = true);
    for caller in &callers {
        // Does not yield to the tasks of the node, as after a pause of its process.
        let written = caller.try_write(request.as_bytes());
        assert_eq!(written.expect("the connection is open"), request.len());
    }
    let shutdown = tokio::spawn(server.shutdown());
    let mut unanswered = 0;
    for caller in &mut callers {
        let answer = read_to_end(caller).await;
        unanswered += usize::from(!answer.starts_with("HTTP/1.1 503"));
    }
    shutdown.await.expect("no panic");
    assert_eq!(unanswered, 0, "of {LATE_CALLERS}");
}
