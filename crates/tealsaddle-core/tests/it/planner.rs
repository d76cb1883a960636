//! Tests of the planners of role changes.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tealsaddle_core::admission::Targets;
use tealsaddle_core::inventory::{Engine, PlannerKind, Policy, Role};
use tealsaddle_core::load::CorrectedLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{
    AllMixed, CostConfig, CostPlanner, Demand, EngineView, Limits, Oracle, Planner, PoolView,
    Threshold, open,
};

const LIMITS: Limits = Limits {
    role_floor: 1,
    max_moving_share: 0.34,
    min_dwell_us: 60_000_000,
};

fn engine(i: usize, role: Role) -> EngineView {
    let engine = Engine {
        name: Name::from(format!("e{i}")),
        zone: Name::from("buda-hall"),
        vm: None,
        address: "127.0.0.1:1".parse().unwrap(),
        models: vec![Name::from("rules")],
        initial_role: role,
        checks_fence: true,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 1_558,
        batch_requests: 48,
        kv_capacity_tokens: 200_000,
        role_change_ms: 5_000,
        withdrawn: false,
    };
    EngineView {
        engine: Arc::new(engine),
        role,
        moving_to: None,
        role_since_us: None,
        is_available: true,
        load: CorrectedLoad::default(),
    }
}

fn view(roles: &[Role], demand: Demand) -> PoolView {
    let engines = roles.iter().enumerate();
    PoolView {
        engines: engines.map(|(i, role)| engine(i, *role)).collect(),
        demand,
        targets: Targets {
            first_token_us: 490_000,
            between_tokens_us: 37_000,
        },
        can_order: true,
    }
}

/// Long prompts and short answers.
const RULINGS: Demand = Demand {
    requests_per_s: 12.0,
    prefill_tokens_per_s: 30_000.0,
    output_tokens_per_s: 1_200.0,
};
/// Short prompts and long answers.
const SUMMARIES: Demand = Demand {
    requests_per_s: 12.0,
    prefill_tokens_per_s: 4_000.0,
    output_tokens_per_s: 5_500.0,
};

fn planners() -> Vec<Box<dyn Planner>> {
    let future = vec![
        (0, RULINGS),
        (200_000_000, SUMMARIES),
        (300_000_000, RULINGS),
    ];
    let config = CostConfig::default();
    vec![
        Box::new(CostPlanner::new(LIMITS, config)),
        Box::new(Threshold::new(LIMITS)),
        Box::new(AllMixed::new(LIMITS)),
        Box::new(Oracle::new(LIMITS, future, 10_000_000)),
    ]
}

fn explain(planner: &mut dyn Planner, roles: &[Role], demand: Demand, rounds: u64) -> String {
    let mut lines = Vec::new();
    for round in 0..rounds {
        for role_move in planner.plan(&view(roles, demand), round * 1_000_000) {
            let (engine, from, to) = (&role_move.engine, role_move.from, role_move.to);
            lines.push(format!(
                "{round} s: {engine} {from} -> {to}: {}",
                role_move.reason
            ));
            lines.extend(role_move.alternatives.iter().map(|alternative| {
                let (name, score) = (&alternative.name, alternative.score);
                format!("  {name}: {score:.0} ({})", alternative.reason)
            }));
        }
        if !lines.is_empty() {
            break;
        }
    }
    lines.join("\n")
}

/// Half of the engines in each of two roles.
const EVEN_SPLIT: [Role; 6] = [
    Role::Prefill,
    Role::Prefill,
    Role::Prefill,
    Role::Decode,
    Role::Decode,
    Role::Decode,
];

