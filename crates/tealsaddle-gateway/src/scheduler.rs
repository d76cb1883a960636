//! Selection of runners, with the load, durations and retry budgets that this node has observed.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::decode::{self, DecodeQuery};
use tealsaddle_core::fleet::generation::GeneratedStream;
use tealsaddle_core::fleet::load::{ReportedLoad, RunnerView, Work};
use tealsaddle_core::fleet::needs::{self, StageNeeds};
use tealsaddle_core::fleet::placement::{
    self, Placement, PlacementRequest, RunnerViews, ServiceStats,
};
use tealsaddle_core::fleet::prefill::{self, PrefillQuery};
use tealsaddle_core::fleet::sizing::demand::NodeLoad;
use tealsaddle_core::fleet::stage_load::{StageLoad, StreamNeed};
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, RetryBudget};

use crate::clock;
use crate::snapshot::FleetSnapshot;

/// Retry budget of a service, and how the nodes share it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Retries granted per request, as a ratio.
    pub share: f64,
    /// Retries granted per second regardless of the number of requests; all nodes together share them.
    pub floor_per_s: f64,
}

/// Number of nodes that is assumed while the actual number is not known.
pub const ASSUMED_NODES: u32 = 10;
/// Number of nodes of the largest fleet. While the actual number is not known, each node takes the part of a common limit
/// that would be its own there, as all nodes may be without that knowledge at the same time.
const LARGEST_FLEET: u32 = 360;

fn nodes_sharing(nodes: u32) -> f64 {
    f64::from(if nodes == 0 { ASSUMED_NODES } else { nodes })
}

/// The node's part of the retries that all nodes share.
fn share_of_floor_per_s(retry: RetryShare, nodes: u32) -> f64 {
    let nodes = if nodes == 0 { LARGEST_FLEET } else { nodes };
    retry.floor_per_s / f64::from(nodes)
}

/// Share of a runner's KV cache that is assumed to hold prompt parts beside running requests. It is divided
/// by the number of nodes, since the requests of the other nodes evict parts at the same rate.
const CACHE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct State {
    views: RunnerViews,
    service_stats: HashMap<Name, ServiceStats>,
    stage_loads: HashMap<Name, StageLoad>,
    budgets: HashMap<Name, RetryBudget>,
    /// What this node reports of its requests, by service.
    node_loads: HashMap<Name, NodeLoad>,
    nodes: u32,
}

impl State {
    /// Statistics of the service to which all the runners belong.
    fn stats_of(&self, runners: &[Arc<Runner>]) -> ServiceStats {
        let service = runners.first().map(|runner| &runner.service);
        let service_stats = service.and_then(|service| self.service_stats.get(service));
        service_stats.copied().unwrap_or_default()
    }

    /// Requests of all nodes at a runner, as far as this node knows.
    fn batch_of(&self, runner: &str, now_us: u64) -> f64 {
        let view = self.views.get(runner);
        view.map_or(0.0, |view| {
            f64::from(view.own_requests()) + view.other_nodes_requests(now_us)
        })
    }
}

/// Chooses runners for requests, from what this node has observed of them beyond their registrations.
#[derive(Debug)]
pub struct Scheduler {
    state: Mutex<State>,
    retry: Mutex<RetryShare>,
}

/// One attempt of a request at a runner. It counts towards the runner's load until it is dropped.
#[derive(Debug)]
pub struct RunnerAttempt {
    scheduler: Arc<Scheduler>,
    runner: Name,
    service: Name,
    stage: Option<Stage>,
    work: Work,
    /// Tokens with which the attempt counts in what this node reports.
    kv_tokens: u64,
    started_us: u64,
    /// Requests at the runner at the start, with this one.
    batch: f64,
    /// Whether this node had no other prompt in prefill at the runner at the start.
    is_only_prefill: bool,
}

impl Scheduler {
    /// Creates a scheduler without observations.
    pub fn open(retry: RetryShare) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            retry: Mutex::new(retry),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn retry(&self) -> RetryShare {
        *self.retry.lock().expect("no holder of the lock panics")
    }

    /// Changes the retry budget. Budgets of services that have had requests take the new `floor_per_s` with
    /// the next snapshot and keep their `share`; later budgets take both values.
    pub fn set_retry(&self, retry: RetryShare) {
        *self.retry.lock().expect("no holder of the lock panics") = retry;
    }

