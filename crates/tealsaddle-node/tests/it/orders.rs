//! Orders to engines: engines are drained first, and orders never conflict, even if their sender fails.

use nix::sys::signal::Signal;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::engine::record;
use tealsaddle_testkit::engine::server::Engine;
use tealsaddle_testkit::engine::sim::SimConfig;
use tealsaddle_testkit::platform::faults::VmState;
use tealsaddle_testkit::proxy::Proxy;
use tokio::task::JoinHandle;

use crate::cluster::{Cluster, config_yaml, engine_config};

/// Policy with which the planner changes one of two decode engines to the mixed role.
const MIXED_POLICY: &str = "planner: mixed, min_dwell_ms: 1, max_moving_share: 1.0";

fn engines(checks_fence: bool) -> Vec<SimConfig> {
    let roles = [Role::Decode, Role::Decode, Role::Mixed];
    roles.map(|role| engine_config(role, checks_fence)).to_vec()
}

/// Starts streams through a node, at most 60, until every engine of the zone runs one.
async fn occupy_all_engines(cluster: &Cluster, node: usize) -> Vec<JoinHandle<bool>> {
    let caller = cluster.nodes[node].config.caller;
    let mut streams = Vec::new();
    for seed in 0..60 {
        if cluster
            .engines
            .iter()
            .all(|engine| engine.attempts_running() > 0)
        {
            break;
        }
        let body = serde_json::json!({
            "model": "rules", "prompt": format!("question {seed}"), "max_tokens": 400,
            "seed": seed, "stream": true,
        });
        let running = || {
            cluster
                .engines
                .iter()
                .map(Engine::attempts_running)
                .sum::<usize>()
        };
        let before = running();
        streams.push(tokio::spawn(async move {
            let answer = Client::open()
                .call(
                    hyper::Method::POST,
                    caller,
                    "/v1/completions",
                    &[],
                    body.to_string(),
                )
                .await;
            answer.is_ok_and(|answer| answer.streamed_text().1)
        }));
        wait_until(|| async { running() > before }).await;
    }
    streams
}

fn has_changed_role(cluster: &Cluster) -> bool {
    cluster.engines[..2]
        .iter()
        .any(|engine| engine.role() == Some((Role::Mixed, false)))
}

fn assert_no_conflict(cluster: &Cluster) {
    for engine in &cluster.engines {
        let record = engine.record();
        assert_eq!(record::conflicts(&record), Vec::<String>::new());
        assert_eq!(
            record::cut_off_by_role_change(&record),
            Vec::<String>::new()
        );
    }
}

/// Guards against a role change that cuts off streams, because the order is sent before the engine is
/// drained (G2).
#[tokio::test]
async fn role_change_waits_for_the_streams() {
    let engines = engines(true);
    let cluster = Cluster::start_with_engines("orders-drain", 3, &engines).await;
    let streams = occupy_all_engines(&cluster, 1).await;
    cluster
        .apply_config(
            2,
            &config_yaml(&cluster.addresses(&engines), true, MIXED_POLICY),
        )
        .await;
    wait_until(|| async { has_changed_role(&cluster) }).await;
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut short");
    }
    assert_no_conflict(&cluster);
    // Every node uses the engine again, in its new role.
    cluster.wait_until_in_service(3).await;
    let mixed = |status: &serde_json::Value| {
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        engines
            .iter()
            .filter(|engine| engine["role"] == "mixed")
            .count()
    };
    assert_eq!(mixed(&cluster.status(0).await), 2);
}

/// Guards against new work on an engine that the configuration withdraws. The engine must be drained
/// without receiving an order.
#[tokio::test]
async fn withdrawn_engine_is_drained_without_an_order() {
    let engines = engines(true);
    let cluster = Cluster::start_with_engines("orders-withdraw", 2, &engines).await;
    let yaml = config_yaml(&cluster.addresses(&engines), true, "planner: fixed");
    let withdrawn = yaml.replacen("role: decode", "withdrawn: true, role: decode", 1);
    cluster.apply_config(2, &withdrawn).await;
    cluster.wait_until_in_service(2).await;
    let holder = cluster.wait_for_holder().await;
    wait_until(|| async {
        let engine = cluster.status(holder).await["engines"][0].clone();
        engine["order"]["kind"] == "withdraw"
    })
    .await;
    assert!(cluster.engines[0].orders().is_empty());
    cluster.apply_config(3, &yaml).await;
    cluster.wait_until_in_service(3).await;
}

