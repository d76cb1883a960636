//! Planning of role changes of engines.
//!
//! A pool consists of the engines of one zone that serve one model. Once a round, a planner examines the
//! pool and returns the role changes to start; the holder of the zone's lease drains the engines and sends
//! the orders. All planners share the same [`Limits`], so that no policy can take the last engine of a role,
//! change too large a share of a pool at once, or change an engine again before its dwell time is over.
//!
//! Planners change engines only between roles that are present in the pool, because operators leave a role
//! out on purpose.

mod baseline;
mod cost;
mod pool;

use std::fmt::Debug;
use std::sync::Arc;

use crate::admission::Targets;
use crate::decision::Alternative;
use crate::inventory::{Engine, PlannerKind, Policy, Role};
use crate::load::CorrectedLoad;
use crate::name::Name;

pub use baseline::{AllMixed, FixedSplit, Oracle, Threshold};
pub use cost::{CostConfig, CostPlanner};
pub use pool::{Split, capacity_scale, late_share};

/// Rate of work that callers request, including refused requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Prompt tokens per second that are in no prefix cache.
    pub prefill_tokens_per_s: f64,
    /// Output tokens per second.
    pub output_tokens_per_s: f64,
}

/// State of one engine of a pool.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Engine from the inventory.
    pub engine: Arc<Engine>,
    /// Current role.
    pub role: Role,
    /// Role for which the engine is being drained or to which it is changing; `None` without a change.
    pub moving_to: Option<Role>,
    /// Time of the last change of role; `None` if no change is known.
    pub role_since_us: Option<u64>,
    /// Whether the engine is up and is not being withdrawn.
    pub is_available: bool,
    /// Last reported load, corrected for the requests that the planning node has sent since.
    pub load: CorrectedLoad,
}

/// State of a pool at one time.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// Engines of the pool in a stable order, without withdrawn ones.
    pub engines: Vec<EngineView>,
    /// Demand since the previous round.
    pub demand: Demand,
    /// Latency targets of the model, not scaled for the length of the prompt.
    pub targets: Targets,
    /// Whether orders can be issued: each is recorded at the platform first, so the platform has to answer.
    pub can_order: bool,
}

impl PoolView {
    /// Returns the number of available engines by role. An engine that is changing counts in its new role.
    pub fn split(&self) -> Split {
        let mut split = Split::default();
        for view in self.engines.iter().filter(|view| view.is_available) {
            split.add(view.moving_to.unwrap_or(view.role), 1);
        }
        split
    }

    /// Returns the number of engines that are changing their role.
    pub fn moving(&self) -> usize {
        let moving = self.engines.iter().filter(|view| view.moving_to.is_some());
        moving.count()
    }
}

/// Change of an engine's role, to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleMove {
    /// Name of the engine.
    pub engine: Name,
    /// Current role.
    pub from: Role,
    /// New role.
    pub to: Role,
    /// Reason for the change, as shown to operators.
    pub reason: String,
    /// Splits that were compared; the score is in late answers, lower is better. Only
    /// [`CostPlanner`] fills the list.
    pub alternatives: Vec<Alternative>,
}

/// Policy that decides on changes of role.
pub trait Planner: Debug + Send {
    /// Returns the name of the policy, as shown to operators.
    fn name(&self) -> &'static str;

    /// Returns the changes to start now.
    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove>;
}

/// Creates the planner that the operators' policy selects.
pub fn open(policy: &Policy) -> Box<dyn Planner> {
    let limits = Limits::from(policy);
    match policy.planner {
        PlannerKind::Cost => Box::new(CostPlanner::new(limits, CostConfig::from(policy))),
        PlannerKind::Fixed => Box::new(FixedSplit),
        PlannerKind::Threshold => Box::new(Threshold::new(limits)),
        PlannerKind::Mixed => Box::new(AllMixed::new(limits)),
    }
}

/// Limits that apply to every planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Smallest number of engines of each role that is present; at least one is kept.
    pub role_floor: usize,
    /// Largest share of the pool that may be changing at once. A pool in which the share is less than one
    /// engine never changes.
    pub max_moving_share: f64,
    /// Shortest time that an engine keeps a role.
    pub min_dwell_us: u64,
}

impl From<&Policy> for Limits {
    fn from(policy: &Policy) -> Self {
        Self {
            role_floor: policy.role_floor as usize,
            max_moving_share: policy.max_moving_share,
            min_dwell_us: policy.min_dwell_ms * 1_000,
        }
    }
}

impl Limits {
    /// Returns how many further engines may start to change their role.
    pub fn moves_left(&self, view: &PoolView) -> usize {
        if !view.can_order {
            return 0;
        }
        // The added 1e-9 prevents rounding errors from turning 0.34 of 3 or 0.2 of 5 into less than one
        // engine.
        let most = (self.max_moving_share * view.engines.len() as f64 + 1e-9) as usize;
        most.saturating_sub(view.moving())
    }

    /// Returns the engines that may leave the role `from`. The engine that drains soonest comes first.
    pub fn movable<'a>(&self, view: &'a PoolView, from: Role, now_us: u64) -> Vec<&'a EngineView> {
        let settled = view
            .engines
            .iter()
            .filter(|view| view.is_available && view.moving_to.is_none() && view.role == from);
        let settled: Vec<&EngineView> = settled.collect();
        let spare = settled.len().saturating_sub(self.role_floor.max(1));
        let mut movable: Vec<&EngineView> = settled
            .into_iter()
            .filter(|view| {
                let since = view.role_since_us;
                since.is_none_or(|since| now_us >= since + self.min_dwell_us)
            })
            .collect();
        movable.sort_by_key(|view| {
            let load = &view.load;
            (load.running + load.waiting, load.queued_prefill_tokens)
        });
        movable.truncate(spare);
        movable
    }

    /// Returns changes from one role to another, at most `wanted` and as many as the limits allow.
    fn moves(
        &self,
        view: &PoolView,
        (from, to): (Role, Role),
        wanted: usize,
        now_us: u64,
        reason: &str,
    ) -> Vec<RoleMove> {
        let movable = self.movable(view, from, now_us);
        let taken = movable.into_iter().take(wanted.min(self.moves_left(view)));
        let role_move = |view: &EngineView| RoleMove {
            engine: Name::clone(&view.engine.name),
            from,
            to,
            reason: reason.to_owned(),
            alternatives: Vec::new(),
        };
        taken.map(role_move).collect()
    }
}
