//! Changes of the list of quarantined parts and requests by this node, in the control thread.
//!
//! A change is published and told to the peers at once, and then stored. A node that was told stores the record
//! itself if no other node has done so after a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tealsaddle_core::fleet::quarantine::list::{Entry, Record};
use tealsaddle_core::fleet::quarantine::subject::SubjectKey;
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::QuarantineNotice;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::clock;
use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::error::StoreError;
use crate::external::{KeyRevision, Put, Transaction};
use crate::quarantine::messages;
use crate::quarantine::records::record_key;
use crate::upstream::Upstreams;

/// Time to the next attempt to store a record.
const WRITE_RETRY_US: u64 = 500_000;
/// Time for which a trial is not claimed again after the store has refused it.
const CLAIM_RETRY_US: u64 = 2_000_000;
/// Interval at which records that are not stored are looked for.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of peers that are told at the same time.
const PEERS_AT_ONCE: usize = 16;
/// Time for a peer to take a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// This node has found a deadly part or request.
    Decided(Record),
    /// A peer has told of changes.
    Told(QuarantineNotice),
    /// A request that is quarantined, or has a quarantined part, was lost with its runner.
    Lost {
        /// What is quarantined.
        key: SubjectKey,
        /// Number of trials that had been claimed.
        trials: u32,
    },
    /// An answer shows that a part or request is sound.
    Survived(Name),
    /// A request asks to be tried.
    Claim {
        /// The decision that holds it.
        decision: Name,
        /// Receives whether the request may be sent.
        granted: oneshot::Sender<bool>,
    },
}

/// Carries out commands and stores records. Never returns.
pub async fn run(control: Arc<Control>, mut commands: mpsc::Receiver<Command>) {
    let keeper = Arc::new(Keeper {
        control,
        upstreams: Upstreams::open(),
        has_unwritten: Notify::new(),
    });
    tokio::spawn(Arc::clone(&keeper).write_when_due());
    while let Some(command) = commands.recv().await {
        keeper.on_command(command);
    }
    std::future::pending::<()>().await;
}

#[derive(Debug)]
struct Keeper {
    control: Arc<Control>,
    /// Connections to peers.
    upstreams: Arc<Upstreams>,
    /// Signals that a record is to be stored or removed now.
    has_unwritten: Notify,
}

impl Keeper {
    fn on_command(self: &Arc<Self>, command: Command) {
        match command {
            Command::Decided(record) => self.on_decided(&record),
            Command::Told(notice) => self.on_told(&notice),
            Command::Lost { key, trials } => self.on_lost(&key, trials),
            Command::Survived(decision) => self.on_survived(&decision),
            Command::Claim { decision, granted } => {
                let keeper = Arc::clone(self);
                tokio::spawn(async move {
                    let is_granted = keeper.claim(&decision).await;
                    // The request may have ended meanwhile; its trial is counted all the same.
                    let _has_ended = granted.send(is_granted).is_err();
                });
            }
        }
    }

    fn on_decided(&self, record: &Record) {
        let now_us = clock::now_us();
        let is_new = {
            let mut fleet = self.control.fleet();
            fleet.quarantine_mut().on_told(record.clone(), now_us, 0)
        };
        if !is_new {
            return;
        }
        self.control.gateway.metrics.increment("quarantine.decided");
        log::warn!(service:% = record.key.service, subject:% = record.key.subject,
            decision:% = record.decision, losses = record.losses,
            first_loss_age_ms = record.first_loss_age_us / 1_000; "part or request quarantined");
        self.on_own_change(messages::quarantined(record));
    }

    /// Publishes a change by this node, tells the peers and stores it.
    fn on_own_change(&self, notice: QuarantineNotice) {
        self.control.publish();
        self.tell(notice);
        self.has_unwritten.notify_one();
    }

    fn on_told(&self, notice: &QuarantineNotice) {
        self.control.on_told_records(&notice.quarantined);
        for decision in &notice.released {
            let decision = Name::from(decision.as_str());
            let released = self.control.fleet().quarantine_mut().release(&decision);
            if let Some(entry) = released {
                log::info!(decision:%; "a peer tells that a part or request is sound");
                self.control.forget_losses(&entry.record.key);
            }
        }
        self.control.on_quarantine_changed();
    }

    /// Counts one more loss of what is quarantined, which puts its next trial off. `trials` may be more than this node
    /// knows of.
    fn on_lost(&self, key: &SubjectKey, trials: u32) {
        let now_us = clock::now_us();
        let record = {
            let mut fleet = self.control.fleet();
            let list = fleet.quarantine_mut();
            let Some(entry) = list.entry(key) else {
                return;
            };
            let mut record = entry.record_at(now_us);
            record.losses += 1;
            record.trials = record.trials.max(trials);
            list.on_told(record.clone(), now_us, 0);
            record
        };
        self.on_own_change(messages::quarantined(&record));
    }

    /// Ends the quarantine of what is sound.
    fn on_survived(&self, decision: &Name) {
        let released = self.control.fleet().quarantine_mut().release(decision);
        let Some(entry) = released else {
            return;
        };
        let key = &entry.record.key;
        self.control
            .gateway
            .metrics
            .increment("quarantine.released");
        log::warn!(service:% = key.service, subject:% = key.subject, decision:%,
            losses = entry.record.losses, trials = entry.record.trials;
            "part or request is sound; quarantine ended");
        self.control.forget_losses(key);
        self.on_own_change(messages::released(decision));
    }

