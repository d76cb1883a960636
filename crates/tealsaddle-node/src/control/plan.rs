//! Runs the planner on the holder and passes the planned role changes to the authority state machine.
//!
//! One planner per model evaluates the engines of the zone once per planning interval. Demand is the sum
//! over the nodes of the zone, computed as differences of the totals that heartbeats carry.

use std::sync::Arc;

use tealsaddle_core::admission::Targets;
use tealsaddle_core::authority::{Change, Event as AuthorityEvent};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::inventory::{Engine, Inventory, Model, PlannerKind, Policy, Role};
use tealsaddle_core::name::Name;
use tealsaddle_core::planner::{
    AllMixed, CostConfig, CostPlanner, Demand, EngineView, FixedSplit, Limits, Planner, PoolView,
    RoleMove, Threshold,
};
use tealsaddle_schema::peer::ModelDemand;
use tealsaddle_schema::record::ProcessId;

use super::state::ControlThread;
use crate::traffic::demand::DemandTotals;

/// Age of the last load report from which an engine counts as unavailable.
const MAX_LOAD_REPORT_AGE_US: u64 = 5_000_000;

/// Time after which the weight of an answer in the mean has decayed to 1/e. The planner averages the
/// demand itself, so this constant only has to be short compared with a shift of the request mix.
const ANSWER_MEAN_TIME_CONSTANT_US: f64 = 5_000_000.0;

/// State of the planner, used while this process is the holder.
#[derive(Debug, Default)]
pub struct PlannerState {
    planners: HashMap<Name, Box<dyn Planner>>,
    /// The policy that the planners were created for, as text.
    policy: String,
    last_planned_us: u64,
    totals: HashMap<(ProcessId, Name), DemandTotals>,
    /// Demand since the last planning run.
    interval_demand: HashMap<Name, DemandTotals>,
    /// Decaying sums over the answers, for the mean number of tokens per answer.
    recent_answers: HashMap<Name, RecentAnswers>,
    /// Role of each engine in the routing table and the time of its last change; `None` if the role has
    /// not changed since the engine was first seen.
    roles: HashMap<Name, (Role, Option<u64>)>,
}

/// Sums over the answers of a model, with weights that decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct RecentAnswers {
    answers: f64,
    read_tokens: f64,
    output_tokens: f64,
}

impl RecentAnswers {
    fn add(&mut self, now: &DemandTotals, before: &DemandTotals) {
        let increase = |now: u64, before: u64| now.saturating_sub(before) as f64;
        self.answers += increase(now.answers, before.answers);
        self.read_tokens += increase(now.read_tokens, before.read_tokens);
        self.output_tokens += increase(now.output_tokens, before.output_tokens);
    }

    fn decay(&mut self, elapsed_us: u64) {
        let factor = (-(elapsed_us as f64) / ANSWER_MEAN_TIME_CONSTANT_US).exp();
        self.answers *= factor;
        self.read_tokens *= factor;
        self.output_tokens *= factor;
    }

    fn per_answer(&self, tokens: f64) -> f64 {
        if self.answers > 0.0 {
            tokens / self.answers
        } else {
            0.0
        }
    }
}

fn add_difference(sum: &mut DemandTotals, now: &DemandTotals, before: &DemandTotals) {
    sum.requests += now.requests.saturating_sub(before.requests);
    sum.answers += now.answers.saturating_sub(before.answers);
    sum.read_tokens += now.read_tokens.saturating_sub(before.read_tokens);
    sum.output_tokens += now.output_tokens.saturating_sub(before.output_tokens);
}

/// Converts totals to messages.
pub fn to_messages(totals: &[(Name, DemandTotals)]) -> Vec<ModelDemand> {
    let to_message = |(model, totals): &(Name, DemandTotals)| ModelDemand {
        model: model.to_string(),
        requests: totals.requests,
        answers: totals.answers,
        read_tokens: totals.read_tokens,
        output_tokens: totals.output_tokens,
    };
    totals.iter().map(to_message).collect()
}

fn new_planner(policy: &Policy) -> Box<dyn Planner> {
    let limits = Limits::from(policy);
    match policy.planner {
        PlannerKind::Cost => Box::new(CostPlanner::new(limits, CostConfig::from(policy))),
        PlannerKind::Fixed => Box::new(FixedSplit),
        PlannerKind::Threshold => Box::new(Threshold::new(limits)),
        PlannerKind::Mixed => Box::new(AllMixed::new(limits)),
    }
}

impl PlannerState {
    /// Adds the demand of one process of the zone since its last totals.
    pub fn on_demands(&mut self, process: &ProcessId, demands: &[ModelDemand]) {
        for demand in demands {
            let model = Name::from(demand.model.as_str());
            let now = DemandTotals {
                requests: demand.requests,
                answers: demand.answers,
                read_tokens: demand.read_tokens,
                output_tokens: demand.output_tokens,
            };
            let key = (process.clone(), Name::clone(&model));
            // The first totals of a process may span any time, so they only serve as the base.
            if let Some(before) = self.totals.insert(key, now) {
                add_difference(
                    self.interval_demand.entry(Name::clone(&model)).or_default(),
                    &now,
                    &before,
                );
                self.recent_answers
                    .entry(model)
                    .or_default()
                    .add(&now, &before);
            }
        }
    }

