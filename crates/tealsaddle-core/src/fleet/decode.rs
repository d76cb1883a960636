//! Choice of the runner that generates the output of a request.
//!
//! The decode runner is chosen before the prompt is read, so that no prompt is read for a request that no decode runner
//! can take. The cost of a runner includes the expected time to generate the answer, the more so the larger a part of the
//! time left that is: a long answer weighs the batch and the speed of a runner more than a short one, and so gets the
//! runners that generate faster.

use std::sync::Arc;

use super::config::EngineLimits;
use super::load::RunnerView;
use super::placement::{
    FAILURE_PENALTY_US, Placement, PlacementRequest, RunnerViews, ServiceStats, cheapest, eligible,
    view_of,
};
use super::{Runner, Stage, prompt_tokens};
use crate::name::Name;

/// Delay that a running request causes for the events of the other requests in its batch, while the times between events
/// are not known.
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
/// Longest time in which a decode runner reads a prompt that no prefill runner has to read: it delays the batch by a few
/// steps at most.
const SHORT_READ_US: f64 = 5_000.0;

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
    let unknown = RunnerView::default();
    let candidates = eligible(views, runners, Some(Stage::Decode), excluded, now_us);
    cheapest(&candidates, |runner| {
        query.evaluate(runner, view_of(views, &unknown, runner), now_us)
    })
}

/// Returns whether the decode runner `own` should read the prompt itself rather than wait until the prefill runner of
/// `prefill` has read it: if the prompt is short.
pub fn should_read_itself(own: &Placement, prefill: &Placement) -> bool {
    own.read_us <= SHORT_READ_US && own.wait_us + own.read_us < prefill.until_first_event_us()
}

impl DecodeQuery<'_> {
    /// Returns the cost of placing the request on `runner`, and the placement.
    fn evaluate(&self, runner: &Arc<Runner>, view: &RunnerView, now_us: u64) -> (f64, Placement) {
        let Self { request, stats, .. } = *self;
        let load = decode_load(view, stats, now_us);
        let active = load.requests;
        let wait_us = self.wait_us(&load, view, now_us);
        let read_tokens = if self.is_prefilled {
            0
        } else {
            prompt_tokens(request.parts) - view.cached_parts.cached_tokens(request.parts)
        };
        let read_us = |tokens: u64| tokens as f64 * stats.read_us_per_token * DECODE_READ_FACTOR;
        let queued_us = read_us(view.own_read_tokens());
        let read_us = read_us(read_tokens);
        let generation_us = stats
            .event_times
            .generation_us(request.output_tokens, active + 1.0)
            * view.slowdown();
        let batch_us = (active + EMPTY_BATCH_REQUESTS) * BATCH_PENALTY_US * view.slowdown();
        // An answer that takes a small part of the time left ends in time at any runner.
        let weight = (generation_us / request.left_us.max(1.0)).min(1.0);
        let mut cost = wait_us + queued_us + read_us + batch_us.max(generation_us * weight);
        cost += view.failure_rate_at(now_us) * FAILURE_PENALTY_US;
        cost += request.zone_penalty_us(runner);
        if request.is_doubtful {
            cost = active;
        }
        let wait_us = wait_us + if self.is_prefilled { 0.0 } else { queued_us };
        let placement = Placement {
            runner: Arc::clone(runner),
            wait_us,
            deferred_wait_us: wait_us,
            read_us,
            read_tokens,
            fetches_from: None,
            nominal_us: 0.0,
            generation_us,
        };
        (cost, placement)
    }

    /// Expected wait for a place in the runner's batch and in its KV cache.
    fn wait_us(&self, load: &DecodeLoad, view: &RunnerView, now_us: u64) -> f64 {
        let Self {
            request,
            engine,
            stats,
            ..
        } = *self;
        let slots = f64::from(engine.slots.max(1));
        let over_slots = (load.requests + 1.0 - slots).max(0.0);
        let kv_tokens = load.kv_tokens + request.kv_tokens as f64;
        let over_kv_tokens = kv_tokens - engine.kv_tokens as f64 * MAX_KV_SHARE;
        let over_kv = (over_kv_tokens / stats.kv_tokens.max(1.0)).max(0.0);
        let waiting = f64::from(view.other_nodes_waiting(now_us, QUEUE_STALE_US));
        let queue = over_slots.max(over_kv).max(waiting);
        // Places become free one by one, at the rate at which the running requests end.
        let running = (load.requests - queue).max(1.0);
        queue * stats.stream_us / running
    }
}