/// Guards against two different orders to one engine when the holder is killed after it has recorded its
/// intent and before it has sent the order.
#[tokio::test]
async fn killed_holder_causes_no_conflicting_orders() {
    let engines = engines(true);
    let cluster = Cluster::start_with_engines("orders-killed", 3, &engines).await;
    let holder = cluster.wait_for_holder().await;
    let streams = occupy_all_engines(&cluster, (holder + 1) % 3).await;
    cluster
        .apply_config(
            2,
            &config_yaml(&cluster.addresses(&engines), true, MIXED_POLICY),
        )
        .await;
    wait_until(|| async {
        let engines = cluster.status(holder).await["engines"].clone();
        engines
            .as_array()
            .is_some_and(|all| all.iter().any(|e| e["order"]["phase"] == "draining"))
    })
    .await;
    cluster.nodes[holder]
        .signal(Signal::SIGKILL)
        .expect("the holder is killed");
    // The router entry of the killed node blocks the drain until the VM list proves that its VM is
    // gone.
    cluster.set_vm_state(&format!("vm-{holder}"), VmState::Gone);
    wait_until(|| async { has_changed_role(&cluster) }).await;
    for stream in streams {
        assert!(stream.await.expect("no panic"), "a stream was cut short");
    }
    assert_no_conflict(&cluster);
}

/// Guards against a role change that stays incomplete after the engine crashes during the change.
#[tokio::test]
async fn crashed_engine_gets_the_same_order_again() {
    let mut engines = engines(true);
    for engine in &mut engines {
        engine.role_change_us = 2_000_000;
    }
    let cluster = Cluster::start_with_engines("orders-crash", 2, &engines).await;
    cluster
        .apply_config(
            2,
            &config_yaml(&cluster.addresses(&engines), true, MIXED_POLICY),
        )
        .await;
    let changing = || {
        cluster
            .engines
            .iter()
            .position(|e| e.role().is_some_and(|(_, is_changing)| is_changing))
    };
    wait_until(|| async { changing().is_some() }).await;
    let engine = &cluster.engines[changing().expect("an engine that changes")];
    engine.crash();
    // The listener of the simulated engine closes shortly after the crash.
    wait_until(|| async { engine.restart().await.is_ok() }).await;
    wait_until(|| async { engine.role() == Some((Role::Mixed, false)) }).await;
    let orders = engine.orders();
    assert!(orders.len() >= 2, "{orders:?}");
    assert!(
        orders
            .iter()
            .all(|(order, _)| order.order_id == orders[0].0.order_id)
    );
    assert_no_conflict(&cluster);
    cluster.wait_until_in_service(3).await;
}

/// Guards against a conflict at an engine that ignores fencing tokens, caused by a different order while
/// an order of a killed holder is still in transit (G1, G3).
#[tokio::test]
async fn late_copy_of_an_order_has_no_effect() {
    let engines = engines(false);
    let cluster = Cluster::start_with_engines("orders-late", 3, &engines).await;
    let holder = cluster.wait_for_holder().await;
    let mut addresses = cluster.addresses(&engines);
    let mut proxies = Vec::new();
    for (address, _) in &mut addresses[..2] {
        let proxy = Proxy::bind(*address).await.expect("the proxy starts");
        proxy.update(|rules| rules.held_prefix = Some("POST /order".to_owned()));
        *address = proxy.address();
        proxies.push(proxy);
    }
    cluster
        .apply_config(2, &config_yaml(&addresses, false, MIXED_POLICY))
        .await;
    wait_until(|| async { proxies.iter().any(|proxy| proxy.held_requests() > 0) }).await;
    cluster.nodes[holder]
        .signal(Signal::SIGKILL)
        .expect("the holder is killed");
    for proxy in &proxies {
        proxy.update(|rules| rules.held_prefix = None);
    }
    cluster.set_vm_state(&format!("vm-{holder}"), VmState::Gone);
    wait_until(|| async { has_changed_role(&cluster) }).await;
    for proxy in &proxies {
        proxy.replay_held().await.expect("the late copies arrive");
    }
    assert_no_conflict(&cluster);
    // The engine serves while the copy may still arrive. The block on different orders ends without
    // further action.
    wait_until(|| async {
        let mut released = false;
        for status in cluster.statuses().await {
            let engines = status["engines"].as_array().cloned().unwrap_or_default();
            released |= status["is_holder"] == true
                && engines
                    .iter()
                    .all(|e| e["unreleased"] == 0 && e["order"].is_null());
        }
        released
    })
    .await;
    assert_no_conflict(&cluster);
}
