//! Where a request is read and where it runs.
//!
//! Where a prompt is read stands in [`reading`](super::prefill). Output is placed by load, near the node. A
//! place for the output is chosen before the prompt is read, so that no prompt is read for nothing.

use std::sync::Arc;

use super::config::EngineLimits;
use super::load::RunnerView;
use super::{PromptPart, Runner, Stage, prompt_tokens};
use crate::collections::HashMap;
use crate::name::Name;

/// A runner that fails every request counts as this much slower.
pub(super) const FAILURE_PENALTY_US: f64 = 400_000.0;
/// Preference for a runner of the own zone, in time.
const ZONE_PENALTY_US: f64 = 2_000.0;
/// The same for each byte of the request: links between zones are shared and narrower.
const ZONE_PENALTY_US_PER_BYTE: f64 = 2.0;
/// Time that a running request adds to the events of the others in its batch.
const BATCH_PENALTY_US: f64 = 1_500.0;
/// Requests whose time an idle decode runner's own steps take.
const IDLE_BATCH: f64 = 6.0;
/// Share of the KV cache that running requests may take; the rest absorbs what other nodes send at the
/// same moment.
const KV_SHARE: f64 = 0.9;
/// Age at which a reported queue is no longer believed.
const QUEUE_STALE_US: u64 = 1_000_000;
/// A decode runner reads prompts at half the speed of a prefill runner.
const DECODE_READ_FACTOR: f64 = 2.0;
/// Time from the end of the read to the first event, transfer included.
const HANDOVER_US: f64 = 25_000.0;

/// Statistics of the runners of a model service, learned from answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceStats {
    /// Time to read a prompt token on a prefill runner.
    pub read_us_per_token: f64,
    /// Mean time to read a prompt.
    pub read_us: f64,
    /// Mean time of a request at its decode runner.
    pub stream_us: f64,
    /// Mean time from the first event of a stream to its last one; 0 before one has ended.
    pub events_us: f64,
    /// Mean output tokens that the callers of those streams asked for.
    pub output_tokens: f64,
    /// Mean tokens that a request keeps in memory.
    pub kv_tokens: f64,
}

impl Default for ServiceStats {
    fn default() -> Self {
        Self {
            read_us_per_token: 25.0,
            read_us: 60_000.0,
            stream_us: 800_000.0,
            events_us: 0.0,
            output_tokens: 0.0,
            kv_tokens: 6_000.0,
        }
    }
}

/// Weight of the newest observation in a mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Reads shorter than this say more of the fixed costs than of the rate.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

impl ServiceStats {
    /// Takes a read that did not wait behind other requests of this node.
    pub fn on_read(&mut self, read_tokens: u64, took_us: u64) {
        if read_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let us_per_token = took_us as f64 / read_tokens as f64;
        // A read behind other nodes' requests looks slow; faster samples are closer to the truth.
        let weight = if us_per_token < self.read_us_per_token {
            4.0 * MEAN_WEIGHT
        } else {
            MEAN_WEIGHT / 8.0
        };
        self.read_us_per_token += weight * (us_per_token - self.read_us_per_token);
    }

    /// Takes the tokens that a placed request has to read and keeps in memory.
    pub fn on_placed(&mut self, read_tokens: u64, kv_tokens: u64) {
        let read_us = read_tokens as f64 * self.read_us_per_token;
        self.read_us += MEAN_WEIGHT * (read_us - self.read_us);
        self.kv_tokens += MEAN_WEIGHT * (kv_tokens as f64 - self.kv_tokens);
    }

    /// Takes a stream that ended.
    pub fn on_stream(&mut self, took_us: u64) {
        self.stream_us += MEAN_WEIGHT * (took_us as f64 - self.stream_us);
    }

    /// Takes the time from the first to the last event of a stream whose caller asked for this many
    /// tokens.
    pub fn on_generated(&mut self, output_tokens: u64, took_us: u64) {
        let weight = if self.output_tokens > 0.0 {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.events_us += weight * (took_us as f64 - self.events_us);
        self.output_tokens += weight * (output_tokens as f64 - self.output_tokens);
    }

    /// Expected time from the first event to the end of a stream; 0 before one has ended.
    pub fn generation_us(&self, output_tokens: u64) -> f64 {
        // Both means weigh long streams by their length; a mean of ratios would not.
        output_tokens as f64 * self.events_us / self.output_tokens.max(1.0)
    }
}

/// What placing needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// Tokens that it will keep in memory: prompt and output.
    pub kv_tokens: u64,
    /// Zone of the node.
    pub zone: &'a str,
    /// Bytes of its body.
    pub body_bytes: usize,
}

