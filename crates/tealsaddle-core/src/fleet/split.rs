//! Split of a model service's runners between the prefill and the decode stage.
//!
//! With long shared prompt parts, reading prompts is most of the work. Too few decode runners, however,
//! block the whole service: streams pause, then the KV caches run full. The planner therefore assigns most
//! runners to prefill and keeps enough decode runners to tolerate the loss of one. When generating output
//! is most of the work, the decode runners fill up and prefill runners are changed back in small steps.

use std::sync::Arc;

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
/// Fraction of a pool, as a divisor, that changes back to decode in one step. Steps are small so that the
/// effect of one is visible before the next.
const STEP_DIVISOR: usize = 12;

/// Returns how many runners of a pool of `count` runners should be prefill runners.
pub fn desired_prefill(count: usize) -> usize {
    let most = count.saturating_sub(MIN_DECODE_RUNNERS);
    ((count as f64 * DEFAULT_PREFILL_SHARE).round() as usize).min(most)
}

/// Utilization level of a pool's decode runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeUse {
    /// Some of the decode runners could read prompts instead.
    Low,
    /// Neither stage needs more runners.
    Moderate,
    /// Streams slow down or requests wait for a decode runner.
    High,
}

/// Utilization below which decode runners may become prefill runners. The gap to [`HIGH_UTILIZATION`]
/// prevents oscillation, also when another node takes over the orders.
const LOW_UTILIZATION: f64 = 0.2;
/// Utilization from which prefill runners become decode runners. The capacity above absorbs a burst or
/// the loss of a runner.
const HIGH_UTILIZATION: f64 = 0.6;
/// Time for which the utilization has to be high. A burst of a second ends before a change of stage
/// completes.
const MIN_HIGH_DURATION_US: u64 = 2_000_000;

/// Tracks the utilization of one pool's decode runners.
#[derive(Debug, Default)]
pub struct DecodeUseTracker {
    high_since_us: Option<u64>,
}

impl DecodeUseTracker {
    /// Records the share of the slots or of the KV cache that is in use, whichever is larger, and returns
    /// the utilization level.
    pub fn on_utilization(&mut self, utilization: f64, now_us: u64) -> DecodeUse {
        if utilization < HIGH_UTILIZATION {
            self.high_since_us = None;
            return if utilization < LOW_UTILIZATION {
                DecodeUse::Low
            } else {
                DecodeUse::Moderate
            };
        }
        let since_us = *self.high_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) < MIN_HIGH_DURATION_US {
            DecodeUse::Moderate
        } else {
            DecodeUse::High
        }
    }
}

/// Plans changes of stage for the runners of one model service.
///
/// If the pool has fewer decode runners than the minimum, prefill runners change back first. At low
/// utilization of the decode runners, the plan moves towards the split of [`desired_prefill`]; at
/// high utilization, prefill runners change back to decode. A pool with more prefill runners than desired
/// keeps them, because an order makes a runner unavailable for seconds.
pub fn plan(runners: &[Arc<Runner>], decode_use: DecodeUse) -> Vec<StageMove> {
    let of_stage = |stage: Stage| {
        let of_stage = runners
            .iter()
            .filter(|r| !r.is_draining && r.stage == Some(stage));
        of_stage.cloned().collect::<Vec<_>>()
    };
    let prefill = of_stage(Stage::Prefill);
    let decode = of_stage(Stage::Decode);
    let staged = prefill.len() + decode.len();
    let least_decode = MIN_DECODE_RUNNERS.min(staged);
    if decode.len() < least_decode {
        return moves(prefill, least_decode - decode.len(), Stage::Decode);
    }
    match decode_use {
        DecodeUse::Low => {
            let missing = desired_prefill(staged).saturating_sub(prefill.len());
            let spare = decode.len() - least_decode;
            moves(decode, missing.min(spare), Stage::Prefill)
        }
        DecodeUse::Moderate => Vec::new(),
        DecodeUse::High => {
            let spare = prefill.len().saturating_sub(MIN_PREFILL_RUNNERS);
            moves(
                prefill,
                staged.div_ceil(STEP_DIVISOR).min(spare),
                Stage::Decode,
            )
        }
    }
}

/// Selects `count` of the runners for a change of stage, each from the zone with the most runners left.
fn moves(mut from: Vec<Arc<Runner>>, count: usize, to: Stage) -> Vec<StageMove> {
    let mut moves = Vec::new();
    while moves.len() < count {
        let in_zone = |zone: &str| from.iter().filter(|r| *r.zone == *zone).count();
        let Some(position) = (0..from.len()).max_by_key(|&i| in_zone(&from[i].zone)) else {
            break;
        };
        moves.push(StageMove {
            runner: from.swap_remove(position),
            to,
        });
    }
    moves
}
