//! What the tests share.

use std::path::{Path, PathBuf};

use hyper::Method;
use tealsaddle_schema::record::ConfigRecord;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

/// Starts a node; `test` keeps the files of different tests apart.
pub fn spawn_node(test: &str, config: NodeConfig) -> NodeProcess {
    let directory: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    NodeProcess::spawn(
        Path::new(env!("CARGO_BIN_EXE_tealsaddle")),
        &directory,
        config,
    )
    .expect("the node starts")
}

/// Writes a configuration straight into the platform's key-value service.
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
