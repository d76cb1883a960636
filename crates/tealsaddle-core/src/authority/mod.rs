//! Authority over the engines of a zone: who may give orders, and how an order is given.
//!
//! Safety rests on the zone record. Every write of it compares the version and carries the writer's
//! epoch, so a process that lost its authority cannot change it any more, whatever it still believes.
//! An order is sent only after a write that says so, hence every process that may still hold a copy
//! of an order is known from the record.
//!
//! The parts are pure functions on the record and small state machines: [`lease`] (liveness of the
//! holder), [`order`] (intent, issue, completion), [`takeover`], [`release`] (copies that may still
//! arrive) and [`routers`] (the list that a drain asks). [`Authority`] drives them: it is given events
//! with a time and answers with actions. The model checker drives the same functions in any order.
//!
//! Rules for the caller of [`Authority::on_event`]:
//!
//! - one event at a time; the actions are carried out in their order, writes and sends may overlap;
//! - every write and every [`Action::SendOrder`] gets exactly one outcome event, reads and queries get
//!   one when they succeed;
//! - [`Authority::may_send`] is asked at the moment before the first byte of an order leaves;
//! - a router report is counted after the table that it names came into force;
//! - a node routes only when it is in the router list and has a table that a holder published, never on
//!   the configuration alone; it never goes back to a lower version;
//! - a stopping node goes on with ticks until [`Authority::may_exit`], or until it has waited long
//!   enough: its successor then waits for the transit bound instead.

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
use event::ShownVms;
pub use event::{Action, EngineSpec, EngineState, Event, OrderReply, Stored, WriteOutcome};
use lease::{HeldLease, ObservedLease};
pub use order::{Change, Phase, TransitionError};
use release::PendingSends;

/// Time between two reads of a record, or two questions to an engine, while something is unsettled.
pub const RETRY_INTERVAL_US: u64 = 500_000;

/// Whether this process holds the authority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// Another process holds it, or none.
    Follower,
    /// This process writes the lease and then the zone record under this epoch.
    Candidate(u64),
    /// This process is the holder in the zone record under this epoch.
    Holder(u64),
}

/// Who this process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// VM and incarnation.
    pub process: ProcessId,
    /// Peer address that it is bound to.
    pub address: String,
    /// Availability zone.
    pub zone: Name,
}

/// A write whose outcome is not known yet.
#[derive(Debug, Clone)]
struct PendingWrite<T> {
    id: String,
    if_version: u64,
    record: T,
    begun_at_us: u64,
    /// The answer was lost; the record is read until that settles it.
    is_unsettled: bool,
    /// Decisions that count once the write is confirmed.
    decisions: Vec<Decision>,
}

/// A process that asks for an address which another one holds in the router list.
#[derive(Debug, Clone)]
struct Probe {
    id: u64,
    router: RouterEntry,
    occupant: ProcessId,
}

/// A process that is to be written into the router list.
#[derive(Debug, Clone)]
struct Join {
    router: RouterEntry,
    /// The process that it replaces, known to be gone.
    replaces: Option<ProcessId>,
}

/// Authority over one zone as one process sees and exercises it.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::authority::{Action, Authority, Event, Identity, HolderState};
/// use tealsaddle_schema::record::ProcessId;
///
/// let mut authority = Authority::new(Identity {
///     process: ProcessId { vm: "vm1".to_owned(), incarnation: "i1".to_owned() },
///     address: "10.0.0.1:7000".to_owned(),
///     zone: "z1".into(),
/// });
/// assert_eq!(authority.on_event(Event::Tick, 0), [Action::ReadLease]);
///
/// // The zone has no holder yet, and the platform's list shows this VM.
/// authority.on_event(Event::Vms(vec![("vm1".into(), false)]), 1_000);
/// let actions = authority.on_event(Event::LeaseRead(None), 2_000);
/// assert!(matches!(actions[0], Action::WriteLease { if_version: 0, .. }));
/// assert_eq!(authority.state(), HolderState::Candidate(1));
/// ```
#[derive(Debug, Clone)]
pub struct Authority {
    me: Identity,
    state: HolderState,
    is_leaving: bool,
    vms: ShownVms,

    lease: Option<Stored<LeaseRecord>>,
    observed_lease: ObservedLease,
    held_lease: HeldLease,
    lease_write: Option<PendingWrite<LeaseRecord>>,
    lease_read_at_us: Option<u64>,
    lease_renewal_at_us: Option<u64>,

    record: Option<Stored<ZoneRecord>>,
    record_write: Option<PendingWrite<ZoneRecord>>,
    record_read_at_us: Option<u64>,
    /// Version that the last refused write compared; a newer one must be read before the next write.
    conflict_version: Option<u64>,
    /// Highest epoch under which this process was the holder.
    last_held_epoch: u64,

