//! Demand of callers at this node per model, including refused requests.
//!
//! Totals only grow. The holder computes differences, so a lost heartbeat loses no demand.

use std::sync::Mutex;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::name::Name;

/// Totals of one model since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemandTotals {
    /// Requests, including refused ones. A forwarded request counts only at the node that receives it.
    pub requests: u64,
    /// Complete answers.
    pub answers: u64,
    /// Prompt tokens of these answers that were not in a prefix cache.
    pub read_tokens: u64,
    /// Output tokens of these answers.
    pub output_tokens: u64,
}

/// Counters of the demand for all models.
#[derive(Debug, Default)]
pub struct DemandCounters {
    totals: Mutex<HashMap<Name, DemandTotals>>,
}

impl DemandCounters {
    fn update(&self, model: &Name, update: impl FnOnce(&mut DemandTotals)) {
        let mut totals = self.totals.lock().expect("no holder of the lock panics");
        update(totals.entry(Name::clone(model)).or_default());
    }

    /// Counts a request.
    pub fn on_request(&self, model: &Name) {
        self.update(model, |totals| totals.requests += 1);
    }

    /// Counts a complete answer; `read_tokens` are the prompt tokens that were not in a prefix cache.
    pub fn on_answer(&self, model: &Name, read_tokens: u64, output_tokens: u64) {
        self.update(model, |totals| {
            totals.answers += 1;
            totals.read_tokens = totals.read_tokens.saturating_add(read_tokens);
            totals.output_tokens = totals.output_tokens.saturating_add(output_tokens);
        });
    }

    /// Returns the totals of all models, in no particular order.
    pub fn totals(&self) -> Vec<(Name, DemandTotals)> {
        let totals = self.totals.lock().expect("no holder of the lock panics");
        totals
            .iter()
            .map(|(model, totals)| (Name::clone(model), *totals))
            .collect()
    }
}
