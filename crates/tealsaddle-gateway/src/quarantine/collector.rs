//! The collector of a service: counts the losses that all nodes report, and finds the part that causes them.
//!
//! Each report goes to two nodes, so a decision may be taken twice; the store keeps the first one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::SliceRandom;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::quarantine::PartKey;
use tealsaddle_core::fleet::quarantine::accounts::{CrashAccounts, Loss, RunnerProcess, Suspicion};
use tealsaddle_core::fleet::quarantine::list::{Entry, MAX_DECIDED, Record};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{CrashReport, LostRequest, SurvivalQuery, SurvivalReply};
use tokio::sync::Semaphore;

use crate::clock;
use crate::gateway::Gateway;
use crate::quarantine::keeper::Command;
use crate::quarantine::messages;

/// Number of peers that are asked for survivals, first and if they know of none.
const ASKED_PEERS: [usize; 2] = [12, 60];
/// Time for a peer to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of suspicions that are examined at the same time. Further ones are dropped; the next loss of the part
/// raises them again.
const MAX_EXAMINED: usize = 4;

/// Losses that were reported to this node.
#[derive(Debug)]
pub struct Collector {
    accounts: Mutex<CrashAccounts>,
    examinations: Semaphore,
}

impl Default for Collector {
    fn default() -> Self {
        Self {
            accounts: Mutex::default(),
            examinations: Semaphore::new(MAX_EXAMINED),
        }
    }
}

impl Collector {
    fn accounts(&self) -> MutexGuard<'_, CrashAccounts> {
        self.accounts.lock().expect("no holder of the lock panics")
    }

    /// Forgets the losses of a part whose quarantine has ended.
    pub fn forget(&self, key: &PartKey) {
        self.accounts().forget(key);
    }
}

/// Counts the losses of a report.
pub fn on_report(gateway: &Arc<Gateway>, report: &CrashReport) {
    let service = Name::from(report.service.as_str());
    for lost in &report.lost {
        log::info!(id:% = lost.request_id, runner:% = report.runner, shared_parts:? = lost.shared_parts,
            has_begun = lost.has_begun, sent_age_ms = lost.sent_age_ms; "loss reported");
    }
    if let Some(explained) = quarantined(gateway, &service, report) {
        // Before the first trial these are requests that were on their way when the part was found.
        if explained.record.trials > 0 {
            let key = explained.record.key;
            gateway.quarantine.send(Command::Lost(key));
        }
        return;
    }
    for lost in &report.lost {
        let loss = decode(report, lost);
        let suspicions = gateway
            .quarantine
            .collector
            .accounts()
            .on_loss(&service, loss);
        for suspicion in suspicions {
            gateway.metrics.increment("quarantine.suspicion");
            tokio::spawn(examine(Arc::clone(gateway), suspicion));
        }
    }
}

/// The quarantined part that explains the end of a process, if a lost request has one.
fn quarantined(gateway: &Gateway, service: &Name, report: &CrashReport) -> Option<Entry> {
    let snapshot = gateway.snapshot.load();
    let mut parts = report.lost.iter().flat_map(|lost| &lost.shared_parts);
    parts.find_map(|part| {
        let key = PartKey::new(service, *part);
        snapshot.quarantine.entry(&key).cloned()
    })
}

fn decode(report: &CrashReport, lost: &LostRequest) -> Loss {
    // A report from the future would make all later losses part of the past.
    let sent_us = report.collector_us.min(clock::now_us());
    let before = |age_ms: u64| sent_us.saturating_sub(age_ms.saturating_mul(1_000));
    Loss {
        process: RunnerProcess {
            runner: Name::from(report.runner.as_str()),
            started_unix_ms: report.started_unix_ms,
        },
        shared_parts: lost.shared_parts.clone(),
        own_part: lost.own_part,
        sent_us: before(lost.sent_age_ms),
        lost_us: before(lost.lost_age_ms),
        error_us: report.error_us,
        has_begun: lost.has_begun,
    }
}

