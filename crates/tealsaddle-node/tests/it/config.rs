//! Configuration: writes by operators and propagation to every node.

use hyper::Method;
use nix::sys::signal::Signal;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::platform::{self, Outage};
use tealsaddle_testkit::process::{NodeConfig, free_address};

use crate::cluster::Cluster;
use crate::support::{admin, config_version, put_config, spawn_node};

const CONFIG_WITHOUT_MODEL: &str = "zones: [{name: buda-hall, region: hu-central}]\n";
const CONFIG_WITH_MODEL: &str =
    "zones: [{name: buda-hall, region: hu-central}]\nmodels: [{name: rules}]\n";

/// Guards against two operators whose concurrent changes of the same version are both accepted. The
/// refusal must name the version in force and the next step.
#[tokio::test]
async fn second_of_two_concurrent_changes_gets_a_conflict() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::bind(any).await.expect("the platform starts");
    let config = NodeConfig::new("vm-1", "buda-hall", platform.address());
    let node = spawn_node("config-conflict", config);
    let address = node.config.admin;
    put_config(platform.address(), 1, CONFIG_WITHOUT_MODEL).await;
    wait_until(|| async { config_version(address).await == Some(1) }).await;

    let path = "/admin/config?if_version=1";
    let (first, second) = tokio::join!(
        admin(Method::PUT, address, path, CONFIG_WITH_MODEL),
        admin(
            Method::PUT,
            address,
            path,
            "zones: [{name: pest-hall, region: hu-central}]"
        ),
    );
    let answers = [first.expect("an answer"), second.expect("an answer")];
    let mut statuses = answers.clone().map(|answer| answer.status);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{answers:?}");
    for answer in answers {
        let json = answer.json();
        if answer.status == 200 {
            assert_eq!(json["version"], 2);
        } else {
            assert_eq!(json["error"]["current_version"], 2);
            assert!(
                json["error"]["next"]
                    .as_str()
                    .expect("advice")
                    .contains("if_version=2")
            );
            assert!(!json["error"]["diff"].as_array().expect("a diff").is_empty());
        }
    }
    wait_until(|| async { config_version(address).await == Some(2) }).await;
    let history = admin(Method::GET, address, "/admin/config/history", "").await;
    let history = history.expect("a history").json();
    assert_eq!(history[0]["version"], 2);
    assert_eq!(history[1]["version"], 1);
}

/// Guards against a change that is reported as possibly written although the platform was down and the
/// change cannot have been written.
#[tokio::test]
async fn change_with_the_platform_down_is_refused() {
    let node = spawn_node(
        "config-down",
        NodeConfig::new("vm-1", "buda-hall", free_address()),
    );
    let address = node.config.admin;
    wait_until(|| async { config_version(address).await == Some(0) }).await;
    let answer = admin(
        Method::PUT,
        address,
        "/admin/config?if_version=0",
        CONFIG_WITHOUT_MODEL,
    )
    .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["error"]["may_be_written"], false);
}

/// Guards against a change that is reported as failed or written twice when the platform stores it but
/// its answer is lost.
#[tokio::test]
async fn change_with_a_lost_answer_is_written_once() {
    let cluster = Cluster::start("config-lost", 1, &[]).await;
    let address = cluster.nodes[0].config.admin;
    put_config(cluster.platform.address(), 1, CONFIG_WITHOUT_MODEL).await;
    wait_until(|| async { config_version(address).await == Some(1) }).await;
    cluster
        .platform
        .update(|faults| faults.lose_answers("config/current", 1));
    let answer = admin(
        Method::PUT,
        address,
        "/admin/config?if_version=1",
        CONFIG_WITH_MODEL,
    )
    .await;
    let answer = answer.expect("an answer");
    assert_eq!(
        (answer.status, answer.json()["version"].as_u64()),
        (200, Some(2))
    );
    let stored = cluster
        .platform
        .get("config/current")
        .expect("a configuration");
    assert_eq!(stored.value["version"], 2);
    assert_eq!(stored.version, 2, "the record was written once");
    assert_eq!(
        cluster.counter(0, "config.settled_after_lost_answer").await,
        1
    );
}

