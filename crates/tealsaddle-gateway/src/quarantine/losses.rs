//! Requests that were lost with their runners, and answers that have survived.
//!
//! A crash ends all streams of a runner at once. The losses of one process are gathered for a moment. Then the
//! runner is asked for its report: a broken connection of one request is no crash, and says nothing of its prompt.
//! The losses of a process that has ended are reported to the collectors of the service.
//!
//! Where all runners of a service are down, or this node is cut off, it is not known whether the process has ended. Its
//! losses are then kept until the runner is seen again: a later start shows that the process has ended, whatever the
//! reason, and the same start that it has not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::quarantine::subject::RequestDigest;
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::fleet::{PromptPart, Runner, shared_parts};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{CrashReport, LostRequest};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::call::Call;
use crate::clock;
use crate::gateway::Gateway;
use crate::process_check::{self, Outlasting, ProcessState};
use crate::quarantine::peer_clock::{self, ClockReading};
use crate::quarantine::{collector, messages};

/// Time for which the losses of one process are gathered.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Largest number of losses in one report.
const MAX_REPORTED: usize = 64;
/// Number of collectors that get each report.
const COLLECTORS: usize = 2;
/// Largest number of nodes that are tried as collectors.
const MAX_TRIED: usize = 6;
/// Time for a collector to answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which losses are kept whose process may have ended. Runners that crash are back after some seconds.
const KEEP_TIME: Duration = Duration::from_secs(15);
/// Interval at which the registration of a runner is looked at whose losses are kept.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which such a runner is asked again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of processes whose losses are kept at a time.
const MAX_KEPT: usize = 64;

/// An attempt at a runner whose connection was lost.
#[derive(Debug, Clone, Copy)]
pub struct LostAttempt {
    /// When the request was sent to the runner, on the clock of [`clock::now_us`].
    pub sent_us: u64,
    /// Whether a part of the body had arrived.
    pub has_begun: bool,
}

/// A loss that is not reported yet.
#[derive(Debug)]
struct PendingLoss {
    request_id: String,
    digest: RequestDigest,
    /// Number of the trial that the request was; 0 if it was none.
    trial: u32,
    parts: Vec<PromptPart>,
    attempt: LostAttempt,
    lost_us: u64,
}

/// A runner's process: its id and its start.
type ProcessKey = (Name, u64);

/// Losses that are not reported yet.
#[derive(Debug)]
pub struct PendingLosses {
    /// Those that are being gathered, by process.
    gathered: Mutex<HashMap<ProcessKey, Vec<PendingLoss>>>,
    /// A place for each process whose losses are kept until it is known whether it has ended.
    places: Semaphore,
}

impl Default for PendingLosses {
    fn default() -> Self {
        Self {
            gathered: Mutex::default(),
            places: Semaphore::new(MAX_KEPT),
        }
    }
}

impl PendingLosses {
    fn lock(&self) -> MutexGuard<'_, HashMap<ProcessKey, Vec<PendingLoss>>> {
        self.gathered.lock().expect("no holder of the lock panics")
    }

    /// Adds a loss; returns whether it is the first one of its process.
    fn add(&self, process: &ProcessKey, loss: PendingLoss) -> bool {
        let mut pending = self.lock();
        let losses = pending.entry(process.clone()).or_default();
        if losses.len() < MAX_REPORTED {
            losses.push(loss);
        }
        losses.len() == 1
    }

    fn take(&self, process: &ProcessKey) -> Vec<PendingLoss> {
        self.lock().remove(process).unwrap_or_default()
    }
}

impl Call {
    /// Records that the connection of an attempt was lost before its answer had survived.
    pub fn on_lost_attempt(&self, runner: &Arc<Runner>, attempt: LostAttempt) {
        let loss = PendingLoss {
            request_id: self.request_id.clone(),
            digest: self.digest(),
            trial: self.state.trial().map_or(0, |trial| trial.number),
            parts: self.metadata.parts.clone(),
            attempt,
            lost_us: clock::now_us(),
        };
        let process = (Name::clone(&runner.id), runner.started_unix_ms);
        let gateway = &self.gateway;
        gateway.metrics.increment("quarantine.request_lost");
        if gateway.quarantine.losses.add(&process, loss) {
            tokio::spawn(report(Arc::clone(gateway), Arc::clone(runner), process));
        }
    }

    /// Records that an answer has survived whose first event came at `first_event_us`.
    pub fn on_survived(&self, first_event_us: u64) {
        let parts = &self.metadata.parts;
        let quarantine = &self.gateway.quarantine;
        quarantine.on_survived(&self.service, self.digest(), parts, first_event_us);
        self.object(first_event_us);
    }
}

/// Gathers the losses of a process and reports them if it has ended.
async fn report(gateway: Arc<Gateway>, runner: Arc<Runner>, process: ProcessKey) {
    tokio::time::sleep(GATHER_TIME).await;
    let lost = gateway.quarantine.losses.take(&process);
    let began_us = clock::now_us();
    let state = match state_after_loss(&gateway, &runner).await {
        ProcessState::Unknown => await_certainty(&gateway, &runner, lost.len()).await,
        state => state,
    };
    let kept_ms = clock::now_us().saturating_sub(began_us) / 1_000;
    match state {
        ProcessState::Ended => {
            gateway.metrics.increment("quarantine.crash_seen");
            log::info!(runner:% = runner.id, started_unix_ms = runner.started_unix_ms, lost = lost.len(), kept_ms;
                "runner crashed with requests that had just begun");
            send(&gateway, &Crash { runner, lost }).await;
        }
        ProcessState::Runs | ProcessState::Unclear => {
            gateway.metrics.increment("quarantine.no_crash");
            log::info!(runner:% = runner.id, lost = lost.len(), kept_ms;
                "runner has not crashed; its lost requests do not count");
        }
        ProcessState::Unknown => {
            gateway.metrics.increment("quarantine.losses_dropped");
            log::warn!(runner:% = runner.id, lost = lost.len(), kept_ms;
                "not known whether the runner has crashed; its lost requests do not count");
        }
    }
}

