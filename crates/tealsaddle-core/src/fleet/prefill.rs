//! Placement of prompts on prefill runners.
//!
//! Prompts are placed by prefix: the home of a prompt's last shared part, which is the runner that ranks
//! highest for it in [`rendezvous`](super::rendezvous), is assumed to have the shared parts in its KV
//! cache. Another runner can fetch the cache of these parts from a runner that has them, which takes a
//! small fraction of the time to read them. The choice among the candidates compares the time of the fetch
//! and the queues.
//!
//! If no runner is known to have a part, reading the part again at another runner is compared with the
//! queue of the home. The busier the pool, the higher the penalty for placing a prompt away from the home
//! (a spill), because a copy evicts another part and a second read delays all requests behind it.

use std::sync::Arc;

use super::config::EngineLimits;
use super::load::RunnerView;
use super::placement::{
    FAILURE_PENALTY_US, Placement, PlacementRequest, RunnerViews, ServiceStats, cheapest, eligible,
    view_of,
};
use super::rendezvous::rendezvous_weight;
use super::{PromptPart, Runner, Stage, prompt_tokens, shared_parts};
use crate::name::Name;

/// Fixed part of the time to read a prompt.
pub(super) const READ_OVERHEAD_US: f64 = 15_000.0;
/// Fixed part of the time to fetch a KV cache.
const FETCH_OVERHEAD_US: f64 = 5_000.0;
/// Factor on the transfer time of a fetch between zones.
const FETCH_ZONE_FACTOR: f64 = 2.0;
/// Smallest number of tokens to fetch. Reading fewer tokens takes about as long as a fetch.
const MIN_FETCH_TOKENS: u64 = 500;

/// Penalty of a runner other than the home: a fetched part evicts another one.
const SPILL_PENALTY_US: f64 = 60_000.0;
/// Increase of the spill penalty per queued request of the mean prefill queue, as a multiple of
/// [`SPILL_PENALTY_US`].
const SPILL_PENALTY_PER_QUEUED: f64 = 4.0;

/// Weight of the time to read a shared part again. The weight is above 1 because the read also delays
/// other requests of the pool.
const REREAD_WEIGHT: f64 = 2.0;
/// Length of the shared parts from which a prompt is placed only on its [`MAX_HOMES`] homes. Shorter parts
/// may go to any runner, since reading them again takes less time than waiting.
const MIN_HOMED_TOKENS: u64 = 2_000;
/// Number of runners on which a prompt with long shared parts may be placed. All nodes rank the runners in
/// the same order, so a part that spills finds the cache that other nodes have filled.
const MAX_HOMES: usize = 3;
/// Increase of [`REREAD_WEIGHT`] per queued request of the mean prefill queue: the busier the pool, the more
/// requests a second read delays.
const REREAD_WEIGHT_PER_QUEUED: f64 = 3.0;

/// Query for a prefill runner.
#[derive(Debug, Clone, Copy)]
pub struct PrefillQuery<'a> {
    /// Request whose prompt has to be read.
    pub request: &'a PlacementRequest<'a>,
    /// Capacities of the service's runners.
    pub engine: &'a EngineLimits,
    /// Statistics of the service.
    pub stats: &'a ServiceStats,
}

impl PrefillQuery<'_> {
    fn shared(&self) -> &[PromptPart] {
        shared_parts(self.request.parts)
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

/// Chooses the prefill runner for a prompt; `None` if no runner is eligible.
pub fn choose_prefill(
    views: &RunnerViews,
    runners: &[Arc<Runner>],
    query: &PrefillQuery<'_>,
    excluded: &[Name],
    now_us: u64,
) -> Option<Placement> {
    let candidates = eligible(views, runners, Some(Stage::Prefill), excluded, now_us);
    let evaluation = Evaluation::new(views, runners, query, candidates, now_us)?;
    cheapest(&evaluation.candidates, |runner| evaluation.evaluate(runner))
}

/// A runner whose cache is known to contain shared parts of the prompt.
#[derive(Debug)]
struct Holder<'a> {
    runner: &'a Arc<Runner>,
    cached_tokens: u64,
}

/// Data by which the candidates for a prompt are evaluated.
struct Evaluation<'a> {
    views: &'a RunnerViews,
    unknown: RunnerView,
    query: &'a PrefillQuery<'a>,
    /// Eligible runners in rendezvous order: the home comes first, then the runners to which it spills.
    candidates: Vec<&'a Arc<Runner>>,
    holders: Vec<Holder<'a>>,
    /// Share of this node's requests at the candidates that are deferred. Those of other nodes are taken to be deferred
    /// as often.
    deferred_share: f64,
    /// Mean number of queued requests at the candidates other than the home.
    mean_queue: f64,
    now_us: u64,
}

