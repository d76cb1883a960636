//! State of the control thread and its event loop.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::authority::{self, Authority, Identity};
use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::drain::RoutingTable;
use tealsaddle_core::inventory::Inventory;
use tealsaddle_core::member::Members;
use tealsaddle_core::name::Name;
use tealsaddle_core::rollout::Rollout;
use tealsaddle_schema::record::{ConfigRecord, ProcessId};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::event::Event;
use super::loads::LoadReports;
use super::peers::Peers;
use super::plan::PlannerState;
use super::stop::Resignation;
use super::timers::PeriodicTimers;
use super::zone_capacity::ZoneCapacities;
use super::{config_watch, config_write, members};
use crate::clock;
use crate::engine::orders::EngineReader;
use crate::peer::client::PeerClients;
use crate::platform::{KeyValue, VmList};
use crate::traffic::{Snapshot, TableVersion, Traffic};

/// Time between two ticks. The authority state machine expects 100 to 250 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Clients of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformServices {
    /// The key-value service, for the lease, the zone record and the configuration.
    pub key_value: Arc<dyn KeyValue>,
    /// The list of VMs with their states.
    pub vms: Arc<dyn VmList>,
}

/// State of the control thread.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about the node"
)]
#[derive(Debug)]
pub struct ControlThread {
    pub(super) traffic: Arc<Traffic>,
    pub(super) platform: PlatformServices,
    pub(super) events: mpsc::Sender<Event>,
    pub(super) process: ProcessId,

    pub(super) config: Option<ConfigRecord>,
    pub(super) inventory: Option<Arc<Inventory>>,
    /// Time until which an unanswered pull blocks the next one; 0 without an unanswered pull.
    pub(super) pull_deadline_us: u64,
    /// Version refused as invalid, and the time until which it is not pulled again.
    pub(super) invalid_version: Option<(u64, u64)>,
    /// Seed peers that have neither answered nor failed since the start.
    pub(super) pending_seeds: HashSet<SocketAddr>,
    /// Highest version offered while seed peers are pending, and the peer that offered it.
    pub(super) highest_offer: Option<(u64, SocketAddr)>,
    pub(super) is_config_watcher: watch::Sender<bool>,

    pub(super) authority: Authority,
    pub(super) authority_events: VecDeque<authority::Event>,
    pub(super) holder: Option<SocketAddr>,
    pub(super) table: RoutingTable,
    /// Version of the routing table that the traffic threads use. In-flight counts are read after this
    /// table was published.
    pub(super) published_table_version: TableVersion,
    pub(super) is_registered: bool,
    /// Engines that operators have drained, as the holder knows them.
    pub(super) drained_engines: HashSet<Name>,

    pub(super) peers: Peers,
    pub(super) clients: PeerClients,
    pub(super) engine_reader: EngineReader,
    pub(super) members: Members,
    pub(super) rollout: Rollout,
    pub(super) loads: LoadReports,
    pub(super) zone_capacities: ZoneCapacities,
    pub(super) timers: PeriodicTimers,
    pub(super) planner_state: PlannerState,

    pub(super) is_platform_reachable: bool,
    pub(super) is_leaving: bool,
    /// Cancelled when `is_leaving` becomes true, for waiters on other threads.
    pub(super) leaving: CancellationToken,
    pub(super) resignation: Option<Resignation>,
    /// Whether the state has changed since the last snapshot was published.
    pub(super) is_dirty: bool,
}

impl ControlThread {
    /// Creates the state of a node that has just started.
    pub fn new(
        traffic: Arc<Traffic>,
        platform: PlatformServices,
        events: mpsc::Sender<Event>,
        leaving: CancellationToken,
    ) -> Self {
        let settings = &traffic.settings;
        let process = traffic.process.clone();
        let authority = Authority::new(Identity {
            process: process.clone(),
            address: settings.peer_listen.to_string(),
            zone: Name::clone(&settings.zone),
        });
        let pending_seeds = settings
            .seed_peers
            .iter()
            .copied()
            .filter(|address| *address != settings.peer_listen)
            .collect();
        Self {
            process,
            authority,
            pending_seeds,
            traffic,
            platform,
            events,
            config: None,
            inventory: None,
            pull_deadline_us: 0,
            invalid_version: None,
            highest_offer: None,
            is_config_watcher: watch::Sender::new(true),
            authority_events: VecDeque::new(),
            holder: None,
            table: RoutingTable::default(),
            published_table_version: TableVersion::default(),
            is_registered: false,
            drained_engines: HashSet::default(),
            peers: Peers::default(),
            clients: PeerClients::default(),
            engine_reader: EngineReader::open(),
            members: Members::default(),
            rollout: Rollout::default(),
            loads: LoadReports::default(),
            zone_capacities: ZoneCapacities::default(),
            timers: PeriodicTimers::default(),
            planner_state: PlannerState::default(),
            is_platform_reachable: false,
            is_leaving: false,
            leaving,
            resignation: None,
            is_dirty: false,
        }
    }

