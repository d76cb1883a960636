//! Membership: leaving VMs, stopping nodes and the router list.

use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use tealsaddle_core::rollout::REFRESH_TIMEOUT_US;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::platform::faults::{Outage, VmState};

use crate::cluster::{Cluster, ZONE, open_engines};
use crate::support::admin;

/// Guards against a planned stop of the holder that aborts a running stream. The holder must also leave
/// the router list, and another node must take over.
#[tokio::test]
async fn stopping_holder_completes_its_stream_and_resigns() {
    let mut cluster = Cluster::start_in_service("membership-stop", 3, 1).await;
    let holder = cluster.wait_for_holder().await;
    let caller = cluster.nodes[holder].config.caller;
    let body = serde_json::json!({
        "model": "rules",
        "messages": [{ "role": "user", "content": "who won" }],
        "max_tokens": 1_500,
        "seed": 7,
        "stream": true,
    });
    let stream = tokio::spawn(async move { Client::open().complete(caller, &body).await });
    wait_until(|| async { cluster.engines[0].attempts_running() == 1 }).await;
    cluster.nodes[holder]
        .signal(Signal::SIGTERM)
        .expect("the node is told to stop");
    // The successor takes over while the stream still runs.
    wait_until(|| async { cluster.holder().await.is_some_and(|new| new != holder) }).await;
    assert_eq!(cluster.engines[0].attempts_running(), 1);
    let answer = stream.await.expect("no panic").expect("an answer");
    let (text, is_done) = answer.streamed_text();
    assert!(is_done, "{text}");
    assert_eq!(text.split_whitespace().count(), 1_500);
    let status = cluster.nodes[holder].wait().expect("the node ends");
    assert!(status.success(), "{status}");
    let new = cluster.wait_for_holder().await;
    wait_until(|| async {
        let routers = cluster.status(new).await["routers"].clone();
        routers.as_array().is_some_and(|routers| routers.len() == 2)
    })
    .await;
}

/// Guards against a resignation that ends at its time limit and counts as done, so that the log of the node
/// doesn't tell why its zone waits for a process that has ended.
#[tokio::test]
async fn node_that_could_not_resign_says_so() {
    let mut cluster = Cluster::start_in_service("membership-no-resign", 2, 1).await;
    let holder = cluster.wait_for_holder().await;
    let resigning = 1 - holder;
    // The holder cannot write the router list.
    cluster
        .platform
        .update(|faults| faults.outage = Outage::Unavailable);
    cluster.nodes[resigning]
        .signal(Signal::SIGTERM)
        .expect("the node is told to stop");
    let status = cluster.nodes[resigning].wait().expect("the node ends");
    assert!(status.success(), "{status}");
    let log = cluster.nodes[resigning].log().expect("a log");
    assert!(
        log.contains("the node may still be in the router list"),
        "{log}"
    );
}

/// Guards against new work on a node that was told to stop. The node must refuse requests, and its
/// peers must list its VM as leaving.
#[tokio::test]
async fn leaving_node_refuses_requests_and_informs_its_peers() {
    let cluster = Cluster::start_in_service("membership-leaving", 3, 1).await;
    let holder = cluster.wait_for_holder().await;
    let leaving = (holder + 1) % 3;
    let vm = format!("vm-{leaving}");
    cluster.nodes[leaving]
        .signal(Signal::SIGTERM)
        .expect("the node is told to stop");
    wait_until(|| async { cluster.status(leaving).await["is_leaving"] == true }).await;
    let caller = cluster.nodes[leaving].config.caller;
    let body = serde_json::json!({ "model": "rules", "prompt": "x", "max_tokens": 1 });
    let answer = Client::open()
        .call(
            Method::POST,
            caller,
            "/v1/completions",
            &[],
            body.to_string(),
        )
        .await
        .expect("a refusal");
    assert_eq!(
        (answer.status, answer.header("x-outcome")),
        (503, "not-run")
    );
    for node in [holder, (holder + 2) % 3] {
        wait_until(|| async {
            let status = cluster.status(node).await;
            status["leaving_vms"]
                .as_array()
                .is_some_and(|vms| vms.iter().any(|v| *v == vm))
        })
        .await;
    }
}

