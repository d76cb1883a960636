//! State of the control thread and its event loop.

use std::sync::Arc;

use tealsaddle_core::collections::HashSet;
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::inventory::Inventory;
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::{mpsc, watch};
use uuid::Uuid;

use super::api::{DrainReply, EngineStatus, NodeStatus};
use super::event::Event;
use super::{config_follow, config_write};
use crate::clock;
use crate::platform::KeyValue;
use crate::traffic::{Snapshot, Traffic};

/// State of the control thread.
#[derive(Debug)]
pub struct Control {
    traffic: Arc<Traffic>,
    platform: Arc<dyn KeyValue>,
    events: mpsc::Sender<Event>,
    incarnation: String,
    config: Option<ConfigRecord>,
    inventory: Option<Arc<Inventory>>,
    is_platform_reachable: bool,
    is_leaving: bool,
    is_watcher: watch::Sender<bool>,
    drained: HashSet<Name>,
}

impl Control {
    /// Makes the state of a node that has just started.
    pub fn new(
        traffic: Arc<Traffic>,
        platform: Arc<dyn KeyValue>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            traffic,
            platform,
            events,
            incarnation: Uuid::new_v4().to_string(),
            config: None,
            inventory: None,
            is_platform_reachable: false,
            is_leaving: false,
            is_watcher: watch::Sender::new(true),
            drained: HashSet::default(),
        }
    }

    /// Handles events until the process ends.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        tokio::spawn(config_follow::follow(
            Arc::clone(&self.platform),
            self.events.clone(),
            self.is_watcher.subscribe(),
        ));
        while let Some(event) = queue.recv().await {
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        // An asker that gave up needs no answer.
        match event {
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Config(reply) => drop(reply.send(self.config.clone())),
            Event::PutConfig {
                if_version,
                author,
                yaml,
                reply,
            } => {
                let platform = Arc::clone(&self.platform);
                let traffic = Arc::clone(&self.traffic);
                let events = self.events.clone();
                tokio::spawn(async move {
                    let counters = &traffic.counters;
                    let written =
                        config_write::write(&*platform, counters, if_version, author, yaml).await;
                    if let config_write::ConfigWrite::Accepted(record) = &written {
                        drop(events.send(Event::ConfigOffered(record.clone())).await);
                    }
                    drop(reply.send(written));
                });
            }
            Event::ConfigHistory { limit, reply } => {
                let platform = Arc::clone(&self.platform);
                tokio::spawn(async move {
                    drop(reply.send(config_write::history(&*platform, limit).await));
                });
            }
            Event::ConfigRead(record) => {
                self.is_platform_reachable = record.is_some();
                if let Some(record) = record {
                    self.offer_config(record);
                }
            }
            Event::ConfigOffered(record) => self.offer_config(record),
            Event::DrainEngine {
                engine,
                is_drained,
                reply,
            } => drop(reply.send(self.drain_engine(&engine, is_drained))),
            Event::Leave => {
                self.is_leaving = true;
                self.publish();
            }
            Event::Resign(reply) => drop(reply.send(())),
        }
    }

    fn offer_config(&mut self, record: ConfigRecord) {
        let in_force = self.config.as_ref().map_or(0, |config| config.version);
        if record.version <= in_force {
            return;
        }
        match Inventory::from_yaml(&record.yaml, record.version) {
            Ok(inventory) => {
                log::info!(version = record.version, author = record.author; "configuration in force");
                self.traffic.record(Decision {
                    at_us: clock::now_us(),
                    kind: DecisionKind::Config,
                    subject: format!("config {}", record.version),
                    choice: "in force".to_owned(),
                    reason: format!("higher than version {in_force}"),
                    inputs: vec![("author".to_owned(), record.author.clone())],
                    alternatives: Vec::new(),
                });
                self.config = Some(record);
                self.inventory = Some(Arc::new(inventory));
                self.publish();
            }
            Err(error) => {
                self.traffic.counters.increment("config.invalid_record");
                log::error!(version = record.version, error:% = error; "configuration refused");
            }
        }
    }

    fn drain_engine(&mut self, engine: &str, is_drained: bool) -> DrainReply {
        let known = self.inventory.as_ref().and_then(|inventory| {
            let engine = inventory.engines.get(engine)?;
            (engine.zone == self.traffic.settings.zone).then(|| Arc::clone(&engine.name))
        });
        let Some(name) = known else {
            return DrainReply::UnknownEngine;
        };
        if is_drained {
            self.drained.insert(name);
        } else {
            self.drained.remove(&name);
        }
        self.publish();
        DrainReply::Accepted
    }

    fn publish(&self) {
        let mut snapshot = Snapshot {
            inventory: self.inventory.clone(),
            is_leaving: self.is_leaving,
            is_registered: true,
            ..Snapshot::default()
        };
        if let Some(inventory) = &self.inventory {
            snapshot.open_engines = inventory
                .engines
                .values()
                .filter(|engine| engine.zone == self.traffic.settings.zone && !engine.withdrawn)
                .filter(|engine| !self.drained.contains(&engine.name))
                .map(|engine| (Arc::clone(&engine.name), engine.initial_role))
                .collect();
        }
        self.traffic.snapshot.store(Arc::new(snapshot));
    }

    fn status(&self) -> NodeStatus {
        let settings = &self.traffic.settings;
        let snapshot = self.traffic.snapshot.load();
        let engines = self.inventory.iter().flat_map(|inventory| {
            inventory
                .engines
                .values()
                .filter(|engine| engine.zone == settings.zone)
                .map(|engine| EngineStatus {
                    engine: engine.name.to_string(),
                    role: engine.initial_role.as_str().to_owned(),
                    is_open: snapshot.open_engines.contains_key(&engine.name),
                    is_withdrawn: engine.withdrawn,
                    order: None,
                    unreleased: 0,
                    in_flight: self.traffic.in_flight.count(&engine.name),
                    load: None,
                })
        });
        let mut engines: Vec<_> = engines.collect();
        engines.sort_by(|a, b| a.engine.cmp(&b.engine));
        NodeStatus {
            vm: settings.vm.to_string(),
            incarnation: self.incarnation.clone(),
            zone: settings.zone.to_string(),
            peer_address: settings.peer_listen.to_string(),
            caller_address: settings.caller_listen.to_string(),
            is_ready: self.config.is_some() && !self.is_leaving,
            is_leaving: self.is_leaving,
            is_platform_reachable: self.is_platform_reachable,
            config_version: self.config.as_ref().map_or(0, |config| config.version),
            engines,
            ..NodeStatus::default()
        }
    }
}
