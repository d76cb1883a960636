//! A small deployment on loopback: stand-ins in this process, nodes as child processes.
//!
//! Each node reaches the platform through a proxy of its own, and each engine and service target
//! stands behind a proxy, so that a test can cut, hold or delay any of these links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tealsaddle_core::inventory::Role;
use tealsaddle_schema::inventory as schema;
use tealsaddle_schema::record::ConfigRecord;
use tokio::task::JoinHandle;

use crate::client::{Answer, Client, ClientError, wait_until};
use crate::engine::server::{self, Engine, model_version};
use crate::engine::sim::SimConfig;
use crate::platform::faults::VmState;
use crate::platform::{self, Platform};
use crate::process::{ADMIN_TOKEN, NodeConfig, NodeProcess};
use crate::proxy::Proxy;
use crate::service::Service;

/// The model that all engines of a plan serve.
pub const MODEL: &str = "rules";

/// What to start.
#[derive(Debug, Clone)]
pub struct Plan {
    program: PathBuf,
    directory: PathBuf,
    nodes: Vec<(String, String)>,
    engines: Vec<(String, String, SimConfig)>,
    services: Vec<(String, String)>,
    /// Rules of routing and role planning; by default no role is changed.
    pub policy: schema::Policy,
    /// Bounds of the nodes on callers as fields of a YAML map.
    pub limits: String,
}

/// An engine that is fast enough for tests: 2 ms between tokens, 300 ms for a change of role.
pub fn fast_engine_config(role: Role, checks_fence: bool) -> SimConfig {
    SimConfig {
        role,
        models: vec![model_version(MODEL, "1")],
        prefill_tokens_per_s: 50_000,
        step_us: 2_000,
        step_per_request_us: 20,
        role_change_us: 300_000,
        report_lag_us: 50_000,
        checks_fence,
        ..SimConfig::default()
    }
}

impl Plan {
    /// Nothing yet; `directory` takes the settings and logs of the nodes.
    pub fn new(program: &Path, directory: &Path) -> Self {
        Self {
            program: program.to_owned(),
            directory: directory.to_owned(),
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            policy: schema::Policy {
                planner: "fixed".to_owned(),
                ..schema::Policy::default()
            },
            limits: String::new(),
        }
    }

    /// Adds a node.
    #[must_use]
    pub fn node(mut self, vm: &str, zone: &str) -> Self {
        self.nodes.push((vm.to_owned(), zone.to_owned()));
        self
    }

    /// Adds an engine; its VM is `vm-NAME`.
    #[must_use]
    pub fn engine(mut self, name: &str, zone: &str, config: SimConfig) -> Self {
        self.engines
            .push((name.to_owned(), zone.to_owned(), config));
        self
    }

    /// Adds a service with one target, `NAME-1`, on the VM `vm-NAME-1`; a `POST` to a path that
    /// starts with `/scores` may not be repeated.
    #[must_use]
    pub fn service(mut self, name: &str, zone: &str) -> Self {
        self.services.push((name.to_owned(), zone.to_owned()));
        self
    }

    /// Starts everything and waits until each node answers a completion or, without engines, has
    /// the configuration.
    pub async fn start(self) -> std::io::Result<Deployment> {
        let mut deployment = self.start_stand_ins().await?;
        deployment.write_config();
        let vms: Vec<String> = deployment.configs.keys().cloned().collect();
        for vm in &vms {
            deployment.start_node(vm)?;
        }
        for vm in &vms {
            deployment.wait_ready(vm).await;
        }
        Ok(deployment)
    }

    /// Starts all but the nodes, and writes no configuration.
    pub async fn start_stand_ins(self) -> std::io::Result<Deployment> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::bind(any).await?;
        let mut deployment = Deployment {
            program: self.program,
            directory: self.directory,
            inventory: schema::Inventory {
                policy: Some(self.policy),
                models: vec![schema::Model {
                    name: MODEL.to_owned(),
                    version: "1".to_owned(),
                    max_output_tokens: 100_000,
                    // Tests of failures must not depend on the speed of the machine.
                    first_token_ms: 60_000,
                    between_tokens_ms: 1_000,
                }],
                ..schema::Inventory::default()
            },
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            platform_proxies: BTreeMap::new(),
            configs: BTreeMap::new(),
            nodes: BTreeMap::new(),
            limits: self.limits,
        };
        for (vm, zone) in &self.nodes {
            deployment.add_node(vm, zone).await?;
        }
        for (name, zone, config) in self.engines {
            deployment.add_engine(&name, &zone, config).await?;
        }
        for (name, zone) in self.services {
            deployment.add_service(&name, &zone).await?;
        }
        Ok(deployment)
    }
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    program: PathBuf,
    directory: PathBuf,
    /// The inventory that [`Self::write_config`] writes.
    pub inventory: schema::Inventory,
    /// The platform.
    pub platform: Platform,
    engines: BTreeMap<String, (Engine, Proxy)>,
    services: BTreeMap<String, (Service, Proxy)>,
    platform_proxies: BTreeMap<String, Proxy>,
    configs: BTreeMap<String, NodeConfig>,
    nodes: BTreeMap<String, NodeProcess>,
    limits: String,
}

