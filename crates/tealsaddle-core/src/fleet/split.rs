//! How many runners of a model service read prompts and how many generate output.
//!
//! Prompts outweigh outputs in most of the work that shares long prompt parts, but too few decode
//! runners stop everything: streams pause, then memory runs out. The planner therefore gives most runners
//! to reading and keeps enough for decoding to stay clear of that edge when one of them is lost. Where
//! outputs outweigh prompts, the decode runners fill up, and readers go back one step at a time.

use std::sync::Arc;

use super::{Runner, Stage};

/// A change of stage.
#[derive(Debug, Clone)]
pub struct StageMove {
    /// The runner.
    pub runner: Arc<Runner>,
    /// Its stage to be.
    pub to: Stage,
}

/// Share of the runners of a model service that read prompts when nothing is known of the mix.
const PREFILL_SHARE: f64 = 0.72;
/// Fewest decode runners: one may be lost and the streams still run.
const MIN_DECODE: usize = 2;

/// Fewest prefill runners: one may be lost.
const MIN_PREFILL: usize = 2;
/// Part of a pool, as a divisor, that goes back at a time: its effect is seen before the next step.
const STEP_DIVISOR: usize = 12;

/// Prefill runners that a pool of `count` should have.
pub fn desired_prefill(count: usize) -> usize {
    let most = count.saturating_sub(MIN_DECODE);
    ((count as f64 * PREFILL_SHARE).round() as usize).min(most)
}

/// How busy the decode runners of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeUse {
    /// Some of them could read prompts instead.
    Low,
    /// No change is worth an order.
    Moderate,
    /// Streams slow down or wait.
    High,
}

/// Use below which decode runners may become prefill runners. The gap to the other bound keeps a pool
/// from going back and forth, also when another node takes over the orders.
const LOW_USE: f64 = 0.2;
/// Use from which prefill runners become decode runners: the rest absorbs a burst or a lost runner.
const HIGH_USE: f64 = 0.6;
/// Time for which the use has to be high: a burst of a second is over before a change of stage is.
const HIGH_FOR_US: u64 = 2_000_000;

/// Follows the use of the decode runners of one pool.
#[derive(Debug, Default)]
pub struct DecodeUseTracker {
    high_since_us: Option<u64>,
}

impl DecodeUseTracker {
    /// Takes the share of slots or memory in use, whichever is more.
    pub fn on_utilization(&mut self, share: f64, now_us: u64) -> DecodeUse {
        if share < HIGH_USE {
            self.high_since_us = None;
            return if share < LOW_USE {
                DecodeUse::Low
            } else {
                DecodeUse::Moderate
            };
        }
        let since_us = *self.high_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) < HIGH_FOR_US {
            DecodeUse::Moderate
        } else {
            DecodeUse::High
        }
    }
}

/// Moves towards the target while decode runners have little to do, and back while they have too much;
/// `runners` are those of one model service.
///
/// A pool that has more prefill runners than the target keeps them, since an order takes a runner away
/// for seconds.
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
    let least_decode = MIN_DECODE.min(staged);
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
            let spare = prefill.len().saturating_sub(MIN_PREFILL);
            moves(
                prefill,
                staged.div_ceil(STEP_DIVISOR).min(spare),
                Stage::Decode,
            )
        }
    }
}

/// Moves `count` of the runners, each from the zone that has most of them left.
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
