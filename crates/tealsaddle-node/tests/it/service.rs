//! Calls to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Response};
use tealsaddle_testkit::client::{Answer, wait_until};
use tealsaddle_testkit::http::{self, Server};
use tealsaddle_testkit::platform::{self, Outage, Platform};
use tealsaddle_testkit::process::free_address;
use tealsaddle_testkit::service::Service;
use yare::parameterized;

use crate::test_node::{ANY_PORT, TestNode};

/// Targets by name, zone and address.
fn services(targets: &[(&str, &str, SocketAddr)]) -> String {
    let targets: Vec<String> = targets
        .iter()
        .map(|(name, zone, address)| {
            format!("{{name: {name}, zone: {zone}, vm: vm-{name}, address: \"{address}\"}}")
        })
        .collect();
    let targets = targets.join(", ");
    format!(
        "zones: [{{name: a}}, {{name: b}}]\n\
         services: [{{name: ladder, timeout_ms: 2000, targets: [{targets}], \
         non_repeatable: [{{method: PUT, path_prefix: /scores}}]}}]\n"
    )
}

fn mark_vm_leaving(node: &TestNode, vm: &str) {
    node.publish(|snapshot| snapshot.leaving_vms.extend([vm.into()]));
}

async fn start_target() -> Service {
    Service::bind(ANY_PORT).await.expect("the service starts")
}

async fn call(
    node: &TestNode,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let body = body.to_owned();
    let call = node.client.call(method, node.address, path, headers, body);
    call.await.expect("an answer")
}

/// Answers with the request's method, path, headers and body.
async fn echo() -> Server {
    let server = http::bind(ANY_PORT, |request| async move {
        let (head, body) = request.into_parts();
        let seen = format!("{} {} {:?}", head.method, head.uri, head.headers);
        let mut response = Response::new(body.map_err(std::io::Error::other).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert("x-seen", seen.parse().expect("a header value"));
        headers.insert("connection", "x-hop".parse().expect("a header value"));
        headers.insert("x-hop", "1".parse().expect("a header value"));
        response
    });
    server.await.expect("the server starts")
}

/// Guards against a method, body or header that is lost or that leaks over the hop.
#[tokio::test]
async fn calls_pass_both_ways() {
    let echo = echo().await;
    let node = TestNode::start(&services(&[("t", "a", echo.address())])).await;
    let hop = [
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("x-other", "2"),
        ("te", "trailers"),
    ];
    for method in ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "REPORT"] {
        let method: Method = method.parse().expect("a method");
        let path = "/services/ladder/a%20b?c=d";
        let answer = call(&node, method.clone(), path, &hop, "text").await;
        assert_eq!((answer.status, &*answer.body), (200, &b"text"[..]));
        let seen = answer.header("x-seen");
        assert!(seen.starts_with(&format!("{method} /a%20b?c=d ")), "{seen}");
        assert!(seen.contains("x-other") && seen.contains(answer.header("x-request-id")));
        assert!(
            !seen.contains("x-mine") && !seen.contains("trailers"),
            "{seen}"
        );
        assert!(answer.header("x-hop").is_empty());
    }
    // A body above what is read as a whole is passed on while it arrives.
    let large = "0123456789".repeat(200_000);
    let answer = call(&node, Method::POST, "/services/ladder/", &[], &large).await;
    assert!(answer.body == large.as_bytes());
    assert_eq!(
        node.traffic.explain(answer.header("x-request-id"))[0].choice,
        "t"
    );
}

/// Guards against work for targets that are far, withdrawn or on a leaving VM.
#[tokio::test]
async fn near_targets_that_stay_go_first() {
    let targets = [
        start_target().await,
        start_target().await,
        start_target().await,
    ];
    let [near, far, gone] = targets.each_ref().map(Service::address);
    let yaml = services(&[("near", "a", near), ("far", "b", far), ("gone", "a", gone)]);
    let yaml = yaml.replace("name: gone,", "name: gone, withdrawn: true,");
    let node = TestNode::start(&yaml).await;
    for _ in 0..10 {
        call(&node, Method::POST, "/services/ladder/x", &[], "x").await;
    }
    assert_eq!(targets.each_ref().map(|t| t.calls().len()), [10, 0, 0]);
    mark_vm_leaving(&node, "vm-near");
    call(&node, Method::POST, "/services/ladder/x", &[], "x").await;
    assert_eq!(targets.each_ref().map(|t| t.calls().len()), [10, 1, 0]);
    mark_vm_leaving(&node, "vm-far");
    let answer = call(&node, Method::POST, "/services/ladder/x", &[], "x").await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (503, ("not-run", "no_target")));
}

