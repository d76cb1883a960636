//! A process with the authority's state machine, in front of a platform that answers immediately.

use tealsaddle_core::authority::{
    Action, Authority, Change, EngineSpec, EngineState, Event, HolderState, Identity, OrderReply,
    Stored, WriteOutcome, order,
};
use tealsaddle_core::drain::RoutingTable;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::{LeaseRecord, ProcessId, ZoneRecord};

pub const SECOND_US: u64 = 1_000_000;
pub const ENGINE: &str = "e1";

/// A process with a platform that answers immediately.
pub struct Harness {
    pub authority: Authority,
    pub me: ProcessId,
    pub now_us: u64,
    pub lease: Option<Stored<LeaseRecord>>,
    pub record: Option<Stored<ZoneRecord>>,
    /// Overrides the next write of the zone record: whether it is applied, and the outcome that is
    /// reported.
    pub next_record_write: Option<(bool, WriteOutcome)>,
    pub vms: Vec<&'static str>,
    pub checks_fence: bool,
}

pub fn process(name: &str) -> ProcessId {
    ProcessId {
        vm: format!("vm-{name}"),
        incarnation: name.to_owned(),
    }
}

pub fn state(role: Role, is_changing: bool) -> EngineState {
    EngineState {
        role,
        is_changing,
        models: Vec::new(),
        last_order_id: String::new(),
        fence: 0,
    }
}

pub fn compare_and_swap<T>(
    stored: &mut Option<Stored<T>>,
    if_version: u64,
    record: T,
) -> WriteOutcome {
    if stored.as_ref().map_or(0, |s| s.version) != if_version {
        return WriteOutcome::Conflict;
    }
    let version = if_version + 1;
    *stored = Some(Stored { version, record });
    WriteOutcome::Written(version)
}

impl Harness {
    pub fn new(name: &str) -> Self {
        let me = process(name);
        let authority = Authority::new(Identity {
            process: me.clone(),
            address: format!("a-{name}"),
            zone: "z".into(),
        });
        Self {
            authority,
            me,
            now_us: SECOND_US,
            lease: None,
            record: None,
            next_record_write: None,
            vms: vec!["vm-p", "vm-q", "vm-r", "vm-r2"],
            checks_fence: false,
        }
    }

    /// Returns a process that holds the authority over a new zone with these engines.
    pub fn holder(name: &str, engines: &[&str]) -> Self {
        let mut harness = Self::new(name);
        harness.configure_in_service(engines);
        harness.tick(0);
        assert!(matches!(harness.authority.state(), HolderState::Holder(_)));
        harness.answer_states(Role::Prefill);
        harness
    }

    /// Returns another process that has taken over from this one after the lease expired, and the
    /// actions of the takeover.
    pub fn successor(&self, name: &str) -> (Self, Vec<Action>) {
        let mut harness = Self::new(name);
        harness.checks_fence = self.checks_fence;
        harness.now_us = self.now_us;
        harness.lease.clone_from(&self.lease);
        harness.record.clone_from(&self.record);
        harness.configure_in_service(&[ENGINE]);
        harness.tick(0);
        let actions = harness.tick(7 * SECOND_US);
        assert!(matches!(harness.authority.state(), HolderState::Holder(2)));
        (harness, actions)
    }

    pub fn configure_in_service(&mut self, names: &[&str]) {
        self.configure_engines(names, false);
    }

    pub fn configure_engines(&mut self, names: &[&str], is_withdrawn: bool) {
        let specs = names.iter().map(|name| EngineSpec {
            name: Name::from(*name),
            initial_role: Role::Prefill,
            checks_fence: self.checks_fence,
            is_withdrawn,
        });
        let specs = specs.collect();
        self.on_event(Event::Engines(specs));
    }

