//! Reports of several nodes about one service, summed up.

use super::capacity::Capacity;
use super::{CustomerDemand, MAX_SILENT_RATIO, Report, Summary, largest_first};
use crate::collections::HashMap;
use crate::max_min::{self, Demand};
use crate::name::Name;

/// Time after which a report is out of date. The callers of a node that is gone are counted twice until then, and nodes
/// report once a second, so that one message may be lost.
const STALE_US: u64 = 2_300_000;
/// Time for which a silent node may still be running. Later, its registration has ended if it is gone.
const SILENT_US: u64 = 30_000_000;
/// Time in which all nodes send a first report.
const FIRST_REPORTS_US: u64 = 1_200_000;
/// Smallest time between two summaries.
const SUMMARY_INTERVAL_US: u64 = 250_000;
/// Largest number of customers in a report of several nodes, and in a summary.
const MAX_CUSTOMERS: usize = 64;
/// Share of the level from which a customer is part of the summary.
const NEAR_LEVEL: f64 = 0.7;
/// Share of the work that customers in reports have to ask for before a level is computed. Nodes add the customers to
/// their reports only once they know of the shortage.
const MIN_LISTED: f64 = 0.7;
/// Smallest share of the capacity for the customers that are listed.
const MIN_FOR_LISTED: f64 = 0.25;

/// Weight of the newest level in the mean of the levels.
const USUAL_WEIGHT: f64 = 0.1;
/// Use of the runners' places below which the level may rise while nodes are silent, and the factor by which it does with
/// each summary.
const PLACES_BUSY: f64 = 0.5;
const RISE_WITH_PLACES: f64 = 1.01;

#[derive(Debug)]
struct Received {
    report: Report,
    at_us: u64,
}

/// Reports of several nodes about one service.
#[derive(Debug, Default)]
pub struct Collector {
    reports: HashMap<Name, Received>,
    capacity: Capacity,
    summary: Summary,
    /// Mean of the levels while no node was silent.
    usual_level: Option<f64>,
    summed_us: Option<u64>,
    /// When the first of the present reports was received.
    began_us: u64,
}

impl Collector {
    /// Records the report of a node, in place of its last one.
    pub fn on_report(&mut self, node: Name, report: Report, now_us: u64) {
        if !self.is_in_use(now_us) {
            // The capacity of an earlier time is out of date; the reports tell that of the node that summed up since.
            self.capacity = Capacity::default();
            self.summary = Summary::default();
            self.usual_level = None;
            self.began_us = now_us;
        }
        let at_us = now_us;
        self.reports.insert(node, Received { report, at_us });
    }

    /// Returns whether any node has reported lately.
    pub fn is_in_use(&self, now_us: u64) -> bool {
        let mut reports = self.reports.values();
        reports.any(|received| is_fresh(received, now_us))
    }

    /// Returns the sum of the reports that are not out of date.
    pub fn total(&self, now_us: u64) -> Report {
        let mut total = Report::default();
        let mut busy = 0.0;
        let mut demands: HashMap<&Name, f64> = HashMap::default();
        let reports = self.reports.values();
        for Received { report, .. } in reports.filter(|received| is_fresh(received, now_us)) {
            total.nodes = total.nodes.saturating_add(report.nodes);
            total.asked_us_per_s += report.asked_us_per_s;
            total.served_us_per_s += report.served_us_per_s;
            total.tried_us_per_s += report.tried_us_per_s;
            total.turned_away_us_per_s += report.turned_away_us_per_s;
            let known = (total.capacity_us_per_s, report.capacity_us_per_s);
            // `None` is less than any figure.
            total.capacity_us_per_s = if known.0 < known.1 { known.1 } else { known.0 };
            busy += report.busy * report.tried_us_per_s;
            for demand in &report.customers {
                *demands.entry(&demand.customer).or_default() += demand.asked_us_per_s;
            }
        }
        // Nodes with more requests know the runners better.
        total.busy = busy / total.tried_us_per_s.max(1.0);
        let customers = demands.into_iter();
        let customers = customers.map(|(customer, asked_us_per_s)| CustomerDemand {
            customer: Name::clone(customer),
            asked_us_per_s,
        });
        total.customers = customers.collect();
        largest_first(&mut total.customers, MAX_CUSTOMERS);
        total
    }

