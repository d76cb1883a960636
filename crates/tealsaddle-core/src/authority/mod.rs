//! Authority over the engines of a zone: which process may send orders, and how an order is sent.
//!
//! Each zone has at most one holder of the authority. Safety rests on the zone record: every write
//! compares the stored version and carries the writer's epoch, so a process that has lost the
//! authority can no longer change the record, even before it learns of the loss. An order is sent
//! only after a record write has added the sender to the order, so the record names every process
//! that may still have a copy of an order to deliver.
//!
//! The submodules are pure functions on the record and small state machines: [`lease`] (liveness of
//! the holder), [`order`] (intent, issue, completion), [`takeover`], [`release`] (copies that may
//! still arrive) and [`routers`] (the routers that a drain waits for). [`Authority`] drives them:
//! it takes events with a time and returns actions. The model checker calls the same functions in
//! any order.
//!
//! Rules for the caller of [`Authority::on_event`]:
//!
//! - Pass one event at a time and start the returned actions in order; writes and sends may
//!   overlap.
//! - Report exactly one outcome event for every write and every [`Action::SendOrder`]. Report the
//!   result of a read or query only if it succeeds.
//! - Call [`Authority::may_send`] immediately before writing the first byte of an order.
//! - Take the counts of a router report after the table that the report names was applied.
//! - Route only while the node is in the router list and has a table that a holder published, never
//!   on the configuration alone, and never replace a table by one of a lower version.
//! - Keep sending ticks while the node is stopping, until [`Authority::may_exit`] or a time limit
//!   of the caller. If the node exits early, its successor waits for the transit bound instead.

mod engine_view;
mod event;
pub mod lease;
mod lease_flow;
mod member_flow;
pub mod order;
mod reconcile;
mod record_flow;
pub mod release;
pub mod routers;
pub mod takeover;

use std::collections::BTreeMap;

use tealsaddle_schema::record::{LeaseRecord, ProcessId, RouterEntry, ZoneRecord};

use crate::collections::{HashMap, HashSet};
use crate::decision::{Decision, DecisionKind};
use crate::drain::RoutingTable;
use crate::name::Name;

use engine_view::EngineView;
use event::ListedVms;
pub use event::{Action, EngineSpec, EngineState, Event, OrderReply, Stored, WriteOutcome};
use lease::{HeldLease, ObservedLease};
pub use order::{Change, Phase, TransitionError};
use release::PendingSends;

/// Interval between reads of a record, or between queries to an engine, while an outcome is
/// pending.
pub const RETRY_INTERVAL_US: u64 = 500_000;

/// Role of this process in holding the authority over its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// Another process, or none, holds the authority.
    Follower,
    /// This process is acquiring the authority under this epoch: it writes the lease, then the zone
    /// record.
    Candidate(u64),
    /// The zone record names this process as the holder under this epoch.
    Holder(u64),
}

/// Identity of the local process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// VM of the process, and the incarnation that identifies this start of it.
    pub process: ProcessId,
    /// Address at which peers reach the process.
    pub address: String,
    /// Availability zone of the process.
    pub zone: Name,
}

/// A write whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingWrite<T> {
    id: String,
    if_version: u64,
    record: T,
    started_at_us: u64,
    /// Whether the response was lost. The record is then read until a read is answered; the write
    /// has succeeded if the record carries its id.
    is_outcome_unknown: bool,
    /// Decisions that are emitted once the write is confirmed.
    decisions: Vec<Decision>,
}

/// A probe of the address of a process that registers while the router list has another process at
/// that address.
#[derive(Debug, Clone)]
struct Probe {
    id: u64,
    router: RouterEntry,
    /// Process that the router list has at the address.
    occupant: ProcessId,
}

/// A process that is to be added to the router list.
#[derive(Debug, Clone)]
struct Registration {
    router: RouterEntry,
    /// Process at the same address that it replaces, which is known to have stopped.
    replaces: Option<ProcessId>,
}

/// State machine with which one process acquires and exercises the authority over its zone.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::authority::{Action, Authority, Event, HolderState, Identity};
/// use tealsaddle_schema::record::ProcessId;
///
/// let mut authority = Authority::new(Identity {
///     process: ProcessId { vm: "vm1".to_owned(), incarnation: "i1".to_owned() },
///     address: "10.0.0.1:7000".to_owned(),
///     zone: "z1".into(),
/// });
/// assert_eq!(authority.on_event(Event::Tick, 0), [Action::ReadLease]);
///
/// // The zone has no holder yet, and the platform's VM list contains this VM.
/// authority.on_event(Event::Vms(vec![("vm1".into(), false)]), 1_000);
/// let actions = authority.on_event(Event::LeaseRead(None), 2_000);
/// assert!(matches!(actions[0], Action::WriteLease { if_version: 0, .. }));
/// assert_eq!(authority.state(), HolderState::Candidate(1));
/// ```
#[derive(Debug, Clone)]
pub struct Authority {
    identity: Identity,
    state: HolderState,
    is_leaving: bool,
    listed_vms: ListedVms,

