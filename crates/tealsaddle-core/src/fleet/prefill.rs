//! Where a prompt is read.
//!
//! Reading is placed by prefix: the home of the last shared part of a prompt is taken to hold it. Any
//! other runner can fetch the KV cache of the shared parts from one that holds them, over a link on which
//! that takes a small part of the time to read them; the fetch and the queues of the candidates decide.
//! Where nobody is known to hold a part, reading it again competes with the home's queue. The busier the
//! pool, the later a part spills, since a copy evicts another part and a second read delays everything
//! behind it.

use std::sync::Arc;

use super::config::EngineLimits;
use super::load::RunnerView;
use super::placement::{
    FAILURE_PENALTY_US, Placement, PlacementRequest, RunnerViews, ServiceStats, cheapest, usable,
    view_of,
};
use super::rendezvous::rendezvous_weight;
use super::{PromptPart, Runner, Stage, prompt_tokens};
use crate::name::Name;

/// Time that a read takes besides its tokens.
const READ_OVERHEAD_US: f64 = 15_000.0;
/// Time that a fetch takes besides its bytes.
const FETCH_OVERHEAD_US: f64 = 5_000.0;
/// A fetch between zones takes this many times as long.
const FETCH_ZONE_FACTOR: f64 = 2.0;
/// Shorter shared parts are read again: the fetch would take about as long.
const MIN_FETCH_TOKENS: u64 = 500;

/// Preference for the home of a part, in time: a part that is fetched evicts another one.
const SPILL_PENALTY_US: f64 = 60_000.0;
/// What each request that waits at a reader, on average, adds to that preference, as a multiple of it.
const SPILL_PENALTY_PER_QUEUED: f64 = 4.0;

/// Reading a shared part again loads the whole pool, which the request itself does not feel; the time
/// counts this many times.
const REREAD_WEIGHT: f64 = 2.0;
/// Shared parts from this length on have few homes; a shorter one is read again sooner than it waits.
const HOMED_TOKENS: u64 = 2_000;
/// Runners that a long shared part may go to. The nodes rank them alike, so that a part that spills finds
/// the cache that other nodes have filled.
const MAX_HOMES: usize = 3;
/// What each request that waits at a reader, on average, adds to that weight: the busier the pool, the
/// more others a second read delays.
const REREAD_WEIGHT_PER_QUEUED: f64 = 3.0;

/// A prompt that has to be read.
#[derive(Debug, Clone, Copy)]
pub struct PrefillQuery<'a> {
    /// The request.
    pub request: &'a PlacementRequest<'a>,
    /// Limits of the runners.
    pub engine: &'a EngineLimits,
    /// Statistics of the service.
    pub stats: &'a ServiceStats,
}

impl PrefillQuery<'_> {
    /// Shared parts of the prompt: all but the last one, which is the request's own.
    fn shared(&self) -> &[PromptPart] {
        let parts = self.request.parts;
        &parts[..parts.len().saturating_sub(1)]
    }

    fn read_us(&self, tokens: u64) -> f64 {
        tokens as f64 * self.stats.read_us_per_token
    }

    fn fetch_us(&self, tokens: u64, from: &Runner, to: &Runner) -> f64 {
        let bits = tokens as f64 * self.engine.kv_bytes_per_token as f64 * 8.0;
        let mut took_us = bits / self.engine.link_mbps.max(1.0);
        if from.zone != to.zone {
            took_us *= FETCH_ZONE_FACTOR;
        }
        FETCH_OVERHEAD_US + took_us
    }
}

/// The prefill runner for a prompt.
pub fn choose_prefill(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    query: &PrefillQuery<'_>,
    excluded: &[Name],
    now_us: u64,
) -> Option<Placement> {
    let candidates = usable(views, runners, Some(Stage::Prefill), excluded, now_us);
    let choice = Choice::new(views, runners, query, candidates, now_us)?;
    cheapest(&choice.candidates, |runner| choice.weigh(runner))
}

/// A runner that is known to hold shared parts of the prompt.
#[derive(Debug)]
struct Holder<'a> {
    runner: &'a Arc<Runner>,
    tokens: u64,
}

/// What all candidates for a prompt are weighed by.
struct Choice<'a> {
    views: &'a RunnerViews,
    unknown: RunnerView,
    query: &'a PrefillQuery<'a>,
    /// The home comes first, then the homes to which it spills.
    candidates: Vec<&'a Arc<Runner>>,
    holders: Vec<Holder<'a>>,
    /// Requests that wait at a reader, on average.
    mean_queue: f64,
    now_us: u64,
}

