//! Executes the actions of the authority state machine: reads and writes of records at the platform,
//! publication of routing tables, and orders to engines.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tealsaddle_core::authority::{
    Action, EngineSpec, EngineState, Event as AuthorityEvent, HolderState, OrderReply, Stored,
    WriteOutcome,
};
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::drain::{self, RoutingTable};
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::Order;

use super::event::Event;
use super::state::ControlThread;
use crate::clock;
use crate::engine::orders::{EngineLoadAnswer, OrderAnswer, OrderConnection, OrderMessage};
use crate::metrics::Counters;
use crate::peer::client::probe;
use crate::platform::{KeyValue, PlatformError, PutOutcome};

async fn read_stored<T>(
    platform: &dyn KeyValue,
    key: &str,
) -> Result<Option<Stored<T>>, PlatformError>
where
    T: DeserializeOwned,
{
    let Some(entry) = platform.get(key).await? else {
        return Ok(None);
    };
    let record = serde_json::from_value(entry.value)
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    Ok(Some(Stored {
        version: entry.version,
        record,
    }))
}

async fn write_stored<T>(
    platform: &dyn KeyValue,
    counters: &Counters,
    key: &str,
    record: &T,
    if_version: u64,
) -> WriteOutcome
where
    T: Serialize + Sync,
{
    let value = serde_json::to_value(record).expect("records are plain JSON values");
    match platform.put(key, &value, if_version, None).await {
        Ok(PutOutcome::Written(version)) => WriteOutcome::Written(version),
        Ok(PutOutcome::Conflict(_)) => {
            counters.increment("platform.write_conflict");
            WriteOutcome::Conflict
        }
        Err(error) => {
            counters.increment(match error {
                PlatformError::Unreachable(_) => "platform.write_unreachable",
                PlatformError::Unknown(_) => "platform.write_answer_lost",
                PlatformError::RateLimited => "platform.write_rate_limited",
                PlatformError::Protocol(_) => "platform.write_protocol",
            });
            WriteOutcome::Unknown
        }
    }
}

fn to_message(order: Order, fence: u64) -> OrderMessage {
    OrderMessage {
        order_id: order.order_id,
        fence,
        kind: order.kind,
        role: order.role,
        model: order.model,
        version: order.version,
    }
}

fn to_reply(answer: OrderAnswer) -> OrderReply {
    match answer {
        OrderAnswer::Accepted => OrderReply::Accepted,
        OrderAnswer::StaleFence => OrderReply::StaleFence,
        OrderAnswer::Busy => OrderReply::Busy,
        OrderAnswer::NotSent => OrderReply::NotSent,
        OrderAnswer::Unknown => OrderReply::Unknown,
    }
}

impl ControlThread {
    pub(super) fn is_holder(&self) -> bool {
        matches!(self.authority.state(), HolderState::Holder(_))
    }

    /// Returns the fencing token under which this process holds the zone authority; 0 if it does not.
    pub(super) fn held_epoch(&self) -> u64 {
        match self.authority.state() {
            HolderState::Holder(epoch) => epoch,
            _ => 0,
        }
    }

    /// Passes the queued events to the authority state machine and executes the resulting actions.
    pub(super) fn process_authority_events(&mut self) {
        while let Some(event) = self.authority_events.pop_front() {
            for action in self.authority.on_event(event, clock::now_us()) {
                self.execute_action(action);
            }
        }
        if self.is_holder() && !self.is_registered {
            self.set_registered(true);
        }
        if let Some(holder) = self.authority.holder_address().and_then(|a| a.parse().ok()) {
            self.set_holder(holder);
        }
    }

    pub(super) fn set_holder(&mut self, holder: SocketAddr) {
        if self.holder != Some(holder) {
            self.holder = Some(holder);
            log::info!(holder:% = holder; "new holder of the zone");
            // The new holder needs the in-flight counts of this node to prove drains.
            self.timers.heartbeat_now();
        }
    }