/// Guards against a change whose explanation lacks the alternatives and their prices.
#[test]
fn explains_a_change_with_its_alternatives() {
    let mut planner = CostPlanner::new(LIMITS, CostConfig::default());
    planner.plan(&view(&EVEN_SPLIT, SUMMARIES), 0);
    insta::assert_snapshot!(explain(&mut planner, &EVEN_SPLIT, SUMMARIES, 1), @r#"
        0 s: e0 prefill -> decode: 1 prefill, 0 mixed, 5 decode: 80 late answers with the price of the change, 607 without it
          3 prefill, 0 mixed, 3 decode: 607 (no change)
          1 prefill, 0 mixed, 5 decode: 80 (2 changes at 27.0 late answers each)
          2 prefill, 0 mixed, 4 decode: 176 (1 changes at 27.0 late answers each)
          4 prefill, 0 mixed, 2 decode: 925 (1 changes at 27.0 late answers each)
          5 prefill, 0 mixed, 1 decode: 1243 (2 changes at 27.0 late answers each)
        0 s: e1 prefill -> decode: 1 prefill, 0 mixed, 5 decode: 80 late answers with the price of the change, 607 without it
          3 prefill, 0 mixed, 3 decode: 607 (no change)
          1 prefill, 0 mixed, 5 decode: 80 (2 changes at 27.0 late answers each)
          2 prefill, 0 mixed, 4 decode: 176 (1 changes at 27.0 late answers each)
          4 prefill, 0 mixed, 2 decode: 925 (1 changes at 27.0 late answers each)
          5 prefill, 0 mixed, 1 decode: 1243 (2 changes at 27.0 late answers each)
    "#);
}

/// Guards against a weight without effect. At weight 1 a moderate change of the demand leads to a role change
/// within 30 s, at weight 10 at least 30 s later.
#[test]
fn larger_weight_waits_for_a_lasting_change_of_demand() {
    let first_change_s = |role_change_weight: f64| {
        let config = CostConfig {
            role_change_weight,
            ..CostConfig::default()
        };
        let mut planner = CostPlanner::new(LIMITS, config);
        let even = Demand {
            prefill_tokens_per_s: 18_000.0,
            output_tokens_per_s: 3_000.0,
            ..SUMMARIES
        };
        for round in 0..300 {
            let moves = planner.plan(&view(&EVEN_SPLIT, even), round * 1_000_000);
            assert_eq!(moves, [], "{round}");
        }
        // Three engines generate at 98% of their capacity, so some answers are late.
        let shifted = Demand {
            output_tokens_per_s: 4_600.0,
            ..SUMMARIES
        };
        (300..900_u64).find(|round| {
            let moves = planner.plan(&view(&EVEN_SPLIT, shifted), round * 1_000_000);
            !moves.is_empty()
        })
    };
    let (light, heavy) = (first_change_s(1.0).unwrap(), first_change_s(10.0).unwrap());
    assert!(light < 330, "{light}");
    assert!(heavy > light + 30, "{light} {heavy}");
}

/// Guards against a slow average that prevents a role change while a large change of the demand makes
/// answers late.
#[test]
fn follows_a_large_change_of_demand_within_ten_seconds() {
    for role_change_weight in [1.0, 10.0] {
        let config = CostConfig {
            role_change_weight,
            ..CostConfig::default()
        };
        let mut planner = CostPlanner::new(LIMITS, config);
        let rulings = [
            Role::Prefill,
            Role::Prefill,
            Role::Prefill,
            Role::Prefill,
            Role::Decode,
            Role::Decode,
        ];
        for round in 0..300 {
            planner.plan(&view(&rulings, RULINGS), round * 1_000_000);
        }
        let moved = (300..310_u64).any(|round| {
            let moves = planner.plan(&view(&rulings, SUMMARIES), round * 1_000_000);
            !moves.is_empty()
        });
        assert!(moved, "weight {role_change_weight}");
    }
}

/// Guards against a setting that selects the wrong planner.
#[test]
fn policy_selects_the_planner() {
    let kinds = [
        (PlannerKind::Cost, "cost"),
        (PlannerKind::Fixed, "fixed"),
        (PlannerKind::Threshold, "threshold"),
        (PlannerKind::Mixed, "mixed"),
    ];
    for (planner, name) in kinds {
        let policy = Policy {
            planner,
            ..Policy::default()
        };
        assert_eq!(open(&policy).name(), name);
    }
}

/// Guards against planning changes while their orders cannot be recorded.
#[test]
fn plans_nothing_while_no_order_can_be_issued() {
    for mut planner in planners() {
        for round in 0..400 {
            let mut view = view(&EVEN_SPLIT, SUMMARIES);
            view.can_order = false;
            assert_eq!(planner.plan(&view, round * 1_000_000), []);
        }
    }
}

/// Guards against a planner that exceeds a limit: the floor of a role, the share of the pool that may be
/// changing, or the dwell time of an engine. Demand and failures are random.
#[test]
fn limits_hold_for_every_planner() {
    let round = (
        0.0..40.0_f64,
        0.0..60_000.0_f64,
        0.0..9_000.0_f64,
        0..12_usize,
        1..25_u64,
    );
    let rounds = proptest::collection::vec(round, 50..200);
    let roles = proptest::collection::vec(
        prop_oneof![Just(Role::Prefill), Just(Role::Decode), Just(Role::Mixed)],
        2..9,
    );
    let config = ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new(config)
        .run(&(roles, rounds), |(roles, rounds)| {
            for mut planner in planners() {
                run_rounds(&mut *planner, &roles, &rounds)?;
            }
            Ok(())
        })
        .unwrap();
}

type Round = (f64, f64, f64, usize, u64);

fn run_rounds(
    planner: &mut dyn Planner,
    roles: &[Role],
    rounds: &[Round],
) -> Result<(), TestCaseError> {
    let mut pool = view(roles, Demand::default());
    let mut now_us = 0;
    let mut done_at = vec![None; roles.len()];
    for (requests, read, generate, down, seconds) in rounds {
        now_us += seconds * 1_000_000;
        for (i, engine) in pool.engines.iter_mut().enumerate() {
            // One engine is down in some rounds; the loads follow the demand.
            engine.is_available = i != *down;
            engine.load.running = (*generate as u32 / 150 + i as u32) % 50;
            engine.load.queued_prefill_tokens = *read as u64 / 10;
            if done_at[i].is_some_and(|done| done <= now_us)
                && let Some(role) = engine.moving_to.take()
            {
                engine.role = role;
                engine.role_since_us = done_at[i].take();
            }
        }
        pool.demand = Demand {
            requests_per_s: *requests,
            prefill_tokens_per_s: *read,
            output_tokens_per_s: *generate,
        };
        for role_move in planner.plan(&pool, now_us) {
            let found = pool
                .engines
                .iter()
                .position(|e| e.engine.name == role_move.engine);
            let i = found.unwrap();
            let engine = &mut pool.engines[i];
            prop_assert!(engine.is_available && engine.moving_to.is_none());
            prop_assert_eq!(engine.role, role_move.from);
            let since = engine.role_since_us;
            prop_assert!(since.is_none_or(|since| now_us >= since + LIMITS.min_dwell_us));
            engine.moving_to = Some(role_move.to);
            done_at[i] = Some(now_us + 17_000_000);
            let left = pool
                .engines
                .iter()
                .filter(|e| e.role == role_move.from && e.moving_to.is_none() && e.is_available);
            prop_assert!(left.count() >= LIMITS.role_floor);
            let most = LIMITS.max_moving_share * pool.engines.len() as f64;
            prop_assert!(pool.moving() as f64 <= most);
        }
    }
    Ok(())
}
