//! Fair shares of the customers of a service, over all nodes.
//!
//! While the runners of a service have spare capacity, no customer is limited. While they turn work away, each customer
//! gets up to a common level of work per second (max-min fairness), where work is the runner time that requests are
//! expected to take.
//!
//! Each node [counts](NodeShares) what the customers ask for and reports it once a second. One node per service
//! [sums up](Collector) the reports, estimates the capacity, and answers with the level and with what the customers
//! near or above it ask for in the fleet. A node divides the level of a customer by what the customer asks for here
//! and elsewhere, so that its share is available at the nodes that it reaches.

mod capacity;
mod collector;
mod node;

use crate::name::Name;

pub use collector::Collector;
pub use node::{NodeShares, OverShare};

/// Time after the last summary from which a node hears nothing.
pub const STALE_US: u64 = 3_000_000;

/// Largest ratio of the registered nodes to those that report: a third of the nodes may be silent.
const MAX_SILENT_RATIO: f64 = 1.5;

/// Work that a customer asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerDemand {
    /// Name of the customer.
    pub customer: Name,
    /// Work asked for, including refused requests, in microseconds of runner time per second.
    pub asked_us_per_s: f64,
}

/// What one or several nodes tell about a service. Work is in microseconds of runner time per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Number of nodes.
    pub nodes: u32,
    /// Work that all customers ask for.
    pub asked_us_per_s: f64,
    /// Work that was admitted and not turned away by runners.
    pub served_us_per_s: f64,
    /// Work that was admitted in the last second.
    pub tried_us_per_s: f64,
    /// Part of it that the runners turned away.
    pub turned_away_us_per_s: f64,
    /// Mean use of the runners' places, from 0 to 1.
    pub busy: f64,
    /// Capacity of the service as last told by the node that sums up, for a node that takes over from it.
    pub capacity_us_per_s: Option<f64>,
    /// The customers that ask for the most, in descending order; empty while the service is not short of capacity.
    pub customers: Vec<CustomerDemand>,
}

/// What the node that sums up tells about a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Number of nodes whose reports it covers.
    pub nodes: u32,
    /// Estimated capacity; `None` while the service is not short of it.
    pub capacity_us_per_s: Option<f64>,
    /// Largest work per second of a customer, in microseconds of runner time; `None` if no customer is limited.
    pub level_us_per_s: Option<f64>,
    /// Ratio of the running nodes to those that the summary covers; 1 if no node is silent.
    pub silent_ratio: f64,
    /// The customers that ask for more than the level, or little less.
    pub customers: Vec<CustomerDemand>,
}

impl Default for Summary {
    fn default() -> Self {
        Self {
            nodes: 0,
            capacity_us_per_s: None,
            level_us_per_s: None,
            silent_ratio: 1.0,
            customers: Vec::new(),
        }
    }
}

/// Keeps the first customers in descending order of what they ask for.
fn largest_first(customers: &mut Vec<CustomerDemand>, max: usize) {
    customers.sort_by(|a, b| {
        let by_demand = b.asked_us_per_s.total_cmp(&a.asked_us_per_s);
        by_demand.then_with(|| a.customer.cmp(&b.customer))
    });
    customers.truncate(max);
}
