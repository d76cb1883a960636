//! G6 for calls with an idempotency key: a claim in the platform's key-value service decides across nodes
//! and zones, and a call without a claim is not run.

use std::time::Duration;

use tealsaddle_testkit::client::{Answer, wait_until};
use tealsaddle_testkit::platform::Outage;
use tealsaddle_testkit::proxy::Flow;

use super::calls::start;
use super::submit;

fn assert_unknown(answer: &Answer) {
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("x-outcome"), "unknown", "{answer:?}");
}

/// Guards against a call that runs twice because two nodes in different zones receive its key
/// concurrently.
#[tokio::test]
async fn concurrent_calls_with_one_key_in_two_zones_run_once() {
    let deployment = start("calls-two-zones").await;
    let service = deployment.service("ladder");
    service.update(|faults| faults.delay_before = Duration::from_millis(200));
    for round in 0..5 {
        let body = format!("score-{round}");
        let calls = (0..8).map(|i| {
            let vm = ["vm-1", "vm-2"][i % 2];
            submit(&deployment, vm, Some(&body), &body)
        });
        let answers = futures::future::join_all(calls).await;
        assert_eq!(service.executions(&body), 1, "{answers:?}");
        let statuses = answers.iter().flatten().map(|answer| answer.status);
        assert!(statuses.clone().any(|status| status == 200), "{answers:?}");
        assert!(
            statuses.clone().all(|status| [200, 409].contains(&status)),
            "{answers:?}"
        );
        let again = submit(&deployment, "vm-2", Some(&body), &body)
            .await
            .expect("an answer");
        assert_eq!(again.status, 200, "the stored answer: {again:?}");
        assert_eq!(service.executions(&body), 1);
    }
}

/// Guards against a second run of a call after the node that sent it was killed.
#[tokio::test]
async fn keyed_call_of_a_killed_node_does_not_run_again() {
    let mut deployment = start("calls-killed").await;
    let hold = Duration::from_secs(1);
    deployment
        .service("ladder")
        .update(|faults| faults.delay_after = hold);
    {
        let first = submit(&deployment, "vm-1", Some("k"), "score");
        tokio::pin!(first);
        let ran = wait_until(|| async { deployment.service("ladder").executions("score") == 1 });
        tokio::select! {
            answer = &mut first => panic!("answered before the kill: {answer:?}"),
            () = ran => {}
        }
    }
    deployment.signal("vm-1", nix::sys::signal::Signal::SIGKILL);
    deployment.ended("vm-1").await;
    for _ in 0..3 {
        let again = submit(&deployment, "vm-2", Some("k"), "score")
            .await
            .expect("an answer");
        assert_unknown(&again);
    }
    assert_eq!(deployment.service("ladder").executions("score"), 1);
}

/// Guards against a second run of a call whose answer was lost and that the caller repeats.
#[tokio::test]
async fn call_with_a_lost_answer_does_not_run_again() {
    let deployment = start("calls-lost").await;
    let service = deployment.service("ladder");
    let link = deployment.service_link("ladder");
    link.update(|rules| rules.answers = Flow::Drop);
    let first = submit(&deployment, "vm-1", Some("a"), "a")
        .await
        .expect("an answer");
    assert_unknown(&first);
    link.reset();
    link.heal();
    service.update(|faults| faults.crash_after_execution = 1);
    let first = submit(&deployment, "vm-1", Some("b"), "b")
        .await
        .expect("an answer");
    assert_unknown(&first);
    for body in ["a", "b"] {
        for vm in ["vm-1", "vm-2"] {
            let again = submit(&deployment, vm, Some(body), body)
                .await
                .expect("an answer");
            assert_unknown(&again);
        }
        assert_eq!(service.executions(body), 1);
    }
}

/// Guards against a keyed call that runs without a claim while the key-value service is down or does not
/// answer. A call refused as not run must not have run, and calls without a key must still run.
#[tokio::test]
async fn keyed_calls_without_the_platform_are_refused_as_not_run() {
    let deployment = start("calls-outage").await;
    for outage in [Outage::Unavailable, Outage::Silent] {
        deployment.platform.update(|faults| faults.outage = outage);
        let body = format!("{outage:?}");
        let refused = submit(&deployment, "vm-1", Some(&body), &body)
            .await
            .expect("an answer");
        assert_eq!(refused.header("x-outcome"), "not-run", "{refused:?}");
        assert_eq!(deployment.service("ladder").executions(&body), 0);
        let plain = format!("{body} without a key");
        let answer = submit(&deployment, "vm-1", None, &plain)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(deployment.service("ladder").executions(&plain), 1);
    }
}

/// Guards against a second run of a call when the write of its claim is delayed and the answer to the
/// write is lost.
#[tokio::test]
async fn late_or_lost_claim_writes_do_not_run_a_call_twice() {
    let deployment = start("calls-late-claim").await;
    for (i, delay_ms) in [0, 300, 1_500].into_iter().enumerate() {
        deployment.platform.update(|faults| {
            faults.delay_before_ms = delay_ms;
            faults.lose_answers("claims/", 1);
        });
        let body = format!("score-{i}");
        let both = futures::future::join_all(
            ["vm-1", "vm-2"].map(|vm| submit(&deployment, vm, Some(&body), &body)),
        );
        let answers = both.await;
        let ran = deployment.service("ladder").executions(&body);
        assert!(ran <= 1, "{ran} runs: {answers:?}");
        let answered = answers.iter().flatten().any(|answer| answer.status == 200);
        assert!(!answered || ran == 1, "{answers:?}");
        let all_not_run = answers.iter().all(|answer| {
            answer
                .as_ref()
                .is_ok_and(|a| a.header("x-outcome") == "not-run")
        });
        assert!(!all_not_run || ran == 0, "{answers:?}");
    }
}
