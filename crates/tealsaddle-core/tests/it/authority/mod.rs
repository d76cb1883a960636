//! Failure cases of the authority, tested on the whole state machine.

mod harness;

use tealsaddle_core::authority::release::TRANSIT_BOUND_US;
use tealsaddle_core::authority::{Action, Event, HolderState, OrderReply, WriteOutcome};
use tealsaddle_core::inventory::Role;

use harness::{ENGINE, Harness, SECOND_US, compare_and_swap, process, state};

/// Guards against a send by a holder that was paused until its lease had expired.
#[test]
fn paused_holder_may_not_send() {
    let (harness, send) = Harness::issuing("p", false);
    assert!(harness.may_send(&send, harness.now_us));
    assert!(!harness.may_send(&send, harness.now_us + 5 * SECOND_US));
}

/// Guards against an order of a successor that conflicts with a copy that a paused holder sends
/// late.
#[yare::parameterized(
    fence_ignored = { false, OrderReply::Accepted, 1 },
    fence_checked = { true, OrderReply::Accepted, 0 },
)]
fn successor_repeats_an_issued_order(
    checks_fence: bool,
    reply: OrderReply,
    left_unreleased: usize,
) {
    let (mut old, old_send) = Harness::issuing("p", checks_fence);
    let (mut new, _) = old.successor("q");
    assert_eq!(new.table().open, [], "the first table excludes the engine");
    // The paused holder sends no reports, so it is removed from the router list for the drain.
    new.record
        .as_mut()
        .expect("taken over")
        .record
        .routers
        .remove(0);
    new.record.as_mut().expect("taken over").version += 1;
    let record = new.record.clone();
    new.on_event(Event::RecordRead(record));
    new.drain();
    let send = new.next_send(Role::Prefill);
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
    new.tick(SECOND_US);
    assert_eq!(new.phase(ENGINE), None);
    assert_eq!(new.unreleased_count(), left_unreleased);
    // A different order has to wait while the paused holder may still send its copy.
    new.request_change(ENGINE, Role::Prefill);
    assert_eq!(new.phase(ENGINE).is_none(), left_unreleased > 0);

    // The paused holder resumes, and releases itself once its send has ended.
    old.lease.clone_from(&new.lease);
    old.record.clone_from(&new.record);
    old.tick(20 * SECOND_US);
    old.tick(SECOND_US);
    assert_eq!(old.authority.state(), HolderState::Follower);
    assert_eq!(old.unreleased_count(), left_unreleased);
    old.reply(&old_send, OrderReply::NotSent);
    old.tick(SECOND_US);
    assert_eq!(old.unreleased_count(), 0);
    assert!(old.authority.may_exit());
}

/// Guards against an engine that stays out of service because of an intent of a former holder. The
/// former holder can no longer send it.
#[test]
fn successor_cancels_an_intent() {
    let mut old = Harness::holder("p", &[ENGINE]);
    old.request_change(ENGINE, Role::Decode);
    assert_eq!(old.phase(ENGINE), Some("draining"));
    let (new, _) = old.successor("q");
    assert_eq!(new.phase(ENGINE), None);
    assert_eq!(new.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against assuming the outcome of a record write whose response was lost, instead of
/// reading the record.
#[yare::parameterized(applied = { true }, not_applied = { false })]
fn lost_response_is_resolved_by_reading(is_applied: bool) {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.next_record_write = Some((is_applied, WriteOutcome::Unknown));
    harness.request_change(ENGINE, Role::Decode);
    harness.tick(SECOND_US);
    assert_eq!(harness.phase(ENGINE), Some("draining"));
    let record = &harness.record.as_ref().expect("written").record;
    assert_eq!(record.next_order, 2, "the intent is recorded once");
    assert_eq!(harness.table().open, []);
}

/// Guards against an order that is not repeated after the engine crashed during the change.
#[test]
fn order_is_repeated_after_an_engine_crash() {
    let (mut harness, first) = Harness::issuing("p", false);
    harness.reply(&first, OrderReply::Accepted);
    let again = harness.next_send(Role::Prefill);
    let (Action::SendOrder { order: a, .. }, Action::SendOrder { order: b, .. }) = (&first, &again)
    else {
        panic!("both are sends");
    };
    assert_eq!(a, b);
}

/// Guards against completing an order because of a state that was queried before the order was
/// issued.
#[test]
fn state_queried_before_the_order_does_not_complete_it() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.request_change(ENGINE, Role::Decode);
    harness.drain();
    let state = state(Role::Decode, false);
    let engine = ENGINE.into();
    // The first id was assigned long before the order was issued.
    harness.on_event(Event::StateReport {
        engine,
        query: 1,
        state,
    });
    assert_eq!(harness.phase(ENGINE), Some("issuing"));
}

/// Guards against a drain proof that uses an idle sample from before the last router's report.
#[test]
fn idle_sample_before_the_last_report_is_ignored() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.request_change(ENGINE, Role::Decode);
    let before = harness.now_us;
    harness.report_in_flight("p", 1);
    harness.report_idle(ENGINE, harness.now_us);
    assert_eq!(
        harness.phase(ENGINE),
        Some("draining"),
        "a request is in flight"
    );
    harness.report_in_flight("p", 0);
    harness.report_idle(ENGINE, before);
    assert_eq!(
        harness.phase(ENGINE),
        Some("draining"),
        "the sample is older"
    );
    harness.report_idle(ENGINE, harness.now_us + 1);
    assert_eq!(harness.phase(ENGINE), Some("issuing"));
}

