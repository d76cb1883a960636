//! The hard cases of authority, one by one, on the whole state machine.

use tealsaddle_core::authority::release::TRANSIT_BOUND_US;
use tealsaddle_core::authority::{
    Action, Authority, Change, EngineSpec, EngineState, Event, HolderState, Identity, OrderReply,
    Stored, WriteOutcome, order,
};
use tealsaddle_core::drain::RoutingTable;
use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tealsaddle_schema::record::{LeaseRecord, ProcessId, ZoneRecord};

const SECOND: u64 = 1_000_000;
const ENGINE: &str = "e1";

/// A process with a platform that answers at once.
struct Desk {
    authority: Authority,
    me: ProcessId,
    now: u64,
    lease: Option<Stored<LeaseRecord>>,
    record: Option<Stored<ZoneRecord>>,
    /// How writes of the zone record end, if not as usual: whether they apply, and what is answered.
    record_writes: Option<(bool, WriteOutcome)>,
    vms: Vec<&'static str>,
    checks_fence: bool,
}

fn process(name: &str) -> ProcessId {
    ProcessId {
        vm: format!("vm-{name}"),
        incarnation: name.to_owned(),
    }
}

fn state(role: Role, is_changing: bool) -> EngineState {
    EngineState {
        role,
        is_changing,
        models: Vec::new(),
        last_order_id: String::new(),
        fence: 0,
    }
}

fn swap<T>(stored: &mut Option<Stored<T>>, if_version: u64, record: T) -> WriteOutcome {
    if stored.as_ref().map_or(0, |s| s.version) != if_version {
        return WriteOutcome::Conflict;
    }
    let version = if_version + 1;
    *stored = Some(Stored { version, record });
    WriteOutcome::Written(version)
}

impl Desk {
    fn new(name: &str) -> Self {
        let me = process(name);
        let authority = Authority::new(Identity {
            process: me.clone(),
            address: format!("a-{name}"),
            zone: "z".into(),
        });
        Self {
            authority,
            me,
            now: SECOND,
            lease: None,
            record: None,
            record_writes: None,
            vms: vec!["vm-p", "vm-q", "vm-r", "vm-r2"],
            checks_fence: false,
        }
    }

    /// A holder of a fresh zone with its engines.
    fn holder(name: &str, engines: &[&str]) -> Self {
        let mut desk = Self::new(name);
        desk.engines(engines);
        desk.tick(0);
        assert!(matches!(desk.authority.state(), HolderState::Holder(_)));
        desk.answer_states(Role::Prefill);
        desk
    }

    /// Another process that takes over from this one after the lease has lapsed.
    fn successor(&self, name: &str) -> (Self, Vec<Action>) {
        let mut desk = Self::new(name);
        desk.checks_fence = self.checks_fence;
        desk.now = self.now;
        desk.lease.clone_from(&self.lease);
        desk.record.clone_from(&self.record);
        desk.engines(&[ENGINE]);
        desk.tick(0);
        let actions = desk.tick(7 * SECOND);
        assert!(matches!(desk.authority.state(), HolderState::Holder(2)));
        (desk, actions)
    }

    fn engines(&mut self, names: &[&str]) {
        self.engines_of(names, false);
    }

    fn engines_of(&mut self, names: &[&str], is_withdrawn: bool) {
        let specs = names.iter().map(|name| EngineSpec {
            name: Name::from(*name),
            initial_role: Role::Prefill,
            checks_fence: self.checks_fence,
            is_withdrawn,
        });
        let specs = specs.collect();
        self.give(Event::Engines(specs));
    }