    lease: Option<Stored<LeaseRecord>>,
    observed_lease: ObservedLease,
    held_lease: HeldLease,
    lease_write: Option<PendingWrite<LeaseRecord>>,
    lease_read_at_us: Option<u64>,
    /// Time at which the last write of the lease was started.
    lease_renewal_at_us: Option<u64>,

    record: Option<Stored<ZoneRecord>>,
    record_write: Option<PendingWrite<ZoneRecord>>,
    record_read_at_us: Option<u64>,
    /// Version that the last conflicting write compared; a newer one must be read before the next
    /// write.
    conflict_version: Option<u64>,
    /// Highest epoch under which this process was the holder.
    last_held_epoch: u64,

    /// Engines of the zone by name; `None` before the first [`Event::Engines`].
    engines: Option<BTreeMap<Name, EngineSpec>>,
    views: HashMap<Name, EngineView>,
    /// Table that this process last published as the holder.
    table: Option<RoutingTable>,
    /// Changes that the planner requested and that are not recorded yet, by engine.
    requested_changes: BTreeMap<Name, Change>,
    /// Engines whose requested change the planner cancelled.
    cancelled_changes: HashSet<Name>,
    sends: PendingSends,

    registrations: Vec<Registration>,
    probes: Vec<Probe>,
    /// Processes that are to be removed from the router list at their request.
    resigned: HashSet<ProcessId>,
    /// Processes in unreleased lists that have stopped, with the time when this was first known.
    stopped_since_us: HashMap<ProcessId, u64>,

    /// Last id given to a write, a probe or a query.
    next_id: u64,
}