/// Guards against a change that reaches only the nodes that watch the platform.
#[tokio::test]
async fn change_reaches_every_node() {
    let cluster = Cluster::start_in_service("config-spread", 5, 0).await;
    let address = cluster.nodes[4].config.admin;
    let answer = admin(
        Method::PUT,
        address,
        "/admin/config?if_version=1",
        CONFIG_WITH_MODEL,
    )
    .await;
    assert_eq!(answer.expect("an answer").status, 200);
    wait_until(|| async {
        let statuses = cluster.statuses().await;
        statuses.iter().all(|status| status["config_version"] == 2)
    })
    .await;
    // Two nodes of the zone watch the platform; the others pull from peers.
    let mut pulls = 0;
    for node in 0..5 {
        pulls += u64::from(cluster.counter(node, "config.pull").await > 0);
    }
    assert!(pulls >= 2, "{pulls} nodes pulled");
}

/// Guards against a node that starts with an old configuration while the platform is down. A node that
/// finds no configuration must not become ready.
#[tokio::test]
async fn start_without_the_platform_takes_the_highest_version() {
    let mut cluster = Cluster::start_in_service("config-start", 2, 0).await;
    let address = cluster.nodes[0].config.admin;
    let answer = admin(
        Method::PUT,
        address,
        "/admin/config?if_version=1",
        CONFIG_WITH_MODEL,
    )
    .await;
    assert_eq!(answer.expect("an answer").status, 200);
    // The second node is paused right after the change, so that it may still have the old version.
    cluster.nodes[1]
        .signal(Signal::SIGSTOP)
        .expect("the node is paused");
    cluster
        .platform
        .update(|faults| faults.outage = Outage::Unavailable);
    let third = cluster.node_config(2);
    cluster.add_node(third);
    wait_until(|| async { cluster.status(2).await["is_ready"] == true }).await;
    assert_eq!(cluster.status(2).await["config_version"], 2);
    // Without a peer, a node gets no configuration and must not report itself as ready.
    let mut alone = cluster.node_config(3);
    alone.platform = free_address();
    let alone = spawn_node("config-start", alone);
    let address = alone.config.admin;
    wait_until(|| async { config_version(address).await == Some(0) }).await;
    let status = admin(Method::GET, address, "/admin/status", "").await;
    assert_eq!(status.expect("a status").json()["is_ready"], false);
    cluster.nodes[1]
        .signal(Signal::SIGCONT)
        .expect("the node resumes");
    wait_until(|| async { cluster.status(1).await["config_version"] == 2 }).await;
}

/// Guards against a node that puts an older or an invalid version in force because the platform
/// offers it.
#[tokio::test]
async fn version_never_decreases() {
    let cluster = Cluster::start_in_service("config-back", 2, 0).await;
    let record = |version: u64, yaml: &str| serde_json::json!({ "version": version, "author": "test", "yaml": yaml });
    cluster
        .platform
        .set("config/current", record(5, CONFIG_WITH_MODEL));
    let wait_for_version = async |version: u64| {
        wait_until(|| async {
            let statuses = cluster.statuses().await;
            statuses
                .iter()
                .all(|status| status["config_version"] == version)
        })
        .await;
    };
    wait_for_version(5).await;
    cluster
        .platform
        .set("config/current", record(4, CONFIG_WITHOUT_MODEL));
    cluster
        .platform
        .set("config/current", record(6, "zones: [{}]"));
    cluster
        .platform
        .set("config/current", record(7, CONFIG_WITH_MODEL));
    wait_for_version(7).await;
    for node in 0..2 {
        let log = cluster.nodes[node].log().expect("a log");
        let versions: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("configuration in force"))
            .filter_map(|line| line.split("version=").nth(1)?.split(' ').next())
            .collect();
        assert!(versions.is_sorted(), "{versions:?}");
        assert!(
            !versions.contains(&"4") && !versions.contains(&"6"),
            "{versions:?}"
        );
    }
}
