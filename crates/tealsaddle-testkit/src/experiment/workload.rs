//! Arrivals of a run, which depend only on the seed, the deployment and the scenario.

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tealsaddle_core::planner::Demand;

use super::scenario::{Deployment, Scenario};
use crate::engine::sim::BLOCK_TOKENS;

/// The arrival of a request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of the arrival.
    pub at_us: u64,
    /// Index of the zone that receives the request.
    pub zone: usize,
    /// Index of the request kind.
    pub kind: usize,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the blocks of the shared prefix.
    pub prefix_blocks: Arc<[u64]>,
    /// Number of tokens that the model will generate.
    pub output_tokens: u64,
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: u64,
    /// Index of the customer.
    pub customer: usize,
}

/// Draws the arrivals of a run.
pub fn arrivals(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let prefixes: Vec<Vec<Arc<[u64]>>> = deployment
        .kinds
        .iter()
        .enumerate()
        .map(|(i, kind)| {
            let blocks = kind.shared_tokens / BLOCK_TOKENS;
            let variant = |v: u64| {
                (0..blocks)
                    .map(|b| (i as u64 * 100 + v) * 1_000 + b)
                    .collect()
            };
            (0..kind.shared_variants).map(variant).collect()
        })
        .collect();
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    let zones = deployment.zones.len();
    for (i, phase) in scenario.phases.iter().enumerate() {
        let ends_us = scenario
            .phases
            .get(i + 1)
            .map_or(scenario.length_us, |next| next.from_us);
        let rate = deployment.best_split_rate(phase.first_kind_share).0 * phase.load * zones as f64;
        at_us = phase.from_us as f64 + (at_us - phase.from_us as f64).max(0.0);
        loop {
            // Exponentially distributed gaps result in a Poisson process.
            at_us += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
            if at_us >= ends_us as f64 {
                break;
            }
            let kind = usize::from(rng.random::<f64>() >= phase.first_kind_share);
            let shape = &deployment.kinds[kind];
            let variant = rng.random_range(0..shape.shared_variants) as usize;
            // The square skews the distribution, so that a few customers send most of the requests.
            let customer = rng.random::<f64>().powi(2) * deployment.customers as f64;
            arrivals.push(Arrival {
                at_us: at_us as u64,
                zone: rng.random_range(0..zones),
                kind,
                prompt_tokens: rng.random_range(shape.prompt_tokens.0..=shape.prompt_tokens.1),
                prefix_blocks: Arc::clone(&prefixes[kind][variant]),
                output_tokens: rng.random_range(shape.output_tokens.0..=shape.output_tokens.1),
                max_tokens: shape.max_tokens,
                customer: customer as usize,
            });
        }
    }
    arrivals
}

/// Mean demand on one zone by the start of each phase, as input of the oracle.
pub fn demand_by_phase(deployment: &Deployment, scenario: &Scenario) -> Vec<(u64, Demand)> {
    let demand = scenario.phases.iter().map(|phase| {
        let rate = deployment.best_split_rate(phase.first_kind_share).0 * phase.load;
        let unit = deployment.unit_demand(phase.first_kind_share);
        let demand = Demand {
            requests_per_s: rate,
            prefill_tokens_per_s: unit.prefill_tokens_per_s * rate,
            output_tokens_per_s: unit.output_tokens_per_s * rate,
        };
        (phase.from_us, demand)
    });
    demand.collect()
}
