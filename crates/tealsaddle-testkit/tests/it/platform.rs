//! Tests of the platform stand-in.

use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use tealsaddle_testkit::client::{Answer, Client};
use tealsaddle_testkit::platform::faults::VmState;
use tealsaddle_testkit::platform::{self, CallKind, Outage, Platform};

async fn start() -> (Platform, Client) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let platform = platform::bind(any).await.expect("the platform starts");
    (platform, Client::open())
}

async fn call(platform: &Platform, method: Method, path: &str, body: Value) -> Answer {
    Client::open()
        .call(method, platform.address(), path, &[], body.to_string())
        .await
        .expect("an answer")
}

/// Guards against two writers whose conflicting writes are both reported as successful.
#[tokio::test]
async fn compare_and_swap_lets_one_writer_succeed() {
    let (platform, _) = start().await;
    let put = |path: &'static str| call(&platform, Method::PUT, path, json!(1));
    assert_eq!(put("/kv/a?if_version=0").await.json()["version"], 1);
    let refused = put("/kv/a?if_version=0").await;
    assert_eq!(
        (refused.status, refused.json()["version"].as_u64()),
        (409, Some(1))
    );
    let delete = |path: &'static str| call(&platform, Method::DELETE, path, json!(null));
    assert_eq!(delete("/kv/a?if_version=2").await.status, 409);
    assert_eq!(delete("/kv/a?if_version=1").await.status, 200);
    // A key that is created again must not match a version from before its deletion.
    assert_eq!(put("/kv/a?if_version=0").await.json()["version"], 2);
}

/// Guards against a watch that misses a write. The deletion of a key by an expired lease counts as
/// one.
#[tokio::test]
async fn watch_reports_writes_and_expired_leases() {
    let (platform, client) = start().await;
    let lease = call(&platform, Method::POST, "/leases", json!({ "ttl_ms": 100 })).await;
    let lease = lease.json()["lease"].as_str().expect("a lease").to_owned();
    let path = format!("/kv/p/x?if_version=0&lease={lease}");
    let watch = client.call(
        Method::GET,
        platform.address(),
        "/watch?prefix=p/&after=0&wait_ms=60000",
        &[],
        "",
    );
    let (watched, _) = tokio::join!(watch, call(&platform, Method::PUT, &path, json!(5)));
    let watched = watched.expect("an answer").json();
    assert_eq!(
        watched["changes"][0],
        json!({ "key": "p/x", "version": 1, "value": 5 })
    );
    let path = format!(
        "/watch?prefix=p/&after={}&wait_ms=60000",
        watched["revision"]
    );
    let gone = call(&platform, Method::GET, &path, json!(null))
        .await
        .json();
    assert_eq!(gone["changes"][0]["version"], 0);
    assert_eq!(platform.get("p/x"), None);
    assert_eq!(platform.counts().total(CallKind::Watch), 2);
}

/// Guards against a lost response that also discards the write.
#[tokio::test]
async fn lost_response_does_not_undo_the_write() {
    let (platform, client) = start().await;
    platform.update(|faults| faults.lose_answers("zones/", 1));
    let put = |path| client.call(Method::PUT, platform.address(), path, &[], "1");
    assert_eq!(
        put("/kv/other?if_version=0")
            .await
            .expect("an answer")
            .status,
        200
    );
    put("/kv/zones/a?if_version=0")
        .await
        .expect_err("the answer is lost");
    assert_eq!(platform.get("zones/a").map(|entry| entry.version), Some(1));
    assert_eq!(
        put("/kv/zones/a?if_version=1")
            .await
            .expect("an answer")
            .status,
        200
    );
}

/// Guards against tests of outages and limits that pass only because the stand-in never refuses a
/// call.
#[tokio::test]
async fn outages_and_limits_refuse_calls() {
    let (platform, client) = start().await;
    platform.update(|faults| faults.writes_per_s = 1);
    let put = |path: &'static str| call(&platform, Method::PUT, path, json!(1));
    assert_eq!(put("/kv/a").await.status, 200);
    let limited = put("/kv/a").await;
    assert_eq!((limited.status, limited.header("retry-after")), (429, "1"));
    assert_eq!(
        call(&platform, Method::GET, "/kv/a", json!(null))
            .await
            .status,
        200
    );
    platform.update(|faults| {
        faults.writes_per_s = 500;
        faults.outage = Outage::Unavailable;
    });
    assert_eq!(put("/kv/a").await.status, 503);
    platform.update(|faults| faults.outage = Outage::Silent);
    let silent = client.call(Method::GET, platform.address(), "/kv/a", &[], "");
    let waited = tokio::time::timeout(Duration::from_millis(50), silent).await;
    waited.expect_err("no answer in a silent outage");
    let control = call(&platform, Method::PUT, "/control/faults", json!({})).await;
    assert_eq!(control.status, 200);
    let large = Value::String("x".repeat(1_000_001));
    assert_eq!(
        call(&platform, Method::PUT, "/kv/a", large).await.status,
        413
    );
}

/// Guards against a VM list that shows changes immediately, unlike that of the platform.
#[tokio::test]
async fn vm_list_shows_changes_after_the_lag() {
    let (platform, _) = start().await;
    let address = platform.address();
    platform.set_vm("vm-1", "buda-hall", address, VmState::Live);
    platform.update(|faults| faults.vm_lag_ms = 3_600_000);
    platform.set_vm("vm-1", "buda-hall", address, VmState::Gone);
    let list = call(&platform, Method::GET, "/vms", json!(null))
        .await
        .json();
    assert_eq!(list["vms"][0]["state"], "live");
}
