//! Placement of requests on decode runners and on the runners of plain services.
//!
//! The prefill runner of a prompt is chosen by [`prefill`](super::prefill). The decode runner of a request
//! is the one with the lowest expected cost, which includes a penalty for runners in other zones than the
//! node. The decode runner is chosen before the prompt is read, so that no prompt is read for a request
//! that no decode runner can take.

use std::sync::Arc;

use super::config::EngineLimits;
use super::load::RunnerView;
use super::{PromptPart, Runner, Stage, prompt_tokens};
use crate::collections::HashMap;
use crate::name::Name;

/// Penalty of a runner that fails every request. The penalty is proportional to the failure rate.
pub(super) const FAILURE_PENALTY_US: f64 = 400_000.0;
/// Penalty of a runner in another zone than the node.
const ZONE_PENALTY_US: f64 = 2_000.0;
/// Penalty of a runner in another zone, per byte of the request. Links between zones are shared and have
/// less bandwidth than links within a zone.
const ZONE_PENALTY_US_PER_BYTE: f64 = 2.0;
/// Delay that a running request causes for the events of the other requests in its batch.
const BATCH_PENALTY_US: f64 = 1_500.0;
/// Duration of an empty decode step, in units of [`BATCH_PENALTY_US`].
const EMPTY_BATCH_REQUESTS: f64 = 6.0;
/// Share of the KV cache that running requests may use. The rest absorbs requests that other nodes send
/// at the same time.
const MAX_KV_SHARE: f64 = 0.9;
/// Age from which a reported queue length is ignored.
const QUEUE_STALE_US: u64 = 1_000_000;
/// Time that a decode runner takes to read a prompt, relative to a prefill runner.
const DECODE_READ_FACTOR: f64 = 2.0;
/// Time from the end of reading to the first event, including the transfer of the KV cache.
const HANDOVER_US: f64 = 25_000.0;

/// Running means of the requests and runners of a model service, learned from answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceStats {
    /// Time that a prefill runner takes to read a prompt token, in microseconds.
    pub read_us_per_token: f64,
    /// Mean time to read the uncached tokens of a prompt.
    pub read_us: f64,
    /// Mean duration of a request at its decode runner.
    pub stream_us: f64,
    /// Mean time from the first to the last event of a stream; 0 until a stream has ended.
    pub events_us: f64,
    /// Mean number of output tokens that the callers of those streams requested.
    pub output_tokens: f64,
    /// Mean number of tokens that a request occupies in the KV cache.
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

/// Weight of the newest observation in a running mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Smallest read from which the read rate is learned; shorter reads are dominated by fixed costs.
const MIN_SAMPLE_TOKENS: u64 = 1_000;

impl ServiceStats {
    /// Records a read that did not wait behind other requests of this node.
    pub fn on_read(&mut self, read_tokens: u64, took_us: u64) {
        if read_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let us_per_token = took_us as f64 / read_tokens as f64;
        // A read that waited behind requests of other nodes appears slow, so faster samples are more
        // accurate and get more weight.
        let weight = if us_per_token < self.read_us_per_token {
            4.0 * MEAN_WEIGHT
        } else {
            MEAN_WEIGHT / 8.0
        };
        self.read_us_per_token += weight * (us_per_token - self.read_us_per_token);
    }

    /// Records the tokens that a placed request has to read and the tokens that it occupies in the KV
    /// cache. Either is 0 for a request that only decodes or only reads at the runner, and is not recorded
    /// then.
    pub fn on_placed(&mut self, read_tokens: u64, kv_tokens: u64) {
        if read_tokens > 0 {
            let read_us = read_tokens as f64 * self.read_us_per_token;
            self.read_us += MEAN_WEIGHT * (read_us - self.read_us);
        }
        if kv_tokens > 0 {
            self.kv_tokens += MEAN_WEIGHT * (kv_tokens as f64 - self.kv_tokens);
        }
    }

    /// Records the duration of a stream that ended.
    pub fn on_stream(&mut self, took_us: u64) {
        self.stream_us += MEAN_WEIGHT * (took_us as f64 - self.stream_us);
    }

