//! G1, G2 and G3: no engine receives two conflicting orders, no planned change cuts off a stream, and
//! orders of a process without authority have no effect.
//!
//! The planner `mixed` causes the role changes. It changes one of two decode engines and keeps the
//! other, since each role must keep an engine.

use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tealsaddle_core::inventory::Role;
use tealsaddle_schema::inventory::Policy;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::deployment::{Deployment, MODEL, fast_engine_config};
use tealsaddle_testkit::engine::record::OrderEffect;
use tokio::task::JoinHandle;
use yare::parameterized;

use super::{assert_complete, plan};
use crate::support::assert_no_conflict_or_cut_off;

const ZONE: &str = "buda-hall";
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
/// The decode engines, one of which changes its role.
const DECODE_ENGINES: [&str; 2] = ["e1", "e2"];

/// Starts three nodes in one zone, two decode engines and a mixed engine.
async fn start(test: &str, checks_fence: bool) -> Deployment {
    let mut plan = plan(&format!("orders-{test}"));
    for vm in VMS {
        plan = plan.node(vm, ZONE);
    }
    for name in DECODE_ENGINES {
        plan = plan.engine(name, ZONE, fast_engine_config(Role::Decode, checks_fence));
    }
    let plan = plan.engine("e3", ZONE, fast_engine_config(Role::Mixed, checks_fence));
    let deployment = plan.start().await.expect("the deployment starts");
    for vm in VMS {
        wait_until(|| async { deployment.status(vm).await["is_registered"] == true }).await;
    }
    deployment
}

/// Sets a policy with which the planner changes one more engine to the mixed role.
fn plan_mixed_role(deployment: &mut Deployment) {
    deployment.inventory.policy = Some(Policy {
        planner: "mixed".to_owned(),
        min_dwell_ms: 1,
        max_moving_share: 1.0,
        plan_interval_ms: 200,
        ..Policy::default()
    });
    deployment.write_config();
}

async fn holder(deployment: &Deployment) -> &'static str {
    let find = || async {
        let holder = deployment.holder(ZONE).await?;
        VMS.into_iter().find(|vm| *vm == holder)
    };
    wait_until(|| async { find().await.is_some() }).await;
    find().await.expect("the zone has a holder")
}

async fn wait_holder_other_than(deployment: &Deployment, former: &str) {
    wait_until(|| async {
        let holder = deployment.holder(ZONE).await;
        holder.is_some_and(|holder| holder != former)
    })
    .await;
}

fn another_node(vm: &str) -> &'static str {
    VMS.into_iter()
        .find(|other| *other != vm)
        .expect("another node")
}

/// Returns the outstanding orders in the zone record.
fn recorded_orders(deployment: &Deployment) -> Vec<Value> {
    let record = deployment.platform.get(&format!("zones/{ZONE}/record"));
    let engines = record.map(|entry| entry.value["engines"].clone());
    let engines = engines
        .and_then(|engines| engines.as_array().cloned())
        .unwrap_or_default();
    let orders = engines.into_iter().map(|entry| entry["order"].clone());
    orders.filter(|order| !order.is_null()).collect()
}

async fn wait_phase(deployment: &Deployment, phase: &str) {
    wait_until(|| async {
        recorded_orders(deployment)
            .iter()
            .any(|o| o["phase"] == phase)
    })
    .await;
}

/// Waits until a decode engine has changed to the mixed role and the zone record has no outstanding
/// order.
async fn wait_changed(deployment: &Deployment) {
    wait_until(|| async {
        let mixed = |name: &&str| deployment.engine(name).role() == Some((Role::Mixed, false));
        DECODE_ENGINES.iter().any(mixed) && recorded_orders(deployment).is_empty()
    })
    .await;
}

/// Returns the orders that started a change, as engine name, order id and fencing token.
fn role_changes(deployment: &Deployment) -> Vec<(String, String, u64)> {
    let mut changes = Vec::new();
    for (name, engine) in deployment.engines() {
        for (order, effect) in engine.orders() {
            if effect == OrderEffect::Started {
                changes.push((name.to_owned(), order.order_id, order.fence));
            }
        }
    }
    changes
}

