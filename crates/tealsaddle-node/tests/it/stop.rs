//! A planned stop as callers and peers see it.

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

use crate::caller::rig_with;
use crate::rig::{ANY, Engine, Rig, body};

/// Connections on which late requests are sent.
const LATE_CALLERS: usize = 16;
/// A peer that has closed its listener answers after this time; several signs of life are due in it.
const PEER_ANSWERS_AFTER: Duration = Duration::from_secs(4);

/// What has arrived at a node when it takes no more connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrived {
    /// A connection that waits in the accept queue, with its request.
    WaitingConnection,
    /// A request on a connection that was accepted.
    Request,
    /// A connection that was accepted.
    Connection,
    /// Half a head.
    HalfHead,
}

impl Arrived {
    /// The part of a request that is sent before the stop, and the part after it.
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

/// Connects without giving the node a chance to run.
fn connect(rig: &Rig) -> BlockingStream {
    BlockingStream::connect(rig.address).expect("the node listens")
}

fn into_async(stream: BlockingStream) -> TcpStream {
    stream.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(stream).expect("a socket")
}

/// Reads to the end of the connection, also of one that is reset.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8_lossy(&answer).into_owned()
}

async fn until_port_is_closed(rig: &Rig) {
    wait_until(|| async { TcpStream::connect(rig.address).await.is_err() }).await;
}

/// Guards against a request that a stopping node drops unread, so that its caller cannot tell whether it
/// has run.
#[parameterized(
    waiting_connection = { Arrived::WaitingConnection },
    whole_request = { Arrived::Request },
    connection = { Arrived::Connection },
    half_head = { Arrived::HalfHead },
)]
#[test_macro(tokio::test)]
async fn late_request_is_refused_by_a_stopping_node(arrived: Arrived) {
    let engine = Engine::good(0).await;
    let mut rig = rig_with(&engine, "", "").await;
    let server = rig.server.take().expect("a server");
    rig.publish(|snapshot| snapshot.is_leaving = true);
    let request = request(&body(1, false));
    let (before, after) = arrived.split(&request);
    let mut callers: Vec<BlockingStream> = (0..LATE_CALLERS).map(|_| connect(&rig)).collect();
    if arrived != Arrived::WaitingConnection {
        // A later connection is accepted after the others.
        rig.get("/readyz").await;
    }
    for caller in &mut callers {
        caller.write_all(before.as_bytes()).expect("the node reads");
    }
    if arrived == Arrived::HalfHead {
        rig.get("/readyz").await;
    }
    let shutdown = tokio::spawn(server.shutdown());
    until_port_is_closed(&rig).await;
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
    assert_eq!(engine.generated(), 0);
}

/// Guards against a stop that waits for bodies which do not arrive, and against their late work.
#[tokio::test]
async fn body_that_has_not_arrived_is_refused_by_a_stopping_node() {
    let engine = Engine::good(0).await;
    let mut rig = rig_with(&engine, "", "services: [{name: ladder}]\n").await;
    let server = rig.server.take().expect("a server");
    let whole = request(&body(1, false));
    let keyed = whole.replace("/v1/completions", "/services/ladder/scores");
    let keyed = keyed.replace("host: a", "host: a\r\nidempotency-key: k");
    let mut callers = Vec::new();
    for request in [&whole, &keyed] {
        let mut caller = TcpStream::connect(rig.address).await.expect("a connection");
        let half = &request.as_bytes()[..request.len() - 5];
        caller.write_all(half).await.expect("the node reads");
        callers.push(caller);
    }
    wait_until(|| async { rig.count("caller.requests") == 2 }).await;
    rig.publish(|snapshot| snapshot.is_leaving = true);
    let shutdown = tokio::spawn(server.shutdown());
    for caller in &mut callers {
        let answer = read_to_end(caller).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.contains("x-outcome: not-run\r\n"), "{answer}");
        assert!(answer.contains("x-reason: draining\r\n"), "{answer}");
    }
    shutdown.await.expect("no panic");
    assert_eq!(engine.generated(), 0);
}

/// Guards against a forwarded request that is given up because its peer, which stops, has closed its
/// listener.
#[tokio::test]
async fn forwarded_request_is_awaited_from_a_peer_that_stops() {
    let engine = Engine::good(0).await;
    let rig = rig_with(&engine, "", "").await;
    let listener = TcpListener::bind(ANY).await.expect("a listener");
    let mut peer = rig.as_peer("a");
    peer.caller_address = listener.local_addr().expect("an address");
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![peer];
    });
    let peer = tokio::spawn(async move {
        let (mut stream, _address) = listener.accept().await.expect("a connection");
        drop(listener);
        tokio::time::sleep(PEER_ANSWERS_AFTER).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.expect("the node reads");
        read_to_end(&mut stream).await
    });
    let answer = rig.complete(1, false).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, "ok");
    peer.abort();
}

