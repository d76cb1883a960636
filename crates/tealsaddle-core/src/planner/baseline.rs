//! Planners to compare with.

use super::pool::{capacity_scale, late_share};
use super::{Demand, Limits, Planner, PoolView, RoleMove, Split};
use crate::inventory::Role;

/// Never changes a role.
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

/// Turns every engine that the limits allow into a mixed one.
#[derive(Debug, Clone, Copy)]
pub struct AllMixed {
    limits: Limits,
}

impl AllMixed {
    /// Makes the planner.
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

/// Compares queue lengths with thresholds.
#[derive(Debug, Clone, Copy)]
pub struct Threshold {
    limits: Limits,
}

/// Time to read the queue of a prefill engine above which another one is wanted.
const LONG_QUEUE_S: f64 = 0.3;
/// Time to read the queue below which a prefill engine may be spared.
const SHORT_QUEUE_S: f64 = 0.15;
/// Share of the batch above which another decode engine is wanted.
const FULL_BATCH: f64 = 0.85;
/// Share of the batch below which a decode engine may be spared.
const EMPTY_BATCH: f64 = 0.65;

impl Threshold {
    /// Makes the planner.
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
        let change = if queue_s > LONG_QUEUE_S && batch < EMPTY_BATCH {
            (Role::Decode, Role::Prefill)
        } else if batch > FULL_BATCH && queue_s < SHORT_QUEUE_S {
            (Role::Prefill, Role::Decode)
        } else {
            return Vec::new();
        };
        let reason = format!("{queue_s:.2} s to read, batches {:.0}% full", batch * 100.0);
        self.limits.moves(view, change, 1, now_us, &reason)
    }
}

/// Knows the demand to come, so it shows what foresight would be worth.
#[derive(Debug, Clone)]
pub struct Oracle {
    limits: Limits,
    /// Demand from each time on.
    coming: Vec<(u64, Demand)>,
    lead_us: u64,
}

impl Oracle {
    /// Makes the planner; it acts `lead_us` before the demand changes.
    pub const fn new(limits: Limits, coming: Vec<(u64, Demand)>, lead_us: u64) -> Self {
        Self {
            limits,
            coming,
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
        let coming = self
            .coming
            .iter()
            .rev()
            .find(|(from_us, _)| *from_us <= at_us);
        let Some((_, demand)) = coming else {
            return Vec::new();
        };
        let now = view.split();
        let late = |split: Split| late_share(capacity_scale(view, split, demand));
        let best = now
            .others(self.limits.role_floor.max(1))
            .into_iter()
            .min_by(|a, b| late(*a).total_cmp(&late(*b)));
        let Some(best) = best.filter(|best| late(*best) + 0.005 < late(now)) else {
            return Vec::new();
        };
        first_moves(&self.limits, view, now, best, now_us, "the coming mix")
    }
}

/// The moves that lead from one split towards another and may start now.
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
