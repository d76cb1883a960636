//! Placing under a played load: what callers get.
//!
//! A few nodes send prompts with shared parts to readers that work one prompt after the other and keep
//! what fits into their cache. Each node knows only its own requests and the counts on its answers.

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

use super::{SECOND_US, prompt, readers};

const NODES: usize = 6;
const READERS: usize = 9;
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
/// Time until the first event that callers expect.
const OBJECTIVE_US: u64 = 500_000;

/// A reader: when it is free, and what it holds.
#[derive(Default)]
struct Played {
    free_us: u64,
    cached_parts: CachedParts,
    /// Ends of the requests at it.
    ends_us: Vec<u64>,
}

/// Where a request goes.
struct Chosen {
    runner: Name,
    /// Prompt tokens that the runner is expected to read.
    read_tokens: u64,
    /// Time expected of the pool.
    expected_us: f64,
    fetches_from: Option<Name>,
}

struct Answer {
    node: usize,
    runner: Name,
    work: Work,
    expected_us: f64,
    sent_us: u64,
    at_us: u64,
    parts: Vec<PromptPart>,
}

/// Share of requests that are read within the objective, when `choose` places them.
fn share_in_time<F>(requests_per_s: u64, mut choose: F) -> f64
where
    F: FnMut(&mut RunnerViews, &[Arc<Runner>], &PlacementRequest<'_>, u64) -> Chosen,
{
    let runners = readers(READERS);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut played: HashMap<Name, Played> = HashMap::default();
    let mut views: Vec<RunnerViews> = (0..NODES).map(|_| RunnerViews::default()).collect();
    let mut open: Vec<Answer> = Vec::new();
    let requests = 20 * requests_per_s;
    let mut in_time = 0;
    for i in 0..requests {
        let now_us = SECOND_US + i * SECOND_US / requests_per_s;
        deliver(&mut open, &mut views, &mut played, now_us);
        let parts = request(&mut rng, i);
        let node = rng.random_range(0..NODES);
        let request = PlacementRequest {
            parts: &parts,
            kv_tokens: 0,
            zone: "a",
            body_bytes: 0,
        };
        let chosen = choose(&mut views[node], &runners, &request, now_us);
        let runner = chosen.runner;
        let view = views[node].entry(Name::clone(&runner)).or_default();
        let work = Work {
            read_tokens: chosen.read_tokens,
            kv_tokens: 0,
        };
        view.on_request_start(work);
        let source = chosen.fetches_from.and_then(|source| played.get(&source));
        let fetched_tokens = source.map_or(0, |source| source.cached_parts.cached_tokens(&parts));
        let reader = played.entry(Name::clone(&runner)).or_default();
        let held_tokens = reader
            .cached_parts
            .cached_tokens(&parts)
            .max(fetched_tokens);
        let missing = prompt_tokens(&parts) - held_tokens;
        reader.cached_parts.on_read(&parts, CACHE_TOKENS);
        let took_us = (missing as f64 * US_PER_TOKEN) as u64 + 20_000;
        reader.free_us = reader.free_us.max(now_us) + took_us;
        reader.ends_us.push(reader.free_us);
        // The first seconds fill the caches.
        if i > requests / 4 && reader.free_us - now_us <= OBJECTIVE_US {
            in_time += 1;
        }
        open.push(Answer {
            node,
            runner,
            work,
            expected_us: chosen.expected_us + 20_000.0,
            sent_us: now_us,
            at_us: reader.free_us,
            parts,
        });
    }
    f64::from(in_time) / (requests as f64 * 0.75)
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

/// Delivers the answers that are due, with the runner's counts of that moment.
fn deliver(
    open: &mut Vec<Answer>,
    views: &mut [RunnerViews],
    played: &mut HashMap<Name, Played>,
    now_us: u64,
) {
    open.sort_by_key(|answer| answer.at_us);
    while open.first().is_some_and(|answer| answer.at_us <= now_us) {
        let answer = open.remove(0);
        let reader = played.entry(Name::clone(&answer.runner)).or_default();
        reader.ends_us.retain(|end_us| *end_us > answer.at_us);
        let report = ReportedLoad {
            running: reader.ends_us.len() as u32,
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

fn placed(
    views: &mut RunnerViews,
    runners: &[Arc<Runner>],
    request: &PlacementRequest<'_>,
    now_us: u64,
) -> Chosen {
    let stats = ServiceStats {
        read_us_per_token: US_PER_TOKEN,
        ..ServiceStats::default()
    };
    let query = PrefillQuery {
        request,
        engine: &ENGINE,
        stats: &stats,
    };
    let chosen = choose_prefill(views, runners, &query, &[], now_us).expect("readers take work");
    Chosen {
        runner: Name::clone(&chosen.runner.id),
        read_tokens: chosen.read_tokens,
        expected_us: chosen.nominal_us,
        fetches_from: chosen.fetches_from.map(|source| Name::clone(&source.id)),
    }
}

/// The load that the pool could read if it found every shared part in a cache is 111 requests a second.
/// Guards against placing that reads shared parts again until the pool is saturated, and against homes
/// that leave a part of the pool idle.
#[test]
fn most_requests_are_read_in_time_where_least_load_saturates() {
    let mut turn = 0;
    let by_turns = share_in_time(60, |_views, runners, request, _now_us| {
        turn += 1;
        let runner = &runners[turn % runners.len()];
        Chosen {
            runner: Name::clone(&runner.id),
            read_tokens: prompt_tokens(request.parts),
            expected_us: 1e5,
            fetches_from: None,
        }
    });
    let by_prefix = share_in_time(60, placed);
    assert!(by_turns < 0.2, "by turns {by_turns}");
    assert!(by_prefix > 0.6, "by prefix {by_prefix}");
}

/// Guards against a collapse as the load nears what fits: shared parts that spill from home to home are
/// read again everywhere, and nothing is read in time any more.
#[test]
fn heavier_load_degrades_without_a_collapse() {
    let at_60 = share_in_time(60, placed);
    let at_80 = share_in_time(80, placed);
    assert!(at_80 > at_60 / 2.0, "{at_60} at 60/s, {at_80} at 80/s");
}
