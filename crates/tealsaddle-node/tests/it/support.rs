//! Helpers shared by the tests.

use std::path::{Path, PathBuf};

use hyper::Method;
use tealsaddle_schema::record::ConfigRecord;
use tealsaddle_testkit::client::{Answer, Client, ClientError};
use tealsaddle_testkit::deployment::Deployment;
use tealsaddle_testkit::engine::record::{conflicts, cut_off_by_role_change};
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

/// Starts a node. Its files are in a directory named by `test`.
pub fn spawn_node(test: &str, config: NodeConfig) -> NodeProcess {
    let directory: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    NodeProcess::spawn(
        Path::new(env!("CARGO_BIN_EXE_tealsaddle")),
        &directory,
        config,
    )
    .expect("the node starts")
}

/// Writes a configuration directly to the platform's key-value service.
pub async fn put_config(platform: std::net::SocketAddr, version: u64, yaml: &str) {
    let record = ConfigRecord {
        version,
        yaml: yaml.to_owned(),
        ..ConfigRecord::default()
    };
    let body = serde_json::to_string(&record).expect("a record is JSON");
    let path = format!("/kv/config/current?if_version={}", version - 1);
    let answer = Client::open()
        .call(Method::PUT, platform, &path, &[], body)
        .await;
    assert_eq!(answer.expect("the platform answers").status, 200);
}

/// Header that authorizes an operator.
pub const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer test-token");

/// Sends a request to the administration API of a node.
pub async fn admin(
    method: Method,
    address: std::net::SocketAddr,
    path: &str,
    body: &str,
) -> Result<Answer, ClientError> {
    let body = body.to_owned();
    Client::open()
        .call(method, address, path, &[AUTHORIZATION], body)
        .await
}

/// Configuration version in force at a node; `None` if the node does not answer.
pub async fn config_version(address: std::net::SocketAddr) -> Option<u64> {
    let status = admin(Method::GET, address, "/admin/status", "")
        .await
        .ok()?;
    status.json()["config_version"].as_u64()
}

/// Asserts that no engine received conflicting orders or cut off a stream for a role change.
pub fn assert_no_conflict_or_cut_off(deployment: &Deployment) {
    for (name, engine) in deployment.engines() {
        let record = engine.record();
        assert_eq!(conflicts(&record), Vec::<String>::new(), "{name}");
        assert_eq!(
            cut_off_by_role_change(&record),
            Vec::<String>::new(),
            "{name}"
        );
    }
}
