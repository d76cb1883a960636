//! Reconciliation by the holder: computes the next zone record, publishes the routing table, and
//! sends orders.

use std::collections::BTreeMap;

use tealsaddle_schema::record::{EngineEntry, ZoneRecord};

use super::engine_view::Stage;
use super::event::{Action, EngineSpec, OrderReply};
use super::order::{self, Change, Phase};
use super::release::{TRANSIT_BOUND_US, remove_unreleased};
use super::{Authority, HolderState, RETRY_INTERVAL_US, is_due};
use crate::decision::{Decision, DecisionKind};
use crate::drain::{Drain, RoutingTable, TableVersion};
use crate::inventory::Role;
use crate::name::Name;

impl Authority {
    pub(super) fn on_order_reply(
        &mut self,
        send: u64,
        reply: OrderReply,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let order_id = self.sends.in_progress(send).map(|(_, id)| id.to_owned());
        let engine = match reply {
            OrderReply::Unknown => self.sends.mark_unanswered(send, now_us),
            _ => self.sends.end(send),
        };
        let Some(engine) = engine else {
            return;
        };
        let next_query = self.next_id + 1;
        if let Some(view) = self.views.get_mut(&engine) {
            view.discard_state(next_query);
            let is_current = view.stage.as_ref().map(|s| &s.order_id) == order_id.as_ref();
            view.has_accepted |= reply == OrderReply::Accepted && is_current;
            if reply != OrderReply::Accepted {
                // Delays the next query, and therefore the next attempt, by the retry interval.
                view.queried_at_us = Some(now_us);
            }
        }
        if reply == OrderReply::StaleFence {
            actions.push(Action::ReadLease);
            actions.push(Action::ReadRecord);
        }
    }

    /// Applies every transition that is due and returns the decisions.
    pub(super) fn reconcile(&mut self, next: &mut ZoneRecord, now_us: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.update_stopped_senders(now_us);
        self.reconcile_routers(next);
        let (me, sends, stopped) = (&self.identity.process, &self.sends, &self.stopped_since_us);
        remove_unreleased(next, |engine, unreleased| {
            let Some(process) = &unreleased.process else {
                return true;
            };
            if process == me {
                return !sends.may_arrive(engine);
            }
            stopped
                .get(process)
                .is_some_and(|since_us| now_us >= since_us + TRANSIT_BOUND_US)
        });
        let Some(engines) = self.engines.take() else {
            return decisions;
        };
        next.engines.retain(|entry| {
            engines.contains_key(entry.engine.as_str())
                || entry.order.is_some()
                || !entry.unreleased.is_empty()
        });
        for spec in engines.values() {
            order::add_entry(next, &spec.name, spec.initial_role);
            if let Some(decision) = self.reconcile_engine(next, spec, now_us) {
                decisions.push(decision);
            }
        }
        self.engines = Some(engines);
        decisions
    }

    /// Applies the transition that is due for one engine, if any, and returns the decision.
    fn reconcile_engine(
        &mut self,
        next: &mut ZoneRecord,
        spec: &EngineSpec,
        now_us: u64,
    ) -> Option<Decision> {
        let name = &spec.name;
        let recorded = order::entry(next, name)?.order.clone();
        let decided = |kind, choice: &str, reason: String| {
            Some(Self::decision(kind, name, choice, reason, now_us))
        };
        let Some(recorded) = recorded else {
            self.cancelled_changes.remove(name);
            return self.reconcile_engine_without_order(next, spec, now_us);
        };
        let is_withdrawal = recorded.kind == Change::Withdraw.kind();
        // The requested change is either this order, or must be requested again after this order is
        // complete.
        self.requested_changes.remove(name);
        if Phase::of(&recorded) == Phase::Draining {
            let is_cancelled = self.cancelled_changes.remove(name);
            let reason = match (is_withdrawal, spec.is_withdrawn) {
                (true, false) => Some("the engine is back in service"),
                (false, true) => Some("the engine is withdrawn"),
                (false, false) if is_cancelled => Some("the planner no longer wants it"),
                _ => None,
            };
            if let Some(reason) = reason {
                order::cancel(next, name).ok()?;
                return decided(DecisionKind::Role, "cancel", reason.to_owned());
            }
        }
        if is_withdrawal {
            return None;
        }
        let view = self.views.get(name)?;
        let me = &self.identity.process;
        if !recorded.senders.contains(me) {
            let proof = view.drain.as_ref()?.prove(next).ok()?;
            order::issue(next, name, &proof, me).ok()?;
            let reason = format!("{} is drained", recorded.order_id);
            return decided(DecisionKind::Role, "issue", reason);
        }
        let state = view.state()?;
        let is_fence_raised = spec.checks_fence && view.has_accepted;
        if !order::is_in_effect(&recorded, state) || self.must_raise_fence(spec, next) {
            return None;
        }
        order::complete(next, name, is_fence_raised).ok()?;
        let reason = format!("{} is in effect", recorded.order_id);
        decided(DecisionKind::Role, "done", reason)
    }

