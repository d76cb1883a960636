//! Placement of requests on runners.
//!
//! The runner of a request is the one with the lowest expected cost, which includes a penalty for runners in other
//! zones than the node. This module has what the choices have in common, and the choice for plain services; the
//! prefill runner of a prompt is chosen by [`prefill`](super::prefill), the runner that generates the output by
//! [`decode`](super::decode).

use std::sync::Arc;

use super::generation::EventTimes;
use super::load::RunnerView;
use super::{PromptPart, Runner, Stage};
use crate::collections::HashMap;
use crate::name::Name;

/// Penalty of a runner that fails every request. The penalty is proportional to the failure rate.
pub(super) const FAILURE_PENALTY_US: f64 = 400_000.0;
/// Penalty of a runner in another zone than the node.
const ZONE_PENALTY_US: f64 = 2_000.0;
/// Penalty of a runner in another zone, per byte of the request. Links between zones are shared and have
/// less bandwidth than links within a zone.
const ZONE_PENALTY_US_PER_BYTE: f64 = 2.0;
/// Time from the end of reading to the first event, including the transfer of the KV cache.
pub(super) const HANDOVER_US: f64 = 25_000.0;

/// Running means of the requests and runners of a model service, learned from answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceStats {
    /// Time that a prefill runner takes to read a prompt token, in microseconds.
    pub read_us_per_token: f64,
    /// Mean time to read the uncached tokens of a prompt.
    pub read_us: f64,
    /// Mean duration of a request at its decode runner.
    pub stream_us: f64,
    /// Times between events.
    pub event_times: EventTimes,
    /// Mean number of tokens that a request occupies in the KV cache.
    pub kv_tokens: f64,
}

impl Default for ServiceStats {
    fn default() -> Self {
        Self {
            read_us_per_token: 25.0,
            read_us: 60_000.0,
            stream_us: 800_000.0,
            event_times: EventTimes::default(),
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
}

/// Properties of a request that determine its placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt, in order; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// Number of tokens that the request will occupy in the KV cache: prompt and output.
    pub kv_tokens: u64,
    /// Expected output, in tokens; 0 if it is not known or the service generates none.
    pub output_tokens: u64,
    /// Time until the deadline of the answer, in microseconds.
    pub left_us: f64,
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
    /// The same if the runner starts with it after all other requests, deferred ones too.
    pub deferred_wait_us: f64,
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
    /// Expected time to generate the output; 0 for prefill runners and plain services, and until it is known.
    pub generation_us: f64,
}

impl Placement {
    /// Returns the expected time until the first event if this runner reads the prompt and another one
    /// generates the output.
    pub fn until_first_event_us(&self) -> f64 {
        self.wait_us + self.read_us + HANDOVER_US
    }

    /// Returns the same time if the runner starts with the request after all others.
    pub fn until_deferred_first_event_us(&self) -> f64 {
        self.deferred_wait_us + self.read_us + HANDOVER_US
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
            deferred_wait_us: wait_us,
            read_us: 0.0,
            read_tokens: 0,
            fetches_from: None,
            nominal_us: 0.0,
            generation_us: 0.0,
        };
        (cost, placement)
    })
}