    /// Claims the trial that is due; returns whether this node may try one request.
    async fn claim(&self, decision: &Name) -> bool {
        let now_us = clock::now_us();
        let Some(entry) = self.take_due_trial(decision, now_us) else {
            return false;
        };
        let Some(revision) = entry.revision else {
            return false;
        };
        let mut record = entry.record_at(now_us);
        record.trials += 1;
        match self.store(&record, revision).await {
            Ok(revision) => {
                let mut fleet = self.control.fleet();
                let list = fleet.quarantine_mut();
                list.on_stored(record, revision, clock::now_us(), 0)
            }
            Err(error) => {
                log::info!(decision:%, error:%; "trial not claimed");
                false
            }
        }
    }

    /// The entry of a decision whose trial is due. Its trial is put off, so that this node claims it once.
    fn take_due_trial(&self, decision: &Name, now_us: u64) -> Option<Entry> {
        let mut fleet = self.control.fleet();
        let list = fleet.quarantine_mut();
        let is_due =
            |entry: &&Entry| entry.record.decision == *decision && entry.trial_due_us <= now_us;
        let entry = list.entries().find(is_due).cloned()?;
        list.delay_trial(&entry.record.key, now_us + CLAIM_RETRY_US);
        drop(fleet);
        self.control.publish();
        Some(entry)
    }

    async fn write_when_due(self: Arc<Self>) {
        loop {
            self.write().await;
            self.remove().await;
            let notified = self.has_unwritten.notified();
            // The time is over if nothing is to be written at once.
            drop(tokio::time::timeout(WRITE_INTERVAL, notified).await);
        }
    }

    /// Stores the records that are due.
    async fn write(&self) {
        let now_us = clock::now_us();
        let unwritten = self.control.fleet().quarantine().unwritten(now_us);
        for entry in unwritten {
            let record = entry.record_at(now_us);
            let written = self.store(&record, entry.revision.unwrap_or(0)).await;
            let mut fleet = self.control.fleet();
            let list = fleet.quarantine_mut();
            match written {
                Ok(revision) => {
                    log::info!(decision:% = record.decision, revision; "quarantine record stored");
                    list.on_stored(record, revision, clock::now_us(), WRITE_RETRY_US);
                }
                Err(error) => {
                    log::info!(decision:% = record.decision, error:%; "quarantine record not stored");
                    list.retry_write_at(&record.key, clock::now_us() + WRITE_RETRY_US);
                }
            }
        }
    }

    /// Removes the records of released decisions.
    async fn remove(&self) {
        let removals = self.control.fleet().quarantine().removals().to_vec();
        for stored in removals {
            let key = record_key(&stored.key);
            let transaction = Transaction {
                conditions: vec![KeyRevision {
                    key: key.clone(),
                    revision: stored.revision,
                }],
                removes: vec![key],
                ..Transaction::default()
            };
            let commit = self.control.store.commit(transaction);
            let removed = with_timeout(CALL_TIMEOUT, commit).await;
            // A record that has changed since is seen again by the watch.
            if matches!(removed, Ok(_) | Err(StoreError::Conflict)) {
                self.control
                    .fleet()
                    .quarantine_mut()
                    .on_removal_done(&stored);
            }
        }
    }

    async fn store(&self, record: &Record, revision: u64) -> Result<u64, StoreError> {
        let key = record_key(&record.key);
        let value = serde_json::to_vec(&messages::encode_record(record));
        let transaction = Transaction {
            conditions: vec![KeyRevision {
                key: key.clone(),
                revision,
            }],
            puts: vec![Put {
                key,
                value: value.expect("a record has a JSON form"),
                lease: None,
            }],
            ..Transaction::default()
        };
        let commit = self.control.store.commit(transaction);
        let committed = with_timeout(CALL_TIMEOUT, commit).await?;
        Ok(committed.value)
    }

    /// Tells all peers, some at a time. A peer that cannot be reached learns from the store.
    fn tell(&self, notice: QuarantineNotice) {
        let peers: Arc<[SocketAddr]> = Arc::clone(&self.control.fleet().peers);
        let upstreams = Arc::clone(&self.upstreams);
        tokio::spawn(async move {
            let mut told = FuturesUnordered::new();
            for peer in peers.iter().copied() {
                if told.len() == PEERS_AT_ONCE {
                    told.next().await;
                }
                told.push(tell_peer(&upstreams, peer, &notice));
            }
            while told.next().await.is_some() {}
        });
    }
}

async fn tell_peer(upstreams: &Arc<Upstreams>, peer: SocketAddr, notice: &QuarantineNotice) {
    let path = messages::NOTICE_PATH;
    let told = messages::call(upstreams, peer, path, notice, NOTICE_TIMEOUT);
    let answer: Option<serde_json::Value> = told.await;
    if answer.is_none() {
        log::info!(peer:%; "peer was not told of a change of the quarantine");
    }
}