    /// Chooses the prefill runner for a prompt; `None` if the decode runner has to read it.
    pub fn choose_prefill_runner(
        &self,
        runners: &[Arc<Runner>],
        request: &PlacementRequest<'_>,
        engine: &EngineLimits,
        excluded: &[Name],
    ) -> Option<Placement> {
        let state = self.state();
        let query = PrefillQuery {
            request,
            engine,
            stats: &state.stats_of(runners),
        };
        prefill::choose_prefill(&state.views, runners, &query, excluded, clock::now_us())
    }

    /// Chooses the decode runner for a request; `None` if no runner accepts requests.
    pub fn choose_decode_runner(
        &self,
        runners: &[Arc<Runner>],
        request: &PlacementRequest<'_>,
        engine: &EngineLimits,
        is_prefilled: bool,
        excluded: &[Name],
    ) -> Option<Placement> {
        let state = self.state();
        let query = DecodeQuery {
            request,
            engine,
            stats: &state.stats_of(runners),
            is_prefilled,
        };
        decode::choose_decode(&state.views, runners, &query, excluded, clock::now_us())
    }

    /// What the stages of a model service need; `None` if this node has placed no requests lately.
    pub fn stage_needs(
        &self,
        runners: &[Arc<Runner>],
        engine: &EngineLimits,
    ) -> Option<StageNeeds> {
        let now_us = clock::now_us();
        let state = self.state();
        let service = &runners.first()?.service;
        let load = state.stage_loads.get(service)?;
        let service_stats = state.service_stats.get(service)?;
        let batch = needs::mean_batch(&state.views, runners, now_us)?;
        StageNeeds::observed(load, service_stats, engine, batch, now_us)
    }

    /// Records the end of a request: whether it was refused for lack of capacity, and whether it was late.
    pub fn on_request_end(&self, service: &Name, is_refused: bool, is_late: bool) {
        let mut state = self.state();
        let node_load = state.node_loads.entry(Name::clone(service)).or_default();
        node_load.on_request_end(is_refused, is_late);
    }

    /// What this node reports of its requests to a service. `engine` is that of a model service.
    pub fn node_load(
        &self,
        service: &str,
        runners: &[Arc<Runner>],
        engine: Option<&EngineLimits>,
    ) -> NodeLoad {
        let node_load = self.state().node_loads.get(service).copied();
        let needs = engine.and_then(|engine| self.stage_needs(runners, engine));
        NodeLoad {
            prefill_ratio: needs.map(|needs| needs.prefill_ratio()),
            decode_ratio: needs.map(|needs| needs.decode_ratio()),
            ..node_load.unwrap_or_default()
        }
    }

    /// Requests of all nodes at a runner, as far as this node knows.
    pub fn requests_at(&self, runner: &Runner) -> f64 {
        self.state().batch_of(&runner.id, clock::now_us())
    }

    /// Expected time to generate an output at one of the runners of a service, in microseconds; 0 until it is known.
    pub fn generation_us(&self, runners: &[Arc<Runner>], output_tokens: u64) -> f64 {
        let state = self.state();
        let batch = needs::mean_batch(&state.views, runners, clock::now_us()).unwrap_or(0.0);
        let times = state.stats_of(runners).event_times;
        times.generation_us(output_tokens, batch)
    }

    /// Time that a prefill runner of a service takes to read a prompt token, in microseconds.
    pub fn read_us_per_token(&self, service: &Name) -> f64 {
        let state = self.state();
        let service_stats = state.service_stats.get(service).copied();
        service_stats.unwrap_or_default().read_us_per_token
    }

    /// Records what a stream needs that has been placed: the expected output, and the time from its first event to its
    /// deadline.
    pub fn on_stream_placed(&self, service: &Name, output_tokens: u64, allowed: Duration) {
        let mut state = self.state();
        let service_stats = state.service_stats.get(service);
        let events = service_stats.map_or(0.0, |service_stats| {
            service_stats.event_times.events_of(output_tokens as f64)
        });
        let load = state.stage_loads.entry(Name::clone(service)).or_default();
        let need = StreamNeed {
            events,
            allowed_us: allowed.as_micros() as f64,
        };
        load.demand.push(need, clock::now_us());
    }

    /// Records the objective of a request of a model service, for the time to its first event.
    pub fn on_objective(&self, service: &Name, objective: Duration) {
        let mut state = self.state();
        let load = state.stage_loads.entry(Name::clone(service)).or_default();
        load.objective_us
            .push(objective.as_micros() as f64, clock::now_us());
    }

    /// Chooses the runner of a plain service for a request; `None` if no runner accepts requests.
    pub fn choose_plain_runner(
        &self,
        runners: &[Arc<Runner>],
        request: &PlacementRequest<'_>,
        excluded: &[Name],
    ) -> Option<Placement> {
        let state = self.state();
        placement::choose_plain(&state.views, runners, request, excluded, clock::now_us())
    }

