//! How many runners of a model service read prompts and how many generate output.
//!
//! Prompts outweigh outputs in most of the work that shares long prompt parts, but too few decode
//! runners stop everything: streams pause, then memory runs out. The planner therefore gives most runners
//! to reading and keeps enough for decoding to stay clear of that edge when one of them is lost.

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

/// Prefill runners that a pool of `count` should have.
pub fn prefill_target(count: usize) -> usize {
    let most = count.saturating_sub(MIN_DECODE);
    ((count as f64 * PREFILL_SHARE).round() as usize).min(most)
}

/// Moves towards the target; `runners` are those of one model service.
///
/// A pool that has more prefill runners than the target keeps them, since an order takes a runner away
/// for seconds. Only when too few decode runners are left for the pool to serve at all, readers go back.
pub fn plan(runners: &[Arc<Runner>]) -> Vec<StageMove> {
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
    let missing = prefill_target(staged).saturating_sub(prefill.len());
    let spare = decode.len() - least_decode;
    moves(decode, missing.min(spare), Stage::Prefill)
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
