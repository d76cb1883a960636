//! The engines and the control of one zone.

use std::sync::Arc;

use tealsaddle_core::admission::Admission;
use tealsaddle_core::collections::HashSet;
use tealsaddle_core::inventory::{self, Role};
use tealsaddle_core::load::EngineLoad;
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{Demand, EngineView, Planner, PoolView};
use tealsaddle_core::route::{Candidate, ZoneCapacity, step_us};

use super::measure::Outcome;
use super::scenario::{Deployment, US_PER_S};
use crate::engine::sim::{BLOCK_TOKENS, Engine, Order, OrderKind};

/// A role change in progress, starting with the drain.
#[derive(Debug)]
pub(super) struct RoleChange {
    to: Role,
    started_us: u64,
    /// Time at which the order was sent; `None` during the drain.
    pub(super) ordered_us: Option<u64>,
}

/// An engine with the state that its zone keeps about it.
#[derive(Debug)]
pub(super) struct EngineSlot {
    pub(super) sim: Engine,
    pub(super) engine: Arc<inventory::Engine>,
    pub(super) load: EngineLoad,
    /// Number of attempts of this zone on the engine, and of its reservations for decoding after a
    /// prefill on another engine.
    pub(super) in_flight: u32,
    idle_since_us: u64,
    role: Role,
    /// Time of the last completed role change; `None` before the first.
    role_since_us: Option<u64>,
    pub(super) role_change: Option<RoleChange>,
    pub(super) is_up: bool,
    pub(super) is_withdrawn: bool,
    cached_blocks: HashSet<u64>,
    cache_sequence: u64,
    /// Time of the earliest scheduled wakeup for the engine.
    pub(super) wake_us: Option<u64>,
}

impl EngineSlot {
    pub(super) fn new(sim: Engine, engine: Arc<inventory::Engine>) -> Self {
        Self {
            sim,
            role: engine.initial_role,
            engine,
            load: EngineLoad::default(),
            in_flight: 0,
            idle_since_us: 0,
            role_since_us: None,
            role_change: None,
            is_up: true,
            is_withdrawn: false,
            cached_blocks: HashSet::default(),
            cache_sequence: 0,
            wake_us: None,
        }
    }

    pub(super) const fn release_in_flight(&mut self, now_us: u64) {
        self.in_flight -= 1;
        if self.in_flight == 0 {
            self.idle_since_us = now_us;
        }
    }

    const fn accepts_work(&self) -> bool {
        self.is_up && !self.is_withdrawn && self.role_change.is_none()
    }

    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let hits = blocks
            .iter()
            .take_while(|block| self.cached_blocks.contains(block));
        hits.count() as u64 * BLOCK_TOKENS
    }

    /// Reads the load report and, if `with_cache` is set, the cache events.
    fn poll(&mut self, with_cache: bool, now_us: u64) {
        let Some(report) = self.sim.load_report(now_us) else {
            self.is_up = false;
            return;
        };
        self.load.on_report(report);
        if !with_cache {
            return;
        }
        for event in self.sim.cache_events(self.cache_sequence, now_us) {
            self.cache_sequence = event.sequence;
            if event.is_stored {
                self.cached_blocks.insert(event.block);
            } else {
                self.cached_blocks.remove(&event.block);
            }
        }
    }

    /// Advances a role change; the order is sent once a report confirms that the engine is drained.
    fn advance_role_change(
        &mut self,
        can_order: bool,
        now_us: u64,
        outcome: &mut Outcome,
        dwell_us: u64,
    ) {
        let Some(state) = self.sim.state() else {
            return;
        };
        let was_down = !self.is_up;
        self.is_up = true;
        let Some(role_change) = &mut self.role_change else {
            if was_down {
                self.cached_blocks.clear();
                self.role = state.role;
            }
            return;
        };
        if state.is_changing {
            return;
        }
        let to = role_change.to;
        if role_change.ordered_us.is_some() && state.role == to {
            outcome.role_changes += 1;
            outcome.role_change_lost_us += now_us - role_change.started_us;
            let since = self.role_since_us;
            if since.is_some_and(|since| role_change.started_us < since + dwell_us) {
                outcome.dwell_breaches += 1;
            }
            self.role = to;
            self.role_since_us = Some(now_us);
            self.role_change = None;
            self.cached_blocks.clear();
            return;
        }
        if !can_order {
            // A change can be cancelled until its order is sent; afterwards it has to be completed.
            if role_change.ordered_us.is_none() {
                outcome.role_change_lost_us += now_us - role_change.started_us;
                self.role_change = None;
            }
            return;
        }
        let is_idle = self.load.report().is_some_and(|report| {
            report.sampled_at_us >= self.idle_since_us.max(role_change.started_us)
                && report.running + report.waiting == 0
        });
        if self.in_flight == 0 && is_idle {
            let order = Order {
                order_id: format!("{}-{}", self.engine.name, role_change.started_us),
                fence: 1,
                kind: OrderKind::Role(to),
            };
            // An engine that crashed in the meantime receives the order again in the next round.
            if let Ok((_, cut_off)) = self.sim.order(order, now_us) {
                assert!(
                    cut_off.is_empty(),
                    "an order was sent before the drain was over"
                );
                role_change.ordered_us = Some(now_us);
            }
        }
    }
}

/// One zone with its engines, admission control and planner.
#[derive(Debug)]
pub(super) struct Zone {
    pub(super) engines: Vec<EngineSlot>,
    pub(super) admission: Admission,
    planner: Box<dyn Planner>,
    pub(super) other_zones: Vec<ZoneCapacity>,
    pub(super) is_cut_off: bool,
    polls: u64,
    /// Requests and tokens since the last round of the planner, not yet divided by the time.
    demand: Demand,
}