/// State of a runner's process after losses. One that was leaving is asked only once: its end a moment later is planned.
async fn state_after_loss(gateway: &Gateway, runner: &Runner) -> ProcessState {
    if process_check::is_leaving(gateway, runner) {
        process_check::check(gateway, runner).await
    } else {
        process_check::check_outlasts(gateway, runner, Outlasting::Short).await
    }
}

/// Waits until it is known whether the process of a runner has ended: by its registration, by its report or by nodes that
/// reach it.
async fn await_certainty(gateway: &Gateway, runner: &Runner, lost: usize) -> ProcessState {
    let Ok(_place) = gateway.quarantine.losses.places.try_acquire() else {
        return ProcessState::Unknown;
    };
    gateway.metrics.increment("quarantine.losses_kept");
    log::info!(runner:% = runner.id, started_unix_ms = runner.started_unix_ms, lost;
        "no node can tell whether the runner has crashed; its lost requests are kept");
    let until = Instant::now() + KEEP_TIME;
    while Instant::now() < until {
        let next_check = Instant::now() + CHECK_INTERVAL;
        while Instant::now() < next_check {
            if has_later_start(gateway, runner) {
                return ProcessState::Ended;
            }
            tokio::time::sleep(REGISTRATION_INTERVAL).await;
        }
        let state = process_check::check(gateway, runner).await;
        if state != ProcessState::Unknown {
            return state;
        }
    }
    ProcessState::Unknown
}

/// Whether a later process of the runner is registered.
fn has_later_start(gateway: &Gateway, runner: &Runner) -> bool {
    let snapshot = gateway.snapshot.load();
    let mut registered = snapshot.runners_of(&runner.service).iter();
    registered.any(|r| r.id == runner.id && r.started_unix_ms > runner.started_unix_ms)
}

/// The end of a process and the requests that were lost with it.
#[derive(Debug)]
struct Crash {
    runner: Arc<Runner>,
    lost: Vec<PendingLoss>,
}

impl Crash {
    /// The report as it is sent now to a node with this clock.
    fn report(&self, clock: ClockReading) -> CrashReport {
        let now_us = clock::now_us();
        CrashReport {
            service: self.runner.service.to_string(),
            runner: self.runner.id.to_string(),
            started_unix_ms: self.runner.started_unix_ms,
            lost: self.lost.iter().map(|loss| encode(loss, now_us)).collect(),
            collector_us: now_us.saturating_add_signed(clock.ahead_us),
            error_us: clock.error_us,
        }
    }
}

fn encode(loss: &PendingLoss, now_us: u64) -> LostRequest {
    let age_ms = |at_us: u64| now_us.saturating_sub(at_us) / 1_000;
    let shared = shared_parts(&loss.parts).iter();
    LostRequest {
        request_id: loss.request_id.clone(),
        shared_parts: shared.map(|part| part.id).collect(),
        own_part: loss.parts.last().map_or(0, |part| part.id),
        sent_age_ms: age_ms(loss.attempt.sent_us),
        lost_age_ms: age_ms(loss.lost_us),
        has_begun: loss.attempt.has_begun,
        request: loss.digest.to_string(),
        trial: loss.trial,
    }
}

/// Sends a report to the first collectors of the service that can be reached.
async fn send(gateway: &Arc<Gateway>, crash: &Crash) {
    let mut candidates = collectors(gateway, &crash.runner.service)
        .into_iter()
        .take(MAX_TRIED);
    let mut told = 0;
    while told < COLLECTORS {
        let batch: Vec<SocketAddr> = candidates.by_ref().take(COLLECTORS - told).collect();
        if batch.is_empty() {
            break;
        }
        let sent = batch.iter().map(|node| send_to(gateway, *node, crash));
        let sent = futures::future::join_all(sent).await;
        told += sent.into_iter().filter(|is_told| *is_told).count();
    }
    if told == 0 {
        // Without any peer this node is its own collector.
        collector::on_report(gateway, &crash.report(ClockReading::default()));
    }
}

async fn send_to(gateway: &Arc<Gateway>, node: SocketAddr, crash: &Crash) -> bool {
    let quarantine = &gateway.quarantine;
    if quarantine.own_address == Some(node) {
        collector::on_report(gateway, &crash.report(ClockReading::default()));
        return true;
    }
    let upstreams = &quarantine.upstreams;
    let is_told = match peer_clock::read(upstreams, node).await {
        None => false,
        Some(clock) => {
            let report = crash.report(clock);
            let path = messages::CRASH_PATH;
            let sent = messages::call(upstreams, node, path, &report, REPORT_TIMEOUT);
            let answer: Option<serde_json::Value> = sent.await;
            answer.is_some()
        }
    };
    if !is_told {
        gateway.metrics.increment("quarantine.report_lost");
    }
    is_told
}

/// The nodes in the order in which they collect the losses of a service.
fn collectors(gateway: &Gateway, service: &Name) -> Vec<SocketAddr> {
    let snapshot = gateway.snapshot.load();
    let mut nodes: Vec<SocketAddr> = snapshot.peers.to_vec();
    nodes.extend(gateway.quarantine.own_address);
    sort_nodes(&mut nodes, service);
    nodes
}
