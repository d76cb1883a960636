//! Periodic work of the control thread, membership of VMs, and the router list.

use std::sync::Arc;
use std::time::Duration;

use tealsaddle_core::authority::Event as AuthorityEvent;
use tealsaddle_core::decision::DecisionKind;
use tealsaddle_core::member::{Liveness, LivenessChange};
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::{RegisterReply, RegisterRequest};
use tealsaddle_schema::record::ProcessId;
use tokio::sync::mpsc;
use tonic::Status;

use super::event::Event;
use super::loads;
use super::state::ControlThread;
use crate::clock;
use crate::platform::{Vm, VmList, VmState};

/// Time between two reads of the VM list. Together with the lag of the list, this interval bounds how
/// long a leaving VM still gets new work.
const VM_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the VM list periodically and sends each result as an event.
pub async fn poll_vms(list: Arc<dyn VmList>, events: mpsc::Sender<Event>) {
    let mut interval = tokio::time::interval(VM_POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let vms = list.vms().await.ok();
        if events.send(Event::VmsRead(vms)).await.is_err() {
            return;
        }
    }
}

impl ControlThread {
    pub(super) fn on_tick(&mut self) {
        let now_us = clock::now_us();
        let due = self.timers.tick(now_us);
        if self.rollout.on_tick(now_us) {
            self.refresh_after_pause(now_us);
        }
        self.traffic.control_watchdog.tick(now_us);
        self.remove_expired_peers(&[], now_us);
        self.is_dirty |= self.zone_capacities.remove_expired(now_us);
        if due.heartbeat {
            self.send_heartbeats(due.wants_peers);
        }
        if due.register && !self.is_registered && !self.is_leaving && self.config.is_some() {
            self.send_registration();
        }
        if due.load_poll {
            self.poll_loads(false);
        }
        if due.draining_load_poll && self.is_holder() {
            // Other routers report their in-flight counts with heartbeats.
            let in_flight = self
                .traffic
                .in_flight
                .nonzero_counts()
                .into_iter()
                .collect();
            self.authority_events
                .push_back(AuthorityEvent::RouterReport {
                    process: self.process.clone(),
                    table: self.own_table_version(),
                    in_flight,
                });
            self.poll_loads(true);
        }
        self.plan_roles(now_us);
        self.advance_resignation(now_us);
        self.authority_events.push_back(AuthorityEvent::Tick);
    }

    /// Polls the load of the engines that this node is assigned to poll; with `only_with_order`, of the
    /// engines with an outstanding order instead.
    fn poll_loads(&self, only_with_order: bool) {
        let Some(inventory) = &self.inventory else {
            return;
        };
        let names: Vec<Name> = if only_with_order {
            let record = self.authority.record().map(|stored| &stored.record);
            let entries = record.into_iter().flat_map(|record| &record.engines);
            entries
                .filter(|entry| entry.order.is_some())
                .map(|entry| Name::from(entry.engine.as_str()))
                .collect()
        } else {
            self.loads.polled().to_vec()
        };
        for engine in names.iter().filter_map(|name| inventory.engines.get(name)) {
            loads::request_load(self.engine_reader.clone(), engine, self.events.clone());
        }
    }

    fn remove_expired_peers(&mut self, removed_vms: &[Name], now_us: u64) {
        let removed = self.peers.remove_expired(removed_vms, now_us);
        if removed.is_empty() {
            return;
        }
        for peer in removed {
            self.planner_state
                .retain_processes(|process| *process != peer.process);
            self.clients.remove(peer.peer_address);
            self.count("member.forgotten");
        }
        self.is_dirty = true;
        self.assign_zone_tasks();
    }

    pub(super) fn on_vm_list(&mut self, list: Option<Vec<Vm>>) {
        self.is_platform_reachable = list.is_some();
        let Some(list) = list else {
            self.count("platform.vms_failed");
            return;
        };
        let list: Vec<(Name, bool)> = list
            .into_iter()
            .map(|vm| (vm.vm, vm.state == VmState::Leaving))
            .collect();
        let changes = self.members.on_vm_list(&list);
        self.on_member_changes(&changes, "the VM list says so");
        if list
            .iter()
            .any(|(vm, is_leaving)| **vm == *self.process.vm && *is_leaving)
        {
            self.leave("the VM list shows this VM as leaving");
        }
        self.authority_events.push_back(AuthorityEvent::Vms(list));
    }

