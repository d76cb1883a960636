//! Split of a model service's runners between the prefill and the decode stage.
//!
//! With long shared prompt parts, reading prompts is most of the work; with long answers, generating them is. Before the
//! first requests the split follows a default. Then it follows the [needs](super::needs) of both stages: runners move
//! to the stage that lacks time if that gains more than the other stage loses and than the change costs. A change takes
//! a runner out of both stages until its requests have ended and it has switched, so a gain counts only for the rest of
//! `PAYBACK_MS`. Too few decode runners block the whole service, so there is a minimum of them.

use std::sync::Arc;

use super::needs::StageNeeds;
use super::{Runner, Stage};

/// Change of a runner's stage, to be ordered.
#[derive(Debug, Clone)]
pub struct StageMove {
    /// Runner that changes its stage.
    pub runner: Arc<Runner>,
    /// New stage.
    pub to: Stage,
}

/// Share of a model service's runners that are prefill runners by default.
const DEFAULT_PREFILL_SHARE: f64 = 0.72;
/// Smallest number of decode runners; streams continue when one of them is lost.
const MIN_DECODE_RUNNERS: usize = 2;
/// Smallest number of prefill runners; prompts are still read when one of them is lost.
const MIN_PREFILL_RUNNERS: usize = 2;
/// Fraction of a pool, as a divisor, that changes its stage in one step. Steps are small so that the effect of one is
/// visible before the next.
const STEP_DIVISOR: usize = 8;
/// Share of the time allowed from which a stage lacks runners. The rest is for bursts and for the slower runners.
const LACK_PRESSURE: f64 = 0.8;
/// Pressure of the decode stage up to which the split returns to the default.
const SLACK_PRESSURE: f64 = 0.35;
/// Largest lack that is told apart; further waiting makes no difference to callers who have given up.
const MAX_LACK: f64 = 2.0;
/// Gain, as a share of the time allowed, below which nothing changes.
const HYSTERESIS: f64 = 0.05;
/// Gain that a change has to bring besides if it ends with all runners on the wrong side of the default split. A mix that
/// has been extreme for some seconds rarely stays so, and the way back takes longer.
const DISTANCE_PRICE: f64 = 0.6;
/// Time within which a change of stage has to pay off, in milliseconds.
const PAYBACK_MS: f64 = 15_000.0;

/// Returns how many runners of a pool of `count` runners should be prefill runners by default.
pub fn desired_prefill(count: usize) -> usize {
    let most = count.saturating_sub(MIN_DECODE_RUNNERS);
    ((count as f64 * DEFAULT_PREFILL_SHARE).round() as usize).min(most)
}

/// The runners of a model service that are not draining, by stage.
#[derive(Debug, Default)]
pub struct Pool {
    /// Prefill runners that may be ordered to change.
    pub prefill: Vec<Arc<Runner>>,
    /// Decode runners that may be ordered to change.
    pub decode: Vec<Arc<Runner>>,
    /// Number of runners that have been ordered to read prompts and do not yet.
    pub joining_prefill: usize,
    /// Number of runners that have been ordered to generate output and do not yet.
    pub joining_decode: usize,
}

impl Pool {
    /// Sorts runners by stage; `ordered` is the stage to which a runner has been ordered without a visible effect yet.
    pub fn new<F>(runners: &[Arc<Runner>], ordered: F) -> Self
    where
        F: Fn(&Runner) -> Option<Stage>,
    {
        let mut pool = Self::default();
        for runner in runners.iter().filter(|runner| !runner.is_draining) {
            match (ordered(runner), runner.stage) {
                (Some(Stage::Prefill), _) => pool.joining_prefill += 1,
                (Some(Stage::Decode), _) => pool.joining_decode += 1,
                (None, Some(Stage::Prefill)) => pool.prefill.push(Arc::clone(runner)),
                (None, Some(Stage::Decode)) => pool.decode.push(Arc::clone(runner)),
                (None, None) => {}
            }
        }
        pool
    }

    const fn prefill_count(&self) -> usize {
        self.prefill.len() + self.joining_prefill
    }

    const fn decode_count(&self) -> usize {
        self.decode.len() + self.joining_decode
    }

    const fn count(&self) -> usize {
        self.prefill_count() + self.decode_count()
    }
}

