//! Guards against an invalid configuration that is accepted, and against an error that does not
//! name the invalid field.

use tealsaddle_core::inventory::{Inventory, PlannerKind, Role};
use yare::parameterized;

const VALID: &str = "
zones:
  - {name: buda-hall, region: hu-central, spill_to: [pest-hall]}
  - {name: pest-hall, region: hu-central}
models: [{name: rules}]
engines:
  - {name: e1, zone: buda-hall, address: \"127.0.0.1:9001\", models: [rules], role: prefill, prefill_tokens_per_s: 8000, decode_tokens_per_s: 600, batch_requests: 16, kv_capacity_tokens: 60000}
services:
  - name: ladder
    targets: [{name: l1, zone: pest-hall, address: \"127.0.0.1:9101\"}]
    non_repeatable: [{method: POST, path_prefix: /scores}]
customers: [{name: league, priority: 0, share: 2}]
policy: {planner: cost, role_change_weight: 10}
";

#[test]
fn valid_configuration_gets_defaults() {
    let inventory = Inventory::from_yaml(VALID, 3).expect("the configuration is valid");
    assert_eq!(inventory.version, 3);
    assert_eq!(inventory.models["rules"].first_token_ms, 490);
    assert_eq!(inventory.engines["e1"].initial_role, Role::Prefill);
    assert_eq!(inventory.engines["e1"].role_change_ms, 5_000);
    assert_eq!(inventory.policy.planner, PlannerKind::Cost);
    assert_eq!(inventory.policy.min_dwell_ms, 60_000);
    let ladder = &inventory.services["ladder"];
    assert!(ladder.is_non_repeatable("post", "/scores/7"));
    assert!(!ladder.is_non_repeatable("GET", "/scores/7"));
}

#[parameterized(
    unknown_field = { "policy:", "polizy:", "polizy" },
    wrong_unit = { "share: 2", "share_percent: 2", "share_percent" },
    duplicate_zone = { "name: pest-hall", "name: buda-hall", "zones[1].name" },
    unknown_zone = { "zone: buda-hall", "zone: csepel", "engines[0].zone" },
    unknown_spill_zone = { "[pest-hall]", "[csepel]", "zones[0].spill_to[0]" },
    spill_to_itself = { "[pest-hall]", "[buda-hall]", "zones[0].spill_to[0]" },
    unknown_model = { "models: [rules]", "models: [tilt]", "engines[0].models[0]" },
    duplicate_target = { "name: l1", "name: e1", "services[0].targets[0].name" },
    bad_address = { "127.0.0.1:9001", "localhost:9001", "engines[0].address" },
    unknown_role = { "role: prefill", "role: both", "engines[0].role" },
    zero_rate = { "batch_requests: 16", "batch_requests: 0", "engines[0].batch_requests" },
    negative_share = { "share: 2", "share: -2", "customers[0].share" },
    bad_key = { "share: 2", "api_key_sha256: [abc]", "customers[0].api_key_sha256[0]" },
    unknown_planner = { "planner: cost", "planner: guess", "policy.planner" },
    number_for_text = { "batch_requests: 16", "batch_requests: many", "batch_requests" },
)]
fn invalid_field_is_rejected_and_named(valid: &str, invalid: &str, named: &str) {
    assert!(VALID.contains(valid), "the text to replace is missing");
    let error = Inventory::from_yaml(&VALID.replacen(valid, invalid, 1), 1)
        .expect_err("the configuration is invalid");
    let message = error.to_string();
    // The YAML parser names the line of a value that has the wrong type.
    let is_line_named = message.contains("line");
    assert!(
        message.contains(named) || is_line_named,
        "{message:?} does not name {named:?}"
    );
}