    /// Records changes of VMs, removes the peers on VMs that are gone, and drains the engines on leaving
    /// VMs.
    pub(super) fn on_member_changes(&mut self, changes: &[LivenessChange], reason: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let choice = match change.liveness {
                Liveness::Live => "live",
                Liveness::Leaving => "leaving",
                Liveness::Gone => "gone",
            };
            log::info!(vm = *change.vm, reason = reason; "VM is {choice}");
            self.count(&format!("member.{choice}"));
            self.record_decision(DecisionKind::Member, &change.vm, choice, reason.to_owned());
        }
        let removed_vms: Vec<Name> = changes
            .iter()
            .filter(|change| change.liveness == Liveness::Gone)
            .map(|change| Name::clone(&change.vm))
            .collect();
        self.remove_expired_peers(&removed_vms, clock::now_us());
        self.is_dirty = true;
        self.send_engine_specs();
    }

    pub(super) fn register_request(&self) -> RegisterRequest {
        RegisterRequest {
            process: Some(self.process.clone()),
            zone: self.zone().to_string(),
            peer_address: self.traffic.settings.peer_listen.to_string(),
        }
    }

    fn send_registration(&mut self) {
        let own_address = self.traffic.settings.peer_listen;
        let Some(holder) = self.holder.filter(|holder| *holder != own_address) else {
            return;
        };
        let Ok(mut client) = self.clients.client(holder) else {
            return;
        };
        self.count("register.request");
        let request = self.register_request();
        let events = self.events.clone();
        tokio::spawn(async move {
            let result = client.register(request).await.ok();
            let result = result.map(|reply| Box::new(reply.into_inner()));
            drop(events.send(Event::RegisterDone { result }).await);
        });
    }

    pub(super) fn on_register_done(&mut self, result: Option<Box<RegisterReply>>) {
        let Some(reply) = result else {
            self.count("register.no_answer");
            return;
        };
        if let Some(message) = &reply.table
            && reply.accepted
        {
            self.on_table_message(message);
        }
        if reply.accepted {
            // The entry also counts while the node is leaving, since resignation has to remove it.
            self.set_registered(true);
        } else {
            self.count(&format!("register.refused.{}", reply.reason));
        }
    }

    /// Validates a request to join or leave the router list, and returns the process and its address. The
    /// error is the answer to the peer.
    fn parse_registration(&self, request: RegisterRequest) -> Result<(ProcessId, String), Status> {
        if request.zone != **self.zone() {
            return Err(Status::failed_precondition("wrong_zone"));
        }
        let process = request
            .process
            .filter(|process| !process.vm.is_empty() && !process.incarnation.is_empty())
            .ok_or_else(|| Status::invalid_argument("process is malformed"))?;
        let address: std::net::SocketAddr = request
            .peer_address
            .parse()
            .map_err(|_parse| Status::invalid_argument("peer_address is not IP:port"))?;
        Ok((process, address.to_string()))
    }

    fn register_reply(&self, accepted: bool, reason: &str) -> RegisterReply {
        RegisterReply {
            accepted,
            reason: reason.to_owned(),
            holder_address: self.holder.map(|h| h.to_string()).unwrap_or_default(),
            table: accepted.then(|| self.table_message()),
        }
    }

    pub(super) fn on_peer_register(
        &mut self,
        request: RegisterRequest,
    ) -> Result<RegisterReply, Status> {
        let (process, address) = self.parse_registration(request)?;
        if !self.is_holder() {
            return Ok(self.register_reply(false, "not_holder"));
        }
        if self.authority.is_registered(&process) {
            return Ok(self.register_reply(true, ""));
        }
        self.authority_events
            .push_back(AuthorityEvent::Register { process, address });
        // The process repeats the request until the write is confirmed.
        Ok(self.register_reply(false, "pending"))
    }

    pub(super) fn on_peer_resign(
        &mut self,
        request: RegisterRequest,
    ) -> Result<RegisterReply, Status> {
        let (process, _address) = self.parse_registration(request)?;
        if !self.is_holder() {
            return Ok(self.register_reply(false, "not_holder"));
        }
        if !self.authority.is_registered(&process) {
            return Ok(self.register_reply(true, ""));
        }
        self.authority_events
            .push_back(AuthorityEvent::Resign(process));
        Ok(self.register_reply(false, "pending"))
    }
}