/// Plans changes of stage for the runners of one model service. `needs` is `None` while no requests come, and
/// `load_of` orders runners of the same zone: the one with the lowest load changes first.
///
/// If the pool has fewer decode runners than the minimum, prefill runners change back first.
pub fn plan<F>(
    pool: &Pool,
    needs: Option<&StageNeeds>,
    switch_ms: u64,
    load_of: F,
) -> Vec<StageMove>
where
    F: Fn(&Runner) -> f64,
{
    let least_decode = MIN_DECODE_RUNNERS.min(pool.count());
    if pool.decode_count() < least_decode {
        let missing = least_decode - pool.decode_count();
        return moves(&pool.prefill, missing, Stage::Decode, load_of);
    }
    let to_prefill = movable(&pool.decode, pool.decode_count(), MIN_DECODE_RUNNERS);
    let missing = desired_prefill(pool.count()).saturating_sub(pool.prefill_count());
    let Some(needs) = needs else {
        return moves(
            &pool.decode,
            missing.min(to_prefill),
            Stage::Prefill,
            load_of,
        );
    };
    let to_decode = movable(&pool.prefill, pool.prefill_count(), MIN_PREFILL_RUNNERS);
    let step = pool.count().div_ceil(STEP_DIVISOR);
    let rating = Rating {
        pool,
        needs,
        switch_ms: switch_ms as f64,
    };
    let decode_options = (1..=to_decode.min(step)).map(|count| (Stage::Decode, count));
    let prefill_options = (1..=to_prefill.min(step)).map(|count| (Stage::Prefill, count));
    let rated = decode_options
        .chain(prefill_options)
        .map(|(to, count)| (rating.gain(to, count), to, count));
    let best = rated.max_by(|(a, ..), (b, ..)| a.total_cmp(b));
    match best {
        Some((gain, to, count)) if gain > 0.0 => {
            let from = match to {
                Stage::Prefill => &pool.decode,
                Stage::Decode => &pool.prefill,
            };
            moves(from, count, to, load_of)
        }
        Some(_) | None => {
            let count = rating.surplus(missing.min(to_prefill).min(step));
            moves(&pool.decode, count, Stage::Prefill, load_of)
        }
    }
}

/// Number of runners that may leave a stage of `count` runners, of which `from` may be ordered.
fn movable(from: &[Arc<Runner>], count: usize, least: usize) -> usize {
    from.len().min(count.saturating_sub(least))
}

/// Rates changes of the split by the lacks of both stages, each a share of the time that callers allow.
struct Rating<'a> {
    pool: &'a Pool,
    needs: &'a StageNeeds,
    switch_ms: f64,
}

impl Rating<'_> {
    /// Lack of prefill with `count` prefill runners.
    fn prefill_lack(&self, count: usize) -> f64 {
        let ratio = count as f64 / self.pool.prefill.len().max(1) as f64;
        lack(self.needs.prefill(ratio).pressure())
    }

    fn decode_pressure(&self, count: usize) -> f64 {
        let ratio = count as f64 / self.pool.decode.len().max(1) as f64;
        self.needs.decode(ratio).pressure()
    }

    /// Lack of decode with `count` decode runners.
    fn decode_lack(&self, count: usize) -> f64 {
        lack(self.decode_pressure(count))
    }

    /// Gain of moving `count` runners to a stage: the lack that this relieves there once they have changed, less the one
    /// that it causes where they leave and the price of the change.
    fn gain(&self, to: Stage, count: usize) -> f64 {
        let (prefill, decode) = (self.pool.prefill_count(), self.pool.decode_count());
        let (relief, harm, away_ms) = match to {
            Stage::Decode => (
                self.decode_lack(decode) - self.decode_lack(decode + count),
                self.prefill_lack(prefill - count) - self.prefill_lack(prefill),
                self.switch_ms,
            ),
            Stage::Prefill => (
                self.prefill_lack(prefill) - self.prefill_lack(prefill + count),
                self.decode_lack(decode - count) - self.decode_lack(decode),
                self.switch_ms + self.needs.drain_ms(),
            ),
        };
        let gain = relief * (1.0 - away_ms / PAYBACK_MS).max(0.0) - harm;
        gain - HYSTERESIS - self.distance_price(to, count)
    }

    /// Price of a change that leads further away from the default split.
    fn distance_price(&self, to: Stage, count: usize) -> f64 {
        let (prefill, all) = (self.pool.prefill_count(), self.pool.count());
        let default = desired_prefill(all);
        let beyond = match to {
            Stage::Decode => (default + count).saturating_sub(prefill),
            Stage::Prefill => (prefill + count).saturating_sub(default),
        };
        DISTANCE_PRICE * beyond as f64 / all as f64
    }

    /// Number of decode runners, at most `most`, without which the decode stage still has slack.
    fn surplus(&self, most: usize) -> usize {
        let decode = self.pool.decode_count();
        let has_slack = |count: &usize| self.decode_pressure(decode - count) < SLACK_PRESSURE;
        (1..=most).rev().find(has_slack).unwrap_or(0)
    }
}

fn lack(pressure: f64) -> f64 {
    (pressure - LACK_PRESSURE).clamp(0.0, MAX_LACK)
}

/// Selects `count` of the runners for a change of stage, each from a zone with the most runners left and with the lowest
/// load there.
fn moves<F>(from: &[Arc<Runner>], count: usize, to: Stage, load_of: F) -> Vec<StageMove>
where
    F: Fn(&Runner) -> f64,
{
    let mut from = from.to_vec();
    let mut moves = Vec::new();
    while moves.len() < count {
        let in_zone = |i: usize| from.iter().filter(|r| r.zone == from[i].zone).count();
        let preference = |&a: &usize, &b: &usize| {
            let by_load = load_of(&from[b]).total_cmp(&load_of(&from[a]));
            in_zone(a).cmp(&in_zone(b)).then(by_load)
        };
        let Some(position) = (0..from.len()).max_by(preference) else {
            break;
        };
        moves.push(StageMove {
            runner: from.swap_remove(position),
            to,
        });
    }
    moves
}
