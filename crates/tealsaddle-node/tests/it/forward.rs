//! Requests that a node passes on to another one.

use std::time::Duration;

use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use tealsaddle_core::inventory::Role;
use tealsaddle_node::traffic::SpareCapacity;
use tealsaddle_testkit::http;
use yare::parameterized;

use crate::caller::rig_with;
use crate::rig::{ANY, Engine, Rig, Step, answer_text, body, config, whole};

/// Guards against a node that routes before it may, and against an id or a key lost on the way.
#[tokio::test]
async fn unregistered_node_forwards() {
    let engine = Engine::good(0).await;
    let other = rig_with(&engine, "", "").await;
    let rig = rig_with(&engine, "", "").await;
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        snapshot.peers = vec![other.as_peer("a")];
    });
    for is_streamed in [true, false] {
        let answer = rig.complete(5, is_streamed).await;
        assert_eq!(answer.status, 200);
        // Both nodes explain the request under the id that the caller got.
        let id = answer.header("x-request-id");
        assert_eq!(rig.traffic.explain(id)[0].reason, "not_registered");
        assert_eq!(other.traffic.explain(id)[0].choice, "e0");
        if is_streamed {
            assert_eq!(answer.streamed_text(), (answer_text(5), true));
        }
    }
    assert_eq!(rig.traffic.in_flight.count("e0"), 0);

    let hops = [("x-tealsaddle-hops", "2")];
    let answer = rig.post("/v1/completions", &hops, &body(1, false)).await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!(
        (answer.status, headers),
        (503, ("not-run", "too_many_hops"))
    );
}

/// Guards against a refusal while a near zone has room.
#[tokio::test]
async fn request_spills_to_another_zone() {
    let engine = Engine::good(0).await;
    let yaml = config(&[(engine.address(), "mixed")]).replace("zone: a, vm", "zone: b, vm");
    let rig = Rig::start(&yaml).await;
    let near = rig_with(&engine, "", "").await;
    rig.publish(|snapshot| snapshot.peers = vec![near.as_peer("b")]);
    let answer = rig.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    assert_eq!(rig.count("forward.spill"), 1);
}

/// Guards against a second run over a hop, and against giving up when a peer says "not run".
#[parameterized(
    refusing_peer = { true, true, 200, 1 },
    broken_peer = { false, false, 200, 1 },
    broken_peer_marked = { false, true, 502, 0 },
)]
#[test_macro(tokio::test)]
async fn peer_that_fails(says_not_run: bool, is_marked: bool, status: u16, generated: usize) {
    let engine = Engine::good(0).await;
    let failing = http::bind_lossy(ANY, move |request| async move {
        drop(request.into_body().collect().await);
        says_not_run.then(|| {
            let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &"leaving");
            let outcome = "not-run".parse().expect("a header value");
            response.headers_mut().insert("x-outcome", outcome);
            response
        })
    });
    let failing = failing.await.expect("a server");
    let good = rig_with(&engine, "", "").await;
    let rig = rig_with(&engine, "", "").await;
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        // The own zone goes first.
        let mut first = good.as_peer("a");
        first.caller_address = failing.address();
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
    if status != 200 {
        assert_eq!(answer.header("x-outcome"), "unknown");
    }
}

/// Guards against a clean end of a forwarded stream whose peer broke off.
#[tokio::test]
async fn forwarded_stream_that_breaks_ends_with_an_error() {
    let peer = Engine::start(|_, request| Ok([whole(request, 0), vec![Step::Break]].concat()));
    let peer = peer.await;
    let broken = http::bind(ANY, |_| async {
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
        let kind = "text/event-stream".parse().expect("a header value");
        response.headers_mut().insert("content-type", kind);
        response
    });
    let broken = broken.await.expect("a server");
    let rig = rig_with(&peer, "", "").await;
    rig.publish(|snapshot| {
        snapshot.is_registered = false;
        let mut first = rig.as_peer("a");
        first.caller_address = broken.address();
        snapshot.peers = vec![first];
    });
    let answer = rig.complete(5, true).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.contains("[DONE]"));
}

/// Guards against late answers while a near zone has room, and against a spill without need.
#[tokio::test]
async fn late_request_spills_where_there_is_room() {
    let engine = Engine::good(0).await;
    let roles = [(engine.address(), "mixed"), (engine.address(), "mixed")];
    let yaml = config(&roles).replace("zone: a, vm: vm-e1", "zone: b, vm: vm-e1");
    let rig = Rig::start(&yaml).await;
    let near = rig_with(&engine, "", "").await;
    let spare = SpareCapacity {
        spare_prefill_tokens: 1_000,
        spare_decode_requests: 1,
    };
    rig.publish(|snapshot| {
        snapshot.peers = vec![near.as_peer("b")];
        snapshot
            .zone_spare_capacity
            .extend([(("b".into(), "m".into()), spare)]);
    });
    assert_eq!(rig.complete(5, true).await.status, 200);
    assert_eq!(rig.count("forward.spill"), 0);
    rig.report_load("e0", Role::Mixed, 0, 10_000_000);
    let answer = rig.complete(5, true).await;
    assert_eq!(answer.streamed_text(), (answer_text(5), true));
    assert_eq!(rig.count("forward.spill"), 1);
}