/// Guards against a request that is lost with the peer that gave it up, and against a second run of one
/// that may run once.
#[parameterized(
    repeatable = { false, 200, 1 },
    marked = { true, 504, 0 },
)]
#[test_macro(tokio::test)]
async fn request_that_a_stopping_peer_gave_up(is_marked: bool, status: u16, generated: usize) {
    let engine = Engine::good(0).await;
    let stopping = http::bind(ANY, |request| async move {
        drop(request.into_body().collect().await);
        let mut response = http::json(StatusCode::GATEWAY_TIMEOUT, &"stopped");
        for (name, value) in [("x-outcome", "unknown"), ("x-reason", "node_stopped")] {
            let value = value.parse().expect("a header value");
            response.headers_mut().insert(name, value);
        }
        response
    });
    let stopping = stopping.await.expect("a server");
    let good = rig_with(&engine, "", "").await;
    let rig = rig_with(&engine, "", "").await;
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        // The own zone goes first.
        let mut first = good.as_peer("a");
        first.caller_address = stopping.address();
        snapshot.peers = vec![good.as_peer("b"), first];
    });
    let marks: &[(&str, &str)] = if is_marked {
        &[("x-non-repeatable", "true")]
    } else {
        &[]
    };
    let answer = rig.post("/v1/completions", marks, &body(3, false)).await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(engine.generated(), generated);
    if is_marked {
        assert_eq!(answer.header("x-outcome"), "unknown");
    }
}

/// Guards against an answer that says that a request may have run which a stop gave up before it was sent.
#[tokio::test]
async fn request_that_is_given_up_unsent_is_refused_as_not_run() {
    let engine = Engine::good(0).await;
    let target = Engine::good(0).await;
    let service = format!(
        "services: [{{name: ladder, targets: [{{name: l, zone: a, vm: v, address: \"{}\"}}]}}]\n",
        target.address()
    );
    let rig = rig_with(&engine, "", &service).await;
    rig.traffic.stop_signals.aborting.cancel();
    let calls = [
        rig.complete(1, false).await,
        rig.complete(1, true).await,
        rig.post("/services/ladder/scores", &[], "{}").await,
    ];
    for answer in calls {
        let headers = (answer.header("x-outcome"), answer.header("x-reason"));
        assert_eq!(
            (answer.status, headers),
            (503, ("not-run", "node_stopping")),
            "{answer:?}"
        );
    }
    assert_eq!(engine.generated(), 0);
    assert!(target.asked("/scores").is_empty());
}

/// Guards against a forwarded answer that a stopping node cuts without an outcome.
#[parameterized(plain = { false }, streamed = { true })]
#[test_macro(tokio::test)]
async fn forwarded_request_that_is_given_up_has_an_outcome(is_streamed: bool) {
    let engine = Engine::good(20).await;
    let other = rig_with(&engine, "", "").await;
    let rig = rig_with(&engine, "", "").await;
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![other.as_peer("a")];
    });
    let give_up = async {
        wait_until(|| async { other.traffic.in_flight.count("e0") == 1 }).await;
        rig.traffic.stop_signals.aborting.cancel();
    };
    let (answer, ()) = tokio::join!(rig.complete(100_000, is_streamed), give_up);
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("\"outcome\":\"unknown\""), "{answer:?}");
    assert!(text.contains("\"reason\":\"node_stopped\""), "{answer:?}");
    // The peer cancels what nobody waits for.
    wait_until(|| async { other.traffic.in_flight.count("e0") == 0 }).await;
}

/// Guards against a forwarded request that waits for a peer to which the network has no way any more.
#[tokio::test]
async fn peer_that_cannot_be_reached_is_silent() {
    let engine = Engine::good(0).await;
    let rig = rig_with(&engine, "", "").await;
    // The system refuses a connection to this address at once, and no process answers there.
    let unreachable = "255.255.255.255:9".parse().expect("an address");
    let silence = tealsaddle_node::caller::liveness::silence(&rig.traffic, unreachable);
    let found = tokio::time::timeout(Duration::from_secs(8), silence).await;
    assert!(
        found.is_ok(),
        "a peer that cannot be reached counts as alive"
    );
}

/// Guards against a request that has arrived on a kept connection before the node closes it, and that is
/// dropped unread.
#[tokio::test]
async fn request_on_a_kept_connection_is_refused_by_a_stopping_node() {
    let engine = Engine::good(0).await;
    let mut rig = rig_with(&engine, "", "").await;
    let server = rig.server.take().expect("a server");
    let request = request(&body(1, false));
    let mut callers = Vec::new();
    for _ in 0..LATE_CALLERS {
        let mut caller = TcpStream::connect(rig.address).await.expect("a connection");
        let first = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";
        caller.write_all(first).await.expect("the node reads");
        let mut answer = Vec::new();
        while !answer.ends_with(b"}") {
            caller.read_buf(&mut answer).await.expect("an answer");
        }
        callers.push(caller);
    }
    rig.publish(|snapshot| snapshot.is_leaving = true);
    for caller in &callers {
        // Without giving the node a chance to run, as after a pause of its process.
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
