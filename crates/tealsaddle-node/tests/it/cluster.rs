//! A zone of real node processes with engine stand-ins and a platform stand-in.

use std::fmt::Write;
use std::net::SocketAddr;

use futures::future::join_all;
use hyper::Method;
use serde_json::Value;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::engine::server::{self, Engine, EngineConfig};
use tealsaddle_testkit::platform::{self, Platform, faults::VmState};
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

use crate::support::{admin, put_config, spawn_node};

/// Zone of the nodes unless a test says otherwise.
pub const ZONE: &str = "buda-hall";

/// A running zone.
pub struct Cluster {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub nodes: Vec<NodeProcess>,
    test: String,
}

/// An address that the system chooses.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// A configuration with one engine per role named, for model `rules`; `fenced` engines check tokens.
pub fn config(engines: &[Engine], roles: &[&str], fenced: bool, policy: &str) -> String {
    let mut yaml = format!(
        "zones: [{{name: {ZONE}, region: hu-central}}, {{name: pest-hall, region: hu-central}}]\n\
         models: [{{name: rules}}]\npolicy: {{{policy}}}\n"
    );
    if !engines.is_empty() {
        yaml.push_str("engines:\n");
    }
    for (i, (engine, role)) in engines.iter().zip(roles).enumerate() {
        let address = engine.address();
        writeln!(
            yaml,
            "  - {{name: e{i}, zone: {ZONE}, vm: runner-{i}, address: \"{address}\", \
             models: [rules], role: {role}, checks_fence: {fenced}, prefill_tokens_per_s: 100000, \
             decode_tokens_per_s: 1000, batch_requests: 8, kv_capacity_tokens: 100000}}"
        )
        .expect("writing to a string cannot fail");
    }
    yaml
}

impl Cluster {
    /// Starts the platform, mixed engines and nodes; nothing is configured yet.
    pub async fn start(test: &str, nodes: usize, engines: usize) -> Self {
        let platform = platform::bind(any()).await.expect("the platform starts");
        let speed = EngineConfig {
            prefill_tokens_per_s: 100_000,
            between_tokens_ms: 5,
        };
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            nodes: Vec::new(),
            test: test.to_owned(),
        };
        for i in 0..engines {
            let engine = server::bind(any(), speed.clone()).await;
            let engine = engine.expect("the engine starts");
            cluster.show_vm(&format!("runner-{i}"), VmState::Live);
            cluster.engines.push(engine);
        }
        let configs: Vec<_> = (0..nodes).map(|i| cluster.node_config(i)).collect();
        for config in &configs {
            cluster.show_vm(&config.vm, VmState::Live);
        }
        for config in &configs {
            let mut config = config.clone();
            config.seed_peers = configs.iter().map(|other| other.peer).collect();
            cluster.nodes.push(spawn_node(test, config));
        }
        cluster
    }

    /// Starts a zone in service: configured, with a holder, and every node in the router list.
    pub async fn in_service(test: &str, nodes: usize, engines: usize) -> Self {
        let cluster = Self::start(test, nodes, engines).await;
        let roles = vec!["mixed"; engines];
        let yaml = config(&cluster.engines, &roles, true, "planner: fixed");
        put_config(cluster.platform.address(), 1, &yaml).await;
        cluster.wait_in_service(engines).await;
        cluster
    }

    /// A configuration for a further node.
    pub fn node_config(&self, i: usize) -> NodeConfig {
        NodeConfig::new(&format!("vm-{i}"), ZONE, self.platform.address())
    }

    /// Starts a further node, which knows the others.
    pub fn add_node(&mut self, mut config: NodeConfig) {
        config.seed_peers = self.nodes.iter().map(|node| node.config.peer).collect();
        self.show_vm(&config.vm, VmState::Live);
        self.nodes.push(spawn_node(&self.test, config));
    }

    /// Sets what the VM list shows.
    pub fn show_vm(&self, vm: &str, state: VmState) {
        self.platform.set_vm(vm, ZONE, any(), state);
    }

    /// Status of a node; null while it does not answer.
    pub async fn status(&self, node: usize) -> Value {
        let address = self.nodes[node].config.admin;
        let status = admin(Method::GET, address, "/admin/status", "").await;
        status.map_or(Value::Null, |answer| answer.json())
    }

    /// Status of all nodes.
    pub async fn statuses(&self) -> Vec<Value> {
        join_all((0..self.nodes.len()).map(|node| self.status(node))).await
    }

    /// Waits until every node routes to that many engines of the zone.
    pub async fn wait_in_service(&self, open_engines: usize) {
        wait_until(|| async {
            let statuses = self.statuses().await;
            statuses
                .iter()
                .all(|status| status["is_registered"] == true && open(status).len() == open_engines)
        })
        .await;
    }

    /// The holder; `None` while there is none.
    pub async fn holder(&self) -> Option<usize> {
        let statuses = self.statuses().await;
        statuses
            .iter()
            .position(|status| status["is_holder"] == true)
    }

    /// Waits for a holder.
    pub async fn wait_holder(&self) -> usize {
        wait_until(|| async { self.holder().await.is_some() }).await;
        self.holder().await.expect("there was a holder")
    }

    /// Counter of a node; 0 while it does not answer.
    pub async fn counter(&self, node: usize, name: &str) -> u64 {
        let address = self.nodes[node].config.admin;
        let counters = admin(Method::GET, address, "/admin/counters", "").await;
        counters.map_or(0, |answer| answer.json()[name].as_u64().unwrap_or(0))
    }
}

/// Engines that a node sends new work to.
pub fn open(status: &Value) -> Vec<String> {
    let engines = status["engines"].as_array().cloned().unwrap_or_default();
    engines
        .iter()
        .filter(|engine| engine["is_open"] == true)
        .map(|engine| engine["engine"].as_str().unwrap_or_default().to_owned())
        .collect()
}
