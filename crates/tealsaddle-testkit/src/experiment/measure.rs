//! What is counted in a run.

use hdrhistogram::Histogram;
use tealsaddle_core::admission::RefusalReason;
use tealsaddle_core::collections::HashMap;

use super::scenario::{US_PER_S, WARM_UP_US};

/// Length of one point of a time series.
pub const BIN_US: u64 = 5 * US_PER_S;

/// Requests that arrived in one bin.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bin {
    /// All.
    pub offered: u32,
    /// Admitted.
    pub admitted: u32,
    /// Answered on time.
    pub on_time: u32,
}

/// Result of one run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// By time of arrival, warm-up included.
    pub bins: Vec<Bin>,
    /// Requests after the warm-up.
    pub offered: u64,
    /// Answered on time.
    pub on_time: u64,
    /// Answered late.
    pub late: u64,
    /// Admitted and not answered.
    pub failed: u64,
    /// Refused, by reason.
    pub refused: HashMap<RefusalReason, u64>,
    /// Requests moved to another zone.
    pub spilled: u64,
    /// Role changes that took effect.
    pub role_changes: u64,
    /// Role changes of an engine within its dwell time.
    pub dwell_breaches: u64,
    /// Engine time out of service for role changes, drains included.
    pub role_change_lost_us: u64,
    /// Time from arrival to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens of an answer, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Engines per role over time, summed over zones: time, prefill, mixed, decode.
    pub role_counts: Vec<(u64, [u32; 3])>,
    /// Time of the end of a fault, as it happened.
    pub repaired_us: Option<u64>,
}

impl Outcome {
    /// Makes an empty result for a run of this length.
    pub fn new(length_us: u64) -> Self {
        // Three digits are enough for latencies; the bounds are 1 us and 10 min.
        let histogram =
            || Histogram::new_with_bounds(1, 600 * US_PER_S, 3).expect("the bounds are valid");
        Self {
            bins: vec![Bin::default(); length_us.div_ceil(BIN_US) as usize],
            offered: 0,
            on_time: 0,
            late: 0,
            failed: 0,
            refused: HashMap::default(),
            spilled: 0,
            role_changes: 0,
            dwell_breaches: 0,
            role_change_lost_us: 0,
            first_token: histogram(),
            between_tokens: histogram(),
            role_counts: Vec::new(),
            repaired_us: None,
        }
    }

    pub(super) fn bin(&mut self, arrived_us: u64) -> &mut Bin {
        &mut self.bins[(arrived_us / BIN_US) as usize]
    }

    pub(super) fn on_refused(&mut self, arrived_us: u64, reason: RefusalReason) {
        if arrived_us >= WARM_UP_US {
            *self.refused.entry(reason).or_insert(0) += 1;
        }
    }

    /// Sum of the bins within a time.
    pub fn between(&self, from_us: u64, to_us: u64) -> Bin {
        let bins = self.bins.iter().enumerate();
        let inside = bins.filter(|(i, _)| {
            let start_us = *i as u64 * BIN_US;
            start_us >= from_us && start_us + BIN_US <= to_us
        });
        inside.fold(Bin::default(), |sum, (_, bin)| Bin {
            offered: sum.offered + bin.offered,
            admitted: sum.admitted + bin.admitted,
            on_time: sum.on_time + bin.on_time,
        })
    }
}

impl Bin {
    /// Share of the requests answered on time.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered.max(1))
    }
}
