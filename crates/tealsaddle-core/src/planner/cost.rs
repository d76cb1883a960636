//! Weighs the cost of a role change against the late answers that it avoids.
//!
//! The demand is averaged twice. The fast average sees a swing within seconds, but says nothing of
//! how long it lasts. The slow average sees only what lasts: where it agrees with the fast one, the
//! gain counts for longer. A change costs the engine for the drain and the change itself; the answers
//! that it could have given in that time, times the weight, are the price. With a small weight a
//! moderate gain under the fast average pays for a change; with a large one the slow average has to
//! confirm it, or the gain has to be large.

use super::baseline::first_moves;
use super::pool::{Split, capacity_scale, late_share};
use super::{Demand, Limits, Planner, PoolView, RoleMove};
use crate::decision::Alternative;
use crate::inventory::Policy;

/// Settings of the cost planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostConfig {
    /// Price of a change in answers that the engine could have given meanwhile.
    pub role_change_weight: f64,
    /// Time of the fast average.
    pub fast_us: u64,
    /// Time of the slow average.
    pub slow_us: u64,
    /// Time for which a gain under the fast average counts.
    pub fast_horizon_s: f64,
    /// Time for which a gain under the slow average counts.
    pub slow_horizon_s: f64,
    /// Share of late answers by which a split must be better besides its price.
    pub hysteresis: f64,
}

impl Default for CostConfig {
    fn default() -> Self {
        Self {
            role_change_weight: 1.0,
            fast_us: 5_000_000,
            slow_us: 90_000_000,
            fast_horizon_s: 105.0,
            slow_horizon_s: 60.0,
            hysteresis: 0.02,
        }
    }
}

impl From<&Policy> for CostConfig {
    fn from(policy: &Policy) -> Self {
        Self {
            role_change_weight: policy.role_change_weight,
            ..Self::default()
        }
    }
}

impl Demand {
    fn approach(&mut self, target: &Self, share: f64) {
        self.requests_per_s += (target.requests_per_s - self.requests_per_s) * share;
        self.prefill_tokens_per_s +=
            (target.prefill_tokens_per_s - self.prefill_tokens_per_s) * share;
        self.output_tokens_per_s += (target.output_tokens_per_s - self.output_tokens_per_s) * share;
    }
}

/// Fast and slow averages of the demand.
#[derive(Debug, Clone, Copy)]
struct Averages {
    fast: Demand,
    slow: Demand,
    at_us: u64,
}

/// The cost planner.
#[derive(Debug, Clone)]
pub struct CostPlanner {
    limits: Limits,
    config: CostConfig,
    averages: Option<Averages>,
}

impl CostPlanner {
    /// Makes the planner without history.
    pub const fn new(limits: Limits, config: CostConfig) -> Self {
        Self {
            limits,
            config,
            averages: None,
        }
    }

    fn observe(&mut self, demand: &Demand, now_us: u64) -> Averages {
        let averages = self.averages.get_or_insert(Averages {
            fast: *demand,
            slow: *demand,
            at_us: now_us,
        });
        let elapsed = now_us.saturating_sub(averages.at_us) as f64;
        let share = |time_us: u64| 1.0 - (-elapsed / time_us as f64).exp();
        averages.fast.approach(demand, share(self.config.fast_us));
        averages.slow.approach(demand, share(self.config.slow_us));
        averages.at_us = now_us;
        *averages
    }

    /// Engine time that one change takes, drain included, in seconds.
    fn change_s(view: &PoolView, demand: &Demand) -> f64 {
        let change_ms = view
            .engines
            .first()
            .map_or(0, |view| view.engine.role_change_ms);
        // The batch shrinks while it drains, so about half the time of an answer is lost.
        let mean_output = demand.output_tokens_per_s / demand.requests_per_s.max(1e-9);
        let drain_s = 0.5 * mean_output * view.targets.between_tokens_us as f64 / 1e6;
        change_ms as f64 / 1e3 + drain_s.min(60.0)
    }
}

impl Planner for CostPlanner {
    fn name(&self) -> &'static str {
        "cost"
    }

    fn plan(&mut self, view: &PoolView, now_us: u64) -> Vec<RoleMove> {
        let Averages { fast, slow, .. } = self.observe(&view.demand, now_us);
        if self.limits.moves_left(view) == 0 {
            return Vec::new();
        }
        let config = &self.config;
        let now = view.split();
        let late = |split: Split, demand: &Demand| {
            demand.requests_per_s * late_share(capacity_scale(view, split, demand))
        };
        let (fast_stay, slow_stay) = (late(now, &fast), late(now, &slow));
        let stay = fast_stay * config.fast_horizon_s + slow_stay * config.slow_horizon_s;
        // Right after a shift the slow average still speaks for the old mix. It may confirm a gain
        // under the fast one, but neither outweigh it nor make one by itself.
        let gain = |split: Split| {
            let fast_gain = fast_stay - late(split, &fast);
            let lasting_gain = fast_gain.min(slow_stay - late(split, &slow)).max(0.0);
            fast_gain * config.fast_horizon_s + lasting_gain * config.slow_horizon_s
        };
        let answers_per_engine_s = slow.requests_per_s / now.total().max(1) as f64;
        let price = config.role_change_weight * answers_per_engine_s * Self::change_s(view, &slow);
        let mut goals: Vec<(f64, Split)> = now
            .others(self.limits.role_floor.max(1))
            .into_iter()
            .map(|split| {
                let price = price * now.distance(&split) as f64;
                (stay - gain(split) + price, split)
            })
            .collect();
        goals.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((score, goal)) = goals.first().copied() else {
            return Vec::new();
        };
        let margin = config.hysteresis * fast.requests_per_s * config.fast_horizon_s;
        if score + margin >= stay {
            return Vec::new();
        }
        let reason = format!(
            "{goal}: {score:.0} late answers with the price of the change, {stay:.0} without it"
        );
        let mut moves = first_moves(&self.limits, view, now, goal, now_us, &reason);
        let weighed = std::iter::once((stay, now)).chain(goals.into_iter().take(4));
        let alternatives: Vec<Alternative> = weighed
            .map(|(score, split)| Alternative {
                name: split.to_string(),
                score,
                reason: match now.distance(&split) {
                    0 => "no change".to_owned(),
                    changes => format!("{changes} changes at {price:.1} late answers each"),
                },
            })
            .collect();
        for role_move in &mut moves {
            role_move.alternatives.clone_from(&alternatives);
        }
        moves
    }
}