impl Authority {
    /// Creates the state of a process that does not hold the authority.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            state: HolderState::Follower,
            is_leaving: false,
            listed_vms: ListedVms::default(),
            lease: None,
            observed_lease: ObservedLease::default(),
            held_lease: HeldLease::default(),
            lease_write: None,
            lease_read_at_us: None,
            lease_renewal_at_us: None,
            record: None,
            record_write: None,
            record_read_at_us: None,
            conflict_version: None,
            last_held_epoch: 0,
            engines: None,
            views: HashMap::default(),
            table: None,
            requested_changes: BTreeMap::new(),
            cancelled_changes: HashSet::default(),
            sends: PendingSends::default(),
            registrations: Vec::new(),
            probes: Vec::new(),
            resigned: HashSet::default(),
            stopped_since_us: HashMap::default(),
            next_id: 0,
        }
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn on_event(&mut self, event: Event, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sends.expire(now_us);
        match event {
            Event::Tick => {}
            Event::Engines(specs) => {
                let by_name = specs
                    .into_iter()
                    .map(|spec| (Name::clone(&spec.name), spec));
                self.engines = Some(by_name.collect());
            }
            Event::Vms(vms) => self.on_vms(&vms, now_us),
            Event::LeaseRead(stored) => self.on_lease_read(stored, now_us, &mut actions),
            Event::LeaseWrite { write_id, outcome } => {
                self.on_lease_write(&write_id, outcome, now_us, &mut actions);
            }
            Event::RecordRead(stored) => self.on_record_read(stored, now_us, &mut actions),
            Event::RecordWrite { write_id, outcome } => {
                self.on_record_write(&write_id, outcome, now_us, &mut actions);
            }
            Event::Register { process, address } => {
                self.on_register(process, address, &mut actions);
            }
            Event::Resign(process) => {
                self.registrations
                    .retain(|registration| registration.router.process.as_ref() != Some(&process));
                self.resigned.insert(process);
            }
            Event::AddressProbed { probe, process } => self.on_probed(probe, process.as_ref()),
            // Router and load reports are by far the most frequent events. Most of them change no
            // state, so the rest of the work is skipped for them.
            Event::RouterReport {
                process,
                table,
                in_flight,
            } => {
                let mut has_changed = false;
                for (engine, view) in &mut self.views {
                    if let Some(drain) = &mut view.drain {
                        let count = in_flight.get(engine).copied().unwrap_or(0);
                        has_changed |= drain.on_router_report(&process, table, count, now_us);
                    }
                }
                if !has_changed {
                    return actions;
                }
            }
            Event::LoadReport {
                engine,
                sampled_at_us,
                is_idle,
                role,
            } => {
                let Some(view) = self.views.get_mut(&engine) else {
                    return actions;
                };
                let drain = view.drain.as_mut();
                let has_changed =
                    drain.is_some_and(|drain| drain.on_load_report(sampled_at_us, is_idle));
                let has_same_role = view.reported_role.replace(role) == Some(role);
                if has_same_role && !has_changed {
                    return actions;
                }
            }
            Event::StateReport {
                engine,
                query,
                state,
            } => {
                if let Some(view) = self.views.get_mut(&engine) {
                    view.on_state(query, state);
                }
            }
            Event::OrderReply { send, reply } => {
                self.on_order_reply(send, reply, now_us, &mut actions);
            }
            Event::ChangeRequested { engine, change } => {
                self.cancelled_changes.remove(&engine);
                self.requested_changes.insert(engine, change);
            }
            Event::ChangeCancelled(engine) => {
                self.requested_changes.remove(&engine);
                self.cancelled_changes.insert(engine);
            }
            Event::Leaving => self.is_leaving = true,
        }
        self.drive_lease(now_us, &mut actions);
        self.drive_record(now_us, &mut actions);
        self.drive_engines(now_us, &mut actions);
        actions
    }

    /// Returns whether the order of an [`Action::SendOrder`] may still be sent: this process is not
    /// stopping and, as far as it knows, holds the authority, its lease outlasts the safety margin,
    /// and the send has not ended.
    pub fn may_send(&self, send: u64, now_us: u64) -> bool {
        self.may_send_orders(now_us) && self.sends.in_progress(send).is_some()
    }

    /// Returns the role of this process in holding the authority.
    pub const fn state(&self) -> HolderState {
        self.state
    }

    /// Returns the zone record as last read or written, or `None` before the first read.
    pub const fn record(&self) -> Option<&Stored<ZoneRecord>> {
        self.record.as_ref()
    }

    /// Returns the peer address of the holder from the lease record, or `None` if the lease was
    /// released or never taken.
    pub fn holder_address(&self) -> Option<&str> {
        let lease = &self.lease.as_ref()?.record;
        (!lease.released && !lease.address.is_empty()).then_some(lease.address.as_str())
    }

    /// Returns the routing table that this process last published, or `None` if it is not the
    /// holder or has not published a table yet.
    pub const fn table(&self) -> Option<&RoutingTable> {
        self.table.as_ref()
    }

    /// Returns whether the last known zone record lists the process as a router.
    pub fn is_registered(&self, process: &ProcessId) -> bool {
        self.record
            .as_ref()
            .is_some_and(|stored| routers::is_registered(&stored.record, process))
    }

    /// Returns whether the engine is proven to be drained for its recorded order.
    pub fn is_drained(&self, engine: &str) -> bool {
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return false;
        };
        let drain = self.views.get(engine).and_then(|view| view.drain.as_ref());
        drain.is_some_and(|drain| drain.prove(record).is_ok())
    }

    /// Returns whether this process can exit without delaying its successor.
    ///
    /// This is the case when it does not hold the authority, has no pending write, none of its
    /// orders can still arrive, and the record names it neither as a sender nor in an unreleased
    /// list.
    pub fn may_exit(&self) -> bool {
        self.state == HolderState::Follower
            && self.lease_write.is_none()
            && self.record_write.is_none()
            && self.sends.is_empty()
            && !self.must_release()
    }

    fn may_send_orders(&self, now_us: u64) -> bool {
        matches!(self.state, HolderState::Holder(_))
            && !self.is_leaving
            && self.held_lease.may_send(now_us)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn write_id(&mut self) -> String {
        let id = self.next_id();
        format!("{}-{id}", self.identity.process.incarnation)
    }

    fn decision(
        kind: DecisionKind,
        subject: &str,
        choice: &str,
        reason: impl Into<String>,
        now_us: u64,
    ) -> Decision {
        Decision {
            at_us: now_us,
            kind,
            subject: subject.to_owned(),
            choice: choice.to_owned(),
            reason: reason.into(),
            inputs: Vec::new(),
            alternatives: Vec::new(),
        }
    }
}

/// Returns whether `interval_us` has passed since `last_us`; always true if there is no last time.
fn is_due(last_us: Option<u64>, interval_us: u64, now_us: u64) -> bool {
    last_us.is_none_or(|last_us| now_us.saturating_sub(last_us) >= interval_us)
}
