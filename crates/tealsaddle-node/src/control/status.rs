//! Builds the state of the node that the administration API shows.

use tealsaddle_core::inventory::Engine;
use tealsaddle_schema::record::{Order, ProcessId};

use super::api::{EngineStatus, NodeStatus, OrderStatus, ProcessStatus, RouterStatus, TableStatus};
use super::state::ControlThread;
use crate::clock;
use crate::traffic::Snapshot;

fn to_order_status(order: &Order) -> OrderStatus {
    OrderStatus {
        order_id: order.order_id.clone(),
        kind: order.kind.clone(),
        role: order.role.clone(),
        phase: order.phase.clone(),
    }
}

impl ControlThread {
    pub(super) fn status(&self) -> NodeStatus {
        let settings = &self.traffic.settings;
        let snapshot = self.traffic.snapshot.load();
        let now_us = clock::now_us();
        let zone_engines = self.inventory.iter().flat_map(|inventory| {
            let engines = inventory.engines.values();
            engines.filter(|engine| engine.zone == settings.zone)
        });
        let mut engines: Vec<_> = zone_engines
            .map(|engine| self.engine_status(engine, &snapshot, now_us))
            .collect();
        engines.sort_by(|a, b| a.engine.cmp(&b.engine));
        let mut leaving_vms: Vec<_> = self.leaving_vms().iter().map(ToString::to_string).collect();
        leaving_vms.sort_unstable();
        NodeStatus {
            vm: settings.vm.to_string(),
            incarnation: self.process.incarnation.clone(),
            zone: settings.zone.to_string(),
            peer_address: settings.peer_listen.to_string(),
            caller_address: settings.caller_listen.to_string(),
            is_ready: self.config.is_some() && !self.is_leaving,
            is_leaving: self.is_leaving,
            is_registered: self.is_registered,
            is_stale: self.rollout.is_stale(now_us),
            is_platform_reachable: self.is_platform_reachable,
            config_version: self.config_version(),
            is_holder: self.is_holder(),
            holder: self.holder_status(),
            epoch: self.held_epoch().max(self.table.version.epoch),
            table: TableStatus {
                epoch: self.table.version.epoch,
                sequence: self.table.version.sequence,
            },
            routers: self.router_statuses(),
            engines,
            peers: self.peers.statuses(now_us),
            leaving_vms,
        }
    }

    fn holder_status(&self) -> Option<ProcessStatus> {
        let address = self.holder?;
        let process = if address == self.traffic.settings.peer_listen {
            self.process.clone()
        } else {
            let at_address = |peer: &&super::peers::Peer| peer.peer_address == address;
            let peer = self.peers.iter().find(at_address);
            peer.map_or_else(ProcessId::default, |peer| peer.process.clone())
        };
        Some(ProcessStatus {
            vm: process.vm,
            incarnation: process.incarnation,
            address: address.to_string(),
        })
    }

    fn router_statuses(&self) -> Vec<RouterStatus> {
        let Some(stored) = self.authority.record().filter(|_| self.is_holder()) else {
            return Vec::new();
        };
        let processes = stored
            .record
            .routers
            .iter()
            .filter_map(|r| r.process.as_ref());
        processes
            .map(|process| RouterStatus {
                vm: process.vm.clone(),
                incarnation: process.incarnation.clone(),
            })
            .collect()
    }

    fn engine_status(&self, engine: &Engine, snapshot: &Snapshot, now_us: u64) -> EngineStatus {
        let recorded = self.recorded_engine(&engine.name);
        let open_role = snapshot.open_engines.get(&engine.name);
        let role = match (recorded, open_role) {
            (Some(recorded), _) => recorded.role.clone(),
            (None, Some(role)) => role.as_str().to_owned(),
            (None, None) => engine.initial_role.as_str().to_owned(),
        };
        EngineStatus {
            engine: engine.name.to_string(),
            role,
            is_open: open_role.is_some(),
            is_withdrawn: engine.withdrawn || self.drained_engines.contains(&engine.name),
            order: recorded
                .and_then(|entry| entry.order.as_ref())
                .map(to_order_status),
            unreleased: recorded.map_or(0, |entry| entry.unreleased.len()),
            in_flight: self.traffic.in_flight.count(&engine.name),
            load: self.loads.status(&engine.name, now_us),
        }
    }
}