    /// Returns the summary for all nodes, of which `registered` are registered; 0 if that is not known. It covers no node
    /// before all have had the time to report.
    pub fn summary(&mut self, registered: u32, now_us: u64) -> &Summary {
        let is_recent = |at_us: u64| now_us < at_us + SUMMARY_INTERVAL_US;
        let has_all = now_us >= self.began_us + FIRST_REPORTS_US;
        if has_all && !self.summed_us.is_some_and(is_recent) {
            self.summed_us = Some(now_us);
            self.sum_up(registered, now_us);
        }
        &self.summary
    }

    fn sum_up(&mut self, registered: u32, now_us: u64) {
        self.reports
            .retain(|_node, received| now_us < received.at_us + SILENT_US);
        let total = self.total(now_us);
        let silent_ratio = self.silent_ratio(total.nodes, registered, now_us);
        let capacity = self.capacity.update(&total, silent_ratio, now_us);
        self.summary.nodes = total.nodes;
        self.summary.capacity_us_per_s = capacity;
        let Some(capacity_us_per_s) = capacity else {
            self.summary.level_us_per_s = None;
            self.summary.customers.clear();
            return;
        };
        let listed = total.customers.iter().map(|demand| demand.asked_us_per_s);
        let unlisted = total.asked_us_per_s - listed.sum::<f64>();
        if unlisted > total.asked_us_per_s * (1.0 - MIN_LISTED) {
            return;
        }
        let for_listed = (capacity_us_per_s - unlisted).max(capacity_us_per_s * MIN_FOR_LISTED);
        let demands = total.customers.iter().map(|demand| Demand {
            per_s: demand.asked_us_per_s,
            weight: 1.0,
        });
        let level = max_min::distribute(demands.collect(), for_listed).level;
        // The reports lack the demand at the silent nodes, and the capacity that those use.
        let level = self.bounded(level * silent_ratio, silent_ratio, &total);
        self.summary.silent_ratio = silent_ratio;
        self.summary.level_us_per_s = level.is_finite().then_some(level);
        self.summary.customers = total.customers;
        let is_near = |demand: &CustomerDemand| demand.asked_us_per_s >= level * NEAR_LEVEL;
        self.summary.customers.retain(is_near);
    }

    /// The level, which does not rise while nodes are silent unless runners have places: customers that use most of their
    /// shares at the silent nodes would get much of them once more.
    fn bounded(&mut self, level: f64, silent_ratio: f64, total: &Report) -> f64 {
        if silent_ratio <= 1.0 {
            let usual = self.usual_level.filter(|usual| usual.is_finite());
            let usual = usual.unwrap_or(level);
            self.usual_level = Some(usual + USUAL_WEIGHT * (level - usual));
            return level;
        }
        let usual = self.usual_level.unwrap_or(f64::INFINITY);
        if total.busy < PLACES_BUSY {
            self.usual_level = Some(usual * RISE_WITH_PLACES);
        }
        level.min(usual)
    }

    /// Ratio of the nodes that are running to those that report, as far as it can be told.
    fn silent_ratio(&self, nodes: u32, registered: u32, now_us: u64) -> f64 {
        let silent = self.reports.values();
        let silent = silent.filter(|received| !is_fresh(received, now_us));
        let silent = silent.map(|received| received.report.nodes);
        let silent = silent.fold(0, u32::saturating_add);
        let silent = silent.min(registered.saturating_sub(nodes));
        let ratio = (f64::from(nodes) + f64::from(silent)) / f64::from(nodes.max(1));
        ratio.min(MAX_SILENT_RATIO)
    }
}

const fn is_fresh(received: &Received, now_us: u64) -> bool {
    now_us <= received.at_us + STALE_US
}