    /// Removes the totals of processes for which `is_known` is false.
    pub fn retain_processes<F>(&mut self, is_known: F)
    where
        F: Fn(&ProcessId) -> bool,
    {
        self.totals.retain(|(process, _), _| is_known(process));
    }

    /// Records the roles of a routing table that came into force.
    pub fn on_routing_table(&mut self, open: &[(Name, Role)], now_us: u64) {
        for (engine, role) in open {
            match self.roles.get_mut(engine) {
                Some((known, _)) if known == role => {}
                Some(known) => *known = (*role, Some(now_us)),
                None => {
                    self.roles.insert(Name::clone(engine), (*role, None));
                }
            }
        }
    }

    fn demand(&self, model: &str, interval_s: f64) -> Demand {
        let interval = self.interval_demand.get(model).copied().unwrap_or_default();
        let recent = self.recent_answers.get(model).copied().unwrap_or_default();
        let requests_per_s = interval.requests as f64 / interval_s;
        Demand {
            requests_per_s,
            prefill_tokens_per_s: requests_per_s * recent.per_answer(recent.read_tokens),
            output_tokens_per_s: requests_per_s * recent.per_answer(recent.output_tokens),
        }
    }
}

impl ControlThread {
    /// Runs the planners if the planning interval is over.
    pub(super) fn plan_roles(&mut self, now_us: u64) {
        let Some(inventory) = self.inventory.clone() else {
            return;
        };
        if !self.is_holder() {
            // The planners are dropped, so that a process that becomes the holder again starts
            // without old averages.
            self.planner_state.planners.clear();
            return;
        }
        let elapsed_us = now_us.saturating_sub(self.planner_state.last_planned_us);
        if elapsed_us < inventory.policy.plan_interval_ms * 1_000 {
            return;
        }
        let own = to_messages(&self.traffic.demands.totals());
        let process = self.process.clone();
        self.planner_state.on_demands(&process, &own);
        let policy = format!("{:?}", inventory.policy);
        if self.planner_state.policy != policy {
            self.planner_state.policy = policy;
            self.planner_state.planners.clear();
        }
        let is_first = self.planner_state.planners.is_empty();
        let interval_s = elapsed_us as f64 / 1e6;
        let mut models: Vec<_> = inventory.models.values().collect();
        models.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut moves = Vec::new();
        for model in models {
            let view = self.pool_view(&inventory, model, interval_s, now_us);
            if view.engines.is_empty() {
                continue;
            }
            let planners = &mut self.planner_state.planners;
            let planner = planners
                .entry(Name::clone(&model.name))
                .or_insert_with(|| new_planner(&inventory.policy));
            // The first interval may span the time since the start of the process.
            if !is_first {
                moves.extend(planner.plan(&view, now_us));
            }
        }
        self.planner_state.interval_demand.clear();
        for recent in self.planner_state.recent_answers.values_mut() {
            recent.decay(elapsed_us);
        }
        self.planner_state.last_planned_us = now_us;
        for role_move in moves {
            self.request_role_change(role_move, now_us);
        }
    }

    fn request_role_change(&mut self, role_move: RoleMove, now_us: u64) {
        self.count("planner.moves");
        self.traffic.record(Decision {
            at_us: now_us,
            kind: DecisionKind::Role,
            subject: role_move.engine.to_string(),
            choice: format!("plan {}", role_move.to),
            reason: role_move.reason,
            inputs: vec![("from".to_owned(), role_move.from.to_string())],
            alternatives: role_move.alternatives,
        });
        self.authority_events
            .push_back(AuthorityEvent::ChangeRequested {
                engine: role_move.engine,
                change: Change::Role(role_move.to),
            });
    }

    fn pool_view(
        &self,
        inventory: &Inventory,
        model: &Model,
        interval_s: f64,
        now_us: u64,
    ) -> PoolView {
        let mut engines: Vec<EngineView> = inventory
            .engines_for(self.zone(), &model.name)
            .filter(|engine| !self.drained_engines.contains(&engine.name))
            .filter_map(|engine| self.engine_view(engine, now_us))
            .collect();
        engines.sort_unstable_by(|a, b| a.engine.name.cmp(&b.engine.name));
        PoolView {
            engines,
            demand: self.planner_state.demand(&model.name, interval_s),
            targets: Targets {
                first_token_us: model.first_token_ms * 1_000,
                between_tokens_us: model.between_tokens_ms * 1_000,
            },
            can_order: self.is_platform_reachable,
        }
    }

    fn engine_view(&self, engine: &Arc<Engine>, now_us: u64) -> Option<EngineView> {
        let entry = self.recorded_engine(&engine.name)?;
        let order = entry.order.as_ref();
        let load = self.traffic.engine_load(&engine.name, now_us);
        let is_fresh = load
            .report_age_us
            .is_some_and(|age_us| age_us < MAX_LOAD_REPORT_AGE_US);
        let is_withdrawn = order.is_some_and(|order| order.kind == Change::Withdraw.kind());
        Some(EngineView {
            engine: Arc::clone(engine),
            role: entry.role.parse().ok()?,
            moving_to: order.and_then(|order| order.role.parse().ok()),
            role_since_us: self
                .planner_state
                .roles
                .get(&engine.name)
                .and_then(|(_, since)| *since),
            is_available: is_fresh && !is_withdrawn,
            load,
        })
    }
}