    /// Begins an attempt at a runner, which counts towards the runner's load.
    pub fn begin_attempt(self: &Arc<Self>, runner: &Runner, work: Work) -> RunnerAttempt {
        let mut state = self.state();
        let service_stats = state
            .service_stats
            .entry(Name::clone(&runner.service))
            .or_default();
        service_stats.on_placed(work.read_tokens, work.kv_tokens);
        let read_us = work.read_tokens as f64 * service_stats.read_us_per_token;
        let node_load = state.node_loads.entry(Name::clone(&runner.service));
        node_load
            .or_default()
            .on_attempt(runner.stage, work, read_us as u64);
        let view = state.views.entry(Name::clone(&runner.id)).or_default();
        view.on_process_start(runner.started_unix_ms);
        let is_only_prefill = view.own_read_tokens() == 0;
        view.on_request_start(work);
        let now_us = clock::now_us();
        RunnerAttempt {
            scheduler: Arc::clone(self),
            runner: Name::clone(&runner.id),
            service: Name::clone(&runner.service),
            stage: runner.stage,
            work,
            kv_tokens: work.kv_tokens,
            started_us: now_us,
            batch: state.batch_of(&runner.id, now_us),
            is_only_prefill,
        }
    }

    /// Counts the first attempt of a request, which adds to the retry budget of its service.
    pub fn on_request(&self, service: &Name) {
        let now_us = clock::now_us();
        self.with_budget(service, |budget| budget.on_first_attempt(now_us));
    }

    /// Whether a runner has answered this node within `window`.
    pub fn has_answered_within(&self, runner: &str, window: Duration) -> bool {
        let since_us = clock::now_us().saturating_sub(window.as_micros() as u64);
        let state = self.state();
        let view = state.views.get(runner);
        view.is_some_and(|view| view.has_answered_since(since_us))
    }

    /// Records that a runner is silent. Before the start of an answer it counts as unreachable, afterwards as
    /// failing.
    pub fn on_silent_runner(&self, runner: &str, has_begun: bool) {
        let now_us = clock::now_us();
        if let Some(view) = self.state().views.get_mut(runner) {
            if has_begun {
                view.on_failure(now_us);
            } else {
                view.on_unreachable(now_us);
            }
        }
    }

    /// Takes one retry out of the service's retry budget. Returns `false` if none is left.
    pub fn try_consume_retry(&self, service: &Name) -> bool {
        let now_us = clock::now_us();
        self.with_budget(service, |budget| budget.try_consume(now_us))
    }

    fn with_budget<F, T>(&self, service: &Name, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let retry = self.retry();
        let mut state = self.state();
        let floor_per_s = share_of_floor_per_s(retry, state.nodes);
        let budget = state
            .budgets
            .entry(Name::clone(service))
            .or_insert_with(|| RetryBudget::new(retry.share, floor_per_s));
        act(budget)
    }

    /// Applies a new snapshot of the fleet: drops runners that are no longer registered, and divides the
    /// retry budget by the number of nodes.
    pub fn on_snapshot(&self, snapshot: &FleetSnapshot) {
        let floor_per_s = share_of_floor_per_s(self.retry(), snapshot.nodes);
        let mut state = self.state();
        state.nodes = snapshot.nodes;
        let registered = snapshot.runners.values().flatten();
        let registered: HashMap<&Name, u64> =
            registered.map(|r| (&r.id, r.started_unix_ms)).collect();
        state.views.retain(|id, view| {
            let started_unix_ms = registered.get(id);
            if let Some(started_unix_ms) = started_unix_ms {
                view.on_process_start(*started_unix_ms);
            }
            started_unix_ms.is_some() || view.own_requests() > 0
        });
        for budget in state.budgets.values_mut() {
            budget.set_floor_per_s(floor_per_s);
        }
    }
}

impl RunnerAttempt {
    /// Id of the runner.
    pub const fn runner(&self) -> &Name {
        &self.runner
    }

    /// Time since the attempt began, in microseconds.
    pub fn elapsed_us(&self) -> u64 {
        clock::now_us().saturating_sub(self.started_us)
    }

