//! Heartbeats, by which nodes exchange their state every second.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use tealsaddle_core::authority::Event as AuthorityEvent;
use tealsaddle_core::collections::{HashMap, HashSet};
use tealsaddle_core::drain::RoutingTable;
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::{
    self, EngineReport, HeartbeatReply, HeartbeatRequest, InFlight, ModelLoad, PeerInfo, TableEntry,
};
use tonic::Status;

use super::event::Event;
use super::loads::{self, Report};
use super::peers::{Peer, parse_peer};
use super::plan;
use super::state::ControlThread;
use crate::clock;
use crate::traffic::SpareCapacity;

/// Number of random peers of the node's own zone that get each heartbeat, besides the holder. One random
/// peer of another zone gets it as well.
const OWN_ZONE_FANOUT: usize = 2;
/// Maximum number of engines or models in one message; the design size is 1,900 engines.
const MAX_ENTRIES: usize = 10_000;

fn table_to_message(table: &RoutingTable, zone: &str) -> peer::RoutingTable {
    peer::RoutingTable {
        version: Some(table.version.into()),
        zone: zone.to_owned(),
        entries: table
            .open
            .iter()
            .map(|(engine, role)| TableEntry {
                engine: engine.to_string(),
                role: role.as_str().to_owned(),
            })
            .collect(),
    }
}

fn table_from_message(message: &peer::RoutingTable) -> Option<RoutingTable> {
    let version = message.version?.into();
    let mut open = Vec::with_capacity(message.entries.len().min(MAX_ENTRIES));
    for entry in &message.entries {
        open.push((Name::from(entry.engine.as_str()), entry.role.parse().ok()?));
    }
    Some(RoutingTable { version, open })
}

impl ControlThread {
    fn own_info(&self) -> PeerInfo {
        let settings = &self.traffic.settings;
        PeerInfo {
            process: Some(self.process.clone()),
            zone: settings.zone.to_string(),
            peer_address: settings.peer_listen.to_string(),
            caller_address: settings.caller_listen.to_string(),
            leaving: self.is_leaving,
            registered: self.is_registered,
            age_ms: 0,
            config_version: self.config_version(),
        }
    }

    /// Returns the requests in flight per engine. They are read after the table of
    /// [`Self::own_table_version`] was published to the traffic threads.
    fn in_flight(&self) -> Vec<(Name, u32)> {
        self.traffic.in_flight.nonzero_counts()
    }

    /// Returns the version of the routing table that the traffic threads of this node use.
    pub(super) fn own_table_version(&self) -> tealsaddle_core::drain::TableVersion {
        tealsaddle_core::drain::TableVersion {
            epoch: self.published_table_version.epoch,
            sequence: self.published_table_version.sequence,
        }
    }

    /// Builds a heartbeat from the state of this node.
    pub(super) fn heartbeat_request(&self, wants_peers: bool) -> HeartbeatRequest {
        let info = self.own_info();
        let now_us = clock::now_us();
        HeartbeatRequest {
            process: info.process,
            zone: info.zone,
            peer_address: info.peer_address,
            caller_address: info.caller_address,
            config_version: info.config_version,
            table: Some(self.own_table_version().into()),
            in_flight: self
                .in_flight()
                .into_iter()
                .map(|(engine, requests)| InFlight {
                    engine: engine.to_string(),
                    requests,
                })
                .collect(),
            leaving: info.leaving,
            registered: info.registered,
            loads: self.spare_capacity(),
            reports: self.loads.to_messages(true, now_us),
            wants_peers,
            demands: plan::to_messages(&self.traffic.demands.totals()),
        }
    }

    fn spare_capacity(&self) -> Vec<ModelLoad> {
        self.inventory.as_ref().map_or_else(Vec::new, |inventory| {
            self.loads
                .spare_capacity(inventory, &self.traffic.snapshot.load())
        })
    }

    /// Sends heartbeats to the holder and a few peers, or to all known peers while the node is leaving.
    pub(super) fn send_heartbeats(&mut self, wants_peers: bool) {
        let mut random = rand::rng();
        let own_address = self.traffic.settings.peer_listen;
        let mut addresses: HashSet<SocketAddr> = self.holder.into_iter().collect();
        if self.is_leaving {
            addresses.extend(self.peers.iter().map(|peer| peer.peer_address));
        } else {
            let (own_zone, other_zones): (Vec<&Peer>, Vec<&Peer>) = self
                .peers
                .iter()
                .filter(|peer| !peer.is_leaving)
                .partition(|peer| peer.zone == *self.zone());
            addresses.extend(
                own_zone
                    .iter()
                    .map(|p| p.peer_address)
                    .sample(&mut random, OWN_ZONE_FANOUT),
            );
            addresses.extend(
                other_zones
                    .iter()
                    .map(|p| p.peer_address)
                    .sample(&mut random, 1),
            );
        }
        addresses.extend(&self.pending_seeds);
        // A seed peer is contacted with every fifth heartbeat, or if there is no other peer.
        let seeds = self.traffic.settings.seed_peers.iter().copied();
        if self.timers.heartbeat_count().is_multiple_of(5) || addresses.is_empty() {
            addresses.extend(seeds.choose(&mut random));
        }
        addresses.remove(&own_address);
        let request = self.heartbeat_request(wants_peers);
        for address in addresses {
            self.send_heartbeat(address, request.clone());
        }
    }

