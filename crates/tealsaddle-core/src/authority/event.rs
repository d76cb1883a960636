//! Input events and output actions of [`Authority`](super::Authority).

use tealsaddle_schema::record::{LeaseRecord, Order, ProcessId, ZoneRecord};

use super::order::Change;
use crate::collections::{HashMap, HashSet};
use crate::decision::Decision;
use crate::drain::{RoutingTable, TableVersion};
use crate::inventory::Role;
use crate::name::Name;

/// A stored record with its version for the next compare-and-swap.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored<T> {
    /// Version in the key-value service.
    pub version: u64,
    /// Content of the record.
    pub record: T,
}

/// Outcome of a write to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The record was written and now has this version.
    Written(u64),
    /// The stored version differs from the expected one; nothing was written.
    Conflict,
    /// The write may take effect now or later: it timed out, its response was lost, or the
    /// connection failed.
    Unknown,
}

/// Configuration of one engine of the zone, from the inventory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Name of the engine.
    pub name: Name,
    /// Role that is recorded when the engine is added to the zone record.
    pub initial_role: Role,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Whether an operator has withdrawn the engine, or its VM is leaving.
    pub is_withdrawn: bool,
}

/// State of an engine as returned by its `GET /state` endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Role in effect.
    pub role: Role,
    /// Whether a change is in progress.
    pub is_changing: bool,
    /// Models and adapters that are loaded.
    pub models: Vec<Name>,
    /// Id of the last order that the engine accepted; empty before the first one.
    pub last_order_id: String,
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen a higher fencing token.
    StaleFence,
    /// The engine rejected the order because it cannot take one now.
    Busy,
    /// No byte of the order was sent, for instance because [`Authority::may_send`] returned false.
    ///
    /// [`Authority::may_send`]: super::Authority::may_send
    NotSent,
    /// The order may have arrived, or may still arrive.
    Unknown,
}

/// An input of [`Authority::on_event`](super::Authority::on_event).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed. Expected every 100 to 250 ms.
    Tick,
    /// Engines of the zone in the current configuration.
    Engines(Vec<EngineSpec>),
    /// The platform's complete VM list; `true` marks a leaving VM.
    Vms(Vec<(Name, bool)>),
    /// The lease record was read; `None` if it does not exist yet.
    LeaseRead(Option<Stored<LeaseRecord>>),
    /// A write of the lease record ended.
    LeaseWrite {
        /// `write_id` of the record in [`Action::WriteLease`].
        write_id: String,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The zone record was read, on request or through a watch; `None` if it does not exist yet.
    RecordRead(Option<Stored<ZoneRecord>>),
    /// A write of the zone record ended.
    RecordWrite {
        /// Id from [`Action::WriteRecord`].
        write_id: String,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// A process of the zone asks to be added to the router list.
    Register {
        /// Process that registers.
        process: ProcessId,
        /// Address at which peers reach it.
        address: String,
    },
    /// A process of the zone asks to be removed from the router list. It has stopped routing and
    /// has no request in flight.
    Resign(ProcessId),
    /// Result of an [`Action::ProbeAddress`].
    AddressProbed {
        /// Id from the action.
        probe: u64,
        /// Process that answered; `None` if none did.
        process: Option<ProcessId>,
    },
    /// A router's heartbeat, including that of this node.
    RouterReport {
        /// Process that routes.
        process: ProcessId,
        /// Version of the table that the router uses.
        table: TableVersion,
        /// Requests in flight by engine, counted after that table was applied. Engines without any
        /// are omitted.
        in_flight: HashMap<Name, u32>,
    },
    /// An engine's load report, from a call that this node started.
    ///
    /// Reports pushed by other nodes must not be passed in: a delayed message would make an old
    /// sample look recent.
    LoadReport {
        /// Name of the engine.
        engine: Name,
        /// Earliest time at which the engine can have taken the sample, see
        /// [`crate::drain::sample_time_us`].
        sampled_at_us: u64,
        /// Whether no request is running or waiting at the engine.
        is_idle: bool,
        /// Role that the engine reports.
        role: Role,
    },
    /// Result of an [`Action::QueryState`]; not reported if the call failed.
    StateReport {
        /// Name of the engine.
        engine: Name,
        /// Id from the action.
        query: u64,
        /// State of the engine.
        state: EngineState,
    },
    /// Outcome of an [`Action::SendOrder`]; every such action gets exactly one.
    OrderReply {
        /// Id from the action.
        send: u64,
        /// Outcome of the send.
        reply: OrderReply,
    },
    /// The planner requests a change of an engine.
    ChangeRequested {
        /// Name of the engine.
        engine: Name,
        /// Requested change.
        change: Change,
    },
    /// The planner cancels its request for this engine. An order that is already recorded is
    /// cancelled unless it was issued.
    ChangeCancelled(Name),
    /// This node is stopping: it hands over the authority and does not acquire it again.
    Leaving,
}

/// An output of [`Authority::on_event`](super::Authority::on_event).
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease record.
    ReadLease,
    /// Write the lease record by compare-and-swap.
    WriteLease {
        /// Expected version; 0 means that the record must not exist.
        if_version: u64,
        /// Record to write; its `write_id` identifies the write.
        record: LeaseRecord,
    },
    /// Read the zone record.
    ReadRecord,
    /// Write the zone record by compare-and-swap.
    WriteRecord {
        /// Expected version; 0 means that the record must not exist.
        if_version: u64,
        /// Id to return in [`Event::RecordWrite`]. It differs from the record's `write_id` when a
        /// former holder releases itself, since that keeps the `write_id` of the holder's last
        /// write.
        write_id: String,
        /// Record to write.
        record: Box<ZoneRecord>,
    },
    /// Send this routing table to every router of the zone, including this node.
    Publish(RoutingTable),
    /// Query over a new connection which process answers at a peer address now.
    ProbeAddress {
        /// Id to return in [`Event::AddressProbed`].
        probe: u64,
        /// Peer address to probe.
        address: String,
    },
    /// Query the state of an engine.
    QueryState {
        /// Name of the engine.
        engine: Name,
        /// Id to return in [`Event::StateReport`].
        query: u64,
    },
    /// Send an order, unless [`Authority::may_send`](super::Authority::may_send) returns false
    /// immediately before the first byte is written.
    SendOrder {
        /// Id to return in [`Event::OrderReply`].
        send: u64,
        /// Name of the engine.
        engine: Name,
        /// Fencing token to send with the order.
        fence: u64,
        /// Order to send.
        order: Order,
    },
    /// Show a decision to operators.
    EmitDecision(Decision),
}

/// The VMs in the platform's VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct ListedVms {
    /// Names of live and leaving VMs; `None` until the list was first read.
    names: Option<HashSet<Name>>,
}

impl ListedVms {
    pub(super) fn set(&mut self, vms: &[(Name, bool)]) {
        self.names = Some(vms.iter().map(|(vm, _)| Name::clone(vm)).collect());
    }

    pub(super) fn contains(&self, vm: &str) -> bool {
        self.names.as_ref().is_some_and(|names| names.contains(vm))
    }

    /// Returns whether the list no longer contains `vm`, a VM that it contained before.
    ///
    /// Only VMs that were in the list enter the zone record, so this is valid for any VM of the
    /// record.
    pub(super) fn was_removed(&self, vm: &str) -> bool {
        self.names.as_ref().is_some_and(|names| !names.contains(vm))
    }
}