    /// Records that the runner has read the prompt. `capacity_tokens` is the size of its whole KV cache.
    pub fn on_prefill_end(&mut self, parts: &[PromptPart], capacity_tokens: u64) {
        let took_us = self.elapsed_us();
        let work = self.work;
        self.work.read_tokens = 0;
        let mut state = self.scheduler.state();
        let nodes = nodes_sharing(state.nodes);
        if self.is_only_prefill && work.read_tokens > 0 && !work.is_deferred {
            let service_stats = state
                .service_stats
                .entry(Name::clone(&self.service))
                .or_default();
            service_stats.on_read(work.read_tokens, took_us);
        }
        if let Some(view) = state.views.get_mut(&self.runner) {
            view.on_read(work);
            let capacity = capacity_tokens as f64 * CACHE_SHARE / nodes;
            view.cached_parts.on_read(parts, capacity as u64);
        }
    }

    /// Records the end of a complete stream of `events` events; `events_time` is the time from the first to the last, and
    /// `remaining` the time that is left until its deadline.
    pub fn on_stream_end(
        &self,
        expected_tokens: u64,
        events: u64,
        events_time: Duration,
        remaining: Duration,
    ) {
        let took_us = self.elapsed_us();
        self.record_need(events, events_time + remaining);
        let mut state = self.scheduler.state();
        let batch_now = state.batch_of(&self.runner, clock::now_us());
        let stream = GeneratedStream {
            expected_tokens,
            events,
            events_us: events_time.as_micros() as u64,
            batch: f64::midpoint(self.batch, batch_now),
        };
        let service_stats = state
            .service_stats
            .entry(Name::clone(&self.service))
            .or_default();
        let times = service_stats.event_times;
        service_stats.on_stream(took_us);
        service_stats.event_times.on_stream(&stream);
        let gaps = events.saturating_sub(1) as f64;
        let expected_us = times.us_per_event(stream.batch).unwrap_or(0.0) * gaps;
        if expected_us > 0.0
            && let Some(view) = state.views.get_mut(&self.runner)
        {
            view.on_duration(stream.events_us as f64, expected_us);
        }
    }

    /// Records a stream whose deadline has passed after `events` events; `events_time` is the time since the first.
    pub fn on_stream_overdue(&self, events: u64, events_time: Duration) {
        self.record_need(events, events_time);
    }

    fn record_need(&self, events: u64, allowed: Duration) {
        let mut state = self.scheduler.state();
        let load = state.stage_loads.entry(Name::clone(&self.service));
        let need = StreamNeed {
            events: events as f64,
            allowed_us: allowed.as_micros() as f64,
        };
        load.or_default().demand.push(need, clock::now_us());
    }

    /// Records the duration of a prefill, to be compared with the one expected of a runner of average speed. That of a
    /// deferred one depends on the requests after it and is left out.
    pub fn on_prefill_time(&self, expected_us: f64) {
        if self.work.is_deferred {
            return;
        }
        let took_us = self.elapsed_us() as f64;
        self.with_view(|view| view.on_duration(took_us, expected_us));
    }

    /// Records the load that the runner reported with an answer.
    pub fn on_load(&self, load: ReportedLoad) {
        let now_us = clock::now_us();
        self.with_view(|view| view.on_report(load, now_us));
        let mut state = self.scheduler.state();
        let stage_load = state.stage_loads.entry(Name::clone(&self.service));
        if self.stage == Some(Stage::Prefill) {
            stage_load.or_default().on_reads(load, now_us);
        }
    }

    /// Records the outcome of the attempt; `is_failure_status` marks an answer with a server error.
    pub fn on_outcome(&self, outcome: AttemptOutcome, is_failure_status: bool) {
        let now_us = clock::now_us();
        self.with_view(|view| match outcome {
            AttemptOutcome::Answered if is_failure_status => view.on_failure(now_us),
            AttemptOutcome::Answered => view.on_success(now_us),
            AttemptOutcome::NotRun(NotRunReason::TargetRefused) => view.on_refused(now_us),
            AttemptOutcome::NotRun(NotRunReason::Withheld | NotRunReason::RetryBudget) => {}
            AttemptOutcome::NotRun(_) => view.on_unreachable(now_us),
            AttemptOutcome::Unknown(_) => view.on_failure(now_us),
        });
    }

    fn with_view<F>(&self, act: F)
    where
        F: FnOnce(&mut RunnerView),
    {
        if let Some(view) = self.scheduler.state().views.get_mut(&self.runner) {
            act(view);
        }
    }
}

impl Drop for RunnerAttempt {
    fn drop(&mut self) {
        let work = self.work;
        self.with_view(|view| view.on_request_end(work));
        let took_us = self.elapsed_us();
        if let Some(node_load) = self.scheduler.state().node_loads.get_mut(&self.service) {
            node_load.on_attempt_end(self.stage, self.kv_tokens, took_us);
        }
    }
}
