//! The planned stop of a node, and drains by operators.
//!
//! Leaving takes effect at once: the node takes no new work, informs all peers and hands over the zone
//! authority. Resignation follows when no request is in flight, and then the process exits.

use std::sync::Arc;

use tealsaddle_core::authority::Event as AuthorityEvent;
use tealsaddle_core::decision::DecisionKind;
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::{DrainReply, DrainRequest};
use tokio::sync::oneshot;

use super::api::DrainOutcome;
use super::event::Event;
use super::state::ControlThread;
use crate::clock;

/// Time limit for the removal from the router list, needed when the platform does not answer or the
/// zone has no holder. After the limit, the entry stays until the VM list drops the VM or a new process
/// uses the address.
const RESIGN_TIMEOUT_US: u64 = 10_000_000;
/// Time limit for the release of the last orders of this process in the zone record. An order is
/// released when it has arrived or can no longer arrive.
const RELEASE_TIMEOUT_US: u64 = 30_000_000;
/// Time between two resignation requests to the holder.
const RESIGN_INTERVAL_US: u64 = 300_000;

/// A resignation in progress.
#[derive(Debug)]
pub struct Resignation {
    reply: oneshot::Sender<bool>,
    started_us: u64,
    last_request_us: u64,
    is_unregistered: bool,
}

impl ControlThread {
    /// Stops taking new work and informs the traffic threads, all peers and the authority state machine.
    pub(super) fn leave(&mut self, reason: &str) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        log::info!(reason = reason; "node is leaving");
        self.record_decision(
            DecisionKind::Member,
            &self.process.vm,
            "leaving",
            reason.to_owned(),
        );
        self.publish_snapshot();
        self.send_heartbeats(false);
        self.leaving.cancel();
        self.authority_events.push_back(AuthorityEvent::Leaving);
    }

    pub(super) fn on_resign(&mut self, reply: oneshot::Sender<bool>) {
        self.leave("the node resigns");
        self.resignation = Some(Resignation {
            reply,
            started_us: clock::now_us(),
            last_request_us: 0,
            // A registration request may still be in transit, so resignation is requested even if the
            // node is not registered.
            is_unregistered: false,
        });
    }

    pub(super) fn on_resign_done(&mut self, is_accepted: bool) {
        if let Some(resignation) = &mut self.resignation
            && is_accepted
        {
            resignation.is_unregistered = true;
            self.set_registered(false);
        }
    }

    /// Repeats the resignation request until the holder confirms it, the zone has no other live node or the
    /// time limit is over. Completes the resignation once the orders of this process are released as well.
    pub(super) fn advance_resignation(&mut self, now_us: u64) {
        let Some(resignation) = &mut self.resignation else {
            return;
        };
        let elapsed_us = now_us.saturating_sub(resignation.started_us);
        let zone = &self.traffic.settings.zone;
        let has_no_live_peer = !self
            .peers
            .iter()
            .any(|peer| peer.zone == *zone && !peer.is_leaving && !peer.is_failing);
        let is_removal_finished =
            resignation.is_unregistered || has_no_live_peer || elapsed_us > RESIGN_TIMEOUT_US;
        let is_released = self.authority.may_exit()
            || elapsed_us > RELEASE_TIMEOUT_US
            || (elapsed_us > RESIGN_TIMEOUT_US && !self.is_platform_reachable);
        if is_removal_finished && is_released {
            if let Some(resignation) = self.resignation.take() {
                log::info!(resigned = resignation.is_unregistered; "resignation ended");
                if resignation.reply.send(resignation.is_unregistered).is_err() {
                    self.count("stop.gave_up_waiting");
                }
            }
            return;
        }
        if is_removal_finished
            || now_us.saturating_sub(resignation.last_request_us) < RESIGN_INTERVAL_US
        {
            return;
        }
        resignation.last_request_us = now_us;
        let own_address = self.traffic.settings.peer_listen;
        let Some(holder) = self.holder.filter(|holder| *holder != own_address) else {
            return;
        };
        let Ok(mut client) = self.clients.client(holder) else {
            return;
        };
        let request = self.register_request();
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = client.resign(request).await;
            let is_accepted = reply.is_ok_and(|reply| reply.into_inner().accepted);
            drop(events.send(Event::ResignDone { is_accepted }).await);
        });
    }

    /// Drains or reopens an engine if this process is the holder.
    fn set_drained(&mut self, engine: &str, is_drained: bool) -> DrainOutcome {
        let known = self.inventory.as_ref().and_then(|inventory| {
            let engine = inventory.engines.get(engine)?;
            (engine.zone == *self.zone()).then(|| Arc::clone(&engine.name))
        });
        let Some(name) = known else {
            return DrainOutcome::UnknownEngine;
        };
        if !self.is_holder() {
            return DrainOutcome::NoHolder;
        }
        let choice = if is_drained { "drain" } else { "open" };
        self.record_decision(
            DecisionKind::Drain,
            engine,
            choice,
            "asked by an operator".to_owned(),
        );
        if is_drained {
            self.drained_engines.insert(name);
        } else {
            self.drained_engines.remove(&name);
        }
        self.send_engine_specs();
        DrainOutcome::Accepted
    }

    /// Handles an operator's drain. A node that is not the holder forwards the request to the holder.
    pub(super) fn on_drain(
        &mut self,
        engine: String,
        is_drained: bool,
        reply: oneshot::Sender<DrainOutcome>,
    ) {
        let outcome = self.set_drained(&engine, is_drained);
        let own_address = self.traffic.settings.peer_listen;
        let holder = self.holder.filter(|holder| *holder != own_address);
        let client = holder.and_then(|holder| self.clients.client(holder).ok());
        let (DrainOutcome::NoHolder, Some(mut client)) = (&outcome, client) else {
            drop(reply.send(outcome));
            return;
        };
        let request = DrainRequest {
            zone: self.zone().to_string(),
            engine,
            drained: is_drained,
        };
        tokio::spawn(async move {
            let answer = client.drain(request).await;
            let outcome = match answer.map(tonic::Response::into_inner) {
                Ok(answer) if answer.accepted => DrainOutcome::Accepted,
                Ok(answer) if answer.reason == "unknown_engine" => DrainOutcome::UnknownEngine,
                _ => DrainOutcome::NoHolder,
            };
            drop(reply.send(outcome));
        });
    }

    pub(super) fn on_peer_drain(&mut self, request: &DrainRequest) -> DrainReply {
        let outcome = if request.zone == **self.zone() {
            self.set_drained(&request.engine, request.drained)
        } else {
            DrainOutcome::UnknownEngine
        };
        let reason = match outcome {
            DrainOutcome::Accepted => "",
            DrainOutcome::UnknownEngine => "unknown_engine",
            DrainOutcome::NoHolder => "not_holder",
        };
        DrainReply {
            accepted: outcome == DrainOutcome::Accepted,
            reason: reason.to_owned(),
        }
    }

    /// Returns the entry of an engine in the zone record, as last read or written by this node.
    pub(super) fn recorded_engine(
        &self,
        engine: &Name,
    ) -> Option<&tealsaddle_schema::record::EngineEntry> {
        let record = &self.authority.record()?.record;
        record
            .engines
            .iter()
            .find(|entry| *entry.engine == **engine)
    }
}
