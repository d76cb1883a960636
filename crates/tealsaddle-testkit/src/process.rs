//! Node processes for tests.
//!
//! A process started here is killed when its handle is dropped, so that a failing test leaves no
//! process behind.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Returns a loopback address with a free port, for a process that binds it later.
///
/// Another socket may take the port before that; who can bind a port itself uses [`unused_ip`].
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((unused_ip(), 0)).expect("loopback has a free port");
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

/// Returns a loopback IP address, in 127.0.0.0/8, that differs from call to call.
///
/// On 127.0.0.1 an outgoing connection of any process could take a port before it is bound.
pub fn unused_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [low, high] = NEXT.fetch_add(1, Ordering::Relaxed).to_le_bytes();
    let [pid, more, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 1 + pid % 200, more.wrapping_add(high), low.max(1))
}

/// Settings of a node under test.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the VM; also the base name of the settings and log files.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which the node accepts calls of callers.
    pub caller: SocketAddr,
    /// Address on which the node accepts messages of other nodes.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the platform, or of a proxy in front of it.
    pub platform: SocketAddr,
    /// Peers that the node contacts first, to join the deployment.
    pub seed_peers: Vec<SocketAddr>,
    /// Limits on callers, as the fields of a YAML map; omitted fields take their defaults.
    pub limits: String,
}

/// Token that operators present to nodes under test.
pub const ADMIN_TOKEN: &str = "test-token";

impl NodeConfig {
    /// Creates settings with free addresses and no seed peers.
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

    /// Content of the settings file.
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

/// A node process; killed when dropped.
#[derive(Debug)]
pub struct NodeProcess {
    /// Settings with which the process was started.
    pub config: NodeConfig,
    child: Child,
    directory: PathBuf,
}

impl NodeProcess {
    /// Starts `program` with a settings file in `directory`; the log is written to a file next to
    /// it.
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
            // The kernel sends SIGHUP to an orphaned process group with a stopped member, so the
            // node must not share the group of the test, which may lose its shell while a test has
            // stopped a node.
            .process_group(0)
            .spawn()?;
        Ok(Self {
            config,
            child,
            directory: directory.to_owned(),
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(io::Error::from)
    }

    /// Blocks until the process exits.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Exit status of the process; `None` while it runs.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Log output of the process so far.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(self.directory.join(format!("{}.log", self.config.vm)))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
