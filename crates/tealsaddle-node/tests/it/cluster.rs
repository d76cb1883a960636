//! A zone of real node processes with simulated engines and a simulated platform.

use std::fmt::Write;
use std::net::SocketAddr;

use futures::future::join_all;
use hyper::Method;
use serde_json::Value;
use tealsaddle_core::inventory::Role;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::engine::server::{self, Engine, EngineConfig};
use tealsaddle_testkit::engine::sim::SimConfig;
use tealsaddle_testkit::platform::{self, Platform, faults::VmState};
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

use crate::support::{admin, put_config, spawn_node};

/// Default zone of the nodes.
pub const ZONE: &str = "buda-hall";

/// A running zone.
pub struct Cluster {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub nodes: Vec<NodeProcess>,
    test: String,
}

/// An address whose port the system chooses.
pub fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// The configuration of a simulated engine for model `rules`.
pub fn engine_config(role: Role, checks_fence: bool) -> SimConfig {
    let speed = EngineConfig {
        prefill_tokens_per_s: 100_000,
        between_tokens_ms: 5,
    };
    SimConfig {
        role,
        checks_fence,
        role_change_us: 500_000,
        ..speed.into()
    }
}

/// A node configuration with one engine per address and role, for model `rules`.
pub fn config_yaml(engines: &[(SocketAddr, &str)], checks_fence: bool, policy: &str) -> String {
    let mut yaml = format!(
        "zones: [{{name: {ZONE}, region: hu-central}}, {{name: pest-hall, region: hu-central}}]\n\
         models: [{{name: rules, first_token_ms: 60000, between_tokens_ms: 60000}}]\n\
         policy: {{{policy}}}\n"
    );
    if !engines.is_empty() {
        yaml.push_str("engines:\n");
    }
    for (i, (address, role)) in engines.iter().enumerate() {
        writeln!(
            yaml,
            "  - {{name: e{i}, zone: {ZONE}, vm: runner-{i}, address: \"{address}\", \
             models: [rules], role: {role}, checks_fence: {checks_fence}, prefill_tokens_per_s: 100000, \
             decode_tokens_per_s: 1000, batch_requests: 8, kv_capacity_tokens: 100000}}"
        )
        .expect("writing to a string cannot fail");
    }
    yaml
}

impl Cluster {
    /// Starts the platform, engines and nodes, without a configuration.
    pub async fn start(test: &str, nodes: usize, engines: &[SimConfig]) -> Self {
        let platform = platform::bind(any_address())
            .await
            .expect("the platform starts");
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            nodes: Vec::new(),
            test: test.to_owned(),
        };
        for (i, config) in engines.iter().enumerate() {
            let engine = server::bind(any_address(), config.clone()).await;
            let engine = engine.expect("the engine starts");
            cluster.set_vm_state(&format!("runner-{i}"), VmState::Live);
            cluster.engines.push(engine);
        }
        let configs: Vec<_> = (0..nodes).map(|i| cluster.node_config(i)).collect();
        for config in &configs {
            cluster.set_vm_state(&config.vm, VmState::Live);
        }
        for config in &configs {
            let mut config = config.clone();
            config.seed_peers = configs.iter().map(|other| other.peer).collect();
            cluster.nodes.push(spawn_node(test, config));
        }
        cluster
    }

    /// Starts a zone and waits until it is configured and every node is in the router list.
    pub async fn start_in_service(test: &str, nodes: usize, engines: usize) -> Self {
        let engines = vec![engine_config(Role::Mixed, true); engines];
        Self::start_with_engines(test, nodes, &engines).await
    }

    /// Like [`Self::start_in_service`], with engines of any role. The planner keeps the roles fixed.
    pub async fn start_with_engines(test: &str, nodes: usize, engines: &[SimConfig]) -> Self {
        let cluster = Self::start(test, nodes, engines).await;
        let checks_fence = engines.iter().all(|engine| engine.checks_fence);
        let yaml = config_yaml(&cluster.addresses(engines), checks_fence, "planner: fixed");
        put_config(cluster.platform.address(), 1, &yaml).await;
        cluster.wait_until_in_service(engines.len()).await;
        cluster
    }

    /// Addresses and roles of the engines, for [`config_yaml`].
    pub fn addresses(&self, engines: &[SimConfig]) -> Vec<(SocketAddr, &'static str)> {
        let roles = engines.iter().map(|engine| engine.role.as_str());
        let addresses = self.engines.iter().map(Engine::address);
        addresses.zip(roles).collect()
    }

    /// Writes a configuration through the first node and waits until it is in force at all nodes.
    pub async fn apply_config(&self, version: u64, yaml: &str) {
        let path = format!("/admin/config?if_version={}", version - 1);
        let address = self.nodes[0].config.admin;
        let answer = admin(Method::PUT, address, &path, yaml).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        wait_until(|| async {
            let statuses = self.statuses().await;
            statuses
                .iter()
                .all(|status| status["config_version"] == version)
        })
        .await;
    }

    /// Process configuration of node number `i`.
    pub fn node_config(&self, i: usize) -> NodeConfig {
        NodeConfig::new(&format!("vm-{i}"), ZONE, self.platform.address())
    }

    /// Starts a further node with the present nodes as its seed peers.
    pub fn add_node(&mut self, mut config: NodeConfig) {
        config.seed_peers = self.nodes.iter().map(|node| node.config.peer).collect();
        self.set_vm_state(&config.vm, VmState::Live);
        self.nodes.push(spawn_node(&self.test, config));
    }

    /// Sets the state of a VM in the VM list.
    pub fn set_vm_state(&self, vm: &str, state: VmState) {
        self.platform.set_vm(vm, ZONE, any_address(), state);
    }

    /// Status of a node; null if the node does not answer.
    pub async fn status(&self, node: usize) -> Value {
        let address = self.nodes[node].config.admin;
        let status = admin(Method::GET, address, "/admin/status", "").await;
        status.map_or(Value::Null, |answer| answer.json())
    }

    /// Status of all nodes.
    pub async fn statuses(&self) -> Vec<Value> {
        join_all((0..self.nodes.len()).map(|node| self.status(node))).await
    }

    /// Waits until every node is registered and routes to `engine_count` engines.
    pub async fn wait_until_in_service(&self, engine_count: usize) {
        wait_until(|| async {
            let statuses = self.statuses().await;
            statuses.iter().all(|status| {
                status["is_registered"] == true && open_engines(status).len() == engine_count
            })
        })
        .await;
    }

    /// Index of the holder; `None` while there is none.
    pub async fn holder(&self) -> Option<usize> {
        let statuses = self.statuses().await;
        statuses
            .iter()
            .position(|status| status["is_holder"] == true)
    }

    /// Waits for a holder.
    pub async fn wait_for_holder(&self) -> usize {
        wait_until(|| async { self.holder().await.is_some() }).await;
        self.holder().await.expect("there was a holder")
    }

    /// Value of a counter of a node; 0 if the node does not answer.
    pub async fn counter(&self, node: usize, name: &str) -> u64 {
        let address = self.nodes[node].config.admin;
        let counters = admin(Method::GET, address, "/admin/counters", "").await;
        counters.map_or(0, |answer| answer.json()[name].as_u64().unwrap_or(0))
    }
}

/// Names of the engines that a node sends new work to.
pub fn open_engines(status: &Value) -> Vec<String> {
    let engines = status["engines"].as_array().cloned().unwrap_or_default();
    engines
        .iter()
        .filter(|engine| engine["is_open"] == true)
        .map(|engine| engine["engine"].as_str().unwrap_or_default().to_owned())
        .collect()
}
