//! Simple planners, as baselines for the cost planner.

use super::pool::{capacity_scale, late_share};
use super::{Demand, Limits, Planner, PoolView, RoleMove, Split};
use crate::inventory::Role;

/// Planner that never changes a role.
#[derive(Debug, Clone, Copy, Default)]
pub struct FixedSplit;

impl Planner for FixedSplit {
    fn name(&self) -> &'static str {
        "fixed"
    }

    fn plan(&mut self, _view: &PoolView, _now_us: u64) -> Vec<RoleMove> {
        Vec::new()
    }
}

/// Planner that changes all engines to the mixed role, as far as the limits allow.
#[derive(Debug, Clone, Copy)]
pub struct AllMixed {
    limits: Limits,
}

impl AllMixed {
    /// Creates the planner.
    pub const fn new(limits: Limits) -> Self {
        Self { limits }
    }
}

impl Planner for AllMixed {
    fn name(&self) -> &'static str {
        "mixed"
    }

    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove> {
        let roles = [Role::Prefill, Role::Decode];
        let from = |from| {
            let wanted = self.limits.moves_left(view);
            self.limits.moves(
                view,
                (from, Role::Mixed),
                wanted,
                now_us,
                "all engines do both",
            )
        };
        let moves = roles.into_iter().map(from).find(|moves| !moves.is_empty());
        moves.unwrap_or_default()
    }
}

/// Planner that compares queue lengths with thresholds.
#[derive(Debug, Clone, Copy)]
pub struct Threshold {
    limits: Limits,
}

/// Mean time to read a prefill engine's queue, in seconds, above which another prefill engine is needed.
const LONG_QUEUE_S: f64 = 0.3;
/// Mean time to read a prefill engine's queue, in seconds, below which a prefill engine may change to decode.
const SHORT_QUEUE_S: f64 = 0.15;
/// Mean share of the batch in use above which another decode engine is needed.
const FULL_BATCH_SHARE: f64 = 0.85;
/// Mean share of the batch in use below which a decode engine may change to prefill.
const SPARE_BATCH_SHARE: f64 = 0.65;

impl Threshold {
    /// Creates the planner.
    pub const fn new(limits: Limits) -> Self {
        Self { limits }
    }
}

impl Planner for Threshold {
    fn name(&self) -> &'static str {
        "threshold"
    }

    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove> {
        let (mut queue_s, mut prefill, mut batch, mut decode) = (0.0, 0.0_f64, 0.0, 0.0_f64);
        for engine in view
            .engines
            .iter()
            .filter(|e| e.is_available && e.moving_to.is_none())
        {
            let load = &engine.load;
            match engine.role {
                Role::Prefill => {
                    prefill += 1.0;
                    let rate = f64::from(engine.engine.prefill_tokens_per_s);
                    queue_s += load.queued_prefill_tokens as f64 / rate;
                }
                Role::Decode => {
                    decode += 1.0;
                    let most = f64::from(engine.engine.batch_requests);
                    batch += f64::from(load.running + load.waiting) / most;
                }
                Role::Mixed => {}
            }
        }
        let queue_s = queue_s / prefill.max(1.0);
        let batch = batch / decode.max(1.0);
        let change = if queue_s > LONG_QUEUE_S && batch < SPARE_BATCH_SHARE {
            (Role::Decode, Role::Prefill)
        } else if batch > FULL_BATCH_SHARE && queue_s < SHORT_QUEUE_S {
            (Role::Prefill, Role::Decode)
        } else {
            return Vec::new();
        };
        let reason = format!("{queue_s:.2} s to read, batches {:.0}% full", batch * 100.0);
        self.limits.moves(view, change, 1, now_us, &reason)
    }
}

/// Planner that is given the future demand, as an upper bound for what a forecast can gain.
#[derive(Debug, Clone)]
pub struct Oracle {
    limits: Limits,
    /// Start time and demand of each period, in order.
    future: Vec<(u64, Demand)>,
    lead_us: u64,
}

impl Oracle {
    /// Creates the planner, which acts `lead_us` before each change of the demand.
    pub const fn new(limits: Limits, future: Vec<(u64, Demand)>, lead_us: u64) -> Self {
        Self {
            limits,
            future,
            lead_us,
        }
    }
}

impl Planner for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove> {
        let at_us = now_us + self.lead_us;
        let period = self
            .future
            .iter()
            .rev()
            .find(|(from_us, _)| *from_us <= at_us);
        let Some((_, demand)) = period else {
            return Vec::new();
        };
        let now = view.split();
        let late = |split: Split| late_share(capacity_scale(view, split, demand));
        let best = now
            .alternatives(self.limits.role_floor.max(1))
            .into_iter()
            .min_by(|a, b| late(*a).total_cmp(&late(*b)));
        // A gain of less than 0.5% of the answers does not justify a change.
        let Some(best) = best.filter(|best| late(*best) + 0.005 < late(now)) else {
            return Vec::new();
        };
        first_moves(&self.limits, view, now, best, now_us, "the coming mix")
    }
}

/// Returns the changes that lead from the split `now` towards `goal` and may start now.
pub(super) fn first_moves(
    limits: &Limits,
    view: &PoolView,
    now: Split,
    goal: Split,
    now_us: u64,
    reason: &str,
) -> Vec<RoleMove> {
    let roles = [Role::Prefill, Role::Mixed, Role::Decode];
    let surplus = |role: &Role| now.get(*role).saturating_sub(goal.get(*role));
    let shortage = |role: &Role| goal.get(*role).saturating_sub(now.get(*role));
    let Some(to) = roles.into_iter().max_by_key(shortage) else {
        return Vec::new();
    };
    let Some(from) = roles.into_iter().max_by_key(surplus) else {
        return Vec::new();
    };
    let wanted = surplus(&from).min(shortage(&to));
    limits.moves(view, (from, to), wanted, now_us, reason)
}