    fn send_heartbeat(&mut self, address: SocketAddr, request: HeartbeatRequest) {
        let Ok(mut client) = self.clients.client(address) else {
            return;
        };
        let events = self.events.clone();
        let requested_at_us = clock::now_us();
        tokio::spawn(async move {
            let result = client.heartbeat(request).await;
            let result = result.map(|reply| Box::new(reply.into_inner()));
            let event = Event::HeartbeatDone {
                requested_at_us,
                address,
                result,
            };
            drop(events.send(event).await);
        });
    }

    /// Handles the heartbeat of a peer and returns the state of this node.
    pub(super) fn on_peer_heartbeat(
        &mut self,
        request: &HeartbeatRequest,
    ) -> Result<HeartbeatReply, Status> {
        let now_us = clock::now_us();
        let info = PeerInfo {
            process: request.process.clone(),
            zone: request.zone.clone(),
            peer_address: request.peer_address.clone(),
            caller_address: request.caller_address.clone(),
            leaving: request.leaving,
            registered: request.registered,
            age_ms: 0,
            config_version: request.config_version,
        };
        let sender = parse_peer(&info, now_us)
            .ok_or_else(|| Status::invalid_argument("process, zone or address is malformed"))?;
        if request.in_flight.len() > MAX_ENTRIES
            || request.reports.len() > MAX_ENTRIES
            || request.demands.len() > MAX_ENTRIES
        {
            return Err(Status::invalid_argument("too many engines in one message"));
        }
        let is_same_zone = sender.zone == *self.zone();
        if sender.process == self.process {
            return Ok(self.heartbeat_reply(request, is_same_zone, now_us));
        }
        let address = sender.peer_address;
        self.on_peer_info(sender, false);
        self.on_peer_config_version(request.config_version, address);
        if is_same_zone {
            if self.is_holder() {
                let process = request.process.clone().unwrap_or_default();
                self.planner_state.on_demands(&process, &request.demands);
                let in_flight: HashMap<Name, u32> = request
                    .in_flight
                    .iter()
                    .map(|entry| (Name::from(entry.engine.as_str()), entry.requests))
                    .collect();
                self.authority_events
                    .push_back(AuthorityEvent::RouterReport {
                        process,
                        table: request.table.unwrap_or_default().into(),
                        in_flight,
                    });
            }
            self.on_reports(&request.reports);
        } else {
            self.on_zone_loads(&request.zone, &request.loads);
        }
        Ok(self.heartbeat_reply(request, is_same_zone, now_us))
    }

    fn heartbeat_reply(
        &self,
        request: &HeartbeatRequest,
        is_same_zone: bool,
        now_us: u64,
    ) -> HeartbeatReply {
        let own = self.own_info();
        let known = request.table.unwrap_or_default().into();
        let is_newer = is_same_zone && self.table.version > known;
        let is_holder = is_same_zone && self.is_holder();
        let mut peers = vec![own.clone()];
        if request.wants_peers {
            peers.extend(self.peers.to_messages(&request.zone, self.zone(), now_us));
        }
        HeartbeatReply {
            process: own.process,
            zone: own.zone,
            config_version: own.config_version,
            leaving: own.leaving,
            holder_address: self
                .holder
                .filter(|_| is_same_zone)
                .map(|address| address.to_string())
                .unwrap_or_default(),
            table: is_newer.then(|| table_to_message(&self.table, self.zone())),
            peers,
            registered: own.registered,
            loads: self.spare_capacity(),
            reports: if is_same_zone {
                self.loads.to_messages(!is_holder, now_us)
            } else {
                Vec::new()
            },
            holder_epoch: if is_holder { self.held_epoch() } else { 0 },
            drained: if is_holder {
                self.drained_engines
                    .iter()
                    .map(ToString::to_string)
                    .collect()
            } else {
                Vec::new()
            },
            sender_registered: is_holder
                && request
                    .process
                    .as_ref()
                    .is_some_and(|process| self.authority.is_registered(process)),
        }
    }

