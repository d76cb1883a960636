//! Tests of prefill placement in a simulated pool under load.
//!
//! Several nodes send prompts with shared parts to prefill runners, which read one prompt after the other
//! and cache as many parts as fit. Each node observes only its own requests and the counts on its answers.

use std::sync::Arc;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::cached_parts::CachedParts;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::{ReportedLoad, Work};
use tealsaddle_core::fleet::placement::{PlacementRequest, RunnerViews, ServiceStats};
use tealsaddle_core::fleet::prefill::{PrefillQuery, choose_prefill};
use tealsaddle_core::fleet::{PromptPart, Runner, prompt_tokens};
use tealsaddle_core::name::Name;

use super::{SECOND_US, prefill_runners, prompt};

const NODES: usize = 6;
const RUNNERS: usize = 9;
const US_PER_TOKEN: f64 = 26.0;
const CACHE_TOKENS: u64 = 300_000;
const PARTS: u64 = 90;
const SHARED_TOKENS: u64 = 10_000;
const ENGINE: EngineLimits = EngineLimits {
    slots: 64,
    kv_tokens: CACHE_TOKENS,
    kv_bytes_per_token: 18_432,
    link_mbps: 370_000.0,
    switch_ms: 3_000,
};
/// Objective for the time until a prompt is read.
const OBJECTIVE_US: u64 = 500_000;

/// Simulated prefill runner.
#[derive(Default)]
struct SimRunner {
    /// Time at which the runner has read all prompts in its queue.
    free_us: u64,
    cached_parts: CachedParts,
    /// End times of the requests at the runner.
    ends_us: Vec<u64>,
}

/// Runner that is chosen for a request.
struct Choice {
    runner: Name,
    /// Number of prompt tokens that the runner is expected to read.
    read_tokens: u64,
    /// Time expected of an average runner of the pool.
    expected_us: f64,
    fetches_from: Option<Name>,
}

/// Answer that a node will receive at `at_us`.
struct Answer {
    node: usize,
    runner: Name,
    work: Work,
    expected_us: f64,
    sent_us: u64,
    at_us: u64,
    parts: Vec<PromptPart>,
}