    /// Gives an event, lets the platform answer, and returns what else is to be done.
    fn give(&mut self, event: Event) -> Vec<Action> {
        let mut others = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.authority.on_event(event, self.now) {
                match action {
                    Action::ReadLease => events.push(Event::LeaseRead(self.lease.clone())),
                    Action::ReadRecord => events.push(Event::RecordRead(self.record.clone())),
                    Action::WriteLease { if_version, record } => events.push(Event::LeaseWrite {
                        write_id: record.write_id.clone(),
                        outcome: swap(&mut self.lease, if_version, record),
                    }),
                    Action::WriteRecord {
                        if_version,
                        write_id,
                        record,
                    } => {
                        let (applies, answer) = self.record_writes.take().unzip();
                        let mut outcome = WriteOutcome::Conflict;
                        if applies != Some(false) {
                            outcome = swap(&mut self.record, if_version, *record);
                        }
                        let outcome = answer.unwrap_or(outcome);
                        events.push(Event::RecordWrite { write_id, outcome });
                    }
                    other => others.push(other),
                }
            }
        }
        others
    }

    fn tick(&mut self, later: u64) -> Vec<Action> {
        self.now += later;
        let vms = self.vms.iter().map(|vm| (Name::from(*vm), false)).collect();
        let mut actions = self.give(Event::Vms(vms));
        actions.extend(self.give(Event::Tick));
        actions
    }

    /// Answers the questions for engine states until none is asked any more.
    fn answer_states(&mut self, role: Role) -> Vec<Action> {
        let mut others = Vec::new();
        let mut actions = self.tick(SECOND);
        while let Some(action) = actions.pop() {
            if let Action::QueryState { engine, query } = action {
                let state = state(role, false);
                actions.extend(self.give(Event::StateReport {
                    engine,
                    query,
                    state,
                }));
            } else {
                others.push(action);
            }
        }
        others
    }

    fn want(&mut self, engine: &str, role: Role) -> Vec<Action> {
        let (engine, change) = (engine.into(), Change::Role(role));
        self.give(Event::ChangeRequested { engine, change })
    }

    fn table(&self) -> &RoutingTable {
        self.authority.table().expect("a holder has a table")
    }

    fn ack(&mut self, router: &str, in_flight: u32) -> Vec<Action> {
        self.now += 1;
        self.give(Event::RouterReport {
            process: process(router),
            table: self.table().version,
            in_flight: [(ENGINE.into(), in_flight)].into_iter().collect(),
        })
    }

    fn idle(&mut self, engine: &str, sampled_at_us: u64) -> Vec<Action> {
        self.give(Event::LoadReport {
            engine: engine.into(),
            sampled_at_us,
            is_idle: true,
            role: Role::Prefill,
        })
    }

    /// Drains the engine for its recorded order; the holder is the only router.
    fn drain(&mut self) {
        let me = self.me.incarnation.clone();
        self.ack(&me, 0);
        self.now += 1;
        self.idle(ENGINE, self.now);
    }

    /// Holder with an order that may be sent, and the action that sends it.
    fn issuing(name: &str, checks_fence: bool) -> (Self, Action) {
        let mut desk = Self::new(name);
        desk.checks_fence = checks_fence;
        desk.engines(&[ENGINE]);
        desk.tick(0);
        desk.answer_states(Role::Prefill);
        desk.want(ENGINE, Role::Decode);
        desk.drain();
        let send = desk.send(Role::Prefill);
        (desk, send)
    }

    /// The next order, after the engine's state was given.
    fn send(&mut self, found: Role) -> Action {
        let actions = self.answer_states(found);
        let send = actions
            .into_iter()
            .find(|a| matches!(a, Action::SendOrder { .. }));
        send.expect("an order is sent")
    }

    fn reply(&mut self, send: &Action, reply: OrderReply) {
        let Action::SendOrder { send, .. } = send else {
            panic!("not a send: {send:?}");
        };
        self.give(Event::OrderReply { send: *send, reply });
    }

    fn phase(&self, engine: &str) -> Option<&str> {
        let record = &self.record.as_ref()?.record;
        Some(order::entry(record, engine)?.order.as_ref()?.phase.as_str())
    }

    fn unreleased(&self) -> usize {
        let record = &self.record.as_ref().expect("the record exists").record;
        record.engines[0].unreleased.len()
    }

    fn may_send(&self, action: &Action, now: u64) -> bool {
        matches!(action, Action::SendOrder { send, .. } if self.authority.may_send(*send, now))
    }
}

