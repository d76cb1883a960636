//! G1, G2 and G3: no engine receives two conflicting orders, no planned change cuts a stream off,
//! and orders of a process without authority have no effect.
//!
//! A change of role is brought about by the planner `mixed`. Of two decode engines it moves one and
//! leaves the other, since each role keeps an engine.

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
use crate::support::assert_safe;

const ZONE: &str = "buda-hall";
const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
/// The engines of which one changes its role.
const DECODE: [&str; 2] = ["e1", "e2"];

/// Three nodes in one zone, two decode engines and a mixed one.
async fn start(test: &str, checks_fence: bool) -> Deployment {
    let mut plan = plan(&format!("orders-{test}"));
    for vm in VMS {
        plan = plan.node(vm, ZONE);
    }
    for name in DECODE {
        plan = plan.engine(name, ZONE, fast_engine_config(Role::Decode, checks_fence));
    }
    let plan = plan.engine("e3", ZONE, fast_engine_config(Role::Mixed, checks_fence));
    let deployment = plan.start().await.expect("the deployment starts");
    for vm in VMS {
        wait_until(|| async { deployment.status(vm).await["is_registered"] == true }).await;
    }
    deployment
}

/// Lets the planner want another engine in the mixed role.
fn want_mixed(deployment: &mut Deployment) {
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

fn other_than(vm: &str) -> &'static str {
    VMS.into_iter()
        .find(|other| *other != vm)
        .expect("another node")
}

/// Outstanding orders in the zone record.
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

async fn wait_changed(deployment: &Deployment) {
    wait_until(|| async {
        let mixed = |name: &&str| deployment.engine(name).role() == Some((Role::Mixed, false));
        DECODE.iter().any(mixed) && recorded_orders(deployment).is_empty()
    })
    .await;
}