/// Guards against a second run of a call that may not be repeated, under whatever path it hides,
/// and against no retry of one that may.
#[parameterized(
    post = { "POST", "/x", false, 1 },
    put = { "PUT", "/x", false, 3 },
    get = { "GET", "/x", false, 3 },
    rule = { "PUT", "/scores/7", false, 1 },
    rule_escaped = { "PUT", "/%73cores/7", false, 1 },
    rule_dots = { "PUT", "/x/../scores?y", false, 1 },
    rule_slashes = { "PUT", "//scores", false, 1 },
    header = { "GET", "/x", true, 1 },
)]
#[test_macro(tokio::test)]
async fn executed_call_without_answer(method: &str, path: &str, is_marked: bool, calls: usize) {
    let target = start_target().await;
    target.update(|faults| faults.crash_after_execution = 10);
    let node = TestNode::start(&services(&[("t", "a", target.address())])).await;
    let marks: &[(&str, &str)] = if is_marked {
        &[("x-non-repeatable", "true")]
    } else {
        &[]
    };
    let method = method.parse().expect("a method");
    let answer = call(
        &node,
        method,
        &format!("/services/ladder{path}"),
        marks,
        "x",
    )
    .await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(target.executions("x"), calls);
}

/// Guards against giving up on a call of which no byte has left, and against a dead target.
#[tokio::test]
async fn call_that_certainly_did_not_run_is_repeated() {
    let target = start_target().await;
    let far = ("far", "b", target.address());
    let node = TestNode::start(&services(&[("dead", "a", free_address()), far])).await;
    let answer = call(&node, Method::PUT, "/services/ladder/scores", &[], "x").await;
    assert_eq!(answer.status, 200);
    assert_eq!(target.executions("x"), 1);
    assert_eq!(node.count("retry.connect_failed"), 1);
}