/// Guards against a send by a holder that was paused past its lease.
#[test]
fn paused_holder_may_not_send() {
    let (desk, send) = Desk::issuing("p", false);
    assert!(desk.may_send(&send, desk.now));
    assert!(!desk.may_send(&send, desk.now + 5 * SECOND));
}

/// Guards against a conflict of a successor's order with a copy that a paused holder sends late.
#[yare::parameterized(
    ignored = { false, OrderReply::Accepted, 1 },
    checked = { true, OrderReply::Accepted, 0 },
)]
fn successor_repeats_the_order(checks_fence: bool, reply: OrderReply, left_unreleased: usize) {
    let (mut old, old_send) = Desk::issuing("p", checks_fence);
    let (mut new, _) = old.successor("q");
    assert_eq!(
        new.table().open,
        [],
        "the first table keeps the engine closed"
    );
    new.record
        .as_mut()
        .expect("taken over")
        .record
        .routers
        .remove(0);
    new.record.as_mut().expect("taken over").version += 1;
    let record = new.record.clone();
    new.give(Event::RecordRead(record));
    new.drain();
    let send = new.send(Role::Prefill);
    let (Action::SendOrder { order: first, .. }, Action::SendOrder { fence, order, .. }) =
        (&old_send, &send)
    else {
        panic!("both are sends");
    };
    assert_eq!(
        (&order.order_id, &order.role, *fence),
        (&first.order_id, &first.role, 2)
    );
    new.reply(&send, reply);
    new.answer_states(Role::Decode);
    new.tick(SECOND);
    assert_eq!(new.phase(ENGINE), None);
    assert_eq!(new.unreleased(), left_unreleased);
    // A different order waits for the copy that the paused holder may still send.
    new.want(ENGINE, Role::Prefill);
    assert_eq!(new.phase(ENGINE).is_none(), left_unreleased > 0);

    // The paused holder goes on, and releases itself once its send has ended.
    old.lease.clone_from(&new.lease);
    old.record.clone_from(&new.record);
    old.tick(20 * SECOND);
    old.tick(SECOND);
    assert_eq!(old.authority.state(), HolderState::Follower);
    assert_eq!(old.unreleased(), left_unreleased);
    old.reply(&old_send, OrderReply::NotSent);
    old.tick(SECOND);
    assert_eq!(old.unreleased(), 0);
    assert!(old.authority.may_exit());
}

/// Guards against an engine that stays closed for an intent that nobody can send.
#[test]
fn successor_cancels_an_intent() {
    let mut old = Desk::holder("p", &[ENGINE]);
    old.want(ENGINE, Role::Decode);
    assert_eq!(old.phase(ENGINE), Some("draining"));
    let (new, _) = old.successor("q");
    assert_eq!(new.phase(ENGINE), None);
    assert_eq!(new.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against acting on a write whose answer was lost before it is settled by reading.
#[yare::parameterized(applied = { true }, not_applied = { false })]
fn lost_answer_is_settled_by_reading(is_applied: bool) {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.record_writes = Some((is_applied, WriteOutcome::Unknown));
    desk.want(ENGINE, Role::Decode);
    desk.tick(SECOND);
    assert_eq!(desk.phase(ENGINE), Some("draining"));
    let record = &desk.record.as_ref().expect("written").record;
    assert_eq!(record.next_order, 2, "the intent is recorded once");
    assert_eq!(desk.table().open, []);
}

/// Guards against an order that is forgotten when the engine crashes half-way through it.
#[test]
fn crashed_change_is_ordered_again() {
    let (mut desk, first) = Desk::issuing("p", false);
    desk.reply(&first, OrderReply::Accepted);
    let again = desk.send(Role::Prefill);
    let (Action::SendOrder { order: a, .. }, Action::SendOrder { order: b, .. }) = (&first, &again)
    else {
        panic!("both are sends");
    };
    assert_eq!(a, b);
}

/// Guards against a state from before the order that passes for its effect.
#[test]
fn old_state_completes_nothing() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.want(ENGINE, Role::Decode);
    desk.drain();
    let state = state(Role::Decode, false);
    let engine = ENGINE.into();
    desk.give(Event::StateReport {
        engine,
        query: 1,
        state,
    });
    assert_eq!(desk.phase(ENGINE), Some("issuing"));
}

/// Guards against a drain that is proven by an idle sample from before the last router's report.
#[test]
fn old_idle_sample_proves_nothing() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.want(ENGINE, Role::Decode);
    let before = desk.now;
    desk.ack("p", 1);
    desk.idle(ENGINE, desk.now);
    assert_eq!(
        desk.phase(ENGINE),
        Some("draining"),
        "a request is in flight"
    );
    desk.ack("p", 0);
    desk.idle(ENGINE, before);
    assert_eq!(desk.phase(ENGINE), Some("draining"), "the sample is older");
    desk.idle(ENGINE, desk.now + 1);
    assert_eq!(desk.phase(ENGINE), Some("issuing"));
}