/// Orders that changed an engine, as engine, id and fencing token.
fn changes(deployment: &Deployment) -> Vec<(String, String, u64)> {
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

/// Sends streams one after the other until `end` is over; each must be complete.
async fn streams_until<F, T>(deployment: &Deployment, vm: &str, end: F) -> T
where
    F: Future<Output = T>,
{
    let endless = async {
        for i in 0_u64.. {
            let prompt = format!("rule {i}");
            let answer = deployment.complete(vm, &prompt, 100).await;
            assert_complete(&answer.expect("an answer"), &prompt, 100);
        }
    };
    tokio::select! {
        result = end => result,
        () = endless => unreachable!("the streams are endless"),
    }
}

/// Keeps both decode engines busy with streams that no node knows of, so that only the engines' own
/// load reports tell that the drain is not proven.
async fn occupy(deployment: &Deployment, tokens: u64) -> Vec<JoinHandle<bool>> {
    let mut streams = Vec::new();
    for name in DECODE {
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

/// Guards against a late order of a former holder, paused between its check and the send, that cuts
/// off streams or undoes the successor's work; the order comes late, and twice.
#[parameterized(checks_fence = { "late-fenced", true }, ignores_fence = { "late-unfenced", false })]
#[test_macro(tokio::test)]
async fn late_order_of_a_paused_holder_is_harmless(test: &str, checks_fence: bool) {
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let other = other_than(first);
    for name in DECODE {
        deployment.engine_proxy(name).update(|rules| {
            rules.held_prefix = Some("POST /order".to_owned());
            rules.max_held = Some(1);
        });
    }
    want_mixed(&mut deployment);
    let held = |deployment: &Deployment| {
        DECODE
            .into_iter()
            .find(|name| deployment.engine_proxy(name).held_requests() == 1)
    };
    wait_until(|| async { held(&deployment).is_some() }).await;
    let changed = held(&deployment).expect("an order is held");
    deployment.signal(first, Signal::SIGSTOP);
    let taken_over = wait_holder_other_than(&deployment, first);
    streams_until(&deployment, other, taken_over).await;
    // The order arrives while its sender is paused and another node holds the authority.
    deployment.engine_proxy(changed).clear_rules();
    let arrived = wait_until(|| async { !deployment.engine(changed).orders().is_empty() });
    streams_until(&deployment, other, arrived).await;
    deployment.signal(first, Signal::SIGCONT);
    streams_until(&deployment, other, wait_changed(&deployment)).await;
    let link = deployment.engine_proxy(changed);
    let again = streams_until(&deployment, other, link.replay_held()).await;
    again.expect("the engine answers");
    // The changed engine serves by now; the late copy must not disturb it.
    let longer = tokio::time::sleep(Duration::from_secs(1));
    streams_until(&deployment, other, longer).await;
    assert_eq!(
        deployment.engine(changed).role(),
        Some((Role::Mixed, false))
    );
    assert_safe(&deployment);
}

/// Guards against an order of a holder whose lease lapsed while it was paused during the drain.
#[parameterized(checks_fence = { "lapse-fenced", true }, ignores_fence = { "lapse-unfenced", false })]
#[test_macro(tokio::test)]
async fn holder_paused_during_the_drain_sends_nothing(test: &str, checks_fence: bool) {
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let epoch = deployment.status(first).await["epoch"]
        .as_u64()
        .expect("an epoch");
    let streams = occupy(&deployment, 4_000).await;
    want_mixed(&mut deployment);
    wait_phase(&deployment, "draining").await;
    deployment.signal(first, Signal::SIGSTOP);
    wait_holder_other_than(&deployment, first).await;
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut off");
    }
    deployment.signal(first, Signal::SIGCONT);
    wait_changed(&deployment).await;
    let changes = changes(&deployment);
    assert!(
        changes.iter().all(|(_, _, fence)| *fence > epoch),
        "{changes:?} after {epoch}"
    );
    assert_safe(&deployment);
}

/// Guards against a second or a lost change when the answers of the holder's writes are lost.
#[tokio::test]
async fn lost_answers_of_record_writes_change_an_engine_once() {
    let mut deployment = start("lost-writes", false).await;
    for _ in 0..6 {
        deployment
            .platform
            .update(|faults| faults.lose_answers("zones/", 1));
    }
    want_mixed(&mut deployment);
    wait_changed(&deployment).await;
    let changes = changes(&deployment);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_safe(&deployment);
}

/// Guards against a holder killed between its intent and the order whose half-made change is lost,
/// or carried out under streams.
#[parameterized(checks_fence = { "intent-fenced", true }, ignores_fence = { "intent-unfenced", false })]
#[test_macro(tokio::test)]
async fn holder_killed_between_intent_and_order_leaves_no_half_change(
    test: &str,
    checks_fence: bool,
) {
    use tealsaddle_testkit::platform::faults::VmState;
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    let streams = occupy(&deployment, 6_000).await;
    want_mixed(&mut deployment);
    wait_phase(&deployment, "draining").await;
    deployment.kill(first).await;
    wait_holder_other_than(&deployment, first).await;
    // Until the list proves that its VM is gone, the killed node is a router that may still send.
    let peer = deployment.config(first).peer;
    deployment.platform.set_vm(first, ZONE, peer, VmState::Gone);
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut off");
    }
    streams_until(&deployment, other_than(first), wait_changed(&deployment)).await;
    assert_eq!(changes(&deployment).len(), 1);
    assert_safe(&deployment);
}

/// Guards against a change that stays half done, or is made twice, when the engine crashes in it and
/// the holder dies as well.
#[parameterized(checks_fence = { "crash-fenced", true }, ignores_fence = { "crash-unfenced", false })]
#[test_macro(tokio::test)]
async fn engine_crash_in_a_change_with_the_holder_killed_is_completed(
    test: &str,
    checks_fence: bool,
) {
    use tealsaddle_testkit::platform::faults::VmState;
    let mut deployment = start(test, checks_fence).await;
    let first = holder(&deployment).await;
    want_mixed(&mut deployment);
    let changing = |deployment: &Deployment| {
        let is_changing = |name: &&str| deployment.engine(name).role().is_some_and(|(_, is)| is);
        DECODE.into_iter().find(is_changing)
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
    let other = other_than(first);
    streams_until(&deployment, other, wait_changed(&deployment)).await;
    let ids: Vec<_> = deployment.engine(changed).orders();
    assert!(
        ids.iter().all(|(order, _)| order.role == "mixed"),
        "{ids:?}"
    );
    assert_safe(&deployment);
}

/// Guards against a change of role, or a withdrawal, that cuts off the long streams of an engine.
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
    let direct = occupy(&deployment, 2_500).await;
    want_mixed(&mut deployment);
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
    assert_safe(&deployment);
}