/// Guards against dependence between the drains of two engines: one must neither wait for the other
/// nor use its proof.
#[test]
fn two_engines_drain_concurrently() {
    let mut harness = Harness::holder("p", &[ENGINE, "e2"]);
    harness.request_change(ENGINE, Role::Decode);
    harness.request_change("e2", Role::Decode);
    assert_eq!(harness.table().open, []);
    harness.report_in_flight("p", 1);
    harness.now_us += 1;
    harness.report_idle("e2", harness.now_us);
    assert_eq!(
        (harness.phase(ENGINE), harness.phase("e2")),
        (Some("draining"), Some("issuing"))
    );
}

/// Guards against a drain proof without the report of a router that registered during the drain.
#[test]
fn drain_waits_for_late_router() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.request_change(ENGINE, Role::Decode);
    let (process, address) = (process("r"), "a-r".to_owned());
    harness.on_event(Event::Register { process, address });
    harness.drain();
    assert_eq!(harness.phase(ENGINE), Some("draining"));
    harness.report_in_flight("r", 0);
    harness.report_idle(ENGINE, harness.now_us + 1);
    assert_eq!(harness.phase(ENGINE), Some("issuing"));
}

/// Guards against a delayed registration that replaces a newer process at the same address.
#[yare::parameterized(newer_answers = { "r2", true }, older_answers = { "r", false })]
fn restarted_router_replaces_only_the_older_process(answers: &str, is_replaced: bool) {
    let mut harness = Harness::holder("p", &[ENGINE]);
    let address = "a-r".to_owned();
    let register = |name| Event::Register {
        process: process(name),
        address: address.clone(),
    };
    harness.on_event(register("r"));
    let actions = harness.on_event(register("r2"));
    let [Action::ProbeAddress { probe, .. }] = actions[..] else {
        panic!("the address is not probed first: {actions:?}");
    };
    harness.on_event(Event::AddressProbed {
        probe,
        process: Some(process(answers)),
    });
    assert_eq!(harness.authority.is_registered(&process("r2")), is_replaced);
    assert_eq!(harness.authority.is_registered(&process("r")), !is_replaced);
}

/// Guards against a stopped holder that stays in the unreleased list and blocks its zone forever.
/// Also guards against its removal from the list before the transit bound has passed.
#[test]
fn stopped_holder_is_released_after_the_transit_bound() {
    let (old, _) = Harness::issuing("p", false);
    let (mut new, _) = old.successor("q");
    new.vms.retain(|vm| *vm != "vm-p");
    new.tick(0);
    assert!(
        !new.authority.is_registered(&process("p")),
        "it no longer routes"
    );
    assert_eq!(new.unreleased_count(), 1);
    new.tick(TRANSIT_BOUND_US - 1);
    assert_eq!(new.unreleased_count(), 1);
    new.tick(1);
    assert_eq!(new.unreleased_count(), 0);
}

