//! Decision events, so that every choice can be watched while it happens.
//!
//! Each decision carries its inputs, the choice, the alternatives and the reason. The node streams
//! them to operators and keeps the last ones in a bounded ring.

use std::collections::VecDeque;

use serde::Serialize;

/// What a decision was about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was admitted or refused.
    Admit,
    /// An engine or target was chosen.
    Route,
    /// A failed attempt was repeated or given up.
    Retry,
    /// A claim for a non-repeatable call was made or settled.
    Claim,
    /// An engine was drained or opened.
    Drain,
    /// A role change was planned, ordered or completed.
    Role,
    /// Authority over a zone was taken, renewed or lost.
    Lease,
    /// A configuration came into force.
    Config,
    /// A VM or process joined, is leaving or is gone.
    Member,
}

/// One option that was weighed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Alternative {
    /// Name of the option.
    pub name: String,
    /// Its score; lower is better.
    pub score: f64,
    /// Why it was taken or left.
    pub reason: String,
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// Time of the decision.
    pub at_us: u64,
    /// What it was about.
    pub kind: DecisionKind,
    /// The request, engine or zone it concerns.
    pub subject: String,
    /// What was chosen.
    pub choice: String,
    /// Why.
    pub reason: String,
    /// Inputs as name and value.
    pub inputs: Vec<(String, String)>,
    /// The options that were weighed.
    pub alternatives: Vec<Alternative>,
}

/// The last decisions, bounded in number.
#[derive(Debug)]
pub struct DecisionRing {
    capacity: usize,
    decisions: VecDeque<Decision>,
}

impl DecisionRing {
    /// Makes a ring that keeps `capacity` decisions.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            decisions: VecDeque::with_capacity(capacity),
        }
    }

    /// Adds a decision and drops the oldest one when the ring is full.
    pub fn push(&mut self, decision: Decision) {
        if self.decisions.len() == self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Decisions about one subject, oldest first.
    pub fn for_subject<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a Decision> {
        self.decisions
            .iter()
            .filter(move |decision| decision.subject == subject)
    }

    /// All decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }
}
