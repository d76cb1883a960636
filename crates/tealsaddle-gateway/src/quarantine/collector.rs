//! The collector of a service: counts the losses that all nodes report, and finds the part or
//! request that causes them.
//!
//! Each report goes to two nodes, so a decision may be taken twice; the store keeps the first one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::seq::SliceRandom;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::quarantine::accounts::{CrashAccounts, Loss, RunnerProcess, Suspicion};
use tealsaddle_core::fleet::quarantine::list::{Entry, Record};
use tealsaddle_core::fleet::quarantine::subject::{RequestDigest, Subject, SubjectKey};
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

    /// Forgets the losses of a part or request whose quarantine has ended.
    pub fn forget(&self, key: &SubjectKey) {
        self.accounts().forget(key);
    }
}

/// Counts the losses of a report.
pub fn on_report(gateway: &Arc<Gateway>, report: &CrashReport) {
    let service = Name::from(report.service.as_str());
    for lost in &report.lost {
        log::info!(id:% = lost.request_id, runner:% = report.runner, shared_parts:? = lost.shared_parts,
            request:% = lost.request, has_begun = lost.has_begun, sent_age_ms = lost.sent_age_ms,
            lost_age_ms = lost.lost_age_ms, trial = lost.trial; "loss reported");
    }
    if let Some(explained) = quarantined(gateway, &service, report) {
        // This node may not have learned of the trial yet.
        let trial = report.lost.iter().map(|lost| lost.trial).max().unwrap_or(0);
        let trials = explained.record.trials.max(trial);
        // Before the first trial these are requests that were on their way when the cause was found.
        if trials > 0 {
            let key = explained.record.key;
            gateway.quarantine.send(Command::Lost { key, trials });
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

/// What explains the end of a process: a lost request that is quarantined, or has a quarantined part.
fn quarantined(gateway: &Gateway, service: &Name, report: &CrashReport) -> Option<Entry> {
    let snapshot = gateway.snapshot.load();
    report.lost.iter().find_map(|lost| {
        let parts = lost.shared_parts.iter().map(|part| Subject::Part(*part));
        let request = RequestDigest::parse(&lost.request).map(Subject::Request);
        let keys = parts.chain(request).map(|s| SubjectKey::new(service, s));
        let mut entries = keys.filter_map(|key| snapshot.quarantine.entry(&key));
        entries.next().cloned()
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
        request_id: lost.request_id.clone(),
        request: RequestDigest::parse(&lost.request),
        shared_parts: lost.shared_parts.clone(),
        own_part: lost.own_part,
        sent_us: before(lost.sent_age_ms),
        lost_us: before(lost.lost_age_ms),
        error_us: report.error_us,
        has_begun: lost.has_begun,
    }
}

/// Finds out when the suspects last survived, and quarantines the cause.
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
    for (subject, survived_us) in &survivals {
        let key = SubjectKey::new(&suspicion.service, *subject);
        collector.accounts().on_survived(&key, *survived_us);
    }
    let cause = suspicion.cause(|subject| survivals.get(&subject).copied());
    log::info!(service:% = suspicion.service, suspects:? = suspicion.subjects, losses = suspicion.losses,
        survived = survivals.len(), cause:? = cause; "parts or a request suspected");
    let Some(cause) = cause else {
        return;
    };
    if !is_quarantined(&gateway, &suspicion) {
        decide(&gateway, &suspicion, cause);
    }
}

/// Whether the losses are explained by what was quarantined meanwhile.
fn is_quarantined(gateway: &Gateway, suspicion: &Suspicion) -> bool {
    let list = &gateway.snapshot.load().quarantine;
    let mut subjects = suspicion.subjects.iter();
    subjects.any(|subject| {
        list.entry(&SubjectKey::new(&suspicion.service, *subject))
            .is_some()
    })
}

fn decide(gateway: &Gateway, suspicion: &Suspicion, cause: Subject) {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let key = SubjectKey::new(&suspicion.service, cause);
    let now_us = clock::now_us();
    let snapshot = gateway.snapshot.load();
    let is_full = snapshot.quarantine.is_full(cause.is_request());
    let mut accounts = gateway.quarantine.collector.accounts();
    if is_full || !accounts.on_decided(&key, now_us) {
        gateway.metrics.increment("quarantine.limit_reached");
        log::warn!(service:% = key.service, subject:% = cause, losses = suspicion.losses;
            "not quarantined: too many parts or requests look deadly");
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

/// Asks nodes when the suspects last survived, in two rounds: the second one only if the first has left a
/// suspect.
async fn ask(gateway: &Arc<Gateway>, suspicion: &Suspicion) -> HashMap<Subject, u64> {
    let query = messages::survival_query(&suspicion.service, &suspicion.subjects);
    let mut survivals = HashMap::default();
    merge(&mut survivals, &messages::survivals(gateway, &query));
    let mut peers: Vec<SocketAddr> = gateway.snapshot.load().peers.to_vec();
    peers.shuffle(&mut rand::rng());
    let mut peers = peers.into_iter();
    for count in ASKED_PEERS {
        let is_suspect = suspicion
            .cause(|subject| survivals.get(&subject).copied())
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

/// Keeps the latest survival of each subject.
fn merge(survivals: &mut HashMap<Subject, u64>, reply: &SurvivalReply) {
    let now_us = clock::now_us();
    for survival in &reply.survivals {
        let Some(subject) = messages::decode_subject(survival.part, &survival.request) else {
            continue;
        };
        let at_us = now_us.saturating_sub(survival.age_ms.saturating_mul(1_000));
        let latest_us = survivals.entry(subject).or_insert(at_us);
        *latest_us = at_us.max(*latest_us);
    }
}