/// Guards against a router that is added again by a delayed write after its VM was removed, and
/// then blocks every drain.
#[test]
fn removed_router_is_not_added_again() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    let (process, address) = (process("r"), "a-r".to_owned());
    let register = Event::Register {
        process: process.clone(),
        address,
    };
    let actions = harness.authority.on_event(register, harness.now_us);
    let Some(Action::WriteRecord {
        if_version,
        write_id,
        record,
    }) = actions.into_iter().next()
    else {
        panic!("the registration is not written");
    };
    // The VM is removed while the write is in progress.
    harness.vms.retain(|vm| *vm != "vm-r");
    harness.tick(0);
    let outcome = compare_and_swap(&mut harness.record, if_version, *record);
    harness.on_event(Event::RecordWrite { write_id, outcome });
    harness.tick(SECOND_US);
    assert!(!harness.authority.is_registered(&process));
}

/// Guards against registering a process whose VM the VM list has not contained. The removal of that
/// VM could not be detected.
#[test]
fn process_on_unlisted_vm_is_not_registered() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    let (process, address) = (process("x"), "a-x".to_owned());
    harness.on_event(Event::Register {
        process: process.clone(),
        address,
    });
    assert!(!harness.authority.is_registered(&process));
}

/// Guards against a stopping holder that leaves its zone without a holder until the lease expires.
#[test]
fn leaving_holder_hands_over() {
    let (mut harness, send) = Harness::issuing("p", false);
    harness.on_event(Event::Leaving);
    assert!(!harness.may_send(&send, harness.now_us));
    assert!(!harness.authority.may_exit(), "its send has not ended");
    harness.reply(&send, OrderReply::NotSent);
    harness.tick(0);
    assert!(harness.lease.as_ref().expect("written").record.released);
    assert!(harness.authority.may_exit());
    let mut next = Harness::new("q");
    next.lease.clone_from(&harness.lease);
    next.record.clone_from(&harness.record);
    next.tick(0);
    next.tick(0);
    assert_eq!(next.authority.state(), HolderState::Holder(2));
}

/// Guards against a stopping holder that cannot exit without a successor, for instance the last
/// node.
#[test]
fn leaving_holder_releases_itself() {
    let (mut harness, send) = Harness::issuing("p", false);
    harness.reply(&send, OrderReply::Unknown);
    harness.answer_states(Role::Decode);
    harness.on_event(Event::Leaving);
    assert_eq!(harness.unreleased_count(), 1);
    harness.tick(TRANSIT_BOUND_US);
    harness.tick(SECOND_US);
    assert_eq!(harness.unreleased_count(), 0);
    assert!(harness.authority.may_exit());
}

/// Guards against an order that is sent to a withdrawn engine. Also guards against an engine that
/// stays out of service after its withdrawal ends.
#[test]
fn withdrawn_engine_gets_no_order() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.request_change(ENGINE, Role::Decode);
    harness.configure_engines(&[ENGINE], true);
    harness.tick(0);
    assert_eq!(harness.phase(ENGINE), Some("draining"));
    assert!(!harness.authority.is_drained(ENGINE));
    harness.drain();
    assert_eq!(
        harness.phase(ENGINE),
        Some("draining"),
        "a withdrawal is never sent"
    );
    assert!(harness.authority.is_drained(ENGINE));
    let (successor, _) = harness.successor("q");
    assert_eq!(
        successor.phase(ENGINE),
        None,
        "its configuration has the engine in service"
    );
    harness.configure_in_service(&[ENGINE]);
    harness.tick(0);
    assert_eq!(harness.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against an engine that stays out of service because of a change that the planner has
/// cancelled.
#[test]
fn cancelled_change_removes_the_intent() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    harness.request_change(ENGINE, Role::Decode);
    harness.on_event(Event::ChangeCancelled(ENGINE.into()));
    assert_eq!(harness.phase(ENGINE), None);
    assert_eq!(harness.table().open, [(ENGINE.into(), Role::Prefill)]);
}

/// Guards against routing by a recorded role that the engine no longer has, for instance after a
/// restart.
#[test]
fn observed_role_is_recorded() {
    let mut harness = Harness::holder("p", &[ENGINE]);
    let report = Event::LoadReport {
        engine: ENGINE.into(),
        sampled_at_us: harness.now_us,
        is_idle: true,
        role: Role::Mixed,
    };
    harness.now_us += SECOND_US;
    let actions = harness.on_event(report);
    let [Action::QueryState { query, .. }] = actions[..] else {
        panic!("a report may be outdated, so the engine is queried: {actions:?}");
    };
    let (engine, state) = (ENGINE.into(), state(Role::Mixed, false));
    harness.on_event(Event::StateReport {
        engine,
        query,
        state,
    });
    assert_eq!(harness.table().open, [(ENGINE.into(), Role::Mixed)]);
}