/// Runs streams one after the other until `end` completes, and asserts that each is complete.
async fn streams_until<F, T>(deployment: &Deployment, vm: &str, end: F) -> T
where
    F: Future<Output = T>,
{
    let endless_streams = async {
        for i in 0_u64.. {
            let prompt = format!("rule {i}");
            let answer = deployment.complete(vm, &prompt, 100).await;
            assert_complete(&answer.expect("an answer"), &prompt, 100);
        }
    };
    tokio::select! {
        result = end => result,
        () = endless_streams => unreachable!("the streams are endless"),
    }
}

/// Keeps both decode engines busy with streams that no node counts, so that only the load reports of
/// the engines show that they are not drained.
async fn occupy_decode_engines(deployment: &Deployment, tokens: u64) -> Vec<JoinHandle<bool>> {
    let mut streams = Vec::new();
    for name in DECODE_ENGINES {
        let engine = deployment.engine(name);
        let address = engine.address();
        let body = json!({ "attempt_id": format!("direct-{name}"), "model": MODEL, "prompt": "x",
                           "max_tokens": tokens, "stage": "full" });
        streams.push(tokio::spawn(async move {
            let client = Client::open();
            let answer = client.call(Method::POST, address, "/generate", &[], body.to_string());
            let answer = answer.await;
            answer.is_ok_and(|a| String::from_utf8_lossy(&a.body).contains("\"done\":true"))
        }));
        wait_until(|| async { engine.attempts_running() > 0 }).await;
    }
    streams
}

/// Guards against a late order of a former holder that cuts off streams or conflicts with the orders of
/// the successor. Such an order is possible if the holder is paused between the check of its lease and the
/// send. A proxy simulates the delay and delivers the order late and twice.
#[parameterized(checks_fence = { "late-fenced", true }, ignores_fence = { "late-unfenced", false })]
#[test_macro(tokio::test)]
async fn late_order_of_a_paused_holder_causes_no_conflict(test: &str, checks_fence: bool) {
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let other = another_node(first);
    for name in DECODE_ENGINES {
        deployment.engine_proxy(name).update(|rules| {
            rules.held_prefix = Some("POST /order".to_owned());
            rules.max_held = Some(1);
        });
    }
    plan_mixed_role(&mut deployment);
    let held = |deployment: &Deployment| {
        DECODE_ENGINES
            .into_iter()
            .find(|name| deployment.engine_proxy(name).held_requests() == 1)
    };
    wait_until(|| async { held(&deployment).is_some() }).await;
    let changed = held(&deployment).expect("an order is held");
    deployment.signal(first, Signal::SIGSTOP);
    let taken_over = wait_holder_other_than(&deployment, first);
    streams_until(&deployment, other, taken_over).await;
    // The order arrives while its sender is paused and another node is the holder.
    deployment.engine_proxy(changed).clear_rules();
    let arrived = wait_until(|| async { !deployment.engine(changed).orders().is_empty() });
    streams_until(&deployment, other, arrived).await;
    deployment.signal(first, Signal::SIGCONT);
    streams_until(&deployment, other, wait_changed(&deployment)).await;
    let link = deployment.engine_proxy(changed);
    let again = streams_until(&deployment, other, link.replay_held()).await;
    again.expect("the engine answers");
    // The changed engine serves requests again; the late copy must not interrupt them.
    let longer = tokio::time::sleep(Duration::from_secs(1));
    streams_until(&deployment, other, longer).await;
    assert_eq!(
        deployment.engine(changed).role(),
        Some((Role::Mixed, false))
    );
    assert_no_conflict_or_cut_off(&deployment);
}

/// Guards against an order from a holder that was paused during the drain until its lease expired.
#[parameterized(checks_fence = { "lapse-fenced", true }, ignores_fence = { "lapse-unfenced", false })]
#[test_macro(tokio::test)]
async fn holder_paused_during_the_drain_sends_no_order(test: &str, checks_fence: bool) {
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let epoch = deployment.status(first).await["epoch"]
        .as_u64()
        .expect("an epoch");
    let streams = occupy_decode_engines(&deployment, 4_000).await;
    plan_mixed_role(&mut deployment);
    wait_phase(&deployment, "draining").await;
    deployment.signal(first, Signal::SIGSTOP);
    wait_holder_other_than(&deployment, first).await;
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut off");
    }
    deployment.signal(first, Signal::SIGCONT);
    wait_changed(&deployment).await;
    let changes = role_changes(&deployment);
    assert!(
        changes.iter().all(|(_, _, fence)| *fence > epoch),
        "{changes:?} after {epoch}"
    );
    assert_no_conflict_or_cut_off(&deployment);
}