    pub(super) fn set_registered(&mut self, is_registered: bool) {
        if self.is_registered != is_registered {
            self.is_registered = is_registered;
            self.is_dirty = true;
            log::info!(registered = is_registered; "registration in the router list changed");
            let choice = if is_registered {
                "registered"
            } else {
                "unregistered"
            };
            let reason = "router list of the zone record".to_owned();
            self.record_decision(DecisionKind::Member, &self.process.vm, choice, reason);
        }
    }

    /// Sends the authority state machine the engines of the zone in the configuration in force, and which of
    /// them are to be drained.
    pub(super) fn send_engine_specs(&mut self) {
        let Some(inventory) = &self.inventory else {
            return;
        };
        let leaving_vms = self.leaving_vms();
        let specs = inventory
            .engines
            .values()
            .filter(|engine| engine.zone == *self.zone())
            .map(|engine| EngineSpec {
                name: Name::clone(&engine.name),
                initial_role: engine.initial_role,
                checks_fence: engine.checks_fence,
                is_withdrawn: engine.withdrawn
                    || self.drained_engines.contains(&engine.name)
                    || engine
                        .vm
                        .as_ref()
                        .is_some_and(|vm| leaving_vms.contains(vm)),
            })
            .collect();
        self.authority_events
            .push_back(AuthorityEvent::Engines(specs));
    }

    fn execute_action(&mut self, action: Action) {
        let platform = Arc::clone(&self.platform.key_value);
        let events = self.events.clone();
        let traffic = Arc::clone(&self.traffic);
        let lease_key = format!("zones/{}/lease", self.zone());
        let record_key = format!("zones/{}/record", self.zone());
        match action {
            Action::ReadLease => {
                tokio::spawn(async move {
                    if let Ok(stored) = read_stored(&*platform, &lease_key).await {
                        let event = AuthorityEvent::LeaseRead(stored);
                        drop(events.send(Event::Authority(event)).await);
                    }
                });
            }
            Action::WriteLease { if_version, record } => {
                tokio::spawn(async move {
                    let outcome = write_stored(
                        &*platform,
                        &traffic.counters,
                        &lease_key,
                        &record,
                        if_version,
                    )
                    .await;
                    let write_id = record.write_id;
                    let event = AuthorityEvent::LeaseWrite { write_id, outcome };
                    drop(events.send(Event::Authority(event)).await);
                });
            }
            Action::ReadRecord => {
                tokio::spawn(async move {
                    if let Ok(stored) = read_stored(&*platform, &record_key).await {
                        let event = AuthorityEvent::RecordRead(stored);
                        drop(events.send(Event::Authority(event)).await);
                    }
                });
            }
            Action::WriteRecord {
                if_version,
                write_id,
                record,
            } => {
                self.count("authority.record_write");
                tokio::spawn(async move {
                    let outcome = write_stored(
                        &*platform,
                        &traffic.counters,
                        &record_key,
                        &*record,
                        if_version,
                    )
                    .await;
                    let event = AuthorityEvent::RecordWrite { write_id, outcome };
                    drop(events.send(Event::Authority(event)).await);
                });
            }
            Action::Publish(table) => self.adopt_table(table),
            Action::ProbeAddress { probe: id, address } => {
                let Ok(address) = address.parse() else {
                    return;
                };
                let request = self.heartbeat_request(false);
                tokio::spawn(async move {
                    let process = probe(address, request).await;
                    let event = AuthorityEvent::AddressProbed { probe: id, process };
                    drop(events.send(Event::Authority(event)).await);
                });
            }
            Action::QueryState { engine, query } => self.request_engine_state(engine, query),
            Action::SendOrder {
                send,
                engine,
                fence,
                order,
            } => self.open_order_connection(send, &engine, to_message(order, fence)),
            Action::EmitDecision(decision) => self.record_authority_decision(decision),
        }
    }

    fn record_authority_decision(&self, decision: Decision) {
        let kind = format!("{:?}", decision.kind).to_lowercase();
        self.count(&format!(
            "decision.{kind}.{}",
            decision.choice.replace(' ', "_")
        ));
        log::info!(
            kind = kind, subject = decision.subject, reason = decision.reason;
            "{}", decision.choice
        );
        self.traffic.record(decision);
    }

