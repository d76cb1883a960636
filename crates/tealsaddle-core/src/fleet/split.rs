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
/// Only missing prefill runners are ordered. A pool that has more than the target keeps them, since an
/// order takes a runner away for seconds.
pub fn plan(runners: &[Arc<Runner>]) -> Vec<StageMove> {
    let ready: Vec<_> = runners.iter().filter(|r| !r.is_draining).collect();
    let staged = ready.iter().filter(|r| r.stage.is_some()).count();
    let prefill = ready.iter().filter(|r| r.stage == Some(Stage::Prefill));
    let missing = prefill_target(staged).saturating_sub(prefill.count());
    let mut decode: Vec<_> = ready
        .into_iter()
        .filter(|r| r.stage == Some(Stage::Decode))
        .collect();
    // Spread over the zones: take from the zone with the most decode runners left.
    let mut moves = Vec::new();
    while moves.len() < missing && decode.len() > MIN_DECODE {
        let in_zone = |zone: &str| decode.iter().filter(|r| *r.zone == *zone).count();
        let Some(position) = (0..decode.len()).max_by_key(|&i| in_zone(&decode[i].zone)) else {
            break;
        };
        moves.push(StageMove {
            runner: Arc::clone(decode.swap_remove(position)),
            to: Stage::Prefill,
        });
    }
    moves
}