impl PlacementRequest<'_> {
    pub(super) fn zone_penalty_us(&self, runner: &Runner) -> f64 {
        if *runner.zone == *self.zone {
            return 0.0;
        }
        ZONE_PENALTY_US + self.body_bytes as f64 * ZONE_PENALTY_US_PER_BYTE
    }
}

/// A runner that was chosen.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The runner.
    pub runner: Arc<Runner>,
    /// Expected time until it begins with the request.
    pub wait_us: f64,
    /// Expected time to read the prompt; 0 where it reads nothing.
    pub read_us: f64,
    /// Prompt tokens that it has to read.
    pub read_tokens: u64,
    /// Runner from which it fetches shared parts that it does not hold.
    pub fetches_from: Option<Arc<Runner>>,
    /// Wait and read as a runner as fast as the pool would take them.
    pub nominal_us: f64,
}

impl Placement {
    /// Expected time until the first event when the runner reads and another one generates.
    pub fn until_handover_us(&self) -> f64 {
        self.wait_us + self.read_us + HANDOVER_US
    }
}

/// Views of the runners by id.
pub type RunnerViews = HashMap<Name, RunnerView>;

/// A runner that nothing is known of yet.
pub(super) fn view_of<'a>(
    views: &'a RunnerViews,
    unknown: &'a RunnerView,
    runner: &Runner,
) -> &'a RunnerView {
    views.get(&runner.id).unwrap_or(unknown)
}

/// Silent runners of a zone after which the zone counts as cut off, if none of it has answered since.
const CUT_OFF_RUNNERS: usize = 2;
/// Time for which a zone counts as cut off after its last silent runner.
const CUT_OFF_US: u64 = 2_500_000;

/// Whether a zone does not answer this node: a partition shows at each of its runners one by one, and
/// each costs a request its time.
fn is_cut_off(views: &RunnerViews, runners: &[Arc<Runner>], zone: &str, now_us: u64) -> bool {
    let of_zone = runners.iter().filter(|runner| *runner.zone == *zone);
    let of_zone = of_zone.filter_map(|runner| views.get(&runner.id));
    let mut silent: Vec<u64> = Vec::new();
    let mut answered_us = 0;
    for view in of_zone {
        answered_us = answered_us.max(view.answered_at_us());
        silent.extend(view.unreachable_since_us());
    }
    silent.retain(|silent_us| *silent_us > answered_us && silent_us + CUT_OFF_US > now_us);
    silent.len() >= CUT_OFF_RUNNERS
}

/// Runners of a stage that take work: those that answer, or all when none is known to.
pub(super) fn usable<'a>(
    views: &'a RunnerViews,
    runners: &'a [Arc<Runner>],
    stage: Option<Stage>,
    excluded: &'a [Name],
    now_us: u64,
) -> Vec<&'a Arc<Runner>> {
    let takes = |runner: &&Arc<Runner>| {
        runner.stage == stage && !runner.is_draining && !excluded.contains(&runner.id)
    };
    let all: Vec<_> = runners.iter().filter(takes).collect();
    let mut cut_off: HashMap<&Name, bool> = HashMap::default();
    for runner in &all {
        let is_cut_off = || is_cut_off(views, runners, &runner.zone, now_us);
        cut_off.entry(&runner.zone).or_insert_with(is_cut_off);
    }
    let is_avoided = |runner: &Runner| {
        let view = views.get(&runner.id);
        cut_off[&runner.zone] || view.is_some_and(|view| view.is_avoided(now_us))
    };
    let answering: Vec<_> = all.iter().copied().filter(|r| !is_avoided(r)).collect();
    if answering.is_empty() { all } else { answering }
}

pub(super) fn cheapest<F>(candidates: &[&Arc<Runner>], mut weigh: F) -> Option<Placement>
where
    F: FnMut(&Arc<Runner>) -> (f64, Placement),
{
    let weighed = candidates.iter().map(|runner| weigh(runner));
    let best = weighed.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_cost, place)| place)
}

/// Work at a decode runner: what this node sent, and the estimate of what others did.
struct DecodeLoad {
    requests: f64,
    kv_tokens: f64,
}

fn decode_load(view: &RunnerView, stats: &ServiceStats, now_us: u64) -> DecodeLoad {
    let others = view.other_nodes_requests(now_us);
    DecodeLoad {
        requests: others + f64::from(view.own_requests()),
        kv_tokens: others * stats.kv_tokens + view.own_kv_tokens() as f64,
    }
}

