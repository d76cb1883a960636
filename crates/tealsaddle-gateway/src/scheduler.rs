//! Load, pace and retry budgets as one node sees them, shared by all requests.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::fleet::load::{ReportedLoad, RunnerView, Work};
use tealsaddle_core::fleet::place::{self, Ask, Pace, Place, Views};
use tealsaddle_core::fleet::reading::{self, ReadQuery};
use tealsaddle_core::fleet::{PromptPart, Runner};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, NotRunReason, RetryBudget};

use crate::clock;
use crate::snapshot::FleetSnapshot;

/// How the nodes share the retry budget of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShare {
    /// Retries granted per request.
    pub share: f64,
    /// Retries granted in a second to all nodes together, however few requests there are.
    pub floor_per_s: f64,
}

/// Nodes that are taken to share the budget while their number is not known.
pub const UNKNOWN_NODES: u32 = 10;

fn nodes_sharing(nodes: u32) -> f64 {
    f64::from(if nodes == 0 { UNKNOWN_NODES } else { nodes })
}

/// Share of a runner's KV cache that is taken to hold prompt parts when it also runs requests. The nodes
/// divide it: what the others send evicts as much for each request of this node.
const CACHE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct State {
    views: Views,
    paces: HashMap<Name, Pace>,
    budgets: HashMap<Name, RetryBudget>,
    nodes: u32,
}

impl State {
    /// Pace of the service to which all the runners belong.
    fn pace_of(&self, runners: &[Arc<Runner>]) -> Pace {
        let service = runners.first().map(|runner| &runner.service);
        let pace = service.and_then(|service| self.paces.get(service));
        pace.copied().unwrap_or_default()
    }
}

/// What this node knows of the runners beyond their registrations.
#[derive(Debug)]
pub struct Scheduler {
    state: Mutex<State>,
    retry: Mutex<RetryShare>,
}

/// A request at a runner; it counts there until this is dropped.
#[derive(Debug)]
pub struct RunnerAttempt {
    scheduler: Arc<Scheduler>,
    runner: Name,
    service: Name,
    work: Work,
    started_us: u64,
    is_alone: bool,
}

impl Scheduler {
    /// Opens an empty scheduler.
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

    /// Changes how the nodes share the budget; it holds from the next publication on.
    pub fn set_retry(&self, retry: RetryShare) {
        *self.retry.lock().expect("no holder of the lock panics") = retry;
    }

    /// The prefill runner for a prompt.
    pub fn choose_prefill_runner(
        &self,
        runners: &[Arc<Runner>],
        ask: &Ask<'_>,
        engine: &EngineLimits,
        excluded: &[Name],
    ) -> Option<Place> {
        let state = self.state();
        let query = ReadQuery {
            ask,
            engine,
            pace: &state.pace_of(runners),
        };
        reading::reader(&state.views, runners, &query, excluded, clock::now_us())
    }

    /// The decode runner for a request.
    pub fn choose_decode_runner(
        &self,
        runners: &[Arc<Runner>],
        ask: &Ask<'_>,
        engine: &EngineLimits,
        has_read: bool,
        excluded: &[Name],
    ) -> Option<Place> {
        let state = self.state();
        let query = place::DecodeQuery {
            ask,
            engine,
            pace: &state.pace_of(runners),
            has_read,
        };
        place::decoder(&state.views, runners, &query, excluded, clock::now_us())
    }

    /// Share of the decode runners of a service that is in use.
    pub fn decode_share(&self, runners: &[Arc<Runner>], engine: &EngineLimits) -> f64 {
        let state = self.state();
        let pace = state.pace_of(runners);
        place::decode_share(&state.views, runners, engine, &pace, clock::now_us())
    }

    /// Expected time from the first event to the end of a stream.
    pub fn generation_us(&self, service: &Name, output_tokens: u64) -> f64 {
        let pace = self.state().paces.get(service).copied();
        pace.unwrap_or_default().generation_us(output_tokens)
    }

    /// The runner of a plain service for a request.
    pub fn choose_plain_runner(
        &self,
        runners: &[Arc<Runner>],
        ask: &Ask<'_>,
        excluded: &[Name],
    ) -> Option<Place> {
        let state = self.state();
        place::plain(&state.views, runners, ask, excluded, clock::now_us())
    }

    /// Counts a request at a runner.
    pub fn begin_attempt(self: &Arc<Self>, runner: &Runner, work: Work) -> RunnerAttempt {
        let mut state = self.state();
        let pace = state.paces.entry(Name::clone(&runner.service)).or_default();
        if work.read_tokens > 0 {
            pace.on_placed(work.read_tokens, work.kv_tokens);
        }
        let view = state.views.entry(Name::clone(&runner.id)).or_default();
        view.on_born(runner.born_unix_ms);
        let is_alone = view.own_read_tokens() == 0;
        view.on_enter(work);
        RunnerAttempt {
            scheduler: Arc::clone(self),
            runner: Name::clone(&runner.id),
            service: Name::clone(&runner.service),
            work,
            started_us: clock::now_us(),
            is_alone,
        }
    }

    /// Counts the first attempt of a request in the budget of its service.
    pub fn on_request(&self, service: &Name) {
        let now_us = clock::now_us();
        self.with_budget(service, |budget| budget.on_attempt(now_us));
    }