impl<'a> Evaluation<'a> {
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
            let cached_tokens = view.cached_parts.cached_tokens(shared);
            let is_source = cached_tokens >= MIN_FETCH_TOKENS && !view.is_avoided(now_us);
            is_source.then_some(Holder {
                runner,
                cached_tokens,
            })
        });
        let mut evaluation = Self {
            views,
            unknown: RunnerView::default(),
            query,
            holders: holders.collect(),
            candidates,
            deferred_share: 0.0,
            mean_queue: 0.0,
            now_us,
        };
        evaluation.deferred_share = evaluation.deferred_share();
        evaluation.mean_queue = evaluation.mean_queue();
        if prompt_tokens(shared) >= MIN_HOMED_TOKENS {
            evaluation.candidates.truncate(MAX_HOMES);
        }
        Some(evaluation)
    }

    fn view(&self, runner: &Runner) -> &RunnerView {
        view_of(self.views, &self.unknown, runner)
    }

    /// Returns the time to read the prompts at a runner that are not deferred.
    fn queue_us(&self, view: &RunnerView) -> f64 {
        let tokens = view.own_read_tokens() - view.own_deferred_read_tokens();
        self.query.read_us(tokens) + self.other_nodes_us(view) * (1.0 - self.deferred_share)
    }

    /// Returns the time to read all prompts at a runner.
    fn whole_queue_us(&self, view: &RunnerView) -> f64 {
        self.query.read_us(view.own_read_tokens()) + self.other_nodes_us(view)
    }

    fn other_nodes_us(&self, view: &RunnerView) -> f64 {
        let per_request_us = self.query.stats.read_us + READ_OVERHEAD_US;
        view.other_nodes_requests(self.now_us) * per_request_us
    }

    fn deferred_share(&self) -> f64 {
        let views = self.candidates.iter().map(|runner| self.view(runner));
        let (deferred, all) = views.fold((0, 0), |(deferred, all), view| {
            (
                deferred + view.own_deferred_requests(),
                all + view.own_requests(),
            )
        });
        f64::from(deferred) / f64::from(all.max(1))
    }

    /// Returns the mean number of queued requests at the candidates. The home is excluded, so that one hot
    /// part can spill while the rest of the pool is idle.
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

    /// Returns the number of shared tokens expected in the runner's cache. The home is assumed to have all
    /// of them.
    fn cached_tokens(&self, runner: &Runner) -> u64 {
        let shared = self.query.shared();
        if self.is_home(runner) {
            prompt_tokens(shared)
        } else {
            self.view(runner).cached_parts.cached_tokens(shared)
        }
    }

    /// Returns the runner other than `runner` that has the most shared tokens in its cache, if one is
    /// known.
    fn holder_other_than(&self, runner: &Runner) -> Option<&Holder<'a>> {
        let others = self.holders.iter().filter(|h| h.runner.id != runner.id);
        others.max_by_key(|holder| (holder.cached_tokens, self.is_home(holder.runner)))
    }

    /// Returns the highest-ranked candidate other than `runner`, as the source of a fetch when no holder is
    /// known. Asking a source for parts that it does not have adds no time.
    fn home_other_than(&self, runner: &Runner) -> Option<&Arc<Runner>> {
        let mut candidates = self.candidates.iter().copied();
        candidates.find(|candidate| candidate.id != runner.id)
    }

    /// Returns the cost of placing the prompt on `runner`, and the placement.
    fn evaluate(&self, runner: &Arc<Runner>) -> (f64, Placement) {
        let query = self.query;
        let view = self.view(runner);
        let shared_tokens = prompt_tokens(query.shared());
        let mut cached_tokens = self.cached_tokens(runner);
        let mut fetch_us = 0.0;
        let holder = self.holder_other_than(runner);
        if let Some(holder) = holder
            && holder.cached_tokens >= cached_tokens + MIN_FETCH_TOKENS
        {
            fetch_us = query.fetch_us(holder.cached_tokens - cached_tokens, holder.runner, runner);
            cached_tokens = holder.cached_tokens;
        }
        let source = holder.map(|holder| holder.runner);
        let source = source.or_else(|| self.home_other_than(runner));
        let read_tokens = prompt_tokens(query.request.parts).saturating_sub(cached_tokens);
        let read_us = query.read_us(read_tokens);
        let queue_us = self.queue_us(view);
        let placement = Placement {
            runner: Arc::clone(runner),
            wait_us: queue_us * view.slowdown() + fetch_us,
            deferred_wait_us: self.whole_queue_us(view) * view.slowdown() + fetch_us,
            read_us: read_us * view.slowdown(),
            read_tokens,
            fetches_from: source.cloned(),
            nominal_us: queue_us + fetch_us + read_us + READ_OVERHEAD_US,
            generation_us: 0.0,
        };
        let reread_tokens = shared_tokens.saturating_sub(cached_tokens);
        let reread_weight = REREAD_WEIGHT + self.mean_queue * REREAD_WEIGHT_PER_QUEUED;
        let mut cost = placement.wait_us + placement.read_us;
        cost += query.read_us(reread_tokens) * (reread_weight - 1.0);
        if !self.is_home(runner) {
            cost += SPILL_PENALTY_US * (1.0 + self.mean_queue * SPILL_PENALTY_PER_QUEUED);
        }
        cost += view.failure_rate_at(self.now_us) * FAILURE_PENALTY_US;
        cost += query.request.zone_penalty_us(runner);
        (cost, placement)
    }
}