    pub(super) fn on_heartbeat_done(
        &mut self,
        requested_at_us: u64,
        address: SocketAddr,
        result: Result<Box<HeartbeatReply>, Status>,
    ) {
        let reply = match result {
            Ok(reply) => reply,
            Err(_status) => {
                self.count("peer.call_failed");
                if self.peers.on_call_failed(address) {
                    self.is_dirty = true;
                    self.assign_zone_tasks();
                }
                // A configured seed peer may no longer exist, so each is waited for only once.
                self.on_seed_contacted(address);
                return;
            }
        };
        let now_us = clock::now_us();
        for (index, info) in reply.peers.iter().enumerate() {
            match parse_peer(info, now_us) {
                Some(peer) if peer.process != self.process => {
                    // The first entry of a reply is the process that sent it.
                    let is_direct = index == 0 && info.process == reply.process;
                    self.on_peer_info(peer, is_direct);
                }
                Some(_own) => {}
                None => self.count("peer.dropped.malformed"),
            }
        }
        self.on_peer_config_version(reply.config_version, address);
        self.on_seed_contacted(address);
        // A reply with a higher version refreshes the state only after that version is pulled.
        if reply.config_version <= self.config_version() {
            self.on_refreshed(requested_at_us);
        }
        if reply.zone != **self.zone() {
            if reply.table.is_some() {
                self.count("peer.dropped.wrong_zone");
            }
            self.on_zone_loads(&reply.zone, &reply.loads);
            return;
        }
        self.on_zone_reply(&reply, address);
    }

    fn on_zone_reply(&mut self, reply: &HeartbeatReply, address: SocketAddr) {
        if let Some(message) = &reply.table {
            self.on_table_message(message);
        }
        self.on_reports(&reply.reports);
        // Only the holder sets its epoch. Other nodes pass on the address of the holder that they know.
        if reply.holder_epoch == 0 {
            if self.holder.is_none()
                && let Ok(holder) = reply.holder_address.parse()
            {
                self.set_holder(holder);
            }
            return;
        }
        if reply.holder_epoch < self.table.version.epoch {
            self.count("peer.dropped.old_epoch");
            return;
        }
        self.set_holder(address);
        if !self.is_holder() {
            let drained = reply.drained.iter().map(|e| Name::from(e.as_str()));
            let drained: HashSet<Name> = drained.collect();
            if drained != self.drained_engines {
                // Every node keeps the list, so a drain stays in force if the holder that accepted it fails.
                self.drained_engines = drained;
                self.send_engine_specs();
            }
            if self.is_registered && !reply.sender_registered {
                // The holder has removed this process from the router list: the VM list omitted the VM
                // for a while, or another process uses the address. An unlisted node must not route.
                self.count("register.lost");
                self.set_registered(false);
            }
        }
    }

    pub(super) fn on_table_message(&mut self, message: &peer::RoutingTable) {
        if message.zone != **self.zone() {
            self.count("peer.dropped.wrong_zone");
            return;
        }
        match table_from_message(message) {
            Some(table) if self.table.is_replaced_by(&table) => self.adopt_table(table),
            Some(_older) => self.count("peer.dropped.old_table"),
            None => self.count("peer.dropped.malformed"),
        }
    }

    pub(super) fn table_message(&self) -> peer::RoutingTable {
        table_to_message(&self.table, self.zone())
    }

    /// Records the state of another process. `is_direct` is true if the process itself sent it in answer
    /// to a call of this node.
    pub(super) fn on_peer_info(&mut self, peer: Peer, is_direct: bool) {
        let now_us = clock::now_us();
        // Information from third parties and incoming heartbeats may be delayed. For a known process,
        // only its answer to a call of this node, or a report that the process is stopping, changes the
        // state of its VM.
        let change = if is_direct || peer.is_leaving || !self.peers.contains(&peer.process) {
            let address = peer.peer_address.to_string();
            self.members.on_peer_answer(
                &address,
                &peer.zone,
                &peer.process,
                peer.is_leaving,
                now_us,
            )
        } else {
            None
        };
        if self.peers.update(peer, is_direct, now_us) {
            self.is_dirty = true;
            self.assign_zone_tasks();
        }
        if let Some(change) = change {
            self.on_member_changes(&[change], "a node says so");
        }
    }

    fn on_reports(&mut self, reports: &[EngineReport]) {
        let now_us = clock::now_us();
        for message in reports.iter().take(MAX_ENTRIES) {
            let is_known = self
                .inventory
                .as_ref()
                .is_some_and(|inventory| inventory.engines.contains_key(message.engine.as_str()));
            if !is_known {
                continue;
            }
            if let Some(report) = self.loads.on_peer_report(message.clone(), now_us) {
                self.publish_load_report(&report);
            }
        }
    }

    pub(super) fn publish_load_report(&self, report: &Report) {
        match loads::to_load_report(report) {
            Some(load) => {
                let engine = Name::from(report.message.engine.as_str());
                self.traffic.on_load_report(&engine, load);
            }
            None => self.count("load.malformed"),
        }
    }

    fn on_zone_loads(&mut self, zone: &str, loads: &[ModelLoad]) {
        let is_known = self
            .inventory
            .as_ref()
            .is_some_and(|inventory| inventory.zones.contains_key(zone));
        if !is_known {
            return;
        }
        let zone = Name::from(zone);
        let now_us = clock::now_us();
        for load in loads.iter().take(MAX_ENTRIES) {
            let capacity = SpareCapacity {
                spare_prefill_tokens: load.spare_prefill_tokens,
                spare_decode_requests: load.spare_decode_requests,
            };
            self.is_dirty |= self
                .zone_capacities
                .on_report(&zone, &load.model, capacity, now_us);
        }
    }
}