/// Guards against new work for engines and nodes on a VM that only the VM list reports as leaving.
#[tokio::test]
async fn vm_listed_as_leaving_gets_no_new_work() {
    let cluster = Cluster::start_in_service("membership-list", 2, 2).await;
    cluster.set_vm_state("runner-0", VmState::Leaving);
    cluster.wait_until_in_service(1).await;
    assert_eq!(open_engines(&cluster.status(0).await), ["e1"]);
    let holder = cluster.wait_for_holder().await;
    let other = 1 - holder;
    cluster.set_vm_state(&format!("vm-{other}"), VmState::Leaving);
    wait_until(|| async { cluster.status(other).await["is_leaving"] == true }).await;
}

/// Guards against a router list that keeps a dead process after a new process has started at its
/// address.
#[tokio::test]
async fn restarted_node_replaces_its_router_entry() {
    let mut cluster = Cluster::start_in_service("membership-restart", 3, 1).await;
    let holder = cluster.wait_for_holder().await;
    let restarted = (holder + 1) % 3;
    let old = cluster.status(restarted).await["incarnation"].clone();
    let config = cluster.nodes[restarted].config.clone();
    cluster.nodes[restarted]
        .signal(Signal::SIGKILL)
        .expect("the node is killed");
    cluster.nodes[restarted].wait().expect("the node ends");
    let seeds = config.seed_peers.clone();
    cluster.nodes[restarted] = crate::support::spawn_node(
        "membership-restart",
        tealsaddle_testkit::process::NodeConfig {
            seed_peers: seeds,
            ..config
        },
    );
    wait_until(|| async { cluster.status(restarted).await["is_registered"] == true }).await;
    let routers = cluster.status(holder).await["routers"].clone();
    let routers = routers.as_array().expect("routers");
    assert_eq!(routers.len(), 3, "{routers:?}");
    assert!(routers.iter().all(|router| router["incarnation"] != old));
    assert_eq!(cluster.status(holder).await["zone"], ZONE);
}

/// Delay of the platform's answers while a node refreshes its state; half the limit of a refresh.
const REFRESH_DELAY_MS: u64 = 500;

/// Guards against requests that a node routes on outdated state after a pause (section 10 of the
/// design).
#[tokio::test]
async fn paused_node_holds_requests_until_its_state_is_refreshed() {
    let cluster = Cluster::start_in_service("membership-paused", 2, 0).await;
    cluster.nodes[0]
        .signal(Signal::SIGSTOP)
        .expect("the node is paused");
    let paused = std::time::Instant::now();
    let yaml = "zones: [{name: buda-hall, region: hu-central}]\nmodels: [{name: new}]\n";
    let other = cluster.nodes[1].config.admin;
    let answer = admin(Method::PUT, other, "/admin/config?if_version=1", yaml).await;
    assert_eq!(answer.expect("an answer").status, 200);
    let caller = cluster.nodes[0].config.caller;
    let request = tokio::spawn(async move {
        let body = serde_json::json!({ "model": "new", "prompt": "x", "max_tokens": 1 });
        Client::open()
            .call(
                Method::POST,
                caller,
                "/v1/completions",
                &[],
                body.to_string(),
            )
            .await
    });
    // State counts as outdated after a pause of more than 3 s.
    wait_until(|| async { paused.elapsed().as_millis() > 3_500 }).await;
    // The delay gives the node time to read the request before its state is refreshed.
    cluster
        .platform
        .update(|faults| faults.delay_before_ms = REFRESH_DELAY_MS);
    let resumed = std::time::Instant::now();
    cluster.nodes[0]
        .signal(Signal::SIGCONT)
        .expect("the node resumes");
    let answer = request.await.expect("no panic").expect("an answer");
    // The outdated configuration does not have the model, so the reason would differ. Only a node whose
    // refresh takes longer than the limit answers by that configuration.
    if resumed.elapsed() < Duration::from_micros(REFRESH_TIMEOUT_US) {
        assert_eq!(answer.header("x-reason"), "no_engine", "{answer:?}");
    }
    assert!(cluster.counter(0, "caller.held_while_stale").await >= 1);
}
