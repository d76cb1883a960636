//! Experiments in virtual time with the router, admission and planners of the node.
//!
//! The decisions are made by `tealsaddle-core`, and the engines are those of the model behind the
//! engine stand-in. The simulation only passes messages between them: it polls reports, sends an
//! order once an engine is drained, and counts outcomes. Nodes, network and platform are not
//! modeled; their faults are simulated by their effects, such as delayed reports or orders that
//! cannot be issued.
//!
//! For a given seed, arrivals are the same for every policy.

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
    /// Engines, zones and request kinds.
    pub deployment: Arc<Deployment>,
    /// Load over time and the fault, if any.
    pub scenario: Arc<Scenario>,
    /// Policy that decides on engine roles.
    pub policy: PolicyKind,
    /// Seed of the arrivals and of the router's random choices.
    pub seed: u64,
}

/// Simulates all runs on `threads` threads; outcomes are in the order of the runs.
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