/// Simulates 20 s of load and returns the share of prompts read within [`OBJECTIVE_US`] when `choose`
/// selects the runners. The first quarter of the requests fills the caches and is not counted.
fn share_on_time<F>(requests_per_s: u64, mut choose: F) -> f64
where
    F: FnMut(&mut RunnerViews, &[Arc<Runner>], &PlacementRequest<'_>, u64) -> Choice,
{
    let runners = prefill_runners(RUNNERS);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut sim_runners: HashMap<Name, SimRunner> = HashMap::default();
    let mut views: Vec<RunnerViews> = (0..NODES).map(|_| RunnerViews::default()).collect();
    let mut pending: Vec<Answer> = Vec::new();
    let requests = 20 * requests_per_s;
    let mut on_time = 0;
    for i in 0..requests {
        let now_us = SECOND_US + i * SECOND_US / requests_per_s;
        deliver(&mut pending, &mut views, &mut sim_runners, now_us);
        let parts = request(&mut rng, i);
        let node = rng.random_range(0..NODES);
        let request = PlacementRequest {
            parts: &parts,
            kv_tokens: 0,
            output_tokens: 0,
            left_us: 1e7,
            zone: "a",
            body_bytes: 0,
            is_doubtful: false,
        };
        let choice = choose(&mut views[node], &runners, &request, now_us);
        let runner = choice.runner;
        let view = views[node].entry(Name::clone(&runner)).or_default();
        let work = Work {
            read_tokens: choice.read_tokens,
            kv_tokens: 0,
            is_deferred: false,
        };
        view.on_request_start(work);
        let source = choice
            .fetches_from
            .and_then(|source| sim_runners.get(&source));
        let fetched_tokens = source.map_or(0, |source| source.cached_parts.cached_tokens(&parts));
        let sim_runner = sim_runners.entry(Name::clone(&runner)).or_default();
        let cached_tokens = sim_runner
            .cached_parts
            .cached_tokens(&parts)
            .max(fetched_tokens);
        let missing = prompt_tokens(&parts) - cached_tokens;
        sim_runner.cached_parts.on_read(&parts, CACHE_TOKENS);
        let took_us = (missing as f64 * US_PER_TOKEN) as u64 + 20_000;
        sim_runner.free_us = sim_runner.free_us.max(now_us) + took_us;
        sim_runner.ends_us.push(sim_runner.free_us);
        if i > requests / 4 && sim_runner.free_us - now_us <= OBJECTIVE_US {
            on_time += 1;
        }
        pending.push(Answer {
            node,
            runner,
            work,
            expected_us: choice.expected_us + 20_000.0,
            sent_us: now_us,
            at_us: sim_runner.free_us,
            parts,
        });
    }
    f64::from(on_time) / (requests as f64 * 0.75)
}

fn request<R>(rng: &mut R, number: u64) -> Vec<PromptPart>
where
    R: Rng,
{
    let own_tokens = rng.random_range(1_000..5_000);
    prompt(
        rng.random_range(0..PARTS),
        SHARED_TOKENS,
        1_000_000 + number,
        own_tokens,
    )
}

/// Delivers the answers that are due, with the runner's counts at that time.
fn deliver(
    pending: &mut Vec<Answer>,
    views: &mut [RunnerViews],
    sim_runners: &mut HashMap<Name, SimRunner>,
    now_us: u64,
) {
    pending.sort_by_key(|answer| answer.at_us);
    while pending.first().is_some_and(|answer| answer.at_us <= now_us) {
        let answer = pending.remove(0);
        let sim_runner = sim_runners.entry(Name::clone(&answer.runner)).or_default();
        sim_runner.ends_us.retain(|end_us| *end_us > answer.at_us);
        let report = ReportedLoad {
            running: sim_runner.ends_us.len() as u32,
            waiting: 0,
            slots: 64,
        };
        let view = views[answer.node].entry(answer.runner).or_default();
        view.on_request_end(answer.work);
        view.cached_parts
            .on_read(&answer.parts, CACHE_TOKENS / NODES as u64);
        view.on_report(report, answer.at_us);
        view.on_duration((answer.at_us - answer.sent_us) as f64, answer.expected_us);
    }
}

fn by_prefix(
    views: &mut RunnerViews,
    runners: &[Arc<Runner>],
    request: &PlacementRequest<'_>,
    now_us: u64,
) -> Choice {
    let stats = ServiceStats {
        read_us_per_token: US_PER_TOKEN,
        ..ServiceStats::default()
    };
    let query = PrefillQuery {
        request,
        engine: &ENGINE,
        stats: &stats,
    };
    let choice =
        choose_prefill(views, runners, &query, &[], now_us).expect("a prefill runner is eligible");
    Choice {
        runner: Name::clone(&choice.runner.id),
        read_tokens: choice.read_tokens,
        expected_us: choice.nominal_us,
        fetches_from: choice.fetches_from.map(|source| Name::clone(&source.id)),
    }
}

/// Guards against a placement that reads shared parts again until the pool is saturated, and against homes
/// that leave some runners idle. The pool can read 111 requests per second if every shared part is found in
/// a cache.
#[test]
fn placement_by_prefix_is_on_time_where_round_robin_saturates() {
    let mut turn = 0;
    let round_robin = share_on_time(60, |_views, runners, request, _now_us| {
        turn += 1;
        let runner = &runners[turn % runners.len()];
        Choice {
            runner: Name::clone(&runner.id),
            read_tokens: prompt_tokens(request.parts),
            expected_us: 1e5,
            fetches_from: None,
        }
    });
    let by_prefix = share_on_time(60, by_prefix);
    assert!(round_robin < 0.2, "round robin {round_robin}");
    assert!(by_prefix > 0.6, "by prefix {by_prefix}");
}

/// Guards against a collapse near the capacity of the pool, where shared parts spill from home to home and
/// are read again on every runner, so that no prompt is read on time.
#[test]
fn heavier_load_degrades_without_a_collapse() {
    let at_60 = share_on_time(60, by_prefix);
    let at_80 = share_on_time(80, by_prefix);
    assert!(at_80 > at_60 / 2.0, "{at_60} at 60/s, {at_80} at 80/s");
}