    /// Handles events until the process ends.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        tokio::spawn(config_watch::watch_config(
            Arc::clone(&self.platform.key_value),
            self.events.clone(),
            self.is_config_watcher.subscribe(),
        ));
        tokio::spawn(members::poll_vms(
            Arc::clone(&self.platform.vms),
            self.events.clone(),
        ));
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // The tick comes first, so that a pause of the process is detected before the older
                // events in the queue are handled.
                biased;
                _ = ticks.tick() => self.on_tick(),
                event = queue.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
            }
            self.process_authority_events();
            if self.is_dirty {
                self.publish_snapshot();
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        // A failed send of a reply is ignored: its receiver has stopped waiting.
        match event {
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Config(reply) => drop(reply.send(self.config.clone())),
            Event::PutConfig {
                if_version,
                author,
                yaml,
                reply,
            } => self.put_config(if_version, author, yaml, reply),
            Event::ConfigHistory { limit, reply } => {
                let platform = Arc::clone(&self.platform.key_value);
                tokio::spawn(async move {
                    drop(reply.send(config_write::history(&*platform, limit).await));
                });
            }
            Event::ConfigRead(record) => {
                self.is_platform_reachable = record.is_some();
                if let Some(record) = record {
                    self.apply_config(record);
                }
            }
            Event::ConfigWritten(record) => self.apply_config(record),
            Event::ConfigPulled(record) => self.on_config_pulled(record),
            Event::Refreshed { requested_at_us } => self.on_refreshed(requested_at_us),
            Event::DrainEngine {
                engine,
                is_drained,
                reply,
            } => self.on_drain(engine, is_drained, reply),
            Event::PeerDrain { request, reply } => {
                drop(reply.send(Ok(self.on_peer_drain(&request))));
            }
            Event::Leave => self.leave("asked by an operator or a signal"),
            Event::Resign(reply) => self.on_resign(reply),
            Event::PeerHeartbeat { request, reply } => {
                drop(reply.send(self.on_peer_heartbeat(&request)));
            }
            Event::PeerRegister { request, reply } => {
                drop(reply.send(self.on_peer_register(request)));
            }
            Event::PeerResign { request, reply } => {
                drop(reply.send(self.on_peer_resign(request)));
            }
            Event::HeartbeatDone {
                requested_at_us,
                address,
                result,
            } => self.on_heartbeat_done(requested_at_us, address, result),
            Event::RegisterDone { result } => self.on_register_done(result),
            Event::ResignDone { is_accepted } => self.on_resign_done(is_accepted),
            Event::VmsRead(list) => self.on_vm_list(list),
            Event::LoadRead {
                engine,
                requested_at_us,
                answer,
            } => self.on_load(&engine, requested_at_us, answer),
            Event::OrderConnected {
                send,
                order,
                connection,
            } => self.on_order_connected(send, order, connection),
            Event::Authority(event) => self.authority_events.push_back(event),
        }
    }

    /// Records a decision that the control thread makes outside the authority state machine.
    pub(super) fn record_decision(
        &self,
        kind: DecisionKind,
        subject: &str,
        choice: &str,
        reason: String,
    ) {
        self.traffic.record(Decision {
            at_us: clock::now_us(),
            kind,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason,
            inputs: Vec::new(),
            alternatives: Vec::new(),
        });
    }

    pub(super) fn count(&self, name: &str) {
        self.traffic.counters.increment(name);
    }

    pub(super) fn zone(&self) -> &Name {
        &self.traffic.settings.zone
    }

    /// Returns the VMs that the VM list, or a node on them, reports as leaving.
    pub(super) fn leaving_vms(&self) -> HashSet<Name> {
        self.members.leaving().cloned().collect()
    }

    /// Publishes a new snapshot to the traffic threads.
    pub(super) fn publish_snapshot(&mut self) {
        self.is_dirty = false;
        let leaving_vms = self.leaving_vms();
        let mut open_engines = HashMap::default();
        if let Some(inventory) = &self.inventory {
            for (name, role) in &self.table.open {
                let is_usable = inventory.engines.get(name).is_some_and(|engine| {
                    let is_leaving = engine
                        .vm
                        .as_ref()
                        .is_some_and(|vm| leaving_vms.contains(vm));
                    engine.zone == *self.zone() && !engine.withdrawn && !is_leaving
                });
                if is_usable {
                    open_engines.insert(Name::clone(name), *role);
                }
            }
        }
        let table_version = TableVersion {
            epoch: self.table.version.epoch,
            sequence: self.table.version.sequence,
        };
        self.traffic.snapshot.store(Arc::new(Snapshot {
            inventory: self.inventory.clone(),
            table_version,
            open_engines,
            is_registered: self.is_registered,
            is_leaving: self.is_leaving,
            is_stale: self.rollout.is_stale(clock::now_us()),
            peers: self.peers.endpoints(&self.members),
            leaving_vms,
            zone_spare_capacity: self.zone_capacities.to_snapshot(),
        }));
        self.published_table_version = table_version;
    }
}
