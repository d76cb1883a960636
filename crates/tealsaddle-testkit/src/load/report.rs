//! Results of a load test.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Serialize, Serializer};

use super::Plan;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete.
    Completed {
        /// Time from the request to the first token.
        first_token: Duration,
        /// Mean time between tokens.
        between_tokens: Duration,
    },
    /// The answer was complete but differs from the expected output.
    Wrong,
    /// The request was refused, with this reason.
    Refused(String),
    /// The answer was incomplete or did not arrive, for this reason.
    Broken(String),
}

/// A distribution of times, serialized as percentiles in milliseconds.
#[derive(Debug, Clone)]
pub struct Percentiles(Histogram<u64>);

impl Percentiles {
    fn new() -> Self {
        let longest_us = 3_600_000_000;
        Self(Histogram::new_with_max(longest_us, 3).expect("the bounds are valid"))
    }

    /// Value of a percentile, from 0 to 100, in milliseconds.
    pub fn at(&self, percentile: f64) -> f64 {
        self.0.value_at_quantile(percentile / 100.0) as f64 / 1_000.0
    }
}

impl Serialize for Percentiles {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let rows = [("p50", 50.0), ("p95", 95.0), ("p99", 99.0), ("max", 100.0)];
        serializer.collect_map(rows.map(|(name, percentile)| (name, self.at(percentile))))
    }
}

/// Results of the requests sent in one phase.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub completed: u64,
    /// Number of complete answers within both time limits of the plan.
    pub on_time: u64,
}

/// Results of a load test.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Time from the start of the load to the last answer.
    pub duration_s: f64,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete answers.
    pub completed: u64,
    /// Number of complete answers within both time limits of the plan.
    pub on_time: u64,
    /// Complete answers that differ from the expected output; counted only with [`Plan::verify`].
    pub wrong: u64,
    /// Number of refused requests by reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of incomplete answers by reason.
    pub broken: BTreeMap<String, u64>,
    /// Time to the first token of complete answers.
    pub first_token_ms: Percentiles,
    /// Mean time between the tokens of each complete answer.
    pub between_tokens_ms: Percentiles,
    /// Results of the phases, in the order of the plan.
    pub phases: Vec<PhaseReport>,
    /// Maximum time to the first token and mean time between tokens of an answer on time.
    #[serde(skip)]
    targets: (Duration, Duration),
}

impl Report {
    pub(super) fn new(plan: &Plan) -> Self {
        let phases = plan.phases.iter().map(|phase| PhaseReport {
            name: phase.name.clone(),
            sent: 0,
            completed: 0,
            on_time: 0,
        });
        Self {
            duration_s: 0.0,
            sent: 0,
            completed: 0,
            on_time: 0,
            wrong: 0,
            refused: BTreeMap::new(),
            broken: BTreeMap::new(),
            first_token_ms: Percentiles::new(),
            between_tokens_ms: Percentiles::new(),
            phases: phases.collect(),
            targets: (
                Duration::from_millis(plan.first_token_ms),
                Duration::from_millis(plan.between_tokens_ms),
            ),
        }
    }

    pub(super) fn add(&mut self, phase: usize, outcome: &Outcome) {
        let phase = &mut self.phases[phase];
        self.sent += 1;
        phase.sent += 1;
        match outcome {
            Outcome::Completed {
                first_token,
                between_tokens,
            } => {
                self.completed += 1;
                phase.completed += 1;
                let first_us = first_token.as_micros() as u64;
                let between_us = between_tokens.as_micros() as u64;
                self.first_token_ms.0.saturating_record(first_us);
                self.between_tokens_ms.0.saturating_record(between_us);
                if *first_token <= self.targets.0 && *between_tokens <= self.targets.1 {
                    self.on_time += 1;
                    phase.on_time += 1;
                }
            }
            Outcome::Wrong => self.wrong += 1,
            Outcome::Refused(reason) => *self.refused.entry(reason.clone()).or_default() += 1,
            Outcome::Broken(reason) => *self.broken.entry(reason.clone()).or_default() += 1,
        }
    }
}