    /// Passes an event to the authority, answers its requests to the platform, and returns the
    /// other actions.
    pub fn on_event(&mut self, event: Event) -> Vec<Action> {
        let mut unhandled = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.authority.on_event(event, self.now_us) {
                match action {
                    Action::ReadLease => events.push(Event::LeaseRead(self.lease.clone())),
                    Action::ReadRecord => events.push(Event::RecordRead(self.record.clone())),
                    Action::WriteLease { if_version, record } => events.push(Event::LeaseWrite {
                        write_id: record.write_id.clone(),
                        outcome: compare_and_swap(&mut self.lease, if_version, record),
                    }),
                    Action::WriteRecord {
                        if_version,
                        write_id,
                        record,
                    } => {
                        let (is_applied, answer) = self.next_record_write.take().unzip();
                        let mut outcome = WriteOutcome::Conflict;
                        if is_applied != Some(false) {
                            outcome = compare_and_swap(&mut self.record, if_version, *record);
                        }
                        let outcome = answer.unwrap_or(outcome);
                        events.push(Event::RecordWrite { write_id, outcome });
                    }
                    other => unhandled.push(other),
                }
            }
        }
        unhandled
    }

    pub fn tick(&mut self, elapsed_us: u64) -> Vec<Action> {
        self.now_us += elapsed_us;
        let vms = self.vms.iter().map(|vm| (Name::from(*vm), false)).collect();
        let mut actions = self.on_event(Event::Vms(vms));
        actions.extend(self.on_event(Event::Tick));
        actions
    }

    /// Answers queries for engine states until there are none, and returns the other actions.
    pub fn answer_states(&mut self, role: Role) -> Vec<Action> {
        let mut unhandled = Vec::new();
        let mut actions = self.tick(SECOND_US);
        while let Some(action) = actions.pop() {
            if let Action::QueryState { engine, query } = action {
                let state = state(role, false);
                actions.extend(self.on_event(Event::StateReport {
                    engine,
                    query,
                    state,
                }));
            } else {
                unhandled.push(action);
            }
        }
        unhandled
    }

    pub fn request_change(&mut self, engine: &str, role: Role) -> Vec<Action> {
        let (engine, change) = (engine.into(), Change::Role(role));
        self.on_event(Event::ChangeRequested { engine, change })
    }

    pub fn table(&self) -> &RoutingTable {
        self.authority.table().expect("a holder has a table")
    }

    pub fn report_in_flight(&mut self, router: &str, in_flight: u32) -> Vec<Action> {
        self.now_us += 1;
        self.on_event(Event::RouterReport {
            process: process(router),
            table: self.table().version,
            in_flight: [(ENGINE.into(), in_flight)].into_iter().collect(),
        })
    }

    pub fn report_idle(&mut self, engine: &str, sampled_at_us: u64) -> Vec<Action> {
        self.on_event(Event::LoadReport {
            engine: engine.into(),
            sampled_at_us,
            is_idle: true,
            role: Role::Prefill,
        })
    }

    /// Drains the engine for its recorded order, with the holder as the only router.
    pub fn drain(&mut self) {
        let me = self.me.incarnation.clone();
        self.report_in_flight(&me, 0);
        self.now_us += 1;
        self.report_idle(ENGINE, self.now_us);
    }

    /// Returns a holder with an order in phase `issuing`, and the action that sends it.
    pub fn issuing(name: &str, checks_fence: bool) -> (Self, Action) {
        let mut harness = Self::new(name);
        harness.checks_fence = checks_fence;
        harness.configure_in_service(&[ENGINE]);
        harness.tick(0);
        harness.answer_states(Role::Prefill);
        harness.request_change(ENGINE, Role::Decode);
        harness.drain();
        let send = harness.next_send(Role::Prefill);
        (harness, send)
    }

    /// Reports the engine's state and returns the action that sends the order.
    pub fn next_send(&mut self, observed: Role) -> Action {
        let actions = self.answer_states(observed);
        let send = actions
            .into_iter()
            .find(|a| matches!(a, Action::SendOrder { .. }));
        send.expect("an order is sent")
    }

    pub fn reply(&mut self, send: &Action, reply: OrderReply) {
        let Action::SendOrder { send, .. } = send else {
            panic!("not a send: {send:?}");
        };
        self.on_event(Event::OrderReply { send: *send, reply });
    }

    pub fn phase(&self, engine: &str) -> Option<&str> {
        let record = &self.record.as_ref()?.record;
        Some(order::entry(record, engine)?.order.as_ref()?.phase.as_str())
    }

    pub fn unreleased_count(&self) -> usize {
        let record = &self.record.as_ref().expect("the record exists").record;
        record.engines[0].unreleased.len()
    }

    pub fn may_send(&self, action: &Action, now_us: u64) -> bool {
        matches!(action, Action::SendOrder { send, .. } if self.authority.may_send(*send, now_us))
    }
}