    /// Replaces the routing table if the given one is newer, and publishes a snapshot with it.
    pub(super) fn adopt_table(&mut self, table: RoutingTable) {
        if !self.table.is_replaced_by(&table) {
            return;
        }
        log::info!(
            epoch = table.version.epoch, sequence = table.version.sequence,
            open = table.open.len();
            "routing table in force"
        );
        self.count("table.in_force");
        self.planner_state
            .on_routing_table(&table.open, clock::now_us());
        self.table = table;
        // In-flight counts are read only after the traffic threads have the new table.
        self.publish_snapshot();
        self.timers.heartbeat_now();
    }

    fn engine_address(&self, engine: &str) -> Option<SocketAddr> {
        let inventory = self.inventory.as_ref()?;
        inventory.engines.get(engine).map(|engine| engine.address)
    }

    fn request_engine_state(&self, engine: Name, query: u64) {
        let Some(address) = self.engine_address(&engine) else {
            return;
        };
        let events = self.events.clone();
        let reader = self.engine_reader.clone();
        tokio::spawn(async move {
            let Some(answer) = reader.state(address).await else {
                return;
            };
            let Ok(role) = answer.role.parse() else {
                return;
            };
            let state = EngineState {
                role,
                is_changing: !answer.changing_to.is_empty(),
                models: answer
                    .models
                    .iter()
                    .map(|m| Name::from(m.as_str()))
                    .collect(),
                last_order_id: answer.last_order_id,
                fence: answer.fence,
            };
            let event = AuthorityEvent::StateReport {
                engine,
                query,
                state,
            };
            drop(events.send(Event::Authority(event)).await);
        });
    }

    fn open_order_connection(&mut self, send: u64, engine: &str, order: OrderMessage) {
        let Some(address) = self.engine_address(engine) else {
            let reply = OrderReply::NotSent;
            self.authority_events
                .push_back(AuthorityEvent::OrderReply { send, reply });
            return;
        };
        let events = self.events.clone();
        tokio::spawn(async move {
            let connection = OrderConnection::open(address).await;
            let event = Event::OrderConnected {
                send,
                order,
                connection,
            };
            drop(events.send(event).await);
        });
    }

    /// Sends an order on its open connection.
    ///
    /// The lease is checked here, after the connection is open and immediately before the first byte of
    /// the order.
    pub(super) fn on_order_connected(
        &mut self,
        send: u64,
        order: OrderMessage,
        connection: Option<OrderConnection>,
    ) {
        let permitted = connection.filter(|_| self.authority.may_send(send, clock::now_us()));
        let Some(connection) = permitted else {
            self.count("order.not_sent");
            let reply = OrderReply::NotSent;
            self.authority_events
                .push_back(AuthorityEvent::OrderReply { send, reply });
            return;
        };
        log::info!(order = order.order_id, fence = order.fence, role = order.role; "order sent");
        self.count("order.sent");
        let events = self.events.clone();
        let traffic = Arc::clone(&self.traffic);
        tokio::spawn(async move {
            let answer = connection.send(&order).await;
            let name = format!("order.{answer:?}").to_lowercase();
            traffic.counters.increment(&name);
            let reply = to_reply(answer);
            let event = AuthorityEvent::OrderReply { send, reply };
            drop(events.send(Event::Authority(event)).await);
        });
    }

    pub(super) fn on_load(
        &mut self,
        engine: &Name,
        requested_at_us: u64,
        answer: Option<EngineLoadAnswer>,
    ) {
        let Some(answer) = answer else {
            self.count("load.no_answer");
            return;
        };
        if self.is_holder()
            && let Ok(role) = answer.role.parse()
        {
            self.authority_events.push_back(AuthorityEvent::LoadReport {
                engine: Name::clone(engine),
                sampled_at_us: drain::sample_time_us(
                    requested_at_us,
                    answer.sampled_at_ms,
                    answer.now_ms,
                ),
                is_idle: answer.running == 0 && answer.waiting == 0,
                role,
            });
        }
        let report = self.loads.on_poll_answer(engine, requested_at_us, answer);
        self.publish_load_report(&report);
    }
}
