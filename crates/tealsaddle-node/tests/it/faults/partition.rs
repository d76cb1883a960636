//! A zone isolated from the platform and from the other zone, its return, and a start without the
//! platform.
//!
//! The isolation between the zones is simulated by pausing the nodes of one of them: connections to
//! these nodes open but get no answer, as over a link that drops all packets.

use hyper::Method;
use nix::sys::signal::Signal;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::deployment::{Deployment, Plan, quick_engine};
use tealsaddle_testkit::engine::record::conflicts;
use tealsaddle_testkit::platform::Outage;

use super::{assert_complete, plan, submit};

const ZONES: [&str; 2] = ["buda-hall", "pest-hall"];

fn two_zones(test: &str) -> Plan {
    let mut plan = plan(test);
    for (zone, vms) in ZONES.into_iter().zip([["vm-1", "vm-2"], ["vm-3", "vm-4"]]) {
        for vm in vms {
            plan = plan.node(vm, zone);
        }
        plan = plan.engine(&format!("e-{zone}"), zone, quick_engine(Role::Mixed, false));
    }
    plan.service("ladder", ZONES[0])
}

async fn assert_serves(deployment: &Deployment, vms: &[&str], word: &str) {
    for vm in vms {
        for i in 0..5 {
            let prompt = format!("{word} {i}");
            let answer = deployment
                .complete(vm, &prompt, 20)
                .await
                .expect("an answer");
            if answer.status != 200 {
                let path = format!("/admin/explain/{}", answer.header("x-request-id"));
                let explained = deployment.admin(vm, Method::GET, &path, "").await;
                panic!(
                    "{vm}, {prompt}: {answer:?} {:?}",
                    explained.map(|e| e.json())
                );
            }
            assert_complete(&answer, &prompt, 20);
        }
    }
}

/// Guards against a zone that stops serving or runs a keyed call while it is isolated. After its return
/// the zone must have the newest configuration, and no engine may have received conflicting orders.
#[tokio::test]
async fn isolated_zone_serves_and_rejoins() {
    let mut deployment = two_zones("partition-zone").start().await.expect("a start");
    // The first zone is isolated from the platform and from the second zone.
    for vm in ["vm-1", "vm-2"] {
        deployment.platform_link(vm).cut();
    }
    for vm in ["vm-3", "vm-4"] {
        deployment.signal(vm, Signal::SIGSTOP);
    }
    wait_until(|| async { deployment.status("vm-1").await["is_platform_reachable"] == false })
        .await;
    assert_serves(&deployment, &["vm-1", "vm-2"], "cut off").await;
    let keyed = submit(&deployment, "vm-1", Some("k"), "keyed")
        .await
        .expect("an answer");
    assert_eq!(keyed.header("x-outcome"), "not-run", "{keyed:?}");
    assert_eq!(deployment.service("ladder").executions("keyed"), 0);
    let plain = submit(&deployment, "vm-1", None, "plain")
        .await
        .expect("an answer");
    assert_eq!(
        (
            plain.status,
            deployment.service("ladder").executions("plain")
        ),
        (200, 1)
    );
    // The second zone runs while the first does not answer.
    for vm in ["vm-3", "vm-4"] {
        deployment.signal(vm, Signal::SIGCONT);
    }
    for vm in ["vm-1", "vm-2"] {
        deployment.signal(vm, Signal::SIGSTOP);
    }
    assert_serves(&deployment, &["vm-3", "vm-4"], "other zone").await;
    deployment.inventory.models[0].version = "2".to_owned();
    let newest = deployment.write_config();
    wait_until(|| async { deployment.status("vm-3").await["config_version"] == newest }).await;
    for vm in ["vm-1", "vm-2"] {
        deployment.signal(vm, Signal::SIGCONT);
        deployment.platform_link(vm).heal();
    }
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        wait_until(|| async { deployment.status(vm).await["config_version"] == newest }).await;
    }
    assert_serves(&deployment, &["vm-1", "vm-2", "vm-3", "vm-4"], "rejoined").await;
    let keyed = submit(&deployment, "vm-2", Some("k2"), "keyed")
        .await
        .expect("an answer");
    assert_eq!(
        (
            keyed.status,
            deployment.service("ladder").executions("keyed")
        ),
        (200, 1)
    );
    for zone in ZONES {
        wait_until(|| async { deployment.holder(zone).await.is_some() }).await;
    }
    for (_, engine) in deployment.engines() {
        assert_eq!(conflicts(&engine.record()), Vec::<String>::new());
    }
}

/// Guards against a node that starts while the platform is down and gets no configuration from its
/// peers. Without peers, the node must not become ready.
#[tokio::test]
async fn start_with_the_platform_down_takes_the_configuration_from_peers() {
    let mut deployment = two_zones("partition-start").start().await.expect("a start");
    let ready = async |deployment: &Deployment, vm: &str| {
        let address = deployment.config(vm).caller;
        let answer = Client::open()
            .call(Method::GET, address, "/readyz", &[], "")
            .await;
        answer.map_or(0, |answer| answer.status)
    };
    deployment
        .platform
        .update(|faults| faults.outage = Outage::Unavailable);
    deployment.add_node("vm-5", ZONES[0]).await.expect("a node");
    deployment.start_node("vm-5").expect("the node starts");
    wait_until(|| async { ready(&deployment, "vm-5").await == 200 }).await;
    assert_eq!(deployment.status("vm-5").await["config_version"], 1);
    // The node is not in the router list yet, so it forwards requests.
    assert_serves(&deployment, &["vm-5"], "forwarded").await;
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"] {
        deployment.kill(vm).await;
    }
    deployment.start_node("vm-1").expect("the node starts");
    wait_until(|| async { deployment.status("vm-1").await["config_version"] == 0 }).await;
    assert_eq!(ready(&deployment, "vm-1").await, 503);
    deployment
        .platform
        .update(|faults| faults.outage = Outage::None);
    wait_until(|| async { ready(&deployment, "vm-1").await == 200 }).await;
}

/// Guards against requests that fail because they were forwarded to a peer that has just stopped
/// answering, although another peer of its zone serves.
#[tokio::test]
async fn requests_forwarded_to_a_silent_peer_are_answered_by_another() {
    let plan = plan("partition-silent-peer").node("vm-1", ZONES[0]);
    let plan = plan.node("vm-3", ZONES[1]).node("vm-4", ZONES[1]);
    let plan = plan.engine("e1", ZONES[1], quick_engine(Role::Mixed, true));
    let deployment = plan.start().await.expect("the deployment starts");
    // A peer serves only with an entry in the router list, and the peer that is paused next may be the
    // holder that adds the entry.
    wait_until(|| async {
        let status = deployment.status("vm-1").await;
        let peers = status["peers"].as_array().cloned().unwrap_or_default();
        let registered = peers.iter().filter(|peer| peer["is_registered"] == true);
        registered.count() == 2
    })
    .await;
    deployment.signal("vm-3", Signal::SIGSTOP);
    let requests = (0..8).map(|i| {
        let prompt = format!("rule {i}");
        (deployment.spawn_completion("vm-1", &prompt, 20), prompt)
    });
    for (answer, prompt) in requests.collect::<Vec<_>>() {
        let answer = answer.await.expect("no panic").expect("an answer");
        assert_complete(&answer, &prompt, 20);
    }
}
