//! Real processes of the node, for tests.
//!
//! A process started here is killed when its handle is dropped, so that a failing test leaves none
//! behind.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// A loopback address that was free a moment ago.
///
/// Each call takes an address of its own in 127.0.0.0/8. On 127.0.0.1 an outgoing connection of any
/// process could take the port before the node binds it.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [low, high] = NEXT.fetch_add(1, Ordering::Relaxed).to_le_bytes();
    let [pid, more, ..] = std::process::id().to_le_bytes();
    let address = Ipv4Addr::new(127, 1 + pid % 200, more.wrapping_add(high), low.max(1));
    let listener = TcpListener::bind((address, 0)).expect("loopback has a free port");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

/// Settings of a node under test.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the VM.
    pub vm: String,
    /// Zone of the VM.
    pub zone: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of the platform, or of a proxy before it.
    pub platform: SocketAddr,
    /// Peers to ask first.
    pub seed_peers: Vec<SocketAddr>,
    /// Bounds on callers as fields of a YAML map; the defaults hold for those left out.
    pub limits: String,
}

/// Token that operators present to nodes under test.
pub const ADMIN_TOKEN: &str = "test-token";

impl NodeConfig {
    /// A node with free addresses.
    pub fn new(vm: &str, zone: &str, platform: SocketAddr) -> Self {
        Self {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            caller: free_address(),
            peer: free_address(),
            admin: free_address(),
            platform,
            seed_peers: Vec::new(),
            limits: String::new(),
        }
    }

    /// The settings file.
    pub fn to_yaml(&self) -> String {
        let peers: Vec<String> = self
            .seed_peers
            .iter()
            .map(|peer| format!("\"{peer}\""))
            .collect();
        format!(
            "node:\n  vm: {}\n  zone: {}\n  caller_listen: \"{}\"\n  peer_listen: \"{}\"\n  \
             admin_listen: \"{}\"\n  traffic_threads: 2\nplatform:\n  address: \"{}\"\n\
             seed_peers: [{}]\nadmin:\n  token: {ADMIN_TOKEN}\n\
             limits: {{{}}}\n",
            self.vm,
            self.zone,
            self.caller,
            self.peer,
            self.admin,
            self.platform,
            peers.join(", "),
            self.limits,
        )
    }
}

/// A running node.
#[derive(Debug)]
pub struct NodeProcess {
    /// Settings it was started with.
    pub config: NodeConfig,
    child: Child,
    directory: PathBuf,
}

impl NodeProcess {
    /// Starts `program` with a settings file in `directory`; its log goes to a file beside it.
    pub fn spawn(program: &Path, directory: &Path, config: NodeConfig) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let settings = directory.join(format!("{}.yaml", config.vm));
        fs::write(&settings, config.to_yaml())?;
        let log = fs::File::create(directory.join(format!("{}.log", config.vm)))?;
        let child = Command::new(program)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // A group that loses its shell while one of its processes is frozen gets a SIGHUP.
            .process_group(0)
            .spawn()?;
        Ok(Self {
            config,
            child,
            directory: directory.to_owned(),
        })
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(io::Error::from)
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The status with which the process ended; `None` while it runs.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// What the process has logged.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(self.directory.join(format!("{}.log", self.config.vm)))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have ended already; then there is nothing to kill.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