impl Zone {
    pub(super) fn new(
        engines: Vec<EngineSlot>,
        admission: Admission,
        planner: Box<dyn Planner>,
    ) -> Self {
        Self {
            engines,
            admission,
            planner,
            other_zones: Vec::new(),
            is_cut_off: false,
            polls: 0,
            demand: Demand::default(),
        }
    }

    pub(super) fn candidates(&self, blocks: &[u64], now_us: u64) -> Vec<Candidate> {
        let open = self.engines.iter().filter(|slot| slot.accepts_work());
        open.map(|slot| Candidate {
            engine: Arc::clone(&slot.engine),
            role: slot.role,
            load: slot.load.corrected(now_us),
            cached_tokens: slot.cached_tokens(blocks),
        })
        .collect()
    }

    /// Maximum number of leading prompt tokens that the zone expects in the cache of a usable
    /// engine.
    pub(super) fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let open = self.engines.iter().filter(|slot| slot.accepts_work());
        let cached = open.map(|slot| slot.cached_tokens(blocks));
        cached.max().unwrap_or(0)
    }

    pub(super) fn record_demand(&mut self, read_tokens: u64, output_tokens: f64) {
        self.demand.requests_per_s += 1.0;
        self.demand.prefill_tokens_per_s += read_tokens as f64;
        self.demand.output_tokens_per_s += output_tokens;
    }

    pub(super) fn poll(
        &mut self,
        deployment: &Deployment,
        can_order: bool,
        now_us: u64,
        outcome: &mut Outcome,
    ) {
        self.polls += 1;
        // Cache events are read in every fifth poll.
        let with_cache = self.polls.is_multiple_of(5);
        let can_order = can_order && !self.is_cut_off;
        for slot in &mut self.engines {
            slot.poll(with_cache, now_us);
            slot.advance_role_change(can_order, now_us, outcome, deployment.limits.min_dwell_us);
        }
        let usable = self
            .engines
            .iter()
            .filter(|slot| slot.is_up && !slot.is_withdrawn);
        self.admission.set_capacity(usable.count() as f64 * 1e6);
    }

    /// Spare capacity for requests of other zones. An engine offers the prompt tokens that it can
    /// process in half of the first-token target, and the requests that it can decode within the
    /// target between tokens, each less its current load.
    pub(super) fn capacity(
        &self,
        name: &str,
        deployment: &Deployment,
        now_us: u64,
    ) -> ZoneCapacity {
        let (mut tokens, mut requests) = (0, 0);
        for slot in self.engines.iter().filter(|slot| slot.accepts_work()) {
            let load = slot.load.corrected(now_us);
            if slot.role != Role::Decode {
                let most_s = deployment.targets.first_token_us as f64 / US_PER_S as f64 / 2.0;
                let most = f64::from(slot.engine.prefill_tokens_per_s) * most_s;
                tokens += (most as u64).saturating_sub(load.queued_prefill_tokens);
            }
            if slot.role != Role::Prefill {
                let batch = load.running + load.waiting;
                let fits = |batch: &u32| {
                    step_us(&slot.engine, *batch) <= deployment.targets.between_tokens_us as f64
                };
                let most = (1..=slot.engine.batch_requests)
                    .rev()
                    .find(fits)
                    .unwrap_or(0);
                requests += most.saturating_sub(batch);
            }
        }
        ZoneCapacity {
            zone: Name::from(name),
            spare_prefill_tokens: tokens,
            spare_decode_requests: requests,
        }
    }

    /// Runs one round of the planner and starts the drains for the role changes that it plans.
    pub(super) fn plan(
        &mut self,
        deployment: &Deployment,
        can_order: bool,
        elapsed_us: u64,
        now_us: u64,
    ) {
        let per_s = US_PER_S as f64 / elapsed_us as f64;
        let demand = std::mem::take(&mut self.demand);
        let listed = self.engines.iter().filter(|slot| !slot.is_withdrawn);
        let view = PoolView {
            engines: listed
                .map(|slot| EngineView {
                    engine: Arc::clone(&slot.engine),
                    role: slot.role,
                    moving_to: slot.role_change.as_ref().map(|role_change| role_change.to),
                    role_since_us: slot.role_since_us,
                    is_available: slot.is_up,
                    load: slot.load.corrected(now_us),
                })
                .collect(),
            demand: Demand {
                requests_per_s: demand.requests_per_s * per_s,
                prefill_tokens_per_s: demand.prefill_tokens_per_s * per_s,
                output_tokens_per_s: demand.output_tokens_per_s * per_s,
            },
            targets: deployment.targets,
            can_order: can_order && !self.is_cut_off,
        };
        for role_change in self.planner.plan(&view, now_us) {
            let slot = self
                .engines
                .iter_mut()
                .find(|slot| slot.engine.name == role_change.engine);
            let slot = slot.expect("planners name engines of the pool");
            slot.role_change = Some(RoleChange {
                to: role_change.to,
                started_us: now_us,
                ordered_us: None,
            });
        }
    }

    pub(super) fn count_roles(&self, counts: &mut [u32; 3]) {
        for slot in self.engines.iter().filter(|slot| slot.accepts_work()) {
            match slot.role {
                Role::Prefill => counts[0] += 1,
                Role::Mixed => counts[1] += 1,
                Role::Decode => counts[2] += 1,
            }
        }
    }
}
