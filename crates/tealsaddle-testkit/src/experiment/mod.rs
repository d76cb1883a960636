//! Experiments in virtual time with the router, admission and planners of the node.
//!
//! The decisions are those of `tealsaddle-core` and the engines are the model behind the engine
//! stand-in. What stands between them here only carries messages: it polls reports, sends orders once
//! an engine is drained, and counts outcomes. There is no model of nodes, network or platform; their
//! faults appear as what they cause, such as reports that are late or orders that cannot be issued.
//!
//! The arrivals of a seed are the same for every policy.

pub mod measure;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod simulation;
mod traffic;
pub mod workload;
mod zone;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use measure::Outcome;
use scenario::{Deployment, PolicyKind, Scenario};

/// One simulated run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Fleet and users.
    pub deployment: Arc<Deployment>,
    /// What happens.
    pub scenario: Arc<Scenario>,
    /// Who decides on roles.
    pub policy: PolicyKind,
    /// Seed of arrivals and choices.
    pub seed: u64,
}

/// Simulates all runs on a few threads; outcomes are in the order of the runs.
pub fn run_all(runs: &[Run], threads: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let outcomes: Mutex<Vec<Option<Outcome>>> = Mutex::new(vec![None; runs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(i) else { return };
                    let outcome = simulation::simulate(run);
                    outcomes.lock().expect("no run panics")[i] = Some(outcome);
                }
            });
        }
    });
    let outcomes = outcomes.into_inner().expect("no run panics");
    let outcomes = outcomes
        .into_iter()
        .map(|outcome| outcome.expect("every run was simulated"));
    outcomes.collect()
}
