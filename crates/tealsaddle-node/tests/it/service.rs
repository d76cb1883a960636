//! Calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Response};
use tealsaddle_core::inventory::Inventory;
use tealsaddle_testkit::client::{Answer, wait_until};
use tealsaddle_testkit::http::{self, Server};
use tealsaddle_testkit::platform::{self, Outage, Platform};
use tealsaddle_testkit::process::free_address;
use tealsaddle_testkit::service::Service;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use yare::parameterized;

use crate::test_node::{ANY_PORT, TestNode};

/// Returns a configuration with the service `ladder` and its targets, given by name, zone and address.
pub fn services(targets: &[(&str, &str, SocketAddr)]) -> String {
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

/// Calls a node and waits for the whole answer.
pub async fn call(
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

/// Starts a server that echoes the body of a request, with its method, path and headers in a header.
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

/// Guards against a proxy that changes method, path or body, and against hop-by-hop headers that it
/// forwards.
#[tokio::test]
async fn calls_are_proxied_in_both_directions() {
    let echo = echo().await;
    let node = TestNode::start(&services(&[("t", "a", echo.address())])).await;
    let request_headers = [
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("x-other", "2"),
        ("te", "trailers"),
    ];
    for method in ["GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "REPORT"] {
        let method: Method = method.parse().expect("a method");
        let path = "/services/ladder/a%20b?c=d";
        let answer = call(&node, method.clone(), path, &request_headers, "text").await;
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
    // A body above the buffer limit is relayed while it arrives.
    let large = "0123456789".repeat(200_000);
    let answer = call(&node, Method::POST, "/services/ladder/", &[], &large).await;
    assert!(answer.body == large.as_bytes());
    assert_eq!(
        node.traffic.explain(answer.header("x-request-id"))[0].choice,
        "t"
    );
}

/// Guards against calls to withdrawn targets and to targets on leaving VMs, and against calls to
/// another zone while the own zone has a target.
#[tokio::test]
async fn available_targets_of_the_own_zone_are_preferred() {
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

/// Guards against a retry of a call that is not repeatable, in any spelling of its path, and against a
/// missing retry of a repeatable one.
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
async fn executed_call_without_response(method: &str, path: &str, is_marked: bool, calls: usize) {
    let target = start_target().await;
    target.update(|faults| faults.crash_after_execution = 10);
    let node = TestNode::start(&services(&[("t", "a", target.address())])).await;
    let headers: &[(&str, &str)] = if is_marked {
        &[("x-non-repeatable", "true")]
    } else {
        &[]
    };
    let method = method.parse().expect("a method");
    let answer = call(
        &node,
        method,
        &format!("/services/ladder{path}"),
        headers,
        "x",
    )
    .await;
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (502, "unknown")
    );
    assert_eq!(target.executions("x"), calls);
}

/// Guards against a failure when the first target refuses the connection: no byte of the call has been
/// sent, so another target can run it.
#[tokio::test]
async fn call_known_not_to_have_run_is_retried() {
    let target = start_target().await;
    let far = ("far", "b", target.address());
    let node = TestNode::start(&services(&[("dead", "a", free_address()), far])).await;
    let answer = call(&node, Method::PUT, "/services/ladder/scores", &[], "x").await;
    assert_eq!(answer.status, 200);
    assert_eq!(target.executions("x"), 1);
    assert_eq!(node.count("retry.connect_failed"), 1);
}

/// Guards against a call that waits without a limit for its target, and against a late response that a
/// later request on the same connection receives.
#[tokio::test]
async fn late_response_is_not_given_to_another_request() {
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

/// Guards against a truncated response that the caller takes for a complete one.
#[tokio::test]
async fn truncated_response_closes_the_connection() {
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

/// Guards against a caller that stops reading and keeps its permit for requests in flight.
#[tokio::test]
async fn stalled_reader_releases_its_permit() {
    let endless = http::bind(ANY_PORT, |_| async {
        let part = || Ok(Frame::data(vec![0; 1 << 16].into()));
        Response::new(StreamBody::new(futures::stream::repeat_with(part)).boxed_unsync())
    });
    let endless = endless.await.expect("a server");
    // The timeout of the service is raised, so that it does not end the call first.
    let yaml = services(&[("t", "a", endless.address())]).replace("2000", "100000");
    let limits = "requests_in_flight: 1, header_timeout_ms: 300";
    let node = TestNode::start_with(&yaml, free_address(), limits).await;
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
    let node = TestNode::start_with(&yaml, platform.address(), "").await;
    (target, platform, node)
}

async fn keyed_call(node: &TestNode, key: &str, body: &str) -> Answer {
    let key = [("idempotency-key", key)];
    call(node, Method::POST, "/services/ladder/scores", &key, body).await
}

fn status_outcome_and_reason(answer: &Answer) -> (u16, &str, &str) {
    (
        answer.status,
        answer.header("x-outcome"),
        answer.header("x-reason"),
    )
}

/// Guards against a second run of a keyed call, and against a key whose stored response is returned
/// for a different request. An invalid key is refused.
#[tokio::test]
async fn keyed_call_runs_once() {
    let (target, platform, node) = start_node_with_platform().await;
    let first = keyed_call(&node, "k", "x").await;
    let again = keyed_call(&node, "k", "x").await;
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("content-type"), first.header("content-type"));
    let reused = keyed_call(&node, "k", "y").await;
    assert_eq!(
        status_outcome_and_reason(&reused),
        (409, "not-run", "key_reused")
    );
    assert_eq!(target.calls().len(), 1);
    assert_eq!(keyed_call(&node, "k2", "x").await.status, 200);
    assert_eq!(platform.list("claims/ladder/").len(), 2);
    // All claims made within an hour share one lease.
    assert_eq!(platform.counts().total(platform::CallKind::Lease), 1);
    for key in ["", "a b", &"k".repeat(129)] {
        let answer = keyed_call(&node, key, "x").await;
        assert_eq!(
            status_outcome_and_reason(&answer),
            (400, "not-run", "invalid_request")
        );
    }
}

/// Guards against a second run of a keyed call while the first is in progress, and after its outcome
/// has been lost.
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
    assert_eq!(
        status_outcome_and_reason(&second),
        (409, "unknown", "in_progress")
    );

    target.update(|faults| faults.crash_after_execution = 1);
    let lost = keyed_call(&node, "k2", "x").await;
    assert_eq!((lost.status, lost.header("x-outcome")), (502, "unknown"));
    assert_eq!(keyed_call(&node, "k2", "x").await.status, 409);
    assert_eq!(target.executions("x"), 2);

    // Changes one of the two claims to that of a process that no longer exists.
    let key = platform.list("claims/ladder/").pop().expect("a claim").key;
    let mut claim = platform.get(&key).expect("a claim").value;
    claim["process"]["vm"] = "vm-gone".into();
    claim["state"] = "started".into();
    platform.set(&key, claim);
    let answers = [
        keyed_call(&node, "k", "x").await,
        keyed_call(&node, "k2", "x").await,
    ];
    let unknown = (409, "unknown", "outcome_unknown");
    assert!(
        answers
            .iter()
            .any(|answer| status_outcome_and_reason(answer) == unknown)
    );
    assert_eq!(target.executions("x"), 2);
}

/// Guards against a claim that counts as not written because the response to its write was lost, and
/// against a keyed call that runs without a claim.
#[tokio::test]
async fn claims_tolerate_platform_failures() {
    let (target, platform, node) = start_node_with_platform().await;
    platform.update(|faults| faults.lose_answers("claims/", 1));
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(target.executions("x"), 1);

    platform.update(|faults| faults.outage = Outage::Unavailable);
    let refused = keyed_call(&node, "k3", "z").await;
    assert_eq!(
        status_outcome_and_reason(&refused),
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

/// Guards against a key that cannot be used again after a call that is known not to have run.
#[tokio::test]
async fn key_of_a_call_that_did_not_run_can_be_used_again() {
    let (target, platform, node) = start_node_with_platform().await;
    mark_vm_leaving(&node, "vm-t");
    assert_eq!(
        status_outcome_and_reason(&keyed_call(&node, "k", "x").await).1,
        "not-run"
    );
    let stored = platform.list("claims/ladder/").pop().expect("a claim");
    assert_eq!(stored.value["state"], "not_run");
    node.publish(|snapshot| snapshot.leaving_vms.clear());
    assert_eq!(keyed_call(&node, "k", "x").await.status, 200);
    assert_eq!(target.executions("x"), 1);
}

/// Guards against an outcome that is not stored because the caller disconnected during the call.
#[tokio::test]
async fn keyed_call_continues_after_its_caller_disconnects() {
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

/// Guards against a second run of a call whose response is too long to store, and against a stored
/// part of that response.
#[tokio::test]
async fn long_response_is_stored_without_its_body() {
    let echo = echo().await;
    let platform = platform::bind(ANY_PORT).await.expect("the platform starts");
    let yaml = services(&[("t", "a", echo.address())]);
    let node = TestNode::start_with(&yaml, platform.address(), "").await;
    let long = "0123456789".repeat(10_000);
    let first = keyed_call(&node, "k", &long).await;
    assert!(first.body == long.as_bytes());
    let again = keyed_call(&node, "k", &long).await;
    assert_eq!((again.status, again.body.len()), (200, 0));
    assert_eq!(again.header("x-outcome"), "answered-before");
}

/// Sends the head and half of the body of a call, and publishes a configuration before the rest.
async fn call_across_a_change(node: &TestNode, path: &str, yaml: &str) -> String {
    let mut caller = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    let head = format!(
        "PUT {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\nx"
    );
    caller
        .write_all(head.as_bytes())
        .await
        .expect("the node reads");
    wait_until(|| async { node.count("caller.requests") == 1 }).await;
    let inventory = Inventory::from_yaml(yaml, 2).expect("a valid configuration");
    node.publish(|snapshot| snapshot.inventory = Some(Arc::new(inventory)));
    caller.write_all(b"y").await.expect("the node reads");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("an answer");
    answer
}

/// Guards against a call to a target that was withdrawn while the body of the call arrived.
#[tokio::test]
async fn body_that_arrives_during_a_change_goes_to_the_new_target() {
    let [old, new] = [start_target().await, start_target().await];
    let node = TestNode::start(&services(&[("old", "a", old.address())])).await;
    let yaml = services(&[("new", "a", new.address())]);
    let answer = call_across_a_change(&node, "/services/ladder/x", &yaml).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!((old.calls().len(), new.executions("xy")), (0, 1));
}

/// Guards against a second run of a call that a rule marked as not repeatable while its body arrived.
#[tokio::test]
async fn body_that_arrives_during_a_change_follows_the_new_rule() {
    let target = start_target().await;
    target.update(|faults| faults.crash_after_execution = 10);
    let old = services(&[("t", "a", target.address())]);
    let new = old.replace("/scores", "/x");
    let node = TestNode::start(&old).await;
    let answer = call_across_a_change(&node, "/services/ladder/x", &new).await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(target.executions("xy"), 1);
}

/// Starts a target that breaks the connection of a call once the token is cancelled, and returns the
/// counter of its calls.
async fn start_breaking_target(token: &CancellationToken) -> (Server, Arc<AtomicUsize>) {
    let calls = Arc::<AtomicUsize>::default();
    let server = http::bind_with_drops(ANY_PORT, {
        let (calls, token) = (Arc::clone(&calls), token.clone());
        move |_| {
            calls.fetch_add(1, Ordering::Relaxed);
            let token = token.clone();
            async move {
                token.cancelled().await;
                None
            }
        }
    });
    (server.await.expect("the target starts"), calls)
}

/// Guards against a retry that follows the configuration in force at the first attempt: at a target that was
/// withdrawn since, or of a call that a rule has marked as not repeatable since.
#[parameterized(
    withdrawn_target = { "name: far,", "name: far, withdrawn: true,", 200, 1 },
    new_rule = { "/scores", "/x", 502, 0 },
)]
#[test_macro(tokio::test)]
async fn retry_follows_a_change(from: &str, to: &str, status: u16, expected_calls: usize) {
    let break_off = CancellationToken::new();
    let (broken, broken_calls) = start_breaking_target(&break_off).await;
    let [far, farther] = [start_target().await, start_target().await];
    let old = services(&[
        ("broken", "a", broken.address()),
        ("far", "b", far.address()),
    ]);
    // The third target takes the retry whenever the second is withdrawn.
    let new = services(&[
        ("broken", "a", broken.address()),
        ("far", "b", far.address()),
        ("farther", "b", farther.address()),
    ]);
    let node = TestNode::start(&old).await;
    let change = async {
        wait_until(|| async { broken_calls.load(Ordering::Relaxed) == 1 }).await;
        let inventory = Inventory::from_yaml(&new.replace(from, to), 2);
        let inventory = Arc::new(inventory.expect("a valid configuration"));
        node.publish(|snapshot| snapshot.inventory = Some(inventory));
        break_off.cancel();
    };
    let call = call(&node, Method::PUT, "/services/ladder/x", &[], "x");
    let (answer, ()) = tokio::join!(call, change);
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(far.calls().len(), 0);
    assert_eq!(farther.calls().len(), expected_calls);
}
