//! G5, G6 and G8 at the end of a planned stop: every request in flight gets an outcome before the process
//! exits.

use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Answer, Client, wait_until};
use tealsaddle_testkit::deployment::{Deployment, fast_engine_config};
use tealsaddle_testkit::platform::Outage;

use super::{assert_complete, plan, submit};

const ZONE: &str = "buda-hall";

/// Length of an answer that takes minutes.
const LONG_ANSWER_TOKENS: u64 = 50_000;
/// Delay with which a service does not answer within a test.
const UNANSWERED_DELAY: Duration = Duration::from_secs(3_600);

async fn start(test: &str, limits: &str) -> Deployment {
    let mut plan = plan(test)
        .node("vm-1", ZONE)
        .node("vm-2", ZONE)
        .engine("e1", ZONE, fast_engine_config(Role::Mixed, true))
        .service("ladder", ZONE);
    limits.clone_into(&mut plan.limits);
    plan.start().await.expect("the deployment starts")
}

fn assert_may_have_run(answer: &Answer) {
    let headers = (answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!(
        (answer.status, headers),
        (504, ("unknown", "node_stopped")),
        "{answer:?}"
    );
}

/// Guards against a stop that exceeds its time limit and exits without answering requests in flight.
/// Their work at the engines must be cancelled.
#[tokio::test]
async fn stop_past_its_time_limit_answers_requests_in_flight() {
    let mut deployment = start("stopping-in-flight", "drain_timeout_ms: 1").await;
    let caller = deployment.config("vm-1").caller;
    let ladder = deployment.service("ladder");
    ladder.update(|faults| faults.delay_before = UNANSWERED_DELAY);
    let stream = deployment.spawn_completion("vm-1", "stream", LONG_ANSWER_TOKENS);
    let plain = json!({ "model": "rules", "prompt": "plain", "max_tokens": LONG_ANSWER_TOKENS });
    let plain = tokio::spawn(async move {
        let (path, body) = ("/v1/completions", plain.to_string());
        Client::open()
            .call(Method::POST, caller, path, &[], body)
            .await
    });
    let calls = async {
        let keyed = submit(&deployment, "vm-1", Some("k"), "keyed");
        let marked = submit(&deployment, "vm-1", None, "marked");
        tokio::join!(keyed, marked)
    };
    let stop = async {
        wait_until(|| async {
            ladder.calls().len() == 2 && deployment.engine("e1").attempts_running() == 2
        })
        .await;
        deployment.signal("vm-1", Signal::SIGTERM);
    };
    let ((keyed, marked), ()) = tokio::join!(calls, stop);
    assert_may_have_run(&keyed.expect("an answer"));
    assert_may_have_run(&marked.expect("an answer"));
    assert_may_have_run(&plain.await.expect("no panic").expect("an answer"));
    let stream = stream.await.expect("no panic").expect("an answer");
    let (text, is_done) = stream.streamed_text();
    let body = String::from_utf8_lossy(&stream.body);
    let last = body.trim_end().lines().last().unwrap_or_default();
    assert!(!is_done && !text.is_empty(), "{last}");
    assert!(last.contains("\"outcome\":\"unknown\""), "{last}");
    assert!(last.contains("\"reason\":\"node_stopped\""), "{last}");
    let status = deployment.wait_for_exit("vm-1").await;
    assert!(status.success(), "{status}");
    assert_eq!(deployment.engine("e1").attempts_running(), 0);
    let again = submit(&deployment, "vm-2", Some("k"), "keyed").await;
    let again = again.expect("an answer");
    assert_eq!(again.header("x-outcome"), "unknown", "{again:?}");
    assert_eq!(deployment.service("ladder").calls().len(), 2);
}

/// Guards against a stop that aborts requests or never ends because the platform does not answer.
#[tokio::test]
async fn stop_without_the_platform_answers_requests_in_flight() {
    let mut deployment = start("stopping-outage", "").await;
    let ladder = deployment.service("ladder");
    ladder.update(|faults| faults.delay_before = Duration::from_secs(4));
    let stream = deployment.spawn_completion("vm-1", "stream", 2_000);
    let stop = async {
        wait_until(|| async {
            ladder.calls().len() == 1 && deployment.engine("e1").attempts_running() == 1
        })
        .await;
        deployment
            .platform
            .update(|faults| faults.outage = Outage::Silent);
        deployment.signal("vm-1", Signal::SIGTERM);
    };
    let (keyed, ()) = tokio::join!(submit(&deployment, "vm-1", Some("k"), "keyed"), stop);
    let keyed = keyed.expect("an answer");
    assert_eq!(keyed.status, 200, "{keyed:?}");
    let stream = stream.await.expect("no panic").expect("an answer");
    assert_complete(&stream, "stream", 2_000);
    let status = deployment.wait_for_exit("vm-1").await;
    assert!(status.success(), "{status}");
}

/// Guards against a SIGHUP that ends the process and cuts off its requests in flight.
#[tokio::test]
async fn hang_up_signal_cuts_off_no_request() {
    let mut deployment = start("stopping-hang-up", "").await;
    let stream = deployment.spawn_completion("vm-1", "stream", 1_000);
    wait_until(|| async { deployment.engine("e1").attempts_running() == 1 }).await;
    deployment.signal("vm-1", Signal::SIGHUP);
    let stream = stream.await.expect("no panic").expect("an answer");
    assert_complete(&stream, "stream", 1_000);
    deployment.signal("vm-1", Signal::SIGTERM);
    let status = deployment.wait_for_exit("vm-1").await;
    assert!(status.success(), "{status}");
}

/// Guards against a configuration change whose outcome the operator never gets, because the node exits
/// while the change is in progress.
#[tokio::test]
async fn operator_change_in_flight_at_the_end_of_a_stop_gets_an_outcome() {
    let mut deployment = start("stopping-operator", "").await;
    let version = deployment.status("vm-1").await["config_version"].clone();
    let path = format!("/admin/config?if_version={version}");
    let yaml = deployment.config_file();
    deployment.signal("vm-1", Signal::SIGTERM);
    let caller = deployment.config("vm-1").caller;
    wait_until(|| async { tokio::net::TcpStream::connect(caller).await.is_err() }).await;
    deployment
        .platform
        .update(|faults| faults.delay_before_ms = 900);
    let answer = deployment.admin("vm-1", Method::PUT, &path, yaml).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    let status = deployment.wait_for_exit("vm-1").await;
    assert!(status.success(), "{status}");
}