/// Finds out when the suspected parts last survived, and quarantines the cause.
async fn examine(gateway: Arc<Gateway>, suspicion: Suspicion) {
    let collector = &gateway.quarantine.collector;
    let Ok(_permit) = collector.examinations.try_acquire() else {
        gateway.metrics.increment("quarantine.suspicion_dropped");
        return;
    };
    if is_quarantined(&gateway, &suspicion) {
        return;
    }
    let survivals = ask(&gateway, &suspicion).await;
    for (part, survived_us) in &survivals {
        let key = PartKey::new(&suspicion.service, *part);
        collector.accounts().on_survived(&key, *survived_us);
    }
    let cause = suspicion.cause(|part| survivals.get(&part).copied());
    log::info!(service:% = suspicion.service, parts:? = suspicion.parts, losses = suspicion.losses,
        survived = survivals.len(), cause:? = cause; "parts suspected");
    let Some(cause) = cause else {
        return;
    };
    if !is_quarantined(&gateway, &suspicion) {
        decide(&gateway, &suspicion, cause);
    }
}

/// Whether the losses are explained by a part that was quarantined meanwhile.
fn is_quarantined(gateway: &Gateway, suspicion: &Suspicion) -> bool {
    let list = &gateway.snapshot.load().quarantine;
    let mut parts = suspicion.parts.iter();
    parts.any(|part| {
        list.entry(&PartKey::new(&suspicion.service, *part))
            .is_some()
    })
}

fn decide(gateway: &Gateway, suspicion: &Suspicion, cause: u64) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let key = PartKey::new(&suspicion.service, cause);
    let now_us = clock::now_us();
    let is_full = gateway.snapshot.load().quarantine.len() >= MAX_DECIDED;
    let mut accounts = gateway.quarantine.collector.accounts();
    if is_full || !accounts.on_decided(&key, now_us) {
        gateway.metrics.increment("quarantine.limit_reached");
        log::warn!(service:% = key.service, part = format!("{cause:x}"), losses = suspicion.losses;
            "part not quarantined: too many parts look deadly");
        return;
    }
    drop(accounts);
    let unix_ms = clock::unix_ms();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    gateway.quarantine.send(Command::Decided(Record {
        key,
        decision: Name::from(format!("{}-{unix_ms}-{number}", gateway.config.node)),
        losses: suspicion.losses as u32,
        trials: 0,
        first_loss_age_us: now_us.saturating_sub(suspicion.first_lost_us),
        decided_at_unix_ms: unix_ms,
    }));
}

/// Asks nodes when the suspected parts last survived, in two rounds: the second one only if the first has left a
/// suspect.
async fn ask(gateway: &Arc<Gateway>, suspicion: &Suspicion) -> HashMap<u64, u64> {
    let query = SurvivalQuery {
        service: suspicion.service.to_string(),
        parts: suspicion.parts.clone(),
    };
    let mut survivals = HashMap::default();
    merge(&mut survivals, &messages::survivals(gateway, &query));
    let mut peers: Vec<SocketAddr> = gateway.snapshot.load().peers.to_vec();
    peers.shuffle(&mut rand::rng());
    let mut peers = peers.into_iter();
    for count in ASKED_PEERS {
        let is_suspect = suspicion
            .cause(|part| survivals.get(&part).copied())
            .is_some();
        if !is_suspect {
            break;
        }
        let asked = peers.by_ref().take(count);
        let asked = asked.map(|peer| ask_peer(gateway, peer, &query));
        for reply in futures::future::join_all(asked).await.into_iter().flatten() {
            merge(&mut survivals, &reply);
        }
    }
    survivals
}

async fn ask_peer(
    gateway: &Gateway,
    peer: SocketAddr,
    query: &SurvivalQuery,
) -> Option<SurvivalReply> {
    let upstreams = &gateway.quarantine.upstreams;
    messages::call(upstreams, peer, messages::SURVIVAL_PATH, query, ASK_TIMEOUT).await
}

/// Keeps the latest survival of each part.
fn merge(survivals: &mut HashMap<u64, u64>, reply: &SurvivalReply) {
    let now_us = clock::now_us();
    for survival in &reply.survivals {
        let at_us = now_us.saturating_sub(survival.age_ms.saturating_mul(1_000));
        let latest_us = survivals.entry(survival.part).or_insert(at_us);
        *latest_us = at_us.max(*latest_us);
    }
}
