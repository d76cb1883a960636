//! What goes into [`Authority`](super::Authority) and what comes out.

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
    /// The record.
    pub record: T,
}

/// How a write to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// Written under this version.
    Written(u64),
    /// Another version stands there; nothing was written.
    Conflict,
    /// It may have been written, now or later: timeout, lost answer or no connection.
    Unknown,
}

/// What the inventory says about an engine of the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Name of the engine.
    pub name: Name,
    /// Role that is recorded when the engine is first seen.
    pub initial_role: Role,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
    /// Whether an operator has withdrawn it, or its VM is leaving.
    pub is_withdrawn: bool,
}

/// State of an engine as `GET /state` shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Role in effect.
    pub role: Role,
    /// Whether a change is going on.
    pub is_changing: bool,
    /// Models and adapters that are loaded.
    pub models: Vec<Name>,
    /// Id of the last order that the engine took; empty before the first.
    pub last_order_id: String,
    /// Highest fencing token that it has seen.
    pub fence: u64,
}

/// How sending an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderReply {
    /// The engine took the order.
    Accepted,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// The engine takes no order now.
    Busy,
    /// No byte has left this node, for instance because the check before the send failed.
    NotSent,
    /// The order may have arrived or may still arrive.
    Unknown,
}

/// An input of [`Authority::on_event`](super::Authority::on_event).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed; expected every 100 to 250 ms.
    Tick,
    /// Engines of the zone in the configuration in force.
    Engines(Vec<EngineSpec>),
    /// VMs that the platform's list shows now, whole list; `true` marks a leaving one.
    Vms(Vec<(Name, bool)>),
    /// The lease record was read; `None` when there is none yet.
    LeaseRead(Option<Stored<LeaseRecord>>),
    /// A write of the lease record ended.
    LeaseWrite {
        /// Id from the action.
        write_id: String,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The zone record was read, on request or from a watch; `None` when there is none yet.
    RecordRead(Option<Stored<ZoneRecord>>),
    /// A write of the zone record ended.
    RecordWrite {
        /// Id from the action.
        write_id: String,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// A process of the zone asks to be written into the router list.
    Register {
        /// The process.
        process: ProcessId,
        /// Peer address that it is bound to.
        address: String,
    },
    /// A process of the zone that has stopped routing and has nothing in flight leaves the router list.
    Resign(ProcessId),
    /// Answer to [`Action::ProbeAddress`].
    AddressProbed {
        /// Id from the action.
        probe: u64,
        /// The process that answered; `None` when none did.
        process: Option<ProcessId>,
    },
    /// A router's heartbeat, the own node's included.
    RouterReport {
        /// The router.
        process: ProcessId,
        /// Table in force there.
        table: TableVersion,
        /// Requests in flight, counted after that table came into force; engines without any are left
        /// out.
        in_flight: HashMap<Name, u32>,
    },
    /// An engine's load report, from a call that this node began itself.
    ///
    /// Reports that other nodes push must not be given here: a delayed message would make an old sample
    /// look new.
    LoadReport {
        /// Name of the engine.
        engine: Name,
        /// See [`crate::drain::sample_time_us`].
        sampled_at_us: u64,
        /// Whether nothing is running and nothing is waiting.
        is_idle: bool,
        /// Role in the report.
        role: Role,
    },
    /// Answer to [`Action::QueryState`]; nothing is sent in when the call failed.
    StateReport {
        /// Name of the engine.
        engine: Name,
        /// Id from the action.
        query: u64,
        /// The state.
        state: EngineState,
    },
    /// Answer to [`Action::SendOrder`]; every such action gets exactly one.
    OrderReply {
        /// Id from the action.
        send: u64,
        /// How it ended.
        reply: OrderReply,
    },
    /// The planner wants a change.
    ChangeRequested {
        /// Name of the engine.
        engine: Name,
        /// The change.
        change: Change,
    },
    /// The planner no longer wants a change; one that was not issued yet is cancelled.
    ChangeCancelled(Name),
    /// This node is stopping: it hands its authority over and takes none any more.
    Leaving,
}

/// An output of [`Authority::on_event`](super::Authority::on_event).
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the lease record.
    ReadLease,
    /// Write the lease record by compare-and-swap, version 0 meaning that it must not exist.
    WriteLease {
        /// Version to compare.
        if_version: u64,
        /// The record; its `write_id` names the write.
        record: LeaseRecord,
    },
    /// Read the zone record.
    ReadRecord,
    /// Write the zone record by compare-and-swap, version 0 meaning that it must not exist.
    WriteRecord {
        /// Version to compare.
        if_version: u64,
        /// Id to give back; a release keeps the `write_id` of the holder's last write in the record.
        write_id: String,
        /// The record.
        record: Box<ZoneRecord>,
    },
    /// Offer this table to every router of the zone, the own node included.
    Publish(RoutingTable),
    /// Ask which process answers at a peer address now, on a new connection.
    ProbeAddress {
        /// Id to give back.
        probe: u64,
        /// The address.
        address: String,
    },
    /// Ask an engine for its state.
    QueryState {
        /// Name of the engine.
        engine: Name,
        /// Id to give back.
        query: u64,
    },
    /// Send an order, unless [`Authority::may_send`](super::Authority::may_send) says no at the moment
    /// before the first byte leaves.
    SendOrder {
        /// Id to give back.
        send: u64,
        /// Name of the engine.
        engine: Name,
        /// Fencing token to send along.
        fence: u64,
        /// The order.
        order: Order,
    },
    /// A decision to show to operators.
    EmitDecision(Decision),
}

/// The platform's VM list as far as authority needs it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct ShownVms {
    /// Live and leaving VMs; `None` before the list was first read.
    shown: Option<HashSet<Name>>,
}

impl ShownVms {
    pub(super) fn set(&mut self, vms: &[(Name, bool)]) {
        self.shown = Some(vms.iter().map(|(vm, _)| Name::clone(vm)).collect());
    }

    pub(super) fn shows(&self, vm: &str) -> bool {
        self.shown.as_ref().is_some_and(|shown| shown.contains(vm))
    }

    /// Whether the list is known and does not contain a VM that was shown before.
    ///
    /// Only VMs that the list has shown enter the zone record, so this may be asked of any of them.
    pub(super) fn has_dropped(&self, vm: &str) -> bool {
        self.shown.as_ref().is_some_and(|shown| !shown.contains(vm))
    }
}