/// Guards against a call that hangs on a silent target, and against a late answer that meets
/// another request on its connection.
#[tokio::test]
async fn late_answer_meets_no_other_request() {
    let target = start_target().await;
    target.update(|faults| faults.delay_after = Duration::from_millis(2_500));
    let node = TestNode::start(&services(&[("t", "a", target.address())])).await;
    let answer = call(&node, Method::POST, "/services/ladder/x", &[], "first").await;
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!((answer.status, headers), (504, ("unknown", "timeout")));
    target.update(|faults| faults.delay_after = Duration::ZERO);
    for i in 0..20 {
        let body = format!("later {i}");
        let answer = call(&node, Method::POST, "/services/ladder/x", &[], &body).await;
        assert_eq!(answer.json()["body"], body.as_str());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a truncated answer that passes as whole.
#[tokio::test]
async fn truncated_answer_breaks_the_connection() {
    let broken = http::bind(ANY_PORT, |_| async {
        let frames = futures::stream::iter([
            Ok(Frame::data("part".into())),
            Err(std::io::Error::other("scripted")),
        ]);
        Response::new(StreamBody::new(frames).boxed_unsync())
    });
    let broken = broken.await.expect("a server");
    let node = TestNode::start(&services(&[("t", "a", broken.address())])).await;
    let path = "/services/ladder/x";
    let result = node
        .client
        .call(Method::POST, node.address, path, &[], "")
        .await;
    assert!(result.map_or(true, |answer| answer.status == 502));
}

/// Guards against a reader that stops reading and keeps its place for ever.
#[tokio::test]
async fn reader_that_stops_loses_its_place() {
    let endless = http::bind(ANY_PORT, |_| async {
        let part = || Ok(Frame::data(vec![0; 1 << 16].into()));
        Response::new(StreamBody::new(futures::stream::repeat_with(part)).boxed_unsync())
    });
    let endless = endless.await.expect("a server");
    let yaml = services(&[("t", "a", endless.address())]).replace("2000", "100000");
    let limits = "requests_in_flight: 1, header_timeout_ms: 300";
    let node = TestNode::with(&yaml, free_address(), limits).await;
    let path = "/services/ladder/x";
    let unread = node
        .client
        .start(Method::GET, node.address, path, &[], "")
        .await;
    assert_eq!(node.get("/v1/models").await.status, 503);
    wait_until(|| async { node.get("/v1/models").await.status == 200 }).await;
    drop(unread);
}

async fn start_node_with_platform() -> (Service, Platform, TestNode) {
    let target = start_target().await;
    let platform = platform::bind(ANY_PORT).await.expect("the platform starts");
    let yaml = services(&[("t", "a", target.address())]);
    let node = TestNode::with(&yaml, platform.address(), "").await;
    (target, platform, node)
}

async fn keyed_call(node: &TestNode, key: &str, body: &str) -> Answer {
    let key = [("idempotency-key", key)];
    call(node, Method::POST, "/services/ladder/scores", &key, body).await
}

fn status_and_reason(answer: &Answer) -> (u16, &str, &str) {
    (
        answer.status,
        answer.header("x-outcome"),
        answer.header("x-reason"),
    )
}

/// Guards against a second run of a keyed call, and against a key that answers another request.
#[tokio::test]
async fn keyed_call_runs_once() {
    let (target, platform, node) = start_node_with_platform().await;
    let first = keyed_call(&node, "k", "x").await;
    let again = keyed_call(&node, "k", "x").await;
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("content-type"), first.header("content-type"));
    let reused = keyed_call(&node, "k", "y").await;
    assert_eq!(status_and_reason(&reused), (409, "not-run", "key_reused"));
    assert_eq!(target.calls().len(), 1);
    assert_eq!(keyed_call(&node, "k2", "x").await.status, 200);
    assert_eq!(platform.list("claims/ladder/").len(), 2);
    // One lease serves all claims of an hour.
    assert_eq!(platform.counts().total(platform::Kind::Lease), 1);
    for key in ["", "a b", &"k".repeat(129)] {
        let answer = keyed_call(&node, key, "x").await;
        assert_eq!(
            status_and_reason(&answer),
            (400, "not-run", "invalid_request")
        );
    }
}

/// Guards against a second run while the first one is under way or its outcome is lost.
#[tokio::test]
async fn keyed_call_without_answer_is_not_repeated() {
    let (target, platform, node) = start_node_with_platform().await;
    target.update(|faults| faults.delay_after = Duration::from_millis(500));
    let second = async {
        wait_until(|| async { target.calls().len() == 1 }).await;
        keyed_call(&node, "k", "x").await
    };
    let (first, second) = tokio::join!(keyed_call(&node, "k", "x"), second);
    assert_eq!(first.status, 200);
    assert_eq!(status_and_reason(&second), (409, "unknown", "in_progress"));

    target.update(|faults| faults.crash_after_execution = 1);
    let lost = keyed_call(&node, "k2", "x").await;
    assert_eq!((lost.status, lost.header("x-outcome")), (502, "unknown"));
    assert_eq!(keyed_call(&node, "k2", "x").await.status, 409);
    assert_eq!(target.executions("x"), 2);

    // A claim of a process that is gone.
    let key = platform.list("claims/ladder/").pop().expect("a claim").key;
    let mut claim = platform.get(&key).expect("a claim").value;
    claim["process"]["vm"] = "vm-gone".into();
    claim["state"] = "started".into();
    platform.set(&key, claim);
    let keys = [
        keyed_call(&node, "k", "x").await,
        keyed_call(&node, "k2", "x").await,
    ];
    let unknown = (409, "unknown", "outcome_unknown");
    assert!(
        keys.iter()
            .any(|answer| status_and_reason(answer) == unknown)
    );
    assert_eq!(target.executions("x"), 2);
}

/// Guards against a claim that is lost with the answer to its write, and against a run without a
/// claim.
#[tokio::test]
async fn claim_survives_a_platform_that_fails() {
    let (target, platform, node) = start_node_with_platform().await;
    platform.update(|faults| faults.lose_answers("claims/", 1));
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(target.executions("x"), 1);

    platform.update(|faults| faults.outage = Outage::Unavailable);
    let refused = keyed_call(&node, "k3", "z").await;
    assert_eq!(
        status_and_reason(&refused),
        (503, "not-run", "claim_unavailable")
    );
    assert_eq!(refused.header("retry-after"), "1");
    assert_eq!(target.executions("z"), 0);
    // A call without a key needs no platform.
    let answer = call(&node, Method::POST, "/services/ladder/scores", &[], "z").await;
    assert_eq!(answer.status, 200);
    platform.update(|faults| faults.outage = Outage::None);
    assert_eq!(keyed_call(&node, "k3", "z").await.status, 200);
}

/// Guards against a key that is used up by a call that certainly did not run.
#[tokio::test]
async fn key_of_a_call_that_did_not_run_can_be_used_again() {
    let (target, platform, node) = start_node_with_platform().await;
    mark_vm_leaving(&node, "vm-t");
    assert_eq!(
        status_and_reason(&keyed_call(&node, "k", "x").await).1,
        "not-run"
    );
    let stored = platform.list("claims/ladder/").pop().expect("a claim");
    assert_eq!(stored.value["state"], "not_run");
    node.publish(|snapshot| snapshot.leaving_vms.clear());
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(target.executions("x"), 1);
}

/// Guards against a lost outcome when the caller goes away in the middle of a keyed call.
#[tokio::test]
async fn keyed_call_outlives_its_caller() {
    let (target, platform, node) = start_node_with_platform().await;
    target.update(|faults| faults.delay_after = Duration::from_millis(500));
    let cut = tokio::time::timeout(Duration::from_millis(200), keyed_call(&node, "k", "x")).await;
    cut.expect_err("the call takes longer");
    wait_until(|| async {
        let stored = platform.list("claims/ladder/");
        stored.iter().any(|claim| claim.value["state"] == "done")
    })
    .await;
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(target.executions("x"), 1);
}

/// Guards against an answer too long to keep that is stored in part, or run again.
#[tokio::test]
async fn long_answer_is_only_marked() {
    let echo = echo().await;
    let platform = platform::bind(ANY_PORT).await.expect("the platform starts");
    let yaml = services(&[("t", "a", echo.address())]);
    let node = TestNode::with(&yaml, platform.address(), "").await;
    let long = "0123456789".repeat(10_000);
    let first = keyed_call(&node, "k", &long).await;
    assert!(first.body == long.as_bytes());
    let again = keyed_call(&node, "k", &long).await;
    assert_eq!((again.status, again.body.len()), (200, 0));
    assert_eq!(again.header("x-outcome"), "answered-before");
}