impl Deployment {
    /// Prepares a node without starting it.
    pub async fn add_node(&mut self, vm: &str, zone: &str) -> std::io::Result<()> {
        self.add_zone(zone);
        let link = Proxy::bind(self.platform.address()).await?;
        let mut config = NodeConfig::new(vm, zone, link.address());
        config.limits.clone_from(&self.limits);
        config.seed_peers = self.configs.values().map(|node| node.peer).collect();
        self.platform.set_vm(vm, zone, config.peer, VmState::Live);
        self.platform_proxies.insert(vm.to_owned(), link);
        self.configs.insert(vm.to_owned(), config);
        Ok(())
    }

    async fn add_engine(
        &mut self,
        name: &str,
        zone: &str,
        config: SimConfig,
    ) -> std::io::Result<()> {
        self.add_zone(zone);
        let decode_tokens_per_s = config.batch_requests as u64 * 1_000_000
            / (config.step_us + config.step_per_request_us * config.batch_requests as u64);
        let entry = schema::Engine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            vm: format!("vm-{name}"),
            models: vec![MODEL.to_owned()],
            role: config.role.as_str().to_owned(),
            checks_fence: config.checks_fence,
            prefill_tokens_per_s: config.prefill_tokens_per_s as u32,
            decode_tokens_per_s: decode_tokens_per_s as u32,
            batch_requests: config.batch_requests as u32,
            kv_capacity_tokens: config.kv_capacity_tokens,
            role_change_ms: config.role_change_us / 1_000,
            ..schema::Engine::default()
        };
        let engine = server::bind(SocketAddr::from(([127, 0, 0, 1], 0)), config).await?;
        let link = Proxy::bind(engine.address()).await?;
        self.platform
            .set_vm(&entry.vm, zone, link.address(), VmState::Live);
        self.inventory.engines.push(schema::Engine {
            address: link.address().to_string(),
            ..entry
        });
        self.engines.insert(name.to_owned(), (engine, link));
        Ok(())
    }

    async fn add_service(&mut self, name: &str, zone: &str) -> std::io::Result<()> {
        self.add_zone(zone);
        let service = Service::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let link = Proxy::bind(service.address()).await?;
        let vm = format!("vm-{name}-1");
        self.platform
            .set_vm(&vm, zone, link.address(), VmState::Live);
        self.inventory.services.push(schema::Service {
            name: name.to_owned(),
            targets: vec![schema::Target {
                name: format!("{name}-1"),
                zone: zone.to_owned(),
                vm,
                address: link.address().to_string(),
                withdrawn: false,
            }],
            non_repeatable: vec![schema::NonRepeatable {
                method: "POST".to_owned(),
                path_prefix: "/scores".to_owned(),
            }],
            timeout_ms: 0,
        });
        self.services.insert(name.to_owned(), (service, link));
        Ok(())
    }

    fn add_zone(&mut self, zone: &str) {
        if self.inventory.zones.iter().any(|known| known.name == zone) {
            return;
        }
        for known in &mut self.inventory.zones {
            known.spill_to.push(zone.to_owned());
        }
        let spill_to = self.inventory.zones.iter().map(|known| known.name.clone());
        self.inventory.zones.push(schema::Zone {
            name: zone.to_owned(),
            region: "hu-central".to_owned(),
            spill_to: spill_to.collect(),
        });
    }

    /// The inventory as a configuration file; JSON is valid YAML.
    pub fn config_file(&self) -> String {
        serde_json::to_string(&self.inventory).expect("an inventory is plain JSON")
    }

    /// Writes the inventory straight into the key-value service and gives its version.
    pub fn write_config(&self) -> u64 {
        let current = self.platform.get("config/current");
        let version = current.map_or(0, |entry| entry.version) + 1;
        let record = ConfigRecord {
            version,
            yaml: self.config_file(),
            ..ConfigRecord::default()
        };
        let record = serde_json::to_value(record).expect("a record is plain JSON");
        self.platform.set("config/current", record);
        version
    }

    /// An engine.
    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name].0
    }

    /// All engines by name.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        let engines = self.engines.iter();
        engines.map(|(name, (engine, _))| (name.as_str(), engine))
    }

    /// The link to an engine.
    pub fn engine_proxy(&self, name: &str) -> &Proxy {
        &self.engines[name].1
    }

    /// A service.
    pub fn service(&self, name: &str) -> &Service {
        &self.services[name].0
    }

    /// The link to a service.
    pub fn service_proxy(&self, name: &str) -> &Proxy {
        &self.services[name].1
    }

    /// The link of a node to the platform.
    pub fn platform_proxy(&self, vm: &str) -> &Proxy {
        &self.platform_proxies[vm]
    }

    /// Settings of a node, whether it runs or not.
    pub fn config(&self, vm: &str) -> &NodeConfig {
        &self.configs[vm]
    }

    /// Starts a node, also once more after it has ended.
    pub fn start_node(&mut self, vm: &str) -> std::io::Result<()> {
        let config = self.configs[vm].clone();
        let node = NodeProcess::spawn(&self.program, &self.directory, config)?;
        self.nodes.insert(vm.to_owned(), node);
        Ok(())
    }

    /// Sends a signal to a node.
    pub fn signal(&self, vm: &str, signal: Signal) {
        self.nodes[vm]
            .signal(signal)
            .expect("the node can be signalled");
    }

    /// Waits until a node has ended and gives its status.
    pub async fn wait_for_exit(&mut self, vm: &str) -> ExitStatus {
        let mut node = self.nodes.remove(vm).expect("the node was started");
        loop {
            if let Some(status) = node.try_wait().expect("the node is a child") {
                return status;
            }
            // Polled, since a blocking wait would stop the stand-ins of this thread.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills a node.
    pub async fn kill(&mut self, vm: &str) {
        self.signal(vm, Signal::SIGKILL);
        self.wait_for_exit(vm).await;
    }

    /// Stops a node gracefully and gives its status.
    pub async fn stop(&mut self, vm: &str) -> ExitStatus {
        self.signal(vm, Signal::SIGTERM);
        self.wait_for_exit(vm).await
    }

    /// What a node has logged since its last start.
    pub fn log(&self, vm: &str) -> String {
        self.nodes[vm].log().unwrap_or_default()
    }

    /// Sends a request to the administration API of a node.
    pub async fn admin(
        &self,
        vm: &str,
        method: Method,
        path: &str,
        body: impl Into<bytes::Bytes>,
    ) -> Result<Answer, ClientError> {
        let token = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let address = self.configs[vm].admin;
        Client::open()
            .call(method, address, path, &headers, body)
            .await
    }

    /// Status of a node; null while it does not answer.
    pub async fn status(&self, vm: &str) -> Value {
        let answer = self.admin(vm, Method::GET, "/admin/status", "").await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// The node that holds a zone's authority, as the zone's nodes in this process list say.
    pub async fn holder(&self, zone: &str) -> Option<String> {
        for (vm, config) in &self.configs {
            if config.zone == zone && self.nodes.contains_key(vm) {
                let asked = tokio::time::timeout(Duration::from_secs(1), self.status(vm));
                if asked.await.is_ok_and(|status| status["is_holder"] == true) {
                    return Some(vm.clone());
                }
            }
        }
        None
    }

    /// Waits until a node answers a completion or, without engines in its zone, has a
    /// configuration.
    pub async fn wait_ready(&self, vm: &str) {
        let zone = &self.configs[vm].zone;
        let has_engines = self
            .inventory
            .engines
            .iter()
            .any(|engine| engine.zone == *zone);
        wait_until(|| async {
            if has_engines {
                let answer = self.complete(vm, "ready", 1).await;
                answer.is_ok_and(|answer| answer.status == 200)
            } else {
                self.status(vm).await["config_version"].as_u64() > Some(0)
            }
        })
        .await;
    }

    /// Asks a node for a streamed completion with seed 7.
    pub async fn complete(
        &self,
        vm: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Answer, ClientError> {
        let task = self.spawn_completion(vm, prompt, max_tokens);
        task.await.expect("a completion does not panic")
    }

    /// As [`Self::complete`], in the background.
    pub fn spawn_completion(
        &self,
        vm: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> JoinHandle<Result<Answer, ClientError>> {
        let body = completion(prompt, max_tokens).to_string();
        let address = self.configs[vm].caller;
        tokio::spawn(async move {
            let path = "/v1/completions";
            Client::open()
                .call(Method::POST, address, path, &[], body)
                .await
        })
    }
}

/// Body of a streamed completion with seed 7.
fn completion(prompt: &str, max_tokens: u64) -> Value {
    json!({
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": 7,
        "stream": true,
    })
}
