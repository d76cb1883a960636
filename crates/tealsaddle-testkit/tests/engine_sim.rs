//! Tests of the engine model.

use std::sync::Arc;

use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;
use tealsaddle_testkit::engine::sim::{
    AbortReason, Engine, Event, EventKind, ModelVersion, Order, OrderError, OrderKind,
    OrderOutcome, SimConfig, SimRequest, Stage, SubmitError,
};

fn config(role: Role) -> SimConfig {
    let name = Name::from("rules");
    let version = Name::from("1");
    SimConfig {
        role,
        models: vec![ModelVersion { name, version }],
        ..SimConfig::default()
    }
}

fn request(attempt_id: u64, stage: Stage) -> SimRequest {
    SimRequest {
        attempt_id,
        model: Name::from("rules"),
        prompt_tokens: 1_000,
        prefix_blocks: Arc::from([1, 2, 3]),
        max_tokens: 10,
        output_tokens: 10,
        priority: 0,
        stage,
        resume_at: 0,
    }
}

fn order(id: &str, fence: u64, role: Role) -> Order {
    Order {
        order_id: id.to_owned(),
        fence,
        kind: OrderKind::Role(role),
    }
}

fn indices(events: &[Event], attempt: u64) -> Vec<u64> {
    let tokens = events.iter().filter_map(|event| match event.kind {
        EventKind::Token { attempt_id, index } if attempt_id == attempt => Some(index),
        _ => None,
    });
    tokens.collect()
}

/// Guards against a token that is lost or duplicated at the transition from prefill to decode.
#[test]
fn generates_each_token_once_even_if_resumed() {
    let mut engine = Engine::new(config(Role::Mixed));
    engine.submit(request(1, Stage::Full), 0).unwrap();
    let mut resumed = request(2, Stage::Full);
    resumed.resume_at = 4;
    engine.submit(resumed, 0).unwrap();
    let events = engine.advance(5_000_000);
    assert_eq!(indices(&events, 1), (0..10).collect::<Vec<_>>());
    assert_eq!(indices(&events, 2), (4..10).collect::<Vec<_>>());
    let report = engine.load_report(10_000_000).unwrap();
    assert_eq!(
        (report.running, report.waiting, report.kv_used_tokens),
        (0, 0, 0)
    );
    assert_eq!(report.queued_prefill_tokens, 0);
}

/// Guards against a leak of KV cache that is moved from a prefill to a decode engine.
#[test]
fn moves_kv_cache_between_engines() {
    let mut prefill = Engine::new(config(Role::Prefill));
    let mut decode = Engine::new(config(Role::Decode));
    prefill.submit(request(1, Stage::Prefill), 0).unwrap();
    let events = prefill.advance(1_000_000);
    let [
        Event {
            at_us,
            kind: EventKind::PrefillDone { handle, .. },
        },
    ] = events[..]
    else {
        panic!("{events:?}");
    };
    assert_eq!(at_us, 125_000);
    assert_eq!(prefill.load_report(1_300_000).unwrap().running, 1);
    let export = prefill.export_kv(handle, 1_400_000).unwrap();
    assert_eq!(export.kv_tokens, 1_000);
    assert!(prefill.export_kv(handle, 1_400_000).is_none());
    assert_eq!(prefill.load_report(1_700_000).unwrap().kv_used_tokens, 0);
    decode.submit(request(1, Stage::Decode), 1_400_000).unwrap();
    // The transfer takes 2 ms, plus 5 ms for 1 000 tokens at 200 tokens per millisecond.
    assert_eq!(decode.next_event_us(), Some(1_407_000));
    assert_eq!(
        indices(&decode.advance(5_000_000), 1),
        (0..10).collect::<Vec<_>>()
    );
}