    fn reconcile_engine_without_order(
        &mut self,
        next: &mut ZoneRecord,
        spec: &EngineSpec,
        now_us: u64,
    ) -> Option<Decision> {
        let name = &spec.name;
        let decided = |kind, choice: &str, reason: String| {
            Some(Self::decision(kind, name, choice, reason, now_us))
        };
        if spec.is_withdrawn {
            self.requested_changes.remove(name);
            order::record_intent(next, name, &Change::Withdraw).ok()?;
            let reason = "withdrawn by the configuration or leaving with its VM".to_owned();
            return decided(DecisionKind::Drain, "drain", reason);
        }
        let observed = self.views.get(name).and_then(|view| view.state());
        if let Some(observed) = observed.filter(|state| !state.is_changing).map(|s| s.role)
            && order::record_role(next, name, observed).is_ok()
        {
            let reason = format!("found in role {observed} without an order");
            return decided(DecisionKind::Role, "record", reason);
        }
        let change = self.requested_changes.get(name)?;
        match order::record_intent(next, name, change) {
            Ok(()) => {
                let reason = format!("wanted: {}", change.kind());
                decided(DecisionKind::Drain, "drain", reason)
            }
            Err(refusal) => {
                self.requested_changes.remove(name);
                let reason = refusal.to_string();
                decided(DecisionKind::Role, "refuse", reason)
            }
        }
    }

    /// Returns whether an order must be sent although its content is in effect, so that the engine
    /// sees the current fencing token and rejects the copies of former holders.
    fn must_raise_fence(&self, spec: &EngineSpec, record: &ZoneRecord) -> bool {
        let has_accepted = self.views.get(&spec.name).is_some_and(|v| v.has_accepted);
        let entry = order::entry(record, &spec.name);
        spec.checks_fence && !has_accepted && entry.is_some_and(|e| !e.unreleased.is_empty())
    }

    /// Publishes the routing table, starts drains, queries engines and sends orders.
    pub(super) fn drive_engines(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let HolderState::Holder(epoch) = self.state else {
            return;
        };
        let Some(stored) = self.record.take() else {
            return;
        };
        if let Some(engines) = self.engines.take() {
            self.enter_stages(&stored.record, now_us, actions);
            self.publish(&stored.record, &engines, epoch, actions);
            for spec in engines.values() {
                if let Some(entry) = order::entry(&stored.record, &spec.name) {
                    self.drive_engine(&stored.record, entry, spec, now_us, actions);
                }
            }
            self.engines = Some(engines);
        }
        self.record = Some(stored);
    }

    /// Updates the view of each engine to its order in the record, and emits a decision for each
    /// engine whose unreleased list has become empty.
    fn enter_stages(&mut self, record: &ZoneRecord, now_us: u64, actions: &mut Vec<Action>) {
        let next_query = self.next_id + 1;
        for entry in &record.engines {
            let stage = entry.order.as_ref().map(|order| Stage {
                order_id: order.order_id.clone(),
                phase: Phase::of(order),
                is_sender: order.senders.contains(&self.identity.process),
            });
            let view = self.views.entry(entry.engine.as_str().into()).or_default();
            if view.stage != stage {
                view.enter_stage(stage, next_query);
            }
            if !entry.unreleased.is_empty() {
                view.unreleased_since_us.get_or_insert(now_us);
            } else if let Some(since_us) = view.unreleased_since_us.take() {
                let reason = "no older order can reach the engine any more";
                let name = &entry.engine;
                let mut decision =
                    Self::decision(DecisionKind::Role, name, "release", reason, now_us);
                let blocked_ms = now_us.saturating_sub(since_us) / 1_000;
                decision.inputs = vec![("blocked_ms".to_owned(), blocked_ms.to_string())];
                actions.push(Action::EmitDecision(decision));
            }
        }
    }

