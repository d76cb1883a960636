//! Which engine should change its role.
//!
//! A pool is the engines of one zone that serve one model. A planner looks at it once a round and
//! names the moves to start; the holder of the zone drains the engines and sends the orders. All
//! planners share the same [`Limits`], so that no policy can take the last engine of a role, move too
//! much of a pool at once, or move an engine again before its dwell time is over.
//!
//! Planners move engines only between roles that the pool has already: a role that nobody holds was
//! left out by the operators on purpose.

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

/// Work that callers ask for, refused work included.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Prompt tokens a second that no prefix cache holds.
    pub prefill_tokens_per_s: f64,
    /// Output tokens a second.
    pub output_tokens_per_s: f64,
}

/// One engine of a pool.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// The engine.
    pub engine: Arc<Engine>,
    /// Its role in effect.
    pub role: Role,
    /// Role that it is drained for or changes to.
    pub moving_to: Option<Role>,
    /// Time of its last change of role.
    pub role_since_us: Option<u64>,
    /// Whether it takes work: up, not withdrawn.
    pub is_available: bool,
    /// Its load.
    pub load: CorrectedLoad,
}

/// A pool at one moment.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// Engines, withdrawn ones left out, in a stable order.
    pub engines: Vec<EngineView>,
    /// Demand since the last round.
    pub demand: Demand,
    /// Latency targets of the model, not scaled for the prompt.
    pub targets: Targets,
    /// Whether orders can be issued; without the platform none can.
    pub can_order: bool,
}

impl PoolView {
    /// Engines by role, moving ones counted in the role that they will have.
    pub fn split(&self) -> Split {
        let mut split = Split::default();
        for view in self.engines.iter().filter(|view| view.is_available) {
            split.add(view.moving_to.unwrap_or(view.role), 1);
        }
        split
    }

    /// Engines that move.
    pub fn moving(&self) -> usize {
        let moving = self.engines.iter().filter(|view| view.moving_to.is_some());
        moving.count()
    }
}

/// A change of role to be started.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleMove {
    /// The engine.
    pub engine: Name,
    /// Its role in effect.
    pub from: Role,
    /// Its role to be.
    pub to: Role,
    /// Why.
    pub reason: String,
    /// What was weighed; the score is in late answers, lower is better.
    pub alternatives: Vec<Alternative>,
}

/// Decides on changes of role.
pub trait Planner: Debug + Send {
    /// Name of the policy.
    fn name(&self) -> &'static str;

    /// Moves to be started now.
    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove>;
}

/// Opens the planner that the operators chose.
pub fn open(policy: &Policy) -> Box<dyn Planner> {
    let limits = Limits::from(policy);
    match policy.planner {
        PlannerKind::Cost => Box::new(CostPlanner::new(limits, CostConfig::from(policy))),
        PlannerKind::Fixed => Box::new(FixedSplit),
        PlannerKind::Threshold => Box::new(Threshold::new(limits)),
        PlannerKind::Mixed => Box::new(AllMixed::new(limits)),
    }
}

/// Bounds that hold for every planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Engines that each role keeps at least.
    pub role_floor: usize,
    /// Largest share of the pool that may move at once; a pool of which the share is less than one
    /// engine never changes.
    pub max_moving_share: f64,
    /// Time that an engine keeps a role at least.
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
    /// Engines that may still start to move.
    pub fn moves_left(&self, view: &PoolView) -> usize {
        if !view.can_order {
            return 0;
        }
        // The margin keeps 0.34 of 3 and 0.2 of 5 at one engine in spite of rounding.
        let most = (self.max_moving_share * view.engines.len() as f64 + 1e-9) as usize;
        most.saturating_sub(view.moving())
    }

    /// Engines that may leave `from`, the one that drains soonest first.
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

    /// Moves from one role to another, as many as wanted and allowed.
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
