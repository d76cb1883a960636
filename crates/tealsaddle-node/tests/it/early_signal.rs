//! SIGTERM while a process installs its handlers.
//!
//! The test traces the system calls of the process and sends the signal as the call that installs the
//! handler returns.

use std::fs;
use std::io;
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::ptrace::{self, Options};
use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::process::{NodeConfig, free_address};
use yare::parameterized;

/// Shell script that waits for the end of its input, then becomes the program in its arguments.
const WAIT_THEN_EXEC: &str = "read _; exec \"$@\"";

/// A process that is killed when dropped.
struct KilledOnDrop(Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        // An error means that the process has already exited.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Whether a process has installed a handler for a signal.
fn handles(process: Pid, signal: Signal) -> bool {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let handled = lines.find_map(|line| line.strip_prefix("SigCgt:"));
    let handled = handled.and_then(|bits| u64::from_str_radix(bits.trim(), 16).ok());
    handled.is_some_and(|bits| bits & (1 << (signal as u64 - 1)) != 0)
}

/// Starts the program and sends a signal at the return of the system call that installs its handler.
fn start_with_early_signal(arguments: &[&str], settings: &Path, signal: Signal) -> KilledOnDrop {
    let log = fs::File::create(settings.with_extension("log")).expect("a log file");
    let child = Command::new("sh")
        .args(["-c", WAIT_THEN_EXEC, "sh", env!("CARGO_BIN_EXE_tealsaddle")])
        .args(arguments)
        .env("TEALSADDLE_CONFIG", settings)
        .stdin(Stdio::piped())
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .process_group(0)
        .spawn();
    let mut process = KilledOnDrop(child.expect("the shell starts"));
    let id = Pid::from_raw(process.0.id() as i32);
    let options = Options::PTRACE_O_TRACESYSGOOD | Options::PTRACE_O_TRACEEXEC;
    ptrace::seize(id, options).expect("a child can be traced");
    drop(process.0.stdin.take());
    send_at_handler(id, signal).expect("the program installs the handler");
    process
}

fn send_at_handler(process: Pid, signal: Signal) -> io::Result<()> {
    loop {
        match waitpid(process, Some(WaitPidFlag::__WALL))? {
            WaitStatus::PtraceSyscall(_) if handles(process, signal) => break,
            WaitStatus::PtraceSyscall(_) | WaitStatus::PtraceEvent(..) => {
                ptrace::syscall(process, None)?;
            }
            WaitStatus::Stopped(_, other) => ptrace::syscall(process, other)?,
            ended => return Err(io::Error::other(format!("{ended:?}"))),
        }
    }
    kill(process, signal)?;
    ptrace::detach(process, None)?;
    Ok(())
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("early-signal");
    fs::create_dir_all(&directory).expect("the directory is writable");
    let file = directory.join(format!("{name}.yaml"));
    fs::write(&file, text).expect("the directory is writable");
    file
}

/// Settings of the `front` role, with a store that does not answer.
fn front_settings() -> String {
    let [callers, ready, control, store] = [(); 4].map(|()| free_address());
    format!(
        "node: n\nzone: a\nlisten: {{front: \"{callers}\", ready: \"{ready}\", control: \"{control}\"}}\n\
         seeds: []\nbounds: {{retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 50, grace_s: 8, \
         lease_ms: 3000, thaw_slack_ms: 300}}\nplatform: {{addr: \"{store}\"}}\n"
    )
}

/// Guards against a SIGTERM that is lost while the handlers are being installed, so that the process serves
/// on and is killed at the end of its grace period.
#[parameterized(entry_node = { false }, front = { true })]
#[test_macro(tokio::test)]
async fn sigterm_while_handlers_are_installed_stops_the_process(is_front: bool) {
    let (file, first_argument) = if is_front {
        (write_settings("front", &front_settings()), Some("front"))
    } else {
        let config = NodeConfig::new("vm-1", "buda-hall", free_address());
        (write_settings("node", &config.to_yaml()), None)
    };
    let argument = first_argument.unwrap_or_else(|| file.to_str().expect("a path in UTF-8"));
    let mut process = start_with_early_signal(&[argument], &file, Signal::SIGTERM);
    let mut ended = None;
    wait_until(|| {
        ended = process.0.try_wait().expect("a child of the test");
        std::future::ready(ended.is_some())
    })
    .await;
    let ended = ended.expect("the process has ended");
    assert_eq!((ended.code(), ended.signal()), (Some(0), None));
}
