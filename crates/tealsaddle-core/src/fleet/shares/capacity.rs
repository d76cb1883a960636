//! Capacity of a service, as observed while it is short of it.
//!
//! The capacity is the work that runners take while they turn other work away. It is not computed from the number of
//! runners: which stage is the bottleneck, and how many prompt parts are cached, changes with the requests.

use super::Report;

/// Share of the admitted work that runners have to turn away before the service counts as short of capacity. Single
/// requests are refused at any time, for example since their deadline is too short for any runner.
const SHORT_SHARE: f64 = 0.02;
/// Use of the runners' places below which refusals have another cause than a shortage.
const SHORT_BUSY: f64 = 0.5;
/// Use of the runners' places from which the estimate grows slowly.
const NEARLY_FULL: f64 = 0.9;
/// Increase per second of the estimate while the runners are nearly full and turn nothing away, and largest estimate then,
/// as a factor on the work served.
const GROWTH_PER_S: f64 = 0.03;
const MAX_AHEAD: f64 = 1.05;
/// Addition to both for the share of places that are free beyond that, so that new runners are in use after a few seconds.
const GROWTH_BY_PLACES: f64 = 0.3;
/// Part of the work served that is given out while runners turn work away, so that their queues shrink. Otherwise their
/// refusals, which know no shares, would go on.
const BACK_OFF: f64 = 0.95;
/// Largest decrease of the estimate per second. The work served in one second varies with the size of the requests.
const MAX_DECREASE_PER_S: f64 = 0.5;
/// Time without a refusal by runners, and with enough capacity for all, after which the shortage is over.
const CALM_US: u64 = 3_000_000;

/// Smallest estimate. At zero, no customer would be admitted, and no work served that could raise it again.
const MIN_US_PER_S: f64 = 100e3;

/// Time in which a node that begins to sum up takes over the estimate of the one before it, as the reports tell it.
const TAKE_OVER_US: u64 = 3_000_000;

/// Estimated capacity of a service.
#[derive(Debug, Default)]
pub(super) struct Capacity {
    /// Work per second, in microseconds of runner time; `None` while the service is not short of capacity.
    us_per_s: Option<f64>,
    short_at_us: u64,
    updated_us: u64,
    /// Until when the estimate of an earlier node is taken over; 0 before the first report.
    take_over_until_us: u64,
}

impl Capacity {
    /// Updates the estimate and returns it; `None` while the service is not short of capacity. `silent_ratio` is the ratio of
    /// the nodes that run to those that report.
    pub(super) fn update(&mut self, total: &Report, silent_ratio: f64, now_us: u64) -> Option<f64> {
        let elapsed_s = now_us.saturating_sub(self.updated_us).min(1_000_000) as f64 / 1e6;
        self.updated_us = now_us;
        if self.take_over_until_us == 0 {
            self.take_over_until_us = now_us + TAKE_OVER_US;
        }
        if self.us_per_s.is_none() && now_us < self.take_over_until_us {
            self.us_per_s = total.capacity_us_per_s;
            self.short_at_us = now_us;
        }
        if is_short(total) {
            self.short_at_us = now_us;
            let lowest = self.us_per_s.unwrap_or(0.0) * (1.0 - MAX_DECREASE_PER_S * elapsed_s);
            let found = (total.served_us_per_s * BACK_OFF).max(lowest);
            self.us_per_s = Some(found.max(MIN_US_PER_S));
            return self.us_per_s;
        }
        let us_per_s = self.us_per_s?;
        let calm_us = now_us.saturating_sub(self.short_at_us);
        let by_places = (NEARLY_FULL - total.busy).max(0.0) * GROWTH_BY_PLACES;
        // The work served falls at once when reports of silent nodes expire, and with it the capacity left for the others.
        let most = total.served_us_per_s * (MAX_AHEAD + by_places);
        let most = most.max(us_per_s * (1.0 - MAX_DECREASE_PER_S * elapsed_s));
        let growth = (GROWTH_PER_S + by_places) * elapsed_s;
        let grown = (us_per_s * (1.0 + growth)).min(most).max(MIN_US_PER_S);
        let is_over = calm_us > CALM_US && total.asked_us_per_s * silent_ratio <= grown;
        self.us_per_s = (!is_over).then_some(grown);
        self.us_per_s
    }
}

fn is_short(total: &Report) -> bool {
    total.turned_away_us_per_s > total.tried_us_per_s * SHORT_SHARE && total.busy >= SHORT_BUSY
}
