//! Requests that a node forwards to another node.

use std::time::Duration;

use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use tealsaddle_core::inventory::Role;
use tealsaddle_node::traffic::SpareCapacity;
use tealsaddle_testkit::http;
use yare::parameterized;

use crate::completions::start_node_with;
use crate::test_node::{
    ANY_PORT, ScriptedEngine, Step, TestNode, answer_text, body, config, full_answer,
};

/// Guards against an unregistered node that routes requests itself, and against a request id that
/// changes between nodes.
#[tokio::test]
async fn unregistered_node_forwards() {
    let engine = ScriptedEngine::healthy(0).await;
    let other = start_node_with(&engine, "", "").await;
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![other.as_peer("a")];
    });
    for is_streamed in [true, false] {
        let answer = node.complete(5, is_streamed).await;
        assert_eq!(answer.status, 200);
        // Both nodes explain the request under the id that was returned to the caller.
        let id = answer.header("x-request-id");
        assert_eq!(node.traffic.explain(id)[0].reason, "not_registered");
        assert_eq!(other.traffic.explain(id)[0].choice, "e0");
        if is_streamed {
            assert_eq!(answer.streamed_text(), (answer_text(5), true));
        }
    }
    assert_eq!(node.traffic.in_flight.count("e0"), 0);

    let hops = [("x-tealsaddle-hops", "2")];
    let answer = node.post("/v1/completions", &hops, &body(1, false)).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!(
        (answer.status, headers),
        (503, ("not-run", "too_many_hops"))
    );
}

/// Guards against a refusal while a spill zone has an open engine.
#[tokio::test]
async fn request_spills_to_another_zone() {
    let engine = ScriptedEngine::healthy(0).await;
    let yaml = config(&[(engine.address(), "mixed")]).replace("zone: a, vm", "zone: b, vm");
    let node = TestNode::start(&yaml).await;
    let near = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| snapshot.peers = vec![near.as_peer("b")]);
    let answer = node.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    assert_eq!(node.count("forward.spill"), 1);
}

/// Guards against a second run of a request that is not repeatable, and against a failure although the
/// peer has not run the request.
#[parameterized(
    refusing_peer = { true, true, 200, 1 },
    broken_peer = { false, false, 200, 1 },
    broken_peer_marked = { false, true, 502, 0 },
)]
#[test_macro(tokio::test)]
async fn retry_after_a_failing_peer(
    says_not_run: bool,
    is_marked: bool,
    status: u16,
    expected_calls: usize,
) {
    let engine = ScriptedEngine::healthy(0).await;
    let failing = http::bind_with_drops(ANY_PORT, move |request| async move {
        drop(request.into_body().collect().await);
        says_not_run.then(|| {
            let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &"leaving");
            let outcome = "not-run".parse().expect("a header value");
            response.headers_mut().insert("x-outcome", outcome);
            response
        })
    });
    let failing = failing.await.expect("a server");
    let healthy = start_node_with(&engine, "", "").await;
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        // Peers of the node's own zone are tried first.
        let mut first = healthy.as_peer("a");
        first.caller_address = failing.address();
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
    if status != 200 {
        assert_eq!(answer.header("x-outcome"), "unknown");
    }
}

/// Guards against a forwarded stream that ends normally although the peer has closed the connection
/// early.
#[tokio::test]
async fn forwarded_stream_that_breaks_ends_with_an_error() {
    let engine = ScriptedEngine::start(|_, request| {
        Ok([full_answer(request, 0), vec![Step::Break]].concat())
    });
    let engine = engine.await;
    let broken = http::bind(ANY_PORT, |_| async {
        let frames = futures::stream::iter([
            Ok(hyper::body::Frame::data("data: {}\n\n".into())),
            Err(std::io::Error::other("scripted")),
        ])
        .then(|frame| async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            frame
        });
        let body = http_body_util::StreamBody::new(frames).boxed_unsync();
        let mut response = hyper::Response::new(body);
        let content_type = "text/event-stream".parse().expect("a header value");
        response.headers_mut().insert("content-type", content_type);
        response
    });
    let broken = broken.await.expect("a server");
    let node = start_node_with(&engine, "", "").await;
    node.publish(|snapshot| {
        snapshot.is_registered = false;
        let mut peer = node.as_peer("a");
        peer.caller_address = broken.address();
        snapshot.peers = vec![peer];
    });
    let answer = node.complete(5, true).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.contains("[DONE]"));
}

/// Guards against late responses while a spill zone has spare capacity, and against a spill while the
/// own zone can respond on time.
#[tokio::test]
async fn late_request_spills_to_a_zone_with_capacity() {
    let engine = ScriptedEngine::healthy(0).await;
    let roles = [(engine.address(), "mixed"), (engine.address(), "mixed")];
    let yaml = config(&roles).replace("zone: a, vm: vm-e1", "zone: b, vm: vm-e1");
    let node = TestNode::start(&yaml).await;
    let near = start_node_with(&engine, "", "").await;
    let spare = SpareCapacity {
        spare_prefill_tokens: 1_000,
        spare_decode_requests: 1,
    };
    node.publish(|snapshot| {
        snapshot.peers = vec![near.as_peer("b")];
        snapshot
            .zone_spare_capacity
            .extend([(("b".into(), "m".into()), spare)]);
    });
    assert_eq!(node.complete(5, true).await.status, 200);
    assert_eq!(node.count("forward.spill"), 0);
    node.report_load("e0", Role::Mixed, 0, 10_000_000);
    let answer = node.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    assert_eq!(node.count("forward.spill"), 1);
}
