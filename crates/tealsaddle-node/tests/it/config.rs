//! Configuration: writes by operators and the way to every node.

use hyper::Method;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::platform;
use tealsaddle_testkit::process::{NodeConfig, free_address};

use crate::support::{admin, config_version, put_config, spawn_node};

const ONE: &str = "zones: [{name: buda-hall, region: hu-central}]\n";
const TWO: &str = "zones: [{name: buda-hall, region: hu-central}]\nmodels: [{name: rules}]\n";

/// Guards against a change that is accepted on a base that is no longer in force, and against a
/// refusal that does not say what to do.
#[tokio::test]
async fn of_two_operators_one_gets_a_conflict() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::bind(any).await.expect("the platform starts");
    let config = NodeConfig::new("vm-1", "buda-hall", platform.address());
    let node = spawn_node("config-conflict", config);
    let address = node.config.admin;
    put_config(platform.address(), 1, ONE).await;
    wait_until(|| async { config_version(address).await == Some(1) }).await;

    let path = "/admin/config?if_version=1";
    let (first, second) = tokio::join!(
        admin(Method::PUT, address, path, TWO),
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

/// Guards against a change that is reported as possibly written when it cannot have been.
#[tokio::test]
async fn change_with_the_platform_down_is_refused() {
    let node = spawn_node(
        "config-down",
        NodeConfig::new("vm-1", "buda-hall", free_address()),
    );
    let address = node.config.admin;
    wait_until(|| async { config_version(address).await == Some(0) }).await;
    let answer = admin(Method::PUT, address, "/admin/config?if_version=0", ONE).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["error"]["may_be_written"], false);
}