/// Guards against two drains that wait for each other or share a proof.
#[test]
fn two_drains_run_at_once() {
    let mut desk = Desk::holder("p", &[ENGINE, "e2"]);
    desk.want(ENGINE, Role::Decode);
    desk.want("e2", Role::Decode);
    assert_eq!(desk.table().open, []);
    desk.ack("p", 1);
    desk.now += 1;
    desk.idle("e2", desk.now);
    assert_eq!(
        (desk.phase(ENGINE), desk.phase("e2")),
        (Some("draining"), Some("issuing"))
    );
}

/// Guards against a router that registers during a drain and is not asked.
#[test]
fn late_router_is_asked() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.want(ENGINE, Role::Decode);
    let (process, address) = (process("r"), "a-r".to_owned());
    desk.give(Event::Register { process, address });
    desk.drain();
    assert_eq!(desk.phase(ENGINE), Some("draining"));
    desk.ack("r", 0);
    desk.idle(ENGINE, desk.now + 1);
    assert_eq!(desk.phase(ENGINE), Some("issuing"));
}

/// Guards against a delayed registration that pushes out the newer process at the same address.
#[yare::parameterized(newer_answers = { "r2", true }, older_answers = { "r", false })]
fn restarted_router_replaces_only_the_older(answers: &str, is_replaced: bool) {
    let mut desk = Desk::holder("p", &[ENGINE]);
    let address = "a-r".to_owned();
    let register = |name| Event::Register {
        process: process(name),
        address: address.clone(),
    };
    desk.give(register("r"));
    let actions = desk.give(register("r2"));
    let [Action::ProbeAddress { probe, .. }] = actions[..] else {
        panic!("the address is probed first: {actions:?}");
    };
    desk.give(Event::AddressProbed {
        probe,
        process: Some(process(answers)),
    });
    assert_eq!(desk.authority.is_registered(&process("r2")), is_replaced);
    assert_eq!(desk.authority.is_registered(&process("r")), !is_replaced);
}

/// Guards against a process that is gone and blocks its zone for ever, or is forgotten too early.
#[test]
fn gone_holder_is_released_after_the_transit_bound() {
    let (old, _) = Desk::issuing("p", false);
    let (mut new, _) = old.successor("q");
    new.vms.retain(|vm| *vm != "vm-p");
    new.tick(0);
    assert!(
        !new.authority.is_registered(&process("p")),
        "it routes no more"
    );
    assert_eq!(new.unreleased(), 1);
    new.tick(TRANSIT_BOUND_US - 1);
    assert_eq!(new.unreleased(), 1);
    new.tick(1);
    assert_eq!(new.unreleased(), 0);
}

