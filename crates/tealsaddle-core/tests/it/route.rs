//! Tests of the choice of engines.

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::admission::Targets;
use tealsaddle_core::inventory::{Engine, Role};
use tealsaddle_core::load::CorrectedLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::route::{
    Candidate, MeanRequest, RequestFacts, RouteChoice, RouteDecision, RouteTable, Router,
    ZoneCapacity,
};

fn candidate(name: &str, role: Role, queued: u64, running: u32) -> Candidate {
    let engine = Engine {
        name: Name::from(name),
        zone: Name::from("buda-hall"),
        vm: None,
        address: "127.0.0.1:1".parse().unwrap(),
        models: vec![Name::from("rules")],
        initial_role: role,
        checks_fence: true,
        prefill_tokens_per_s: 8_000,
        decode_tokens_per_s: 1_500,
        batch_requests: 48,
        kv_capacity_tokens: 200_000,
        role_change_ms: 5_000,
        withdrawn: false,
    };
    Candidate {
        engine: Arc::new(engine),
        role,
        load: CorrectedLoad {
            running,
            queued_prefill_tokens: queued,
            ..CorrectedLoad::default()
        },
        cached_tokens: 0,
    }
}

fn route(
    candidates: &[Candidate],
    other_zones: &[ZoneCapacity],
    prompt_tokens: u64,
) -> RouteDecision {
    route_class(candidates, other_zones, prompt_tokens, 0)
}

fn route_class(
    candidates: &[Candidate],
    other_zones: &[ZoneCapacity],
    prompt_tokens: u64,
    priority: u32,
) -> RouteDecision {
    let targets = Targets {
        first_token_us: 490_000 + prompt_tokens * 250,
        between_tokens_us: 37_000,
    };
    let table = RouteTable {
        candidates,
        other_zones,
        targets,
        mean_request: MeanRequest {
            read_tokens: 1_000.0,
            output_tokens: 200.0,
        },
    };
    let request = RequestFacts {
        model: Name::from("rules"),
        prompt_tokens,
        max_output_tokens: 200,
        priority,
        prefix_hash: 0,
        first_token_due_us: targets.first_token_us,
    };
    Router::default().choose(&table, &request, 0, &mut ChaCha8Rng::seed_from_u64(1))
}

fn explain(decision: &RouteDecision) -> String {
    let choice = match &decision.choice {
        RouteChoice::Single(engine) => engine.name.to_string(),
        RouteChoice::Split { prefill, decode } => format!("{} -> {}", prefill.name, decode.name),
        RouteChoice::None => "none".to_owned(),
    };
    let first = format!(
        "{choice}, spill to {:?}: {}",
        decision.spill_to, decision.reason
    );
    let alternatives = decision.alternatives.iter().map(|alternative| {
        let (name, score, reason) = (&alternative.name, alternative.score, &alternative.reason);
        format!("{name} {score:.0} ms: {reason}")
    });
    let lines: Vec<String> = std::iter::once(first).chain(alternatives).collect();
    lines.join("\n")
}