    /// Records the time from the first to the last event of a stream whose caller requested
    /// `output_tokens` tokens.
    pub fn on_generated(&mut self, output_tokens: u64, took_us: u64) {
        let weight = if self.output_tokens > 0.0 {
            MEAN_WEIGHT
        } else {
            1.0
        };
        self.events_us += weight * (took_us as f64 - self.events_us);
        self.output_tokens += weight * (output_tokens as f64 - self.output_tokens);
    }

    /// Returns the expected time from the first event to the end of a stream; 0 until a stream has ended.
    pub fn generation_us(&self, output_tokens: u64) -> f64 {
        // A ratio of two means weights streams by their length; a mean of ratios would not.
        output_tokens as f64 * self.events_us / self.output_tokens.max(1.0)
    }
}

/// Properties of a request that determine its placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt, in order; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// Number of tokens that the request will occupy in the KV cache: prompt and output.
    pub kv_tokens: u64,
    /// Availability zone of the node that places the request.
    pub zone: &'a str,
    /// Size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether the request may crash its decode runner. It is placed where the fewest requests would be lost.
    pub is_doubtful: bool,
}

impl PlacementRequest<'_> {
    pub(super) fn zone_penalty_us(&self, runner: &Runner) -> f64 {
        if *runner.zone == *self.zone {
            return 0.0;
        }
        ZONE_PENALTY_US + self.body_bytes as f64 * ZONE_PENALTY_US_PER_BYTE
    }
}

/// Runner that was chosen for a request, with the expected times.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Runner that was chosen.
    pub runner: Arc<Runner>,
    /// Expected time until the runner starts with the request.
    pub wait_us: f64,
    /// Expected time to read the prompt; 0 if the runner reads nothing.
    pub read_us: f64,
    /// Number of prompt tokens that the runner has to read.
    pub read_tokens: u64,
    /// Runner from which the chosen one fetches the KV cache of shared parts that it does not have; `None`
    /// for decode runners and plain services, or if there is no other runner.
    pub fetches_from: Option<Arc<Runner>>,
    /// Time to wait and to read that is expected of a runner of average speed, the baseline for
    /// [`RunnerView::on_duration`]; 0 for decode runners and plain services.
    pub nominal_us: f64,
}

impl Placement {
    /// Returns the expected time until the first event if this runner reads the prompt and another one
    /// generates the output.
    pub fn until_first_event_us(&self) -> f64 {
        self.wait_us + self.read_us + HANDOVER_US
    }
}

/// Views of the runners, by id.
pub type RunnerViews = HashMap<Name, RunnerView>;

/// Returns the view of a runner, or `unknown` for a runner without observations.
pub(super) fn view_of<'a>(
    views: &'a RunnerViews,
    unknown: &'a RunnerView,
    runner: &Runner,
) -> &'a RunnerView {
    views.get(&runner.id).unwrap_or(unknown)
}

/// Number of unreachable runners from which their zone counts as cut off, unless a runner of the zone has
/// answered since.
const CUT_OFF_MIN_RUNNERS: usize = 2;
/// Time for which an unreachable runner counts towards its zone being cut off.
const CUT_OFF_US: u64 = 2_500_000;

/// Returns whether a zone counts as cut off from this node. Without this check, a network partition would
/// be detected at each runner of the zone separately, each time with a delayed request.
fn is_cut_off(views: &RunnerViews, runners: &[Arc<Runner>], zone: &str, now_us: u64) -> bool {
    let of_zone = runners.iter().filter(|runner| *runner.zone == *zone);
    let of_zone = of_zone.filter_map(|runner| views.get(&runner.id));
    let mut unreachable: Vec<u64> = Vec::new();
    let mut answered_us = 0;
    for view in of_zone {
        answered_us = answered_us.max(view.answered_at_us());
        unreachable.extend(view.unreachable_since_us());
    }
    unreachable.retain(|at_us| *at_us > answered_us && at_us + CUT_OFF_US > now_us);
    unreachable.len() >= CUT_OFF_MIN_RUNNERS
}

/// Returns the runners of a stage that are not draining and not excluded. Runners in a backoff and in
/// zones that are cut off are left out, unless no other runner remains.
pub(super) fn eligible<'a>(
    views: &'a RunnerViews,
    runners: &'a [Arc<Runner>],
    stage: Option<Stage>,
    excluded: &'a [Name],
    now_us: u64,
) -> Vec<&'a Arc<Runner>> {
    let accepts = |runner: &&Arc<Runner>| {
        runner.stage == stage && !runner.is_draining && !excluded.contains(&runner.id)
    };
    let all: Vec<_> = runners.iter().filter(accepts).collect();
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

