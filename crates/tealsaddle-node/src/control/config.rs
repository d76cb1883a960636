//! The configuration in force on this node.
//!
//! A node only ever moves to a higher version. New versions come from the watch on the platform, from
//! heartbeats of peers and from writes by operators through this node. A version that a heartbeat
//! announces is pulled from the peer that announced it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::decision::DecisionKind;
use tealsaddle_core::inventory::Inventory;
use tealsaddle_core::rollout::{OfferResponse, REFRESH_TIMEOUT_US, WATCHERS_PER_ZONE, rendezvous};
use tealsaddle_schema::peer::GetConfigRequest;
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::oneshot;

use super::config_write::{self, CONFIG_KEY, ConfigWriteOutcome};
use super::event::Event;
use super::state::ControlThread;
use crate::clock;

/// Time after which an unanswered pull no longer blocks the next one.
const PULL_TIMEOUT_US: u64 = 1_500_000;

/// Time for which an invalid version is not pulled again, since a record can be 1 MB.
const INVALID_VERSION_HOLD_US: u64 = 60_000_000;

impl ControlThread {
    /// Puts a record in force if it is valid and its version is higher than the one in force.
    pub(super) fn apply_config(&mut self, record: ConfigRecord) {
        let in_force = self.rollout.version();
        if self.rollout.on_offer(record.version) == OfferResponse::Ignore {
            return;
        }
        match Inventory::from_yaml(&record.yaml, record.version) {
            Ok(inventory) => {
                log::info!(version = record.version, author = record.author; "configuration in force");
                self.record_decision(
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
                self.assign_zone_tasks();
                self.send_engine_specs();
                // Peers learn the version without waiting for the next periodic heartbeat.
                self.timers.heartbeat_now();
            }
            Err(error) => {
                self.count("config.invalid_record");
                let until_us = clock::now_us() + INVALID_VERSION_HOLD_US;
                let is_new = self
                    .invalid_version
                    .replace((record.version, until_us))
                    .is_none_or(|(version, _)| version != record.version);
                if is_new {
                    log::error!(
                        version = record.version, error:% = error;
                        "configuration record is invalid; not put in force"
                    );
                }
            }
        }
    }

    pub(super) fn config_version(&self) -> u64 {
        self.rollout.version()
    }

    /// Computes which shared tasks of the zone this node runs: watching the configuration and polling
    /// engines.
    pub(super) fn assign_zone_tasks(&mut self) {
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
        let is_config_watcher = watchers.contains(&own_vm.as_str());
        self.is_config_watcher.send_if_modified(|current| {
            let has_changed = *current != is_config_watcher;
            *current = is_config_watcher;
            has_changed
        });
        if let Some(inventory) = &self.inventory {
            self.loads
                .assign_polling(inventory, &zone, &own_vm, &members);
        }
    }

    /// Pulls the configuration from a peer whose version is higher than the one in force.
    pub(super) fn on_peer_config_version(&mut self, version: u64, address: SocketAddr) {
        if self.rollout.on_offer(version) == OfferResponse::Ignore {
            return;
        }
        // A starting node must take the highest version of its seed peers first, so the pull waits
        // until all of them have answered or failed.
        if self.config.is_none() && !self.pending_seeds.is_empty() {
            if self
                .highest_offer
                .is_none_or(|(highest, _)| version > highest)
            {
                self.highest_offer = Some((version, address));
            }
            return;
        }
        let now_us = clock::now_us();
        let is_on_hold = |(refused, until_us): (u64, u64)| refused == version && now_us < until_us;
        if now_us < self.pull_deadline_us || self.invalid_version.is_some_and(is_on_hold) {
            return;
        }
        let Ok(mut client) = self.clients.client(address) else {
            return;
        };
        self.pull_deadline_us = now_us + PULL_TIMEOUT_US;
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

    /// Records that a seed peer has answered or could not be reached.
    pub(super) fn on_seed_contacted(&mut self, address: SocketAddr) {
        self.pending_seeds.remove(&address);
        if self.pending_seeds.is_empty()
            && let Some((version, address)) = self.highest_offer.take()
        {
            self.on_peer_config_version(version, address);
        }
    }

    pub(super) fn on_config_pulled(&mut self, record: Option<ConfigRecord>) {
        self.pull_deadline_us = 0;
        match record {
            Some(record) => self.apply_config(record),
            None => self.count("config.pull_failed"),
        }
    }

    pub(super) fn put_config(
        &self,
        if_version: u64,
        author: String,
        yaml: String,
        reply: oneshot::Sender<ConfigWriteOutcome>,
    ) {
        let platform = Arc::clone(&self.platform.key_value);
        let traffic = Arc::clone(&self.traffic);
        let events = self.events.clone();
        tokio::spawn(async move {
            let counters = &traffic.counters;
            let written = config_write::write(&*platform, counters, if_version, author, yaml).await;
            if let ConfigWriteOutcome::Accepted(record) = &written {
                drop(events.send(Event::ConfigWritten(record.clone())).await);
            }
            drop(reply.send(written));
        });
    }

    /// Queries the platform and the peers after a pause of the process. New requests wait until one of
    /// them answers or [`REFRESH_TIMEOUT_US`] is over.
    pub(super) fn refresh_after_pause(&mut self, now_us: u64) {
        log::warn!("process was paused; refreshing the control state");
        self.count("control.paused");
        self.publish_snapshot();
        let platform = Arc::clone(&self.platform.key_value);
        let events = self.events.clone();
        tokio::spawn(async move {
            let read = config_write::read(&*platform, CONFIG_KEY).await;
            if let Ok(stored) = read {
                drop(events.send(Event::ConfigRead(Some(stored.record))).await);
                let requested_at_us = now_us;
                drop(events.send(Event::Refreshed { requested_at_us }).await);
            }
        });
        let events = self.events.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(REFRESH_TIMEOUT_US)).await;
            let requested_at_us = now_us;
            drop(events.send(Event::Refreshed { requested_at_us }).await);
        });
        self.timers.heartbeat_now();
    }

    pub(super) fn on_refreshed(&mut self, requested_at_us: u64) {
        self.rollout.on_refreshed(requested_at_us);
        let was_stale = self.traffic.snapshot.load().is_stale;
        if was_stale && !self.rollout.is_stale(clock::now_us()) {
            self.is_dirty = true;
            log::info!("control state is up to date again");
        }
    }
}