/// Guards against placing a long prompt on a decode engine, where it delays the batch.
#[test]
fn a_long_prompt_goes_to_a_prefill_engine() {
    let candidates = [
        candidate("p1", Role::Prefill, 4_000, 0),
        candidate("p2", Role::Prefill, 0, 0),
        candidate("d1", Role::Decode, 0, 20),
        candidate("d2", Role::Decode, 0, 46),
    ];
    insta::assert_snapshot!(explain(&route(&candidates, &[], 3_000)), @r#"
        p2 -> d1, spill to None: KV cache moves: earliest first token of two drawn
        p2 -> d1 425 ms: moves KV cache, on time, 22 ms between tokens, 0 tokens cached
        p2 -> d2 439 ms: moves KV cache, on time, 31 ms between tokens, 0 tokens cached
        p1 -> d1 925 ms: moves KV cache, on time, 22 ms between tokens, 0 tokens cached
        p1 -> d2 939 ms: moves KV cache, on time, 31 ms between tokens, 0 tokens cached
        d1 1568 ms: borrows decode steps, first token late, 29 ms between tokens, 0 tokens cached
    "#);
}

/// Guards against a short prompt that waits behind long ones while decode engines have room for it.
#[test]
fn a_short_prompt_runs_on_a_decode_engine_when_prefill_is_busy() {
    let candidates = [
        candidate("p1", Role::Prefill, 12_000, 0),
        candidate("d1", Role::Decode, 0, 20),
    ];
    insta::assert_snapshot!(explain(&route(&candidates, &[], 300)), @r#"
        d1, spill to None: decode steps have room for the prompt: earliest first token of two drawn
        d1 170 ms: borrows decode steps, on time, 29 ms between tokens, 0 tokens cached
        p1 -> d1 1574 ms: moves KV cache, first token late, 22 ms between tokens, 0 tokens cached
    "#);
}

/// Guards against spilling to a zone without room, and against keeping a request that would be late while
/// another zone has room.
#[test]
fn spills_to_the_nearest_zone_with_room_when_late() {
    let candidates = [
        candidate("p1", Role::Prefill, 30_000, 0),
        candidate("d1", Role::Decode, 0, 47),
    ];
    let capacity = |zone: &str, tokens| ZoneCapacity {
        zone: Name::from(zone),
        spare_prefill_tokens: tokens,
        spare_decode_requests: 3,
    };
    let other_zones = [capacity("pest-hall", 1_000), capacity("csepel-hall", 9_000)];
    insta::assert_snapshot!(explain(&route(&candidates, &other_zones, 3_000)), @r#"
        d1, spill to Some("csepel-hall"): the own zone would be late and a near zone has room
        d1 2103 ms: borrows decode steps, first token late, 39 ms between tokens, 0 tokens cached
        p1 -> d1 4190 ms: moves KV cache, first token late, 32 ms between tokens, 0 tokens cached
        zone pest-hall 2 ms: spare for 1000 prompt tokens and 3 requests
        zone csepel-hall 2 ms: spare for 9000 prompt tokens and 3 requests
    "#);
}

/// Guards against sending every request to the engine with the cached prefix regardless of its load.
#[test]
fn affinity_gives_way_to_load() {
    let mut warm = candidate("warm", Role::Mixed, 0, 0);
    warm.cached_tokens = 2_000;
    let cold = candidate("cold", Role::Mixed, 0, 0);
    let decision = route(&[warm.clone(), cold.clone()], &[], 3_000);
    assert!(matches!(decision.choice, RouteChoice::Single(engine) if &*engine.name == "warm"));
    warm.load.queued_prefill_tokens = 4_000;
    let decision = route(&[warm, cold], &[], 3_000);
    assert!(matches!(decision.choice, RouteChoice::Single(engine) if &*engine.name == "cold"));
}

/// Guards against a choice although there are no candidates.
#[test]
fn no_engine_is_no_choice() {
    let decision = route(&[], &[], 100);
    assert!(matches!(decision.choice, RouteChoice::None));
    assert!(decision.first_token_us.is_none() && !decision.is_on_time);
}

/// Guards against an estimate that ignores a full batch, in which a request waits seconds for a slot.
#[test]
fn a_full_batch_delays_the_first_token() {
    let candidates = [
        candidate("p1", Role::Prefill, 0, 0),
        candidate("d1", Role::Decode, 0, 60),
    ];
    let decision = route(&candidates, &[], 300);
    assert!(!decision.is_on_time);
    assert!(decision.first_token_us.unwrap() > 1_000_000, "{decision:?}");
}

/// Guards against filling a mixed engine until its time between tokens exceeds the target.
#[test]
fn a_mixed_engine_counts_the_prompts_of_its_batch() {
    let with_batch = |batch| route(&[candidate("m1", Role::Mixed, 0, batch)], &[], 300);
    assert!(with_batch(5).is_on_time);
    assert!(with_batch(40).between_tokens_us > 37_000);
    assert!(!with_batch(40).is_on_time);
}

/// Guards against low priority classes that use the time reserved for higher classes.
#[test]
fn a_lower_class_spills_earlier() {
    let candidates = [
        candidate("p1", Role::Prefill, 3_500, 0),
        candidate("d1", Role::Decode, 0, 46),
    ];
    let other_zones = [ZoneCapacity {
        zone: Name::from("pest-hall"),
        spare_prefill_tokens: 9_000,
        spare_decode_requests: 3,
    }];
    assert_eq!(
        route_class(&candidates, &other_zones, 300, 0).spill_to,
        None
    );
    let spilled = route_class(&candidates, &other_zones, 300, 2).spill_to;
    assert_eq!(spilled.as_deref(), Some("pest-hall"));
}