    engines: Option<BTreeMap<Name, EngineSpec>>,
    views: HashMap<Name, EngineView>,
    table: Option<RoutingTable>,
    wants: BTreeMap<Name, Change>,
    unwanted: HashSet<Name>,
    sends: PendingSends,

    joins: Vec<Join>,
    probes: Vec<Probe>,
    resigned: HashSet<ProcessId>,
    gone_since_us: HashMap<ProcessId, u64>,

    /// Source of ids of writes, probes and queries.
    next_id: u64,
}

impl Authority {
    /// Makes the state of a process that holds nothing.
    pub fn new(me: Identity) -> Self {
        Self {
            me,
            state: HolderState::Follower,
            is_leaving: false,
            vms: ShownVms::default(),
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
            wants: BTreeMap::new(),
            unwanted: HashSet::default(),
            sends: PendingSends::default(),
            joins: Vec::new(),
            probes: Vec::new(),
            resigned: HashSet::default(),
            gone_since_us: HashMap::default(),
            next_id: 0,
        }
    }

    /// Takes one event and says what to do.
    pub fn on_event(&mut self, event: Event, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sends.expire(now_us);
        match event {
            Event::Tick => {}
            Event::Engines(facts) => {
                let by_name = facts.into_iter().map(|f| (Name::clone(&f.name), f));
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
                self.joins
                    .retain(|join| join.router.process.as_ref() != Some(&process));
                self.resigned.insert(process);
            }
            Event::AddressProbed { probe, process } => self.on_probed(probe, process.as_ref()),
            // Reports are by far the most frequent events, and most of them change nothing.
            Event::RouterReport {
                process,
                table,
                in_flight,
            } => {
                let mut has_news = false;
                for (engine, view) in &mut self.views {
                    if let Some(drain) = &mut view.drain {
                        let count = in_flight.get(engine).copied().unwrap_or(0);
                        has_news |= drain.on_router_report(&process, table, count, now_us);
                    }
                }
                if !has_news {
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
                let has_news =
                    drain.is_some_and(|drain| drain.on_load_report(sampled_at_us, is_idle));
                let has_same_role = view.reported_role.replace(role) == Some(role);
                if has_same_role && !has_news {
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
                self.unwanted.remove(&engine);
                self.wants.insert(engine, change);
            }
            Event::ChangeCancelled(engine) => {
                self.wants.remove(&engine);
                self.unwanted.insert(engine);
            }
            Event::Leaving => self.is_leaving = true,
        }
        self.drive_lease(now_us, &mut actions);
        self.drive_record(now_us, &mut actions);
        self.drive_engines(now_us, &mut actions);
        actions
    }

    /// Whether an order that was given out may leave now: this process is still the holder as far as it
    /// knows, and its lease has more than the margin left.
    pub fn may_send(&self, send: u64, now_us: u64) -> bool {
        self.may_order(now_us) && self.sends.in_progress(send).is_some()
    }

    /// Whether this process holds the authority.
    pub const fn state(&self) -> HolderState {
        self.state
    }

    /// The zone record as last read or written.
    pub const fn record(&self) -> Option<&Stored<ZoneRecord>> {
        self.record.as_ref()
    }

    /// Peer address of the holder, from the lease record.
    pub fn holder_address(&self) -> Option<&str> {
        let lease = &self.lease.as_ref()?.record;
        (!lease.released && !lease.address.is_empty()).then_some(lease.address.as_str())
    }

    /// The table that this process published last; `None` unless it is the holder.
    pub const fn table(&self) -> Option<&RoutingTable> {
        self.table.as_ref()
    }

    /// Whether a process is in the router list, as far as this process knows.
    pub fn is_registered(&self, process: &ProcessId) -> bool {
        self.record
            .as_ref()
            .is_some_and(|stored| routers::is_registered(&stored.record, process))
    }

    /// Whether an engine is proven to be drained for the order that is recorded for it.
    pub fn is_drained(&self, engine: &str) -> bool {
        let Some(record) = self.record.as_ref().map(|stored| &stored.record) else {
            return false;
        };
        let drain = self.views.get(engine).and_then(|view| view.drain.as_ref());
        drain.is_some_and(|drain| drain.prove(record).is_ok())
    }

    /// Whether this process has nothing to hand over any more and may exit.
    ///
    /// It then holds no authority, none of its orders can still arrive, and it stands in no unreleased
    /// list of the record.
    pub fn may_exit(&self) -> bool {
        self.state == HolderState::Follower
            && self.lease_write.is_none()
            && self.record_write.is_none()
            && self.sends.is_empty()
            && !self.has_to_release()
    }

    fn may_order(&self, now_us: u64) -> bool {
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
        format!("{}-{id}", self.me.process.incarnation)
    }

    fn decide(
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

/// Whether `interval_us` has passed since `last_us`, or there was no last time.
fn is_due(last_us: Option<u64>, interval_us: u64, now_us: u64) -> bool {
    last_us.is_none_or(|last_us| now_us.saturating_sub(last_us) >= interval_us)
}