    /// Publishes the routing table if it differs from the last one under this epoch.
    fn publish(
        &mut self,
        record: &ZoneRecord,
        engines: &BTreeMap<Name, EngineSpec>,
        epoch: u64,
        actions: &mut Vec<Action>,
    ) {
        let open: Vec<(Name, Role)> = engines
            .values()
            .filter(|spec| !spec.is_withdrawn)
            .filter_map(|spec| {
                let entry = order::entry(record, &spec.name)?;
                let role: Role = entry.role.parse().ok()?;
                // An engine that was observed in another role, or during a change, is left out
                // until its state matches the record.
                let observed = self.views.get(&spec.name).and_then(|view| view.state());
                let is_as_recorded =
                    observed.is_none_or(|state| state.role == role && !state.is_changing);
                (entry.order.is_none() && is_as_recorded).then(|| (Name::clone(&spec.name), role))
            })
            .collect();
        let last = self
            .table
            .as_ref()
            .filter(|table| table.version.epoch == epoch);
        if last.is_some_and(|table| table.open == open) {
            return;
        }
        let sequence = last.map_or(1, |table| table.version.sequence + 1);
        let version = TableVersion { epoch, sequence };
        let table = RoutingTable { version, open };
        self.table = Some(table.clone());
        actions.push(Action::Publish(table));
    }

    /// Starts the drain for the engine's order, queries the engine's state, and sends the order,
    /// each if it is due.
    fn drive_engine(
        &mut self,
        record: &ZoneRecord,
        entry: &EngineEntry,
        spec: &EngineSpec,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let name = &spec.name;
        let may_send_orders = self.may_send_orders(now_us);
        let must_raise_fence = self.must_raise_fence(spec, record);
        let is_sending = self.sends.is_sending(name);
        let Some(table) = self.table.as_ref().map(|table| table.version) else {
            return;
        };
        let next_id = self.next_id + 1;
        let Some(view) = self.views.get_mut(name) else {
            return;
        };
        if let Some(order) = &entry.order
            && view.drain.is_none()
        {
            // The current table excludes the engine because the record contains an order for it.
            view.drain = Some(Drain::new(&*order.order_id, table));
        }
        if let Some(drain) = &mut view.drain {
            drain.on_record(record, now_us);
        }
        let issuing = entry
            .order
            .as_ref()
            .filter(|order| order.senders.contains(&self.identity.process));
        let must_query = match (issuing, &entry.order) {
            (Some(order), _) => {
                let state = view.state();
                !is_sending && !state.is_some_and(|state| order::is_in_effect(order, state))
            }
            (None, Some(_)) => false,
            (None, None) => match view.state() {
                None => true,
                Some(state) => {
                    let is_different = |role| role != state.role;
                    state.is_changing || view.reported_role.is_some_and(is_different)
                }
            },
        };
        if must_query && is_due(view.queried_at_us, RETRY_INTERVAL_US, now_us) {
            view.queried_at_us = Some(now_us);
            self.next_id = next_id;
            actions.push(Action::QueryState {
                engine: Name::clone(name),
                query: next_id,
            });
        }
        let Some(order) = issuing else {
            return;
        };
        let is_ready = view.state().is_some_and(|state| {
            !state.is_changing && (!order::is_in_effect(order, state) || must_raise_fence)
        });
        if is_ready && may_send_orders && !is_sending {
            view.discard_state(self.next_id + 1);
            let send = self.sends.begin(name, &order.order_id);
            actions.push(Action::SendOrder {
                send,
                engine: Name::clone(name),
                fence: record.epoch,
                order: order.clone(),
            });
        }
    }
}