/// Returns the placement with the lowest cost, as computed by `evaluate`.
pub(super) fn cheapest<F>(candidates: &[&Arc<Runner>], mut evaluate: F) -> Option<Placement>
where
    F: FnMut(&Arc<Runner>) -> (f64, Placement),
{
    let evaluated = candidates.iter().map(|runner| evaluate(runner));
    let best = evaluated.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_cost, placement)| placement)
}

/// Load of a decode runner: the requests of this node and the estimated requests of other nodes.
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

/// Returns the mean utilization of the decode runners. The utilization of a runner is the share of its
/// slots or of its KV cache that is in use, whichever is larger.
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

/// Query for a decode runner.
#[derive(Debug, Clone, Copy)]
pub struct DecodeQuery<'a> {
    /// Request to be placed.
    pub request: &'a PlacementRequest<'a>,
    /// Capacities of the service's runners.
    pub engine: &'a EngineLimits,
    /// Statistics of the service.
    pub stats: &'a ServiceStats,
    /// Whether a prefill runner reads the prompt, so that the decode runner does not have to.
    pub is_prefilled: bool,
}

/// Chooses the decode runner for a request; `None` if no runner is eligible.
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
    let candidates = eligible(views, runners, Some(Stage::Decode), excluded, now_us);
    cheapest(&candidates, |runner| {
        let view = view_of(views, &unknown, runner);
        let slots = engine.slots.max(1);
        let load = decode_load(view, stats, now_us);
        let active = load.requests;
        let kv_tokens = load.kv_tokens + request.kv_tokens as f64;
        let over_slots = (active + 1.0 - f64::from(slots)).max(0.0);
        let over_kv_tokens = kv_tokens - engine.kv_tokens as f64 * MAX_KV_SHARE;
        let over_kv = (over_kv_tokens / stats.kv_tokens.max(1.0)).max(0.0);
        let waiting = f64::from(view.other_nodes_waiting(now_us, QUEUE_STALE_US));
        let queue = over_slots.max(over_kv).max(waiting);
        // Slots become free one by one, at the rate at which the running requests end.
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
        let batch_us = (active + EMPTY_BATCH_REQUESTS) * BATCH_PENALTY_US * view.slowdown();
        let mut cost = wait_us + queued_us + read_us + batch_us;
        cost += view.failure_rate_at(now_us) * FAILURE_PENALTY_US;
        cost += request.zone_penalty_us(runner);
        if request.is_doubtful {
            cost = active;
        }
        let placement = Placement {
            runner: Arc::clone(runner),
            wait_us: wait_us + if is_prefilled { 0.0 } else { queued_us },
            read_us,
            read_tokens,
            fetches_from: None,
            nominal_us: 0.0,
        };
        (cost, placement)
    })
}

/// Assumed duration of a request at a plain service.
const PLAIN_REQUEST_US: f64 = 40_000.0;

/// Chooses the runner of a plain service for a request; `None` if no runner is eligible.
pub fn choose_plain(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    request: &PlacementRequest<'_>,
    excluded: &[Name],
    now_us: u64,
) -> Option<Placement> {
    let unknown = RunnerView::default();
    let candidates = eligible(views, runners, None, excluded, now_us);
    cheapest(&candidates, |runner| {
        let view = view_of(views, &unknown, runner);
        let slots = runner.slots.max(1);
        let active = view.other_nodes_requests(now_us) + f64::from(view.own_requests());
        let queue = (active + 1.0 - f64::from(slots)).max(0.0);
        let wait_us = queue * PLAIN_REQUEST_US / f64::from(slots);
        // A runner slows down as its slots fill up.
        let mut cost = wait_us + active / f64::from(slots) * PLAIN_REQUEST_US / 2.0;
        cost += view.failure_rate_at(now_us) * FAILURE_PENALTY_US;
        cost += request.zone_penalty_us(runner);
        let placement = Placement {
            runner: Arc::clone(runner),
            wait_us,
            read_us: 0.0,
            read_tokens: 0,
            fetches_from: None,
            nominal_us: 0.0,
        };
        (cost, placement)
    })
}
