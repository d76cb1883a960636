//! Measures the resource usage and reaction times of the control plane, with node processes on
//! loopback addresses.
//!
//! `cargo run --release --example control_cost -- target/release/tealsaddle NODES [ENGINES]`

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use futures::future::join_all;
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
use tealsaddle_testkit::client::{Client, wait_until};
use tealsaddle_testkit::engine::server::{self, Engine, EngineConfig};
use tealsaddle_testkit::platform::faults::{CallKind, VmState};
use tealsaddle_testkit::platform::{self, Platform};
use tealsaddle_testkit::process::{NodeConfig, NodeProcess};

const ZONE: &str = "buda-hall";
const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer test-token");
/// Period over which the idle resource usage is averaged.
const IDLE_PERIOD: Duration = Duration::from_secs(20);

struct Zone {
    platform: Platform,
    engines: Vec<Engine>,
    nodes: Vec<NodeProcess>,
    program: PathBuf,
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

impl Zone {
    async fn start(program: PathBuf, nodes: usize, engines: usize) -> Self {
        let mut zone = Self {
            platform: platform::bind(any_port())
                .await
                .expect("the platform starts"),
            engines: Vec::new(),
            nodes: Vec::new(),
            program,
        };
        for _ in 0..engines {
            let speed = EngineConfig {
                prefill_tokens_per_s: 100_000,
                between_tokens_ms: 10,
            };
            let engine = server::bind(any_port(), speed).await;
            zone.engines.push(engine.expect("the engine starts"));
        }
        let platform = zone.platform.address();
        let configs: Vec<_> = (0..nodes)
            .map(|i| NodeConfig::new(&format!("vm-{i}"), ZONE, platform))
            .collect();
        let seeds: Vec<_> = configs.iter().take(3).map(|config| config.peer).collect();
        for mut config in configs {
            config.seed_peers.clone_from(&seeds);
            zone.platform
                .set_vm(&config.vm, ZONE, any_port(), VmState::Live);
            zone.spawn(config);
        }
        let record = serde_json::json!({ "version": 1, "yaml": zone.config() });
        zone.platform.set("config/current", record);
        zone
    }

    fn spawn(&mut self, config: NodeConfig) {
        let directory = std::env::temp_dir().join("tealsaddle-control-cost");
        let node = NodeProcess::spawn(&self.program, &directory, config);
        self.nodes.push(node.expect("the node starts"));
    }

    fn config(&self) -> String {
        let mut yaml = format!(
            "zones: [{{name: {ZONE}, region: hu-central}}]\nmodels: [{{name: rules}}]\nengines:\n"
        );
        for (i, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            writeln!(
                yaml,
                "  - {{name: e{i}, zone: {ZONE}, address: \"{address}\", models: [rules], \
                 role: mixed, prefill_tokens_per_s: 100000, decode_tokens_per_s: 1000, \
                 batch_requests: 8, kv_capacity_tokens: 100000}}"
            )
            .expect("writing to a string cannot fail");
        }
        yaml
    }

    async fn status(&self, node: usize) -> Value {
        let address = self.nodes[node].config.admin;
        let call = Client::open();
        let answer = call.call(Method::GET, address, "/admin/status", &[AUTHORIZATION], "");
        answer.await.map_or(Value::Null, |answer| answer.json())
    }

    async fn all_nodes<F>(&self, check: F) -> bool
    where
        F: Fn(&Value) -> bool,
    {
        let statuses = join_all((0..self.nodes.len()).map(|node| self.status(node))).await;
        statuses.iter().all(check)
    }

    async fn holder(&self) -> Option<usize> {
        let statuses = join_all((0..self.nodes.len()).map(|node| self.status(node))).await;
        statuses
            .iter()
            .position(|status| status["is_holder"] == true)
    }

    async fn apply(&self, version: u64) -> Instant {
        let path = format!("/admin/config?if_version={}", version - 1);
        let yaml = format!("# change {version}\n{}", self.config());
        let address = self.nodes[0].config.admin;
        let answer = Client::open()
            .call(Method::PUT, address, &path, &[AUTHORIZATION], yaml)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        Instant::now()
    }

    async fn wait_version(&self, version: u64) {
        wait_until(|| self.all_nodes(|status| status["config_version"] == version)).await;
    }
}

/// CPU time of a node process, CPU time of its control thread, and resident memory in kB.
fn process_usage(pid: u32) -> (Duration, Duration, u64) {
    // A clock tick in /proc is 10 ms on all common kernels.
    let ticks = |file: &Path| {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default().to_owned();
        let fields: Vec<u64> = fields.split(' ').map(|f| f.parse().unwrap_or(0)).collect();
        Duration::from_millis((fields[12] + fields[13]) * 10)
    };
    let root = PathBuf::from(format!("/proc/{pid}"));
    let tasks = std::fs::read_dir(root.join("task")).expect("the node runs");
    let control = tasks
        .flatten()
        .filter(|task| {
            std::fs::read_to_string(task.path().join("comm")).is_ok_and(|c| c.trim() == "control")
        })
        .map(|task| ticks(&task.path().join("stat")))
        .sum();
    let status = std::fs::read_to_string(root.join("status")).unwrap_or_default();
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0);
    (ticks(&root.join("stat")), control, resident)
}

