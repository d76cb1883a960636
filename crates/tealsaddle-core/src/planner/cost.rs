//! Planner that compares the cost of a role change with the late answers that the change avoids.
//!
//! The planner keeps two averages of the demand. The fast average follows a change of the demand within
//! seconds but does not tell how long the change lasts. The slow average follows only lasting changes; if it
//! agrees with the fast one, the gain counts for a longer time.
//!
//! During a change the engine is unavailable for the drain and the change itself. The price of the change is
//! the number of answers that the engine could have given in that time, times a weight. With a small weight,
//! a moderate gain under the fast average outweighs the price; with a large weight, the slow average has to
//! confirm the gain or the gain has to be large.

use super::baseline::first_moves;
use super::pool::{Split, capacity_scale, late_share};
use super::{Demand, Limits, Planner, PoolView, RoleMove};
use crate::decision::Alternative;
use crate::inventory::Policy;

/// Settings of [`CostPlanner`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostConfig {
    /// Weight of a change's price: 1 counts each answer that the engine could have given meanwhile as one
    /// late answer.
    pub role_change_weight: f64,
    /// Time constant of the fast average.
    pub fast_us: u64,
    /// Time constant of the slow average.
    pub slow_us: u64,
    /// Time for which a gain under the fast average counts, in seconds.
    pub fast_horizon_s: f64,
    /// Time for which a gain under both averages counts in addition, in seconds.
    pub slow_horizon_s: f64,
    /// Smallest improvement, net of the price, that justifies a change, as a share of the answers within
    /// the fast horizon.
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
    /// Moves this average towards `sample` by `share` of the difference.
    fn approach(&mut self, sample: &Self, share: f64) {
        self.requests_per_s += (sample.requests_per_s - self.requests_per_s) * share;
        self.prefill_tokens_per_s +=
            (sample.prefill_tokens_per_s - self.prefill_tokens_per_s) * share;
        self.output_tokens_per_s += (sample.output_tokens_per_s - self.output_tokens_per_s) * share;
    }
}

/// Fast and slow exponential averages of the demand.
#[derive(Debug, Clone, Copy)]
struct Averages {
    fast: Demand,
    slow: Demand,
    at_us: u64,
}

/// Planner that compares the price of each split with its gain in late answers.
#[derive(Debug, Clone)]
pub struct CostPlanner {
    limits: Limits,
    config: CostConfig,
    averages: Option<Averages>,
}

impl CostPlanner {
    /// Creates the planner without history.
    pub const fn new(limits: Limits, config: CostConfig) -> Self {
        Self {
            limits,
            config,
            averages: None,
        }
    }

    /// Updates the averages with the demand since the previous round.
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

    /// Returns the engine time that one change takes including the drain, in seconds.
    fn change_time_s(view: &PoolView, demand: &Demand) -> f64 {
        let change_ms = view
            .engines
            .first()
            .map_or(0, |view| view.engine.role_change_ms);
        // The batch shrinks during the drain, so about half the duration of an answer is lost.
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
        // Right after a change of the demand the slow average still reflects the old mix. It may confirm a
        // gain under the fast average, but it must neither outweigh that gain nor produce one alone.
        let gain = |split: Split| {
            let fast_gain = fast_stay - late(split, &fast);
            let lasting_gain = fast_gain.min(slow_stay - late(split, &slow)).max(0.0);
            fast_gain * config.fast_horizon_s + lasting_gain * config.slow_horizon_s
        };
        let answers_per_engine_s = slow.requests_per_s / now.total().max(1) as f64;
        let price =
            config.role_change_weight * answers_per_engine_s * Self::change_time_s(view, &slow);
        let mut goals: Vec<(f64, Split)> = now
            .alternatives(self.limits.role_floor.max(1))
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
        let compared = std::iter::once((stay, now)).chain(goals.into_iter().take(4));
        let alternatives: Vec<Alternative> = compared
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
