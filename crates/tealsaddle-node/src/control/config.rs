//! The configuration in force on this node.
//!
//! A node only ever moves to a higher version. It learns of versions from the platform's watch, from
//! heartbeats and from its own operators, and pulls the record from whoever has it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::decision::DecisionKind;
use tealsaddle_core::inventory::Inventory;
use tealsaddle_core::rollout::{OfferResponse, REFRESH_TIMEOUT_US, WATCHERS_PER_ZONE, rendezvous};
use tealsaddle_schema::peer::GetConfigRequest;
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::oneshot;

use super::config_write::{self, CONFIG_KEY, ConfigWrite};
use super::event::Event;
use super::state::Control;
use crate::clock;

/// Time after which an unanswered pull no longer holds back the next one.
const PULL_TIMEOUT_US: u64 = 1_500_000;

/// Time for which a version that was refused is not pulled again; a record can be 1 MB.
const REFUSED_FOR_US: u64 = 60_000_000;

impl Control {
    /// Takes a record whose version is higher than the one in force.
    pub(super) fn offer_config(&mut self, record: ConfigRecord) {
        let in_force = self.rollout.version();
        if self.rollout.on_offer(record.version) == OfferResponse::Ignore {
            return;
        }
        match Inventory::from_yaml(&record.yaml, record.version) {
            Ok(inventory) => {
                log::info!(version = record.version, author = record.author; "configuration in force");
                self.decide(
                    DecisionKind::Config,
                    &format!("config {}", record.version),
                    "in force",
                    format!("higher than version {in_force}; by {}", record.author),
                );
                self.count("config.in_force");
                self.rollout.on_fetched(record.version);
                self.config = Some(record);
                self.inventory = Some(Arc::new(inventory));
                self.is_dirty = true;
                self.assign_tasks();
                self.tell_engines();
                // Peers need not wait for the next round.
                self.rounds.heartbeat_now();
            }
            Err(error) => {
                self.count("config.invalid_record");
                let until_us = clock::now_us() + REFUSED_FOR_US;
                let is_new = self
                    .refused_version
                    .replace((record.version, until_us))
                    .is_none_or(|(version, _)| version != record.version);
                if is_new {
                    log::error!(
                        version = record.version, error:% = error;
                        "configuration refused"
                    );
                }
            }
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.rollout.version()
    }

    /// Computes which tasks of the zone fall to this node.
    pub(super) fn assign_tasks(&mut self) {
        let own_vm = self.process.vm.clone();
        let zone = Arc::clone(self.zone());
        let mut members: Vec<&str> = self
            .peers
            .iter()
            .filter(|peer| peer.zone == zone && !peer.is_leaving && !peer.is_failing)
            .map(|peer| peer.process.vm.as_str())
            .collect();
        members.push(&own_vm);
        members.sort_unstable();
        members.dedup();
        let watchers = rendezvous(CONFIG_KEY, &members, WATCHERS_PER_ZONE);
        let is_watcher = watchers.contains(&own_vm.as_str());
        self.is_watcher.send_if_modified(|was| {
            let has_changed = *was != is_watcher;
            *was = is_watcher;
            has_changed
        });
        if let Some(inventory) = &self.inventory {
            self.loads.assign(inventory, &zone, &own_vm, &members);
        }
    }

    /// Reacts to a version that a peer has.
    pub(super) fn consider_offer(&mut self, version: u64, address: SocketAddr) {
        if self.rollout.on_offer(version) == OfferResponse::Ignore {
            return;
        }
        // The first version of a node that starts must be the highest that its peers have.
        if self.config.is_none() && !self.unheard_seeds.is_empty() {
            if self.best_offer.is_none_or(|(best, _)| version > best) {
                self.best_offer = Some((version, address));
            }
            return;
        }
        let now_us = clock::now_us();
        let is_refused = |(refused, until_us): (u64, u64)| refused == version && now_us < until_us;
        if now_us < self.pulling_until_us || self.refused_version.is_some_and(is_refused) {
            return;
        }
        let Ok(mut client) = self.clients.client(address) else {
            return;
        };
        self.pulling_until_us = now_us + PULL_TIMEOUT_US;
        self.count("config.pull");
        let events = self.events.clone();
        tokio::spawn(async move {
            let request = GetConfigRequest {
                at_least_version: version,
            };
            let reply = client.get_config(request).await;
            let record = reply.ok().and_then(|reply| reply.into_inner().config);
            drop(events.send(Event::ConfigPulled(record)).await);
        });
    }

    /// Notes that a seed peer has answered or cannot be reached.
    pub(super) fn on_seed_heard(&mut self, address: SocketAddr) {
        self.unheard_seeds.remove(&address);
        if self.unheard_seeds.is_empty()
            && let Some((version, address)) = self.best_offer.take()
        {
            self.consider_offer(version, address);
        }
    }

    pub(super) fn on_config_pulled(&mut self, record: Option<ConfigRecord>) {
        self.pulling_until_us = 0;
        match record {
            Some(record) => self.offer_config(record),
            None => self.count("config.pull_failed"),
        }
    }

    pub(super) fn put_config(
        &self,
        if_version: u64,
        author: String,
        yaml: String,
        reply: oneshot::Sender<ConfigWrite>,
    ) {
        let platform = Arc::clone(&self.platform.key_value);
        let traffic = Arc::clone(&self.traffic);
        let events = self.events.clone();
        tokio::spawn(async move {
            let counters = &traffic.counters;
            let written = config_write::write(&*platform, counters, if_version, author, yaml).await;
            if let ConfigWrite::Accepted(record) = &written {
                drop(events.send(Event::ConfigOffered(record.clone())).await);
            }
            drop(reply.send(written));
        });
    }

    /// After a pause: asks the platform and the peers; new requests wait until one answers.
    pub(super) fn refresh(&mut self, now_us: u64) {
        log::warn!("process was paused");
        self.count("control.paused");
        self.publish();
        let platform = Arc::clone(&self.platform.key_value);
        let events = self.events.clone();
        tokio::spawn(async move {
            let read = config_write::read(&*platform, CONFIG_KEY).await;
            if let Ok(stored) = read {
                drop(events.send(Event::ConfigRead(Some(stored.record))).await);
                let asked_at_us = now_us;
                drop(events.send(Event::Refreshed { asked_at_us }).await);
            }
        });
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(REFRESH_TIMEOUT_US)).await;
            let asked_at_us = now_us;
            drop(events.send(Event::Refreshed { asked_at_us }).await);
        });
        self.rounds.heartbeat_now();
    }

    pub(super) fn on_refreshed(&mut self, asked_at_us: u64) {
        self.rollout.on_refreshed(asked_at_us);
        let is_held = self.traffic.snapshot.load().is_stale;
        if is_held && !self.rollout.is_stale(clock::now_us()) {
            self.is_dirty = true;
            log::info!("state is fresh again");
        }
    }
}