/// Guards against a router that is added again after its VM has gone, and then blocks every drain.
#[test]
fn gone_router_is_not_added_again() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    let (process, address) = (process("r"), "a-r".to_owned());
    let register = Event::Register {
        process: process.clone(),
        address,
    };
    let actions = desk.authority.on_event(register, desk.now);
    let Some(Action::WriteRecord {
        if_version,
        write_id,
        record,
    }) = actions.into_iter().next()
    else {
        panic!("the registration is written");
    };
    // The VM goes while the write is on its way.
    desk.vms.retain(|vm| *vm != "vm-r");
    desk.tick(0);
    let outcome = swap(&mut desk.record, if_version, *record);
    desk.give(Event::RecordWrite { write_id, outcome });
    desk.tick(SECOND);
    assert!(!desk.authority.is_registered(&process));
}

/// Guards against a process of a VM that the list has not shown: it could never be known to be gone.
#[test]
fn unknown_vm_is_not_registered() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    let (process, address) = (process("x"), "a-x".to_owned());
    desk.give(Event::Register {
        process: process.clone(),
        address,
    });
    assert!(!desk.authority.is_registered(&process));
}

/// Guards against a stopping holder that leaves its zone without one for the whole lease.
#[test]
fn leaving_holder_hands_over() {
    let (mut desk, send) = Desk::issuing("p", false);
    desk.give(Event::Leaving);
    assert!(!desk.may_send(&send, desk.now));
    assert!(!desk.authority.may_exit(), "its send has not ended");
    desk.reply(&send, OrderReply::NotSent);
    desk.tick(0);
    assert!(desk.lease.as_ref().expect("written").record.released);
    assert!(desk.authority.may_exit());
    let mut next = Desk::new("q");
    next.lease.clone_from(&desk.lease);
    next.record.clone_from(&desk.record);
    next.tick(0);
    next.tick(0);
    assert_eq!(next.authority.state(), HolderState::Holder(2));
}

/// Guards against a last node that waits for a successor before it may exit.
#[test]
fn leaving_holder_releases_itself() {
    let (mut desk, send) = Desk::issuing("p", false);
    desk.reply(&send, OrderReply::Unknown);
    desk.answer_states(Role::Decode);
    desk.give(Event::Leaving);
    assert_eq!(desk.unreleased(), 1);
    desk.tick(TRANSIT_BOUND_US);
    desk.tick(SECOND);
    assert_eq!(desk.unreleased(), 0);
    assert!(desk.authority.may_exit());
}

/// Guards against a withdrawn engine that gets an order or work, or stays closed when it is back.
#[test]
fn withdrawn_engine_is_drained_only() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.want(ENGINE, Role::Decode);
    desk.engines_of(&[ENGINE], true);
    desk.tick(0);
    assert_eq!(desk.phase(ENGINE), Some("draining"));
    assert!(!desk.authority.is_drained(ENGINE));
    desk.drain();
    assert_eq!(desk.phase(ENGINE), Some("draining"), "nothing is ever sent");
    assert!(desk.authority.is_drained(ENGINE));
    let (successor, _) = desk.successor("q");
    assert_eq!(
        successor.phase(ENGINE),
        None,
        "its configuration has the engine in service"
    );
    desk.engines(&[ENGINE]);
    desk.tick(0);
    assert_eq!(desk.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against an engine that stays closed for a change that the planner has given up.
#[test]
fn unwanted_intent_is_cancelled() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    desk.want(ENGINE, Role::Decode);
    desk.give(Event::ChangeCancelled(ENGINE.into()));
    assert_eq!(desk.phase(ENGINE), None);
    assert_eq!(desk.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against routing by a role that the engine has lost, for instance in a restart.
#[test]
fn found_role_is_recorded() {
    let mut desk = Desk::holder("p", &[ENGINE]);
    let report = Event::LoadReport {
        engine: ENGINE.into(),
        sampled_at_us: desk.now,
        is_idle: true,
        role: Role::Mixed,
    };
    desk.now += SECOND;
    let actions = desk.give(report);
    let [Action::QueryState { query, .. }] = actions[..] else {
        panic!("a report may be old, so the engine is asked: {actions:?}");
    };
    let (engine, state) = (ENGINE.into(), state(Role::Mixed, false));
    desk.give(Event::StateReport {
        engine,
        query,
        state,
    });
    assert_eq!(desk.table().open, [(ENGINE.into(), Role::Mixed)]);
}
