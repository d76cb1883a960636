//! Decision records, which let operators follow every choice live.
//!
//! Each decision contains its inputs, the choice, the alternatives and the reason. The node streams
//! decisions to operators and keeps the most recent ones in a bounded ring.

use std::collections::VecDeque;

use serde::Serialize;

/// Kind of a decision, by which operators can filter the decision stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was admitted or refused.
    Admit,
    /// An engine or target was chosen.
    Route,
    /// A failed attempt was retried, or the request was failed.
    Retry,
    /// A claim for a non-repeatable call was created or resolved.
    Claim,
    /// An engine was drained or returned to service.
    Drain,
    /// A role change was planned, ordered or completed.
    Role,
    /// The authority over a zone was acquired, handed over or lost.
    Lease,
    /// A configuration version was applied.
    Config,
    /// A VM or process joined, is leaving or was removed.
    Member,
}

/// One option that was considered.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Alternative {
    /// Name of the option.
    pub name: String,
    /// Its score; lower is better.
    pub score: f64,
    /// Why the option was chosen or rejected.
    pub reason: String,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// Time of the decision, in microseconds of the node's clock.
    pub at_us: u64,
    /// What the decision is about, such as a route or a drain.
    pub kind: DecisionKind,
    /// Request, engine or zone that the decision concerns.
    pub subject: String,
    /// Name of the chosen option or outcome.
    pub choice: String,
    /// Reason for the choice, as a text for operators.
    pub reason: String,
    /// Inputs of the decision as pairs of name and value.
    pub inputs: Vec<(String, String)>,
    /// Options that were considered.
    pub alternatives: Vec<Alternative>,
}

/// Ring of the most recent decisions, bounded in number.
#[derive(Debug)]
pub struct DecisionRing {
    capacity: usize,
    decisions: VecDeque<Decision>,
}

impl DecisionRing {
    /// Creates a ring that keeps the last `capacity` decisions.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            decisions: VecDeque::with_capacity(capacity),
        }
    }

    /// Adds a decision, dropping the oldest one if the ring is full.
    pub fn push(&mut self, decision: Decision) {
        if self.capacity == 0 {
            return;
        }
        if self.decisions.len() == self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Iterates over the decisions for `subject`, oldest first.
    pub fn for_subject<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a Decision> {
        self.decisions
            .iter()
            .filter(move |decision| decision.subject == subject)
    }

    /// Iterates over all decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }
}
