//! Nodes: processes of the program, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::send;
use crate::record::Record;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A machine with its settings, and the process that runs there.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    folder: PathBuf,
    process: Option<Child>,
    record: Record,
}

/// What the settings of all nodes have in common.
#[derive(Debug, Clone)]
pub struct Common {
    /// Lines of the settings after the seeds.
    pub more: String,
}

impl Node {
    /// Chooses the addresses of a machine. Each has an IP address of its own, as metrics have a fixed port.
    pub fn new(number: u8, folder: &Path, record: &Record) -> Self {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            1 + (pid / 250 % 250) as u8,
            1 + (pid % 250) as u8,
            number,
        );
        let free = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("a bound address")
        };
        Self {
            name: format!("front-a-{number}"),
            front: free(),
            ready: free(),
            control: free(),
            folder: folder.to_owned(),
            process: None,
            record: record.clone(),
        }
    }

    fn settings(&self, store: SocketAddr, seeds: &[SocketAddr], common: &Common) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("  - \"{seed}\"\n"))
            .collect();
        let ip: IpAddr = self.front.ip();
        format!(
            "node: \"{}\"\nrole: \"front\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"a\"\nregion: \"r\"\nzones:\n  a: \"r\"\nlisten:\n  front: \"{}\"\n  ready: \"{}\"\n  \
             control: \"{}\"\nseeds:\n{}bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  \
             memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n\
             discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n{}\
             platform:\n  addr: \"{store}\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  \
             history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
            self.name, self.front, self.ready, self.control, seeds.concat(), common.more
        )
    }

    /// Starts the process.
    pub fn start(&mut self, store: SocketAddr, seeds: &[SocketAddr], common: &Common) {
        let file = self.folder.join(format!("{}.yaml", self.name));
        fs::write(&file, self.settings(store, seeds, common)).expect("the folder is writable");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the folder is writable");
        let errors = log.try_clone().expect("a file");
        let process = Command::new("target/release/tealsaddle")
            .arg("front")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("TEALSADDLE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.process = Some(process.expect("the program starts; was it built?"));
        self.record.add(&format!("{} started", self.name));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Tells the process to stop.
    pub fn terminate(&self) {
        self.signal(SIGTERM);
        self.record.add(&format!("{} gets SIGTERM", self.name));
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| matches!(process.try_wait(), Ok(Some(_))))
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        self.signal(SIGKILL);
        self.record.add(&format!("{} killed", self.name));
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    /// Waits until the process is ready; `false` if it isn't in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let head = "GET /ready HTTP/1.1\r\nhost: ready\r\n";
            let answer = send(self.ready, head, b"", Duration::from_secs(1));
            if answer.is_ok_and(|(head, _)| head.status() == 200) {
                self.record.add(&format!("{} ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
