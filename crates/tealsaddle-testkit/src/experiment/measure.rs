//! Measurements of a run.

use hdrhistogram::Histogram;
use tealsaddle_core::admission::RefusalReason;
use tealsaddle_core::collections::HashMap;

use super::scenario::{US_PER_S, WARM_UP_US};

/// Length of one bin of a time series.
pub const BIN_US: u64 = 5 * US_PER_S;

/// Requests that arrived in one bin.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bin {
    /// Number of requests.
    pub offered: u32,
    /// Requests that were admitted.
    pub admitted: u32,
    /// Requests answered on time.
    pub on_time: u32,
}

/// Measurements of one run. The counts of requests exclude arrivals during the warm-up, except
/// where stated.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Time series by time of arrival, including the warm-up.
    pub bins: Vec<Bin>,
    /// Number of requests.
    pub offered: u64,
    /// Requests answered on time.
    pub on_time: u64,
    /// Requests answered late.
    pub late: u64,
    /// Requests admitted but not answered, including those that arrived during the warm-up.
    pub failed: u64,
    /// Refused requests by reason.
    pub refused: HashMap<RefusalReason, u64>,
    /// Requests routed to another zone, including those that were refused or arrived during the
    /// warm-up.
    pub spilled: u64,
    /// Number of completed role changes.
    pub role_changes: u64,
    /// Number of role changes that started before the minimum dwell time of the engine had passed.
    pub dwell_breaches: u64,
    /// Total time that engines were out of service for role changes, including drains.
    pub role_change_lost_us: u64,
    /// Time from arrival to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens of an answer, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Time series of the number of engines by role (prefill, mixed, decode), summed over all
    /// zones.
    pub role_counts: Vec<(u64, [u32; 3])>,
    /// Time at which the fault actually ended; `None` without one.
    pub repaired_us: Option<u64>,
}

impl Outcome {
    /// Creates an empty outcome for a run of this length.
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

    /// Sum of the bins that lie completely within a period.
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
    /// Fraction of the requests answered on time.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.offered.max(1))
    }
}
