//! The nodes: processes of the project's own program.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// As in the deploy file.
const PROGRAM: &str = "target/release/tealsaddle";
const ROLE: &str = "front";
pub const GRACE: Duration = Duration::from_secs(8);

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
    record: Record,
}

/// The nodes of a case, whose processes end when this is dropped.
pub struct Nodes {
    pub nodes: Vec<Arc<Node>>,
    directory: PathBuf,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.kill();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Ports of a node, below those that the kernel picks for connections.
const FRONT: u16 = 8_149;
const READY: u16 = 8_141;
const CONTROL: u16 = 8_144;
/// Port on which a node serves its metrics, as in the deploy file.
const METRICS: u16 = 9_464;

/// Loopback addresses on which the ports of a node are free, one for each node.
fn addresses(count: usize) -> Vec<String> {
    let seed = std::process::id();
    let mut found = Vec::new();
    for number in 0..10_000_u32 {
        let mixed = (seed.wrapping_mul(2_654_435_761)).wrapping_add(number * 7);
        let ip = format!(
            "127.{}.{}.{}",
            1 + (mixed >> 8) % 250,
            1 + (mixed >> 16) % 250,
            2 + mixed % 250
        );
        let is_free = |port: &u16| TcpListener::bind(format!("{ip}:{port}")).is_ok();
        if !found.contains(&ip) && [FRONT, READY, CONTROL, METRICS].iter().all(is_free) {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

impl Nodes {
    /// Writes the settings of nodes in one zone and starts them.
    pub fn start(count: usize, store: &Store, record: &Record) -> Result<Self, String> {
        Self::start_in(1, count, store, record)
    }

    /// Writes the settings of nodes, in turn in each of some zones, and starts them.
    pub fn start_in(
        zones: usize,
        count: usize,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        if !Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is not built"));
        }
        let directory =
            std::env::temp_dir().join(format!("tealsaddle-review-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let ips = addresses(count);
        if ips.len() < count {
            return Err("too few free loopback addresses".to_owned());
        }
        let mut places = Vec::new();
        for ip in &ips {
            let at = |port: u16| {
                format!("{ip}:{port}")
                    .parse::<SocketAddr>()
                    .map_err(|error| error.to_string())
            };
            places.push((at(FRONT)?, at(READY)?, at(CONTROL)?));
        }
        let seeds: Vec<String> = places
            .iter()
            .take(3)
            .map(|(_, _, control)| format!("  - \"{control}\"\n"))
            .collect();
        let seeds = seeds.concat();
        let names: Vec<String> = (1..=zones)
            .map(|zone| format!("  hall-{zone}: \"r\"\n"))
            .collect();
        let names = names.concat();
        let mut nodes = Vec::new();
        for (number, (front, ready, control)) in places.iter().enumerate() {
            let name = format!("front-hall-{}", number + 1);
            let settings = directory.join(format!("{name}.yaml"));
            let text = format!(
                "node: \"{name}\"\nrole: \"front\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\nip: \"{ip}\"\n\
                 zone: \"hall-{zone}\"\nregion: \"r\"\nzones:\n{names}listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
                 port_range:\n  - 7380\n  - 7395\nseeds:\n{seeds}bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  \
                 memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n\
                 heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
                 drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  \
                 retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 54\n  recovery_s: 12\n  transit_ms: 120\n  retry_after_s: 8.5\n  \
                 require_fence: false\n  lease_ms: 3000\n  thaw_slack_ms: 300\nplatform:\n  addr: \"{store}\"\n  form: \"kv\"\n  \
                 writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
                ip = ips[number],
                store = store.address,
                zone = 1 + number % zones
            );
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let log = settings.with_extension("log");
            let node = Node {
                name,
                front: *front,
                ready: *ready,
                settings,
                log,
                process: Mutex::new(None),
                record: record.clone(),
            };
            nodes.push(Arc::new(node));
        }
        let nodes = Self { nodes, directory };
        for node in &nodes.nodes {
            node.start()?;
        }
        Ok(nodes)
    }

    pub fn by_name(&self, name: &str) -> Option<&Arc<Node>> {
        self.nodes.iter().find(|node| node.name == name)
    }

    /// Waits until all nodes report themselves ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while !self.nodes.iter().all(|node| node.is_ready()) {
            if Instant::now() > until {
                return Err("the nodes did not become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

impl Node {
    pub fn start(&self) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|error| error.to_string())?;
        let process = Command::new(PROGRAM)
            .arg(ROLE)
            .env("TEALSADDLE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.add(&format!("{}: started", self.name));
        *self.process.lock().unwrap() = Some(process);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::call(self.ready, request, Duration::from_millis(500))
            .is_some_and(|answer| answer.status() == 200)
    }

    /// SIGKILL.
    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.add(&format!("{}: killed", self.name));
        }
    }

    pub fn signal(&self, name: &str) {
        let process = self.process.lock().unwrap();
        if let Some(process) = process.as_ref() {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {}", process.id()))
                .status();
            self.record.add(&format!("{}: SIG{name}", self.name));
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period. Returns when it has ended.
    pub fn stop(&self) {
        self.signal("TERM");
        let until = Instant::now() + GRACE;
        loop {
            let has_ended = {
                let mut process = self.process.lock().unwrap();
                let ended = process
                    .as_mut()
                    .is_none_or(|process| !matches!(process.try_wait(), Ok(None)));
                if ended {
                    *process = None;
                }
                ended
            };
            if has_ended {
                self.record.add(&format!("{}: has ended", self.name));
                return;
            }
            if Instant::now() > until {
                self.kill();
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