impl<'a> Choice<'a> {
    fn new(
        views: &'a RunnerViews,
        runners: &'a [Arc<Runner>],
        query: &'a PrefillQuery<'a>,
        mut candidates: Vec<&'a Arc<Runner>>,
        now_us: u64,
    ) -> Option<Self> {
        let shared = query.shared();
        let home_part = shared.last().or(query.request.parts.last());
        let home_part = home_part.map_or(0, |part| part.id);
        candidates.sort_by_cached_key(|runner| {
            std::cmp::Reverse(rendezvous_weight(home_part, &runner.id))
        });
        if candidates.is_empty() {
            return None;
        }
        let holders = runners.iter().filter_map(|runner| {
            let view = views.get(&runner.id)?;
            let tokens = view.cached_parts.cached_tokens(shared);
            let is_source = tokens >= MIN_FETCH_TOKENS && !view.is_avoided(now_us);
            is_source.then_some(Holder { runner, tokens })
        });
        let mut choice = Self {
            views,
            unknown: RunnerView::default(),
            query,
            holders: holders.collect(),
            candidates,
            mean_queue: 0.0,
            now_us,
        };
        choice.mean_queue = choice.mean_queue();
        if prompt_tokens(shared) >= HOMED_TOKENS {
            choice.candidates.truncate(MAX_HOMES);
        }
        Some(choice)
    }

    fn view(&self, runner: &Runner) -> &RunnerView {
        view_of(self.views, &self.unknown, runner)
    }

    fn queue_us(&self, view: &RunnerView) -> f64 {
        let per_request_us = self.query.stats.read_us + READ_OVERHEAD_US;
        self.query.read_us(view.own_read_tokens())
            + view.other_nodes_requests(self.now_us) * per_request_us
    }

    /// The home is left out: one hot part may spill while the rest of the pool is idle.
    fn mean_queue(&self) -> f64 {
        let others = &self.candidates[1..];
        let queues = others.iter().map(|runner| {
            let view = self.view(runner);
            self.queue_us(view) * view.slowdown()
        });
        let mean_us = queues.sum::<f64>() / others.len().max(1) as f64;
        mean_us / (self.query.stats.read_us + READ_OVERHEAD_US)
    }

    fn is_home(&self, runner: &Runner) -> bool {
        self.candidates[0].id == runner.id
    }

    /// Shared tokens that the runner does not have to read or fetch.
    fn held_tokens(&self, runner: &Runner) -> u64 {
        let shared = self.query.shared();
        if self.is_home(runner) {
            prompt_tokens(shared)
        } else {
            self.view(runner).cached_parts.cached_tokens(shared)
        }
    }

    /// The runner that holds the most besides `runner`, if one is known.
    fn holder_besides(&self, runner: &Runner) -> Option<&Holder<'a>> {
        let others = self.holders.iter().filter(|h| h.runner.id != runner.id);
        others.max_by_key(|holder| (holder.tokens, self.is_home(holder.runner)))
    }

    /// A runner to fetch from in any case: what it does not hold costs nothing.
    fn home_besides(&self, runner: &Runner) -> Option<&Arc<Runner>> {
        let mut homes = self.candidates.iter().copied();
        homes.find(|home| home.id != runner.id)
    }

    fn weigh(&self, runner: &Arc<Runner>) -> (f64, Placement) {
        let query = self.query;
        let view = self.view(runner);
        let shared_tokens = prompt_tokens(query.shared());
        let mut cached_tokens = self.held_tokens(runner);
        let mut fetch_us = 0.0;
        let holder = self.holder_besides(runner);
        if let Some(holder) = holder
            && holder.tokens >= cached_tokens + MIN_FETCH_TOKENS
        {
            fetch_us = query.fetch_us(holder.tokens - cached_tokens, holder.runner, runner);
            cached_tokens = holder.tokens;
        }
        let source = holder.map(|holder| holder.runner);
        let source = source.or_else(|| self.home_besides(runner));
        let read_tokens = prompt_tokens(query.request.parts).saturating_sub(cached_tokens);
        let read_us = query.read_us(read_tokens);
        let queue_us = self.queue_us(view);
        let place = Placement {
            runner: Arc::clone(runner),
            wait_us: queue_us * view.slowdown() + fetch_us,
            read_us: read_us * view.slowdown(),
            read_tokens,
            fetches_from: source.cloned(),
            nominal_us: queue_us + fetch_us + read_us + READ_OVERHEAD_US,
        };
        let again_tokens = shared_tokens.saturating_sub(cached_tokens);
        let reread_weight = REREAD_WEIGHT + self.mean_queue * REREAD_WEIGHT_PER_QUEUED;
        let mut cost = place.wait_us + place.read_us;
        cost += query.read_us(again_tokens) * (reread_weight - 1.0);
        if !self.is_home(runner) {
            cost += SPILL_PENALTY_US * (1.0 + self.mean_queue * SPILL_PENALTY_PER_QUEUED);
        }
        cost += view.failure_rate_at(self.now_us) * FAILURE_PENALTY_US;
        cost += query.request.zone_penalty_us(runner);
        (cost, place)
    }
}