/// Share of the slots or the memory of the decode runners that is in use, whichever is more, on average.
pub fn decode_utilization(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    engine: &EngineLimits,
    stats: &ServiceStats,
    now_us: u64,
) -> f64 {
    let unknown = RunnerView::default();
    let decode = runners
        .iter()
        .filter(|runner| runner.stage == Some(Stage::Decode));
    let shares: Vec<f64> = decode
        .map(|runner| {
            let load = decode_load(view_of(views, &unknown, runner), stats, now_us);
            let of_slots = load.requests / f64::from(engine.slots.max(1));
            let of_memory = load.kv_tokens / engine.kv_tokens.max(1) as f64;
            of_slots.max(of_memory)
        })
        .collect();
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}

/// A request for a decode runner.
#[derive(Debug, Clone, Copy)]
pub struct DecodeQuery<'a> {
    /// The request.
    pub request: &'a PlacementRequest<'a>,
    /// Limits of the runners.
    pub engine: &'a EngineLimits,
    /// Statistics of the service.
    pub stats: &'a ServiceStats,
    /// Whether a prefill runner reads the prompt for it.
    pub is_prefilled: bool,
}

/// The decode runner for a request.
pub fn choose_decode(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    query: &DecodeQuery<'_>,
    excluded: &[Name],
    now_us: u64,
) -> Option<Placement> {
    let DecodeQuery {
        request,
        engine,
        stats,
        is_prefilled,
    } = *query;
    let unknown = RunnerView::default();
    let candidates = usable(views, runners, Some(Stage::Decode), excluded, now_us);
    cheapest(&candidates, |runner| {
        let view = view_of(views, &unknown, runner);
        let at_once = engine.slots.max(1);
        let load = decode_load(view, stats, now_us);
        let active = load.requests;
        let kv_tokens = load.kv_tokens + request.kv_tokens as f64;
        let over_slots = (active + 1.0 - f64::from(at_once)).max(0.0);
        let over_kv_tokens = kv_tokens - engine.kv_tokens as f64 * KV_SHARE;
        let over_kv = (over_kv_tokens / stats.kv_tokens.max(1.0)).max(0.0);
        let waiting = f64::from(view.other_nodes_waiting(now_us, QUEUE_STALE_US));
        let queue = over_slots.max(over_kv).max(waiting);
        // Places come free one by one, at the rate at which the running requests end.
        let running = (active - queue).max(1.0);
        let wait_us = queue * stats.stream_us / running;
        let read_tokens = if is_prefilled {
            0
        } else {
            prompt_tokens(request.parts) - view.cached_parts.cached_tokens(request.parts)
        };
        let queued_us =
            view.own_read_tokens() as f64 * stats.read_us_per_token * DECODE_READ_FACTOR;
        let read_us = read_tokens as f64 * stats.read_us_per_token * DECODE_READ_FACTOR;
        let batch_us = (active + IDLE_BATCH) * BATCH_PENALTY_US * view.slowdown();
        let mut cost = wait_us + queued_us + read_us + batch_us;
        cost += view.failure_rate_at(now_us) * FAILURE_PENALTY_US;
        cost += request.zone_penalty_us(runner);
        let found = Placement {
            runner: Arc::clone(runner),
            wait_us: wait_us + if is_prefilled { 0.0 } else { queued_us },
            read_us,
            read_tokens,
            fetches_from: None,
            nominal_us: 0.0,
        };
        (cost, found)
    })
}

/// Time of a request at a plain service that nothing is known of.
const PLAIN_REQUEST_US: f64 = 40_000.0;

/// The runner of a plain service for a request.
pub fn choose_plain(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    request: &PlacementRequest<'_>,
    excluded: &[Name],
    now_us: u64,
) -> Option<Placement> {
    let unknown = RunnerView::default();
    let candidates = usable(views, runners, None, excluded, now_us);
    cheapest(&candidates, |runner| {
        let view = view_of(views, &unknown, runner);
        let slots = runner.slots.max(1);
        let active = view.other_nodes_requests(now_us) + f64::from(view.own_requests());
        let queue = (active + 1.0 - f64::from(slots)).max(0.0);
        let wait_us = queue * PLAIN_REQUEST_US / f64::from(slots);
        // Runners slow down when they are nearly full.
        let mut cost = wait_us + active / f64::from(slots) * PLAIN_REQUEST_US / 2.0;
        cost += view.failure_rate_at(now_us) * FAILURE_PENALTY_US;
        cost += request.zone_penalty_us(runner);
        let found = Placement {
            runner: Arc::clone(runner),
            wait_us,
            read_us: 0.0,
            read_tokens: 0,
            fetches_from: None,
            nominal_us: 0.0,
        };
        (cost, found)
    })
}