/// Guards against a role change that is lost or made twice when the platform stores the zone record but
/// its answers are lost.
#[tokio::test]
async fn lost_answers_of_record_writes_change_an_engine_once() {
    let mut deployment = start("lost-writes", false).await;
    for _ in 0..6 {
        deployment
            .platform
            .update(|faults| faults.lose_answers("zones/", 1));
    }
    plan_mixed_role(&mut deployment);
    wait_changed(&deployment).await;
    let changes = role_changes(&deployment);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_no_conflict_or_cut_off(&deployment);
}

/// Guards against a role change that is lost or cuts off streams when the holder is killed after it has
/// recorded its intent and before it has sent the order.
#[parameterized(checks_fence = { "intent-fenced", true }, ignores_fence = { "intent-unfenced", false })]
#[test_macro(tokio::test)]
async fn holder_killed_between_intent_and_order_leaves_no_incomplete_change(
    test: &str,
    checks_fence: bool,
) {
    use tealsaddle_testkit::platform::faults::VmState;
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let streams = occupy_decode_engines(&deployment, 6_000).await;
    plan_mixed_role(&mut deployment);
    wait_phase(&deployment, "draining").await;
    deployment.kill(first).await;
    wait_holder_other_than(&deployment, first).await;
    // Until the VM list proves that its VM is gone, the killed node counts as a router that may still
    // send requests.
    let peer = deployment.config(first).peer;
    deployment.platform.set_vm(first, ZONE, peer, VmState::Gone);
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut off");
    }
    streams_until(&deployment, another_node(first), wait_changed(&deployment)).await;
    assert_eq!(role_changes(&deployment).len(), 1);
    assert_no_conflict_or_cut_off(&deployment);
}

/// Guards against a role change that stays incomplete when the engine crashes during the change and the
/// holder is killed as well.
#[parameterized(checks_fence = { "crash-fenced", true }, ignores_fence = { "crash-unfenced", false })]
#[test_macro(tokio::test)]
async fn role_change_completes_after_an_engine_crash_and_a_killed_holder(
    test: &str,
    checks_fence: bool,
) {
    use tealsaddle_testkit::platform::faults::VmState;
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    plan_mixed_role(&mut deployment);
    let changing = |deployment: &Deployment| {
        let changes_role = |name: &&str| {
            deployment
                .engine(name)
                .role()
                .is_some_and(|(_, is_changing)| is_changing)
        };
        DECODE_ENGINES.into_iter().find(changes_role)
    };
    wait_until(|| async { changing(&deployment).is_some() }).await;
    let Some(changed) = changing(&deployment) else {
        panic!("the change of 300 ms was over before the crash");
    };
    deployment.engine(changed).crash();
    deployment.kill(first).await;
    wait_until(|| async { deployment.engine(changed).restart().await.is_ok() }).await;
    let peer = deployment.config(first).peer;
    deployment.platform.set_vm(first, ZONE, peer, VmState::Gone);
    let other = another_node(first);
    streams_until(&deployment, other, wait_changed(&deployment)).await;
    let ids: Vec<_> = deployment.engine(changed).orders();
    assert!(
        ids.iter().all(|(order, _)| order.role == "mixed"),
        "{ids:?}"
    );
    assert_no_conflict_or_cut_off(&deployment);
}

/// Guards against a role change or a withdrawal that cuts off long streams of an engine.
#[tokio::test]
async fn changes_wait_for_long_streams() {
    let mut deployment = start("long-streams", false).await;
    let through_nodes: Vec<_> = (0..12)
        .map(|i| {
            let prompt = format!("rule {i}");
            (
                deployment.spawn_completion(VMS[i % 3], &prompt, 1_500),
                prompt,
            )
        })
        .collect();
    let direct = occupy_decode_engines(&deployment, 2_500).await;
    plan_mixed_role(&mut deployment);
    wait_phase(&deployment, "draining").await;
    deployment.inventory.engines[2].withdrawn = true;
    deployment.write_config();
    for (stream, prompt) in through_nodes {
        let answer = stream.await.expect("no panic").expect("an answer");
        assert_complete(&answer, &prompt, 1_500);
    }
    for stream in direct {
        assert!(stream.await.expect("no panic"), "a stream was cut off");
    }
    assert_no_conflict_or_cut_off(&deployment);
}