    /// Counts a failed attempt and decides whether another one may follow.
    pub fn on_failure(
        &self,
        service: &Name,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
    ) -> Result<(), GiveUp> {
        let now_us = clock::now_us();
        self.with_budget(service, |budget| {
            attempts.on_failure(outcome, budget, now_us)
        })
    }

    /// Takes one send beyond the first of a request out of the budget.
    pub fn may_resend(&self, service: &Name) -> bool {
        let now_us = clock::now_us();
        self.with_budget(service, |budget| budget.may_retry(now_us))
    }

    fn with_budget<F, T>(&self, service: &Name, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let retry = self.retry();
        let mut state = self.state();
        let floor_per_s = retry.floor_per_s / nodes_sharing(state.nodes);
        let budget = state
            .budgets
            .entry(Name::clone(service))
            .or_insert_with(|| RetryBudget::new(retry.share, floor_per_s));
        act(budget)
    }

    /// Follows a change of the fleet: forgets runners that are gone and shares the budget anew.
    pub fn on_snapshot(&self, snapshot: &FleetSnapshot) {
        let floor_per_s = self.retry().floor_per_s / nodes_sharing(snapshot.nodes);
        let mut state = self.state();
        state.nodes = snapshot.nodes;
        let known = snapshot.runners.values().flatten();
        let known: HashMap<&Name, u64> = known.map(|r| (&r.id, r.born_unix_ms)).collect();
        state.views.retain(|id, view| {
            let born_unix_ms = known.get(id);
            if let Some(born_unix_ms) = born_unix_ms {
                view.on_born(*born_unix_ms);
            }
            born_unix_ms.is_some() || view.own_requests() > 0
        });
        for budget in state.budgets.values_mut() {
            budget.set_floor_per_s(floor_per_s);
        }
    }
}

impl RunnerAttempt {
    /// The runner.
    pub const fn runner(&self) -> &Name {
        &self.runner
    }

    /// Time since the request was sent.
    pub fn elapsed_us(&self) -> u64 {
        clock::now_us().saturating_sub(self.started_us)
    }

    /// Notes that the runner has read the prompt.
    pub fn on_prefill_end(&mut self, parts: &[PromptPart], capacity_tokens: u64) {
        let took_us = self.elapsed_us();
        let read_tokens = std::mem::take(&mut self.work.read_tokens);
        let mut state = self.scheduler.state();
        let nodes = nodes_sharing(state.nodes);
        if self.is_alone && read_tokens > 0 {
            let pace = state.paces.entry(Name::clone(&self.service)).or_default();
            pace.on_read(read_tokens, took_us);
        }
        if let Some(view) = state.views.get_mut(&self.runner) {
            view.on_read(read_tokens);
            let capacity = capacity_tokens as f64 * CACHE_SHARE / nodes;
            view.held.on_read(parts, capacity as u64);
        }
    }

    /// Notes that a stream ended as a whole; its events came within `events_time`.
    pub fn on_stream_end(&self, output_tokens: u64, events_time: Duration) {
        let took_us = self.elapsed_us();
        let mut state = self.scheduler.state();
        let pace = state.paces.entry(Name::clone(&self.service)).or_default();
        let expected_us = pace.stream_us;
        pace.on_stream(took_us);
        pace.on_generated(output_tokens, events_time.as_micros() as u64);
        if let Some(view) = state.views.get_mut(&self.runner) {
            view.on_time(took_us as f64, expected_us);
        }
    }

    /// Notes the time that a read took beside the time that was expected of a runner as fast as the
    /// pool.
    pub fn on_prefill_time(&self, expected_us: f64) {
        let took_us = self.elapsed_us() as f64;
        self.with_view(|view| view.on_time(took_us, expected_us));
    }

    /// Takes the load that an answer tells.
    pub fn on_load(&self, load: ReportedLoad) {
        self.with_view(|view| view.on_report(load, clock::now_us()));
    }

    /// Takes the outcome of the attempt at this runner.
    pub fn on_outcome(&self, outcome: AttemptOutcome, is_failure_status: bool) {
        let now_us = clock::now_us();
        self.with_view(|view| match outcome {
            AttemptOutcome::Answered if is_failure_status => view.on_failure(now_us),
            AttemptOutcome::Answered => view.on_success(now_us),
            AttemptOutcome::NotRun(NotRunReason::TargetRefused) => view.on_refused(now_us),
            AttemptOutcome::NotRun(_) => view.on_silence(now_us),
            AttemptOutcome::Unknown(_) => view.on_failure(now_us),
        });
    }

    /// Whether the runner has answered this node within `window`.
    pub fn has_answered_within(&self, window: Duration) -> bool {
        let since_us = clock::now_us().saturating_sub(window.as_micros() as u64);
        let state = self.scheduler.state();
        let view = state.views.get(&self.runner);
        view.is_some_and(|view| view.has_answered_since(since_us))
    }

    /// Notes that the runner has been silent for longer than it should need.
    pub fn on_silence(&self) {
        let now_us = clock::now_us();
        self.with_view(|view| view.on_silence(now_us));
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
        self.with_view(|view| view.on_leave(work));
    }
}
