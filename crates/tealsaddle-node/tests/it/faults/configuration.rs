//! G9: an accepted configuration is in force at every node within seconds and never reverts.

use std::time::{Duration, Instant};

use hyper::Method;
use nix::sys::signal::Signal;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Answer, wait_until};
use tealsaddle_testkit::deployment::{Deployment, quick_engine};
use tealsaddle_testkit::platform::Outage;

use super::plan;

const VMS: [&str; 4] = ["vm-1", "vm-2", "vm-3", "vm-4"];
const ZONES: [&str; 2] = ["buda-hall", "pest-hall"];

/// Time bound of G9.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(7);

async fn start(test: &str) -> Deployment {
    let mut plan = plan(test);
    for (i, vm) in VMS.into_iter().enumerate() {
        plan = plan.node(vm, ZONES[i % 2]);
    }
    for zone in ZONES {
        plan = plan.engine(&format!("e-{zone}"), zone, quick_engine(Role::Mixed, true));
    }
    plan.start().await.expect("the deployment starts")
}

/// The configuration of the deployment with one more customer.
fn config_with_customer(deployment: &Deployment, customer: &str) -> String {
    let mut inventory = deployment.inventory.clone();
    inventory
        .customers
        .push(tealsaddle_schema::inventory::Customer {
            name: customer.to_owned(),
            api_key_sha256: vec!["0".repeat(64)],
            ..Default::default()
        });
    serde_json::to_string(&inventory).expect("an inventory is plain JSON")
}

async fn apply(deployment: &Deployment, vm: &str, base: u64, customer: &str) -> Answer {
    let path = format!("/admin/config?if_version={base}");
    let config = config_with_customer(deployment, customer);
    deployment
        .admin(vm, Method::PUT, &path, config)
        .await
        .expect("an answer")
}

async fn version(deployment: &Deployment, vm: &str) -> u64 {
    deployment.status(vm).await["config_version"]
        .as_u64()
        .unwrap_or(0)
}

async fn wait_version(deployment: &Deployment, vms: &[&str], at_least: u64) {
    for vm in vms {
        wait_until(|| async { version(deployment, vm).await >= at_least }).await;
    }
}

/// Guards against an accepted configuration that reaches some node later than the bound allows.
#[tokio::test]
async fn accepted_change_reaches_every_node_in_time() {
    let deployment = start("config-time").await;
    for base in 1..=5 {
        let vm = VMS[base as usize % VMS.len()];
        let accepted = apply(&deployment, vm, base, &format!("c{base}")).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let since = Instant::now();
        wait_version(&deployment, &VMS, base + 1).await;
        assert!(
            since.elapsed() <= MAX_PROPAGATION_TIME,
            "{:?}",
            since.elapsed()
        );
    }
}

/// Guards against two operators at different nodes whose concurrent changes of one version are both
/// accepted.
#[tokio::test]
async fn one_of_two_concurrent_changes_at_two_nodes_is_accepted() {
    let deployment = start("config-operators").await;
    for base in 1..=3 {
        // The answer to one of the writes is lost.
        deployment
            .platform
            .update(|faults| faults.lose_answers("config/", 1));
        let (one, two) = tokio::join!(
            apply(&deployment, "vm-1", base, "one"),
            apply(&deployment, "vm-2", base, "two")
        );
        let mut statuses = [one.status, two.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{one:?} {two:?}");
        let winner = if one.status == 200 {
            "\"one\""
        } else {
            "\"two\""
        };
        let stored = deployment
            .platform
            .get("config/current")
            .expect("a configuration")
            .value;
        assert_eq!(stored["version"], base + 1);
        assert!(
            stored["yaml"]
                .as_str()
                .is_some_and(|yaml| yaml.contains(winner)),
            "{winner}"
        );
        wait_version(&deployment, &VMS, base + 1).await;
    }
}

/// Guards against an older configuration that spreads again from a paused or restarted node while the
/// platform does not answer.
#[tokio::test]
async fn accepted_change_survives_pauses_restarts_and_an_outage() {
    let mut deployment = start("config-survives").await;
    deployment.signal("vm-4", Signal::SIGSTOP);
    deployment.kill("vm-2").await;
    let accepted = apply(&deployment, "vm-1", 1, "new").await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    wait_version(&deployment, &["vm-1", "vm-3"], 2).await;
    deployment
        .platform
        .update(|faults| faults.outage = Outage::Silent);
    let refused = apply(&deployment, "vm-1", 2, "newer").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    // The restarted node gets the version from its peers, and the paused node after it resumes.
    deployment.start_node("vm-2").expect("the node starts");
    tokio::time::sleep(Duration::from_secs(4)).await;
    deployment.signal("vm-4", Signal::SIGCONT);
    let since = Instant::now();
    wait_version(&deployment, &VMS, 2).await;
    assert!(
        since.elapsed() <= MAX_PROPAGATION_TIME,
        "{:?}",
        since.elapsed()
    );
    deployment
        .platform
        .update(|faults| faults.outage = Outage::None);
    // The refused write may take effect when the platform answers again. A version older than the
    // accepted one must never come back.
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        for vm in VMS {
            let version = version(&deployment, vm).await;
            assert!(version >= 2, "{vm} went back to {version}");
        }
    }
}
