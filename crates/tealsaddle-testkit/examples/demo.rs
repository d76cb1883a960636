//! Runs a small deployment under a load with a changing mix: `demo PROGRAM DIRECTORY`.
//!
//! Exits with an error if a stop was not graceful, an answer was wrong or incomplete, an order
//! conflicted with another, or a role change aborted a stream.

use std::path::Path;

use hyper::Method;
use tealsaddle_core::inventory::Role;
use tealsaddle_schema::inventory::Policy;
use tealsaddle_testkit::client::Client;
use tealsaddle_testkit::deployment::{Deployment, MODEL, Plan, fast_engine_config};
use tealsaddle_testkit::engine::record::{EngineEvent, conflicts, cut_off_by_role_change};
use tealsaddle_testkit::engine::sim::SimConfig;
use tealsaddle_testkit::load;

type Error = Box<dyn std::error::Error>;

const ZONES: [&str; 2] = ["buda-hall", "pest-hall"];
const NODES: [&str; 2] = ["vm-1", "vm-2"];
const SCORES: usize = 20;

const LOAD: &str = "
seed: 11
model: rules
first_token_ms: 490
between_tokens_ms: 37
max_requests: 2000
verify: true
phases:
  - {name: long prompts, seconds: 10, requests_per_s: 30, mix: [
      {share: 3, prompt_tokens: 3000, output_tokens: 12},
      {share: 1, prompt_tokens: 200, output_tokens: 100}]}
  - {name: long outputs, seconds: 16, requests_per_s: 45, mix: [
      {share: 1, prompt_tokens: 3000, output_tokens: 12},
      {share: 3, prompt_tokens: 200, output_tokens: 200}]}
";

fn plan(program: &Path, directory: &Path) -> Plan {
    let engine = |role, checks_fence| SimConfig {
        prefill_tokens_per_s: 20_000,
        step_us: 10_000,
        batch_requests: 16,
        role_change_us: 1_000_000,
        ..fast_engine_config(role, checks_fence)
    };
    let mut plan = Plan::new(program, directory);
    for (zone, node) in ZONES.into_iter().zip(NODES) {
        plan = plan
            .node(node, zone)
            .engine(&format!("{zone}-1"), zone, engine(Role::Prefill, true))
            .engine(&format!("{zone}-2"), zone, engine(Role::Prefill, false))
            .engine(&format!("{zone}-3"), zone, engine(Role::Decode, true))
            .engine(&format!("{zone}-4"), zone, engine(Role::Mixed, false));
    }
    plan.policy = Policy {
        planner: "cost".to_owned(),
        role_change_weight: 1.0,
        min_dwell_ms: 4_000,
        max_moving_share: 0.5,
        plan_interval_ms: 500,
        ..Policy::default()
    };
    plan.service("ladder", ZONES[0])
}

async fn submit_scores(deployment: &Deployment) -> usize {
    let client = Client::open();
    let mut answered = 0;
    for i in 0..SCORES {
        let address = deployment.config(NODES[i % NODES.len()]).caller;
        let key = format!("score-{i}");
        let headers = [("idempotency-key", key.as_str())];
        let path = "/services/ladder/scores";
        let answer = client
            .call(Method::POST, address, path, &headers, key.clone())
            .await;
        answered += usize::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    answered
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let mut arguments = std::env::args().skip(1);
    let usage = "usage: demo PROGRAM DIRECTORY";
    let program = arguments.next().ok_or(usage)?;
    let directory = arguments.next().ok_or(usage)?;
    let mut deployment = plan(Path::new(&program), Path::new(&directory))
        .start()
        .await?;
    // From now on, the model's targets equal the limits by which the load counts answers as on
    // time.
    for model in &mut deployment.inventory.models {
        if model.name == MODEL {
            (model.first_token_ms, model.between_tokens_ms) = (490, 37);
        }
    }
    deployment.write_config();
    println!(
        "running: {} nodes, 8 engines, 1 service; load for 26 s",
        NODES.len()
    );
    let load: load::Plan = serde_saphyr::from_str(LOAD)?;
    let targets = NODES.map(|vm| deployment.config(vm).caller);
    let (report, scores) = tokio::join!(load::run(&load, &targets), submit_scores(&deployment));
    println!("{}", serde_json::to_string_pretty(&report)?);
    println!(
        "answers on time: {} of {} sent",
        report.on_time, report.sent
    );
    println!("refusals by reason: {:?}", report.refused);
    println!("scores answered: {scores} of {SCORES}");
    let mut failures = Vec::new();
    let mut role_changes = 0;
    for (name, engine) in deployment.engines() {
        let record = engine.record();
        let done = |what: &EngineEvent| matches!(what, EngineEvent::OrderDone { .. });
        role_changes += record.iter().filter(|entry| done(&entry.what)).count();
        failures.extend(
            conflicts(&record)
                .iter()
                .map(|conflict| format!("{name}: {conflict}")),
        );
        for attempt in cut_off_by_role_change(&record) {
            failures.push(format!("{name}: a role change cut off {attempt}"));
        }
    }
    println!("role changes: {role_changes}");
    if report.wrong > 0 || !report.broken.is_empty() {
        failures.push(format!(
            "{} wrong answers, broken: {:?}",
            report.wrong, report.broken
        ));
    }
    for vm in NODES {
        let status = deployment.stop(vm).await;
        println!("{vm} stopped: {status}");
        if !status.success() {
            failures.push(format!("{vm}: {status}"));
        }
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(failures.join("\n").into())
}