/// Guards against a model in which a role change neither aborts attempts nor takes time.
#[test]
fn role_change_aborts_attempts_and_refuses_requests() {
    let mut engine = Engine::new(config(Role::Mixed));
    engine.submit(request(1, Stage::Full), 0).unwrap();
    let (outcome, events) = engine.order(order("a", 3, Role::Decode), 1_000).unwrap();
    assert_eq!(outcome, OrderOutcome::Started);
    let attempt_id = 1;
    let reason = AbortReason::RoleChange;
    assert_eq!(events[0].kind, EventKind::Aborted { attempt_id, reason });
    let refused = engine.submit(request(2, Stage::Full), 2_000);
    assert_eq!(refused, Err(SubmitError::ChangingRole));
    assert_eq!(
        engine.order(order("b", 3, Role::Prefill), 2_000),
        Err(OrderError::Busy)
    );
    engine.advance(5_001_000);
    let state = engine.state().unwrap();
    assert_eq!(
        (state.role, state.last_order_id.as_deref()),
        (Role::Decode, Some("a"))
    );
    engine.submit(request(2, Stage::Full), 5_001_000).unwrap();
}

/// Guards against tests of fencing that pass only because the stand-in never refuses an order.
#[test]
fn fencing_token_is_checked_only_if_configured() {
    for checks_fence in [true, false] {
        let mut engine = Engine::new(SimConfig {
            checks_fence,
            ..config(Role::Mixed)
        });
        engine.order(order("a", 5, Role::Mixed), 0).unwrap();
        let stale = engine.order(order("b", 4, Role::Decode), 0);
        if checks_fence {
            assert_eq!(stale, Err(OrderError::StaleFence { fence: 5 }));
        } else {
            assert_eq!(stale.unwrap().0, OrderOutcome::Started);
        }
    }
}

/// Guards against a model whose role after a crash always agrees with the last recorded order. A
/// crash during a change leaves the old or the new role, and the order's id is not recorded.
#[test]
fn crash_in_a_change_leaves_either_role_and_no_order_id() {
    for (crash_us, role) in [(1_000_000, Role::Mixed), (4_000_000, Role::Decode)] {
        let mut engine = Engine::new(config(Role::Mixed));
        engine.order(order("a", 1, Role::Decode), 0).unwrap();
        engine.crash(crash_us);
        assert!(engine.state().is_none());
        engine.restart(6_000_000);
        let state = engine.state().unwrap();
        assert_eq!((state.role, state.last_order_id), (role, None));
    }
}

/// Guards against a cancelled attempt that still counts as load and produces tokens.
#[test]
fn cancel_removes_an_attempt_at_any_point() {
    for at_us in [0, 50_000, 200_000] {
        let mut engine = Engine::new(SimConfig {
            report_lag_us: 0,
            ..config(Role::Mixed)
        });
        engine.submit(request(1, Stage::Full), 0).unwrap();
        engine.advance(at_us);
        assert!(engine.cancel(1, at_us));
        assert!(!engine.cancel(1, at_us));
        assert_eq!(engine.advance(9_000_000), []);
        let report = engine.load_report(9_000_000).unwrap();
        let counts = (report.running, report.waiting, report.queued_prefill_tokens);
        assert_eq!((counts, report.kv_used_tokens), ((0, 0, 0), 0));
    }
}

/// Guards against cache events that are complete and immediate, unlike those of real engines.
#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut engine = Engine::new(SimConfig {
        cache_event_lost_every: 2,
        ..config(Role::Mixed)
    });
    engine.submit(request(1, Stage::Full), 0).unwrap();
    engine.advance(400_000);
    assert_eq!(engine.cache_events(0, 400_000), []);
    let numbers: Vec<u64> = engine
        .cache_events(0, 900_000)
        .iter()
        .map(|e| e.sequence)
        .collect();
    assert_eq!(numbers, [1, 3]);
    engine.submit(request(2, Stage::Full), 900_000).unwrap();
    let events = engine.advance(9_000_000);
    let cached = events.iter().any(|event| {
        matches!(
            event.kind,
            EventKind::Finished {
                cached_tokens: 192,
                ..
            }
        )
    });
    assert!(cached, "{events:?}");
}
