//! Result of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Serialize, Serializer};

use super::Plan;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Completed {
        /// Time from the request to the first token.
        first_token: Duration,
        /// Mean time between tokens.
        between_tokens: Duration,
    },
    /// The whole answer came, but not the one to this request.
    Wrong,
    /// It was refused, with the reason.
    Refused(String),
    /// The answer broke off, with the reason.
    Broken(String),
}

/// A distribution of times, written as percentiles in milliseconds.
#[derive(Debug, Clone)]
pub struct Percentiles(Histogram<u64>);

impl Percentiles {
    fn new() -> Self {
        let longest_us = 3_600_000_000;
        Self(Histogram::new_with_max(longest_us, 3).expect("the bounds are valid"))
    }

    /// A percentile in milliseconds.
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

/// Result of one phase, by the phase in which a request was sent.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers on time.
    pub on_time: u64,
}

/// Result of a load.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Time from the first request to the last answer.
    pub duration_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub completed: u64,
    /// Whole answers on time.
    pub on_time: u64,
    /// Answers that belong to another request or are not complete.
    pub wrong: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Answers that broke off, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Time to the first token of whole answers.
    pub first_token_ms: Percentiles,
    /// Mean time between the tokens of each whole answer.
    pub between_tokens_ms: Percentiles,
    /// Results by phase.
    pub phases: Vec<PhaseReport>,
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
