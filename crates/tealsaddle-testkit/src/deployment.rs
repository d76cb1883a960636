//! A small deployment on loopback: stand-ins in this process, nodes as child processes.
//!
//! Each node reaches the platform through a proxy of its own, and each engine and service target is
//! reached through a proxy, so that a test can reset, hold or delay any of these connections.

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

/// Name of the model that all engines of a plan serve.
pub const MODEL: &str = "rules";

/// Description of a deployment to start.
#[derive(Debug, Clone)]
pub struct Plan {
    program: PathBuf,
    directory: PathBuf,
    /// VM and zone of each node.
    nodes: Vec<(String, String)>,
    /// Name, zone and configuration of each engine.
    engines: Vec<(String, String, SimConfig)>,
    /// Name and zone of each service.
    services: Vec<(String, String)>,
    /// Policy for routing and role planning; by default roles do not change.
    pub policy: schema::Policy,
    /// Limits of the nodes on callers, as the fields of a YAML map.
    pub limits: String,
}

/// Configuration of an engine that is fast enough for tests: 2 ms between tokens and 300 ms for a
/// role change.
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
    /// Creates an empty plan; the settings and logs of the nodes are written to `directory`.
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

    /// Adds a node on the given VM and zone.
    #[must_use]
    pub fn node(mut self, vm: &str, zone: &str) -> Self {
        self.nodes.push((vm.to_owned(), zone.to_owned()));
        self
    }

    /// Adds an engine on the VM `vm-NAME`.
    #[must_use]
    pub fn engine(mut self, name: &str, zone: &str, config: SimConfig) -> Self {
        self.engines
            .push((name.to_owned(), zone.to_owned(), config));
        self
    }

    /// Adds a service with one target, `NAME-1`, on the VM `vm-NAME-1`. Only a `POST` to a path
    /// with the prefix `/scores` is non-repeatable.
    #[must_use]
    pub fn service(mut self, name: &str, zone: &str) -> Self {
        self.services.push((name.to_owned(), zone.to_owned()));
        self
    }

    /// Starts the stand-ins and nodes and waits until each node is ready; see
    /// [`Deployment::wait_ready`].
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

    /// Starts only the stand-ins, without writing a configuration.
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
                    // The targets are wide, since tests of failures must not depend on the speed of
                    // the machine.
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
    /// Stand-in of the platform.
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
        let proxy = Proxy::bind(self.platform.address()).await?;
        let mut config = NodeConfig::new(vm, zone, proxy.address());
        config.limits.clone_from(&self.limits);
        config.seed_peers = self.configs.values().map(|node| node.peer).collect();
        self.platform.set_vm(vm, zone, config.peer, VmState::Live);
        self.platform_proxies.insert(vm.to_owned(), proxy);
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
        let proxy = Proxy::bind(engine.address()).await?;
        self.platform
            .set_vm(&entry.vm, zone, proxy.address(), VmState::Live);
        self.inventory.engines.push(schema::Engine {
            address: proxy.address().to_string(),
            ..entry
        });
        self.engines.insert(name.to_owned(), (engine, proxy));
        Ok(())
    }

    async fn add_service(&mut self, name: &str, zone: &str) -> std::io::Result<()> {
        self.add_zone(zone);
        let service = Service::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let proxy = Proxy::bind(service.address()).await?;
        let vm = format!("vm-{name}-1");
        self.platform
            .set_vm(&vm, zone, proxy.address(), VmState::Live);
        self.inventory.services.push(schema::Service {
            name: name.to_owned(),
            targets: vec![schema::Target {
                name: format!("{name}-1"),
                zone: zone.to_owned(),
                vm,
                address: proxy.address().to_string(),
                withdrawn: false,
            }],
            non_repeatable: vec![schema::NonRepeatable {
                method: "POST".to_owned(),
                path_prefix: "/scores".to_owned(),
            }],
            timeout_ms: 0,
        });
        self.services.insert(name.to_owned(), (service, proxy));
        Ok(())
    }

    fn add_zone(&mut self, zone: &str) {
        if self
            .inventory
            .zones
            .iter()
            .any(|existing| existing.name == zone)
        {
            return;
        }
        for existing in &mut self.inventory.zones {
            existing.spill_to.push(zone.to_owned());
        }
        let spill_to = self
            .inventory
            .zones
            .iter()
            .map(|existing| existing.name.clone());
        self.inventory.zones.push(schema::Zone {
            name: zone.to_owned(),
            region: "hu-central".to_owned(),
            spill_to: spill_to.collect(),
        });
    }

    /// Content of the configuration file for the inventory, as JSON, which is valid YAML.
    pub fn config_file(&self) -> String {
        serde_json::to_string(&self.inventory).expect("an inventory is plain JSON")
    }

    /// Writes the inventory directly to the key-value service and returns its version.
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

    /// The engine with this name; panics if there is none.
    pub fn engine(&self, name: &str) -> &Engine {
        &self.engines[name].0
    }

    /// All engines with their names, in order of the names.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &Engine)> {
        let engines = self.engines.iter();
        engines.map(|(name, (engine, _))| (name.as_str(), engine))
    }

    /// The proxy in front of an engine.
    pub fn engine_proxy(&self, name: &str) -> &Proxy {
        &self.engines[name].1
    }

    /// The service with this name; panics if there is none.
    pub fn service(&self, name: &str) -> &Service {
        &self.services[name].0
    }

    /// The proxy in front of a service.
    pub fn service_proxy(&self, name: &str) -> &Proxy {
        &self.services[name].1
    }

    /// The proxy between a node and the platform.
    pub fn platform_proxy(&self, vm: &str) -> &Proxy {
        &self.platform_proxies[vm]
    }

    /// Settings of a node, regardless of whether it runs.
    pub fn config(&self, vm: &str) -> &NodeConfig {
        &self.configs[vm]
    }

    /// Starts a node, or starts it again after it has exited.
    pub fn start_node(&mut self, vm: &str) -> std::io::Result<()> {
        let config = self.configs[vm].clone();
        let node = NodeProcess::spawn(&self.program, &self.directory, config)?;
        self.nodes.insert(vm.to_owned(), node);
        Ok(())
    }

    /// Sends a signal to a node; panics if the node was not started.
    pub fn signal(&self, vm: &str, signal: Signal) {
        self.nodes[vm]
            .signal(signal)
            .expect("the node can be signalled");
    }

    /// Waits until a node has exited and returns its status.
    pub async fn wait_for_exit(&mut self, vm: &str) -> ExitStatus {
        let mut node = self.nodes.remove(vm).expect("the node was started");
        loop {
            if let Some(status) = node.try_wait().expect("the node is a child") {
                return status;
            }
            // The status is polled, since a blocking wait would also block the stand-ins on this
            // thread.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills a node and waits until it has exited.
    pub async fn kill(&mut self, vm: &str) {
        self.signal(vm, Signal::SIGKILL);
        self.wait_for_exit(vm).await;
    }

    /// Stops a node gracefully and returns its status.
    pub async fn stop(&mut self, vm: &str) -> ExitStatus {
        self.signal(vm, Signal::SIGTERM);
        self.wait_for_exit(vm).await
    }

    /// Log output of a node since its last start; empty if the file cannot be read.
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

    /// Status of a node; null if the node does not respond.
    pub async fn status(&self, vm: &str) -> Value {
        let answer = self.admin(vm, Method::GET, "/admin/status", "").await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// The node that reports itself as the holder of a zone's authority; `None` if no running node
    /// does.
    pub async fn holder(&self, zone: &str) -> Option<String> {
        for (vm, config) in &self.configs {
            if config.zone == zone && self.nodes.contains_key(vm) {
                let status = tokio::time::timeout(Duration::from_secs(1), self.status(vm));
                if status.await.is_ok_and(|status| status["is_holder"] == true) {
                    return Some(vm.clone());
                }
            }
        }
        None
    }

    /// Waits until a node answers a completion request or, without engines in its zone, has a
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

    /// Requests a streamed completion with seed 7 from a node.
    pub async fn complete(
        &self,
        vm: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Answer, ClientError> {
        let task = self.spawn_completion(vm, prompt, max_tokens);
        task.await.expect("a completion does not panic")
    }

    /// Like [`Self::complete`], in a background task.
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

/// Body of a request for a streamed completion with seed 7.
fn completion(prompt: &str, max_tokens: u64) -> Value {
    json!({
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": 7,
        "stream": true,
    })
}