/// Bytes sent and received on the currently open TCP connections of a node; 0 if `ss` is missing.
fn tcp_bytes(pid: u32) -> u64 {
    let output = Command::new("ss").args(["-tinpH"]).output();
    let text = output.map_or_else(
        |_missing| String::new(),
        |output| String::from_utf8_lossy(&output.stdout).into_owned(),
    );
    let mut is_own = false;
    let mut sum = 0;
    for line in text.lines() {
        if line.starts_with([' ', '\t']) {
            let fields = line.split_whitespace().filter(|_| is_own);
            sum += fields
                .filter_map(|field| {
                    let sent = field.strip_prefix("bytes_sent:");
                    sent.or_else(|| field.strip_prefix("bytes_received:"))
                })
                .filter_map(|number| number.parse::<u64>().ok())
                .sum::<u64>();
        } else {
            is_own = line.contains(&format!("pid={pid},"));
        }
    }
    sum
}

async fn measure_idle(zone: &Zone) {
    tokio::time::sleep(Duration::from_secs(8)).await;
    let pids: Vec<u32> = zone.nodes.iter().map(NodeProcess::id).collect();
    let before: Vec<_> = pids
        .iter()
        .map(|pid| (process_usage(*pid), tcp_bytes(*pid)))
        .collect();
    let kinds = [
        CallKind::Read,
        CallKind::Write,
        CallKind::Watch,
        CallKind::Lease,
        CallKind::Vms,
    ];
    let counts = zone.platform.counts();
    let start = Instant::now();
    tokio::time::sleep(IDLE_PERIOD).await;
    let elapsed = start.elapsed().as_secs_f64();
    let later = zone.platform.counts();
    let nodes = pids.len() as f64;
    for kind in kinds {
        let calls = (later.total(kind) - counts.total(kind)) as f64;
        println!(
            "idle platform {kind:?}: {:.2}/s per node",
            calls / elapsed / nodes
        );
    }
    let holder = zone.holder().await;
    for (i, (pid, ((cpu, control, _), sent))) in pids.iter().zip(before).enumerate() {
        let (cpu_now, control_now, resident) = process_usage(*pid);
        let role = if Some(i) == holder { "holder" } else { "node" };
        println!(
            "idle {role}: cpu {:.2}%, control thread {:.2}%, resident {:.1} MB, {:.1} KB/s",
            cpu_now.saturating_sub(cpu).as_secs_f64() / elapsed * 100.0,
            control_now.saturating_sub(control).as_secs_f64() / elapsed * 100.0,
            resident as f64 / 1e3,
            tcp_bytes(*pid).saturating_sub(sent) as f64 / elapsed / 1e3,
        );
    }
}

async fn measure_rollouts(zone: &mut Zone) {
    let kinds = [
        CallKind::Read,
        CallKind::Write,
        CallKind::Watch,
        CallKind::Lease,
        CallKind::Vms,
    ];
    let total = |zone: &Zone| {
        kinds
            .iter()
            .map(|k| zone.platform.counts().total(*k))
            .sum::<u64>()
    };
    let (calls, start) = (total(zone), Instant::now());
    let mut times = Vec::new();
    for version in 2..12 {
        let accepted = zone.apply(version).await;
        zone.wait_version(version).await;
        times.push(accepted.elapsed());
    }
    let (calls, elapsed) = (total(zone) - calls, start.elapsed());
    times.sort_unstable();
    println!(
        "config on the last node: median {:?}, worst {:?} of 10",
        times[5], times[9]
    );
    println!("10 rollouts: {calls} platform calls of the zone in {elapsed:?}, idle ones included");
    let holder = zone.holder().await.expect("a holder");
    let restarted = (holder + 1) % zone.nodes.len();
    let config = zone.nodes[restarted].config.clone();
    zone.nodes[restarted]
        .signal(Signal::SIGKILL)
        .expect("killed");
    zone.nodes[restarted].wait().expect("ended");
    zone.nodes.remove(restarted);
    let accepted = zone.apply(12).await;
    zone.spawn(config);
    zone.wait_version(12).await;
    println!(
        "config with a node restarted meanwhile: {:?}",
        accepted.elapsed()
    );
}

async fn measure_takeovers(zone: &mut Zone) {
    let mut times = Vec::new();
    while zone.nodes.len() > 2 && times.len() < 5 {
        let holder = zone.holder().await.expect("a holder");
        zone.nodes[holder].signal(Signal::SIGKILL).expect("killed");
        let killed = Instant::now();
        zone.nodes.remove(holder);
        wait_until(|| async { zone.holder().await.is_some() }).await;
        times.push(killed.elapsed());
    }
    println!("time without an order holder after a kill: {times:?}");
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("the node's program");
    let nodes = arguments
        .next()
        .map_or(3, |text| text.parse().expect("a number of nodes"));
    let engines = arguments
        .next()
        .map_or(6, |text| text.parse().expect("a number of engines"));
    println!("{nodes} nodes, {engines} engines, one zone");
    let mut zone = Zone::start(program.into(), nodes, engines).await;
    wait_until(|| zone.all_nodes(|status| status["is_registered"] == true)).await;
    measure_idle(&zone).await;
    measure_rollouts(&mut zone).await;
    measure_takeovers(&mut zone).await;
}
