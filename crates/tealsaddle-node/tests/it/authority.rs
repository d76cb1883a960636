//! Authority over a zone: takeover, drains and orders while nodes are killed or paused.

use hyper::Method;
use nix::sys::signal::Signal;
use tealsaddle_testkit::client::wait_until;

use crate::cluster::{Cluster, open_engines};
use crate::support::admin;

/// Guards against a zone that stays without a holder after its holder is killed.
#[tokio::test]
async fn another_node_takes_over_from_a_killed_holder() {
    let cluster = Cluster::start_in_service("authority-killed", 3, 1).await;
    let first = cluster.wait_for_holder().await;
    let epoch = cluster.status(first).await["epoch"].as_u64();
    cluster.nodes[first]
        .signal(Signal::SIGKILL)
        .expect("the node is killed");
    wait_until(|| async { cluster.holder().await.is_some_and(|holder| holder != first) }).await;
    let second = cluster.wait_for_holder().await;
    let status = cluster.status(second).await;
    assert!(status["epoch"].as_u64() > epoch, "{status}");
    // The killed process stays in the router list, since nothing proves that it has ended.
    assert_eq!(status["routers"].as_array().expect("routers").len(), 3);
    // The remaining routers still use the engine.
    assert_eq!(open_engines(&status), ["e0"]);
}

/// Guards against two holders and an older routing table after a holder is paused for longer than its
/// lease and then resumes.
#[tokio::test]
async fn paused_holder_loses_its_authority() {
    let cluster = Cluster::start_in_service("authority-paused", 3, 1).await;
    let first = cluster.wait_for_holder().await;
    cluster.nodes[first]
        .signal(Signal::SIGSTOP)
        .expect("the node is paused");
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    let taken = || async {
        for node in &others {
            if cluster.status(*node).await["is_holder"] == true {
                return true;
            }
        }
        false
    };
    wait_until(taken).await;
    cluster.nodes[first]
        .signal(Signal::SIGCONT)
        .expect("the node resumes");
    wait_until(|| async { cluster.status(first).await["is_holder"] == false }).await;
    let second = cluster.wait_for_holder().await;
    assert_ne!(first, second);
    let epoch = cluster.status(second).await["epoch"].clone();
    wait_until(|| async { cluster.status(first).await["table"]["epoch"] == epoch }).await;
    assert!(cluster.counter(first, "control.paused").await >= 1);
}

/// Guards against a drain that is lost when the holder that accepted it is killed. The operator sends
/// the drain to a node that is not the holder.
#[tokio::test]
async fn operator_drain_survives_a_killed_holder() {
    let cluster = Cluster::start_in_service("authority-drain", 3, 2).await;
    let holder = cluster.wait_for_holder().await;
    let asked = (holder + 1) % 3;
    let address = cluster.nodes[asked].config.admin;
    let answer = admin(Method::POST, address, "/admin/drain", "{\"engine\":\"e0\"}").await;
    assert_eq!(answer.expect("an answer").status, 202);
    cluster.wait_until_in_service(1).await;
    // The other nodes learn of the drain with the next heartbeat.
    wait_until(|| async {
        let statuses = cluster.statuses().await;
        statuses
            .iter()
            .all(|status| status["engines"][0]["is_withdrawn"] == true)
    })
    .await;
    cluster.nodes[holder]
        .signal(Signal::SIGKILL)
        .expect("the holder is killed");
    wait_until(|| async { cluster.holder().await.is_some_and(|new| new != holder) }).await;
    let new = cluster.wait_for_holder().await;
    let status = cluster.status(new).await;
    assert_eq!(open_engines(&status), ["e1"], "{status}");
    let address = cluster.nodes[new].config.admin;
    let undo = "{\"engine\":\"e0\",\"undo\":true}";
    let answer = admin(Method::POST, address, "/admin/drain", undo).await;
    assert_eq!(answer.expect("an answer").status, 202);
    wait_until(|| async { open_engines(&cluster.status(new).await).len() == 2 }).await;
}

/// Guards against a zone that stops serving while its holder cannot reach the platform. The holder must
/// not give orders in this time; a drain takes effect after the outage.
#[tokio::test]
async fn zone_keeps_its_table_without_the_platform() {
    use tealsaddle_testkit::platform::Outage;
    let cluster = Cluster::start_in_service("authority-outage", 2, 1).await;
    let before = cluster.status(0).await["table"].clone();
    cluster
        .platform
        .update(|faults| faults.outage = Outage::Unavailable);
    wait_until(|| async {
        let statuses = cluster.statuses().await;
        statuses
            .iter()
            .all(|status| status["is_platform_reachable"] == false)
    })
    .await;
    let holder = cluster.wait_for_holder().await;
    let address = cluster.nodes[holder].config.admin;
    let answer = admin(Method::POST, address, "/admin/drain", "{\"engine\":\"e0\"}").await;
    assert_eq!(answer.expect("an answer").status, 202);
    let status = cluster.status(holder).await;
    assert!(status["engines"][0]["order"].is_null(), "{status}");
    assert_eq!(
        cluster.status((holder + 1) % 2).await["is_registered"],
        true
    );
    cluster
        .platform
        .update(|faults| faults.outage = Outage::None);
    cluster.wait_until_in_service(0).await;
    assert_ne!(cluster.status(0).await["table"], before);
}

/// Guards against a change that is stuck or written twice when the platform stores the zone record but
/// its answers are lost.
#[tokio::test]
async fn zone_record_write_with_lost_answers_takes_effect_once() {
    let cluster = Cluster::start_in_service("authority-lost", 2, 2).await;
    let holder = cluster.wait_for_holder().await;
    let epoch = cluster.status(holder).await["epoch"].clone();
    cluster
        .platform
        .update(|faults| faults.lose_answers("zones/", 3));
    let address = cluster.nodes[holder].config.admin;
    let body = "{\"engine\":\"e0\"}";
    let answer = admin(Method::POST, address, "/admin/drain", body).await;
    assert_eq!(answer.expect("an answer").status, 202);
    cluster.wait_until_in_service(1).await;
    wait_until(|| async { cluster.counter(holder, "platform.write_answer_lost").await >= 3 }).await;
    let status = cluster.status(holder).await;
    assert_eq!(status["is_holder"], true, "{status}");
    assert_eq!(status["epoch"], epoch);
    let record = cluster.platform.get("zones/buda-hall/record");
    let engines = record.expect("a record").value["engines"].clone();
    let orders = engines.as_array().expect("engines").iter();
    let withdrawn: Vec<_> = orders.filter(|engine| !engine["order"].is_null()).collect();
    assert_eq!(withdrawn.len(), 1, "{engines}");
}
