//! Reports and summaries as they are sent between nodes.
//!
//! The names of the fields are short, and work is in whole microseconds: each node sends a message a second.

use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::shares::{CustomerDemand, Report, Summary};
use tealsaddle_core::name::Name;

/// Path of a [`ReportMessage`].
pub const REPORT_PATH: &str = "/shares";

/// Which reports a node sums up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Tier {
    /// Those of the nodes of a group.
    #[serde(rename = "g")]
    Group,
    /// Those of all nodes, or of all groups.
    #[serde(rename = "f")]
    Fleet,
}

/// Customers with what they ask for, in microseconds of runner time per second.
type Demands = Vec<(String, u64)>;

/// A report of one node, or of the nodes of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportMessage {
    #[serde(rename = "s")]
    pub service: String,
    #[serde(rename = "i")]
    pub node: String,
    #[serde(rename = "t")]
    pub tier: Tier,
    #[serde(rename = "n")]
    nodes: u32,
    #[serde(rename = "a")]
    asked: u64,
    #[serde(rename = "v")]
    served: u64,
    #[serde(rename = "r")]
    tried: u64,
    #[serde(rename = "w", default)]
    turned_away: u64,
    #[serde(rename = "b", default)]
    busy_permille: u32,
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    capacity: Option<u64>,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    customers: Demands,
}

/// The answer to a report; without figures if the answering node has none that are up to date.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SummaryMessage {
    #[serde(rename = "n", default)]
    nodes: u32,
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    capacity: Option<u64>,
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    level: Option<u64>,
    #[serde(rename = "q", default)]
    silent_permille: u32,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    customers: Demands,
}

impl ReportMessage {
    /// Encodes a report.
    pub fn encode(service: &Name, node: &Name, tier: Tier, report: &Report) -> Self {
        Self {
            service: service.to_string(),
            node: node.to_string(),
            tier,
            nodes: report.nodes,
            asked: report.asked_us_per_s as u64,
            served: report.served_us_per_s as u64,
            tried: report.tried_us_per_s as u64,
            turned_away: report.turned_away_us_per_s as u64,
            busy_permille: (report.busy * 1e3) as u32,
            capacity: report.capacity_us_per_s.map(|capacity| capacity as u64),
            customers: encode_demands(&report.customers),
        }
    }

    /// Decodes the report.
    pub fn decode(&self) -> Report {
        Report {
            nodes: self.nodes,
            asked_us_per_s: self.asked as f64,
            served_us_per_s: self.served as f64,
            tried_us_per_s: self.tried as f64,
            turned_away_us_per_s: self.turned_away as f64,
            busy: f64::from(self.busy_permille) / 1e3,
            capacity_us_per_s: self.capacity.map(|capacity| capacity as f64),
            customers: decode_demands(&self.customers),
        }
    }
}

/// Encodes a summary.
pub fn encode_summary(summary: Option<&Summary>) -> SummaryMessage {
    summary.map_or_else(SummaryMessage::default, |summary| SummaryMessage {
        nodes: summary.nodes,
        capacity: summary.capacity_us_per_s.map(|capacity| capacity as u64),
        level: summary.level_us_per_s.map(|level| level as u64),
        silent_permille: (summary.silent_ratio * 1e3) as u32,
        customers: encode_demands(&summary.customers),
    })
}

impl SummaryMessage {
    /// Decodes the summary; `None` if the answering node has none.
    pub fn decode(&self) -> Option<Summary> {
        (self.nodes > 0).then(|| Summary {
            nodes: self.nodes,
            capacity_us_per_s: self.capacity.map(|capacity| capacity as f64),
            level_us_per_s: self.level.map(|level| level as f64),
            silent_ratio: (f64::from(self.silent_permille) / 1e3).max(1.0),
            customers: decode_demands(&self.customers),
        })
    }
}

fn encode_demands(customers: &[CustomerDemand]) -> Demands {
    let customers = customers.iter();
    let demands =
        customers.map(|demand| (demand.customer.to_string(), demand.asked_us_per_s as u64));
    demands.collect()
}

fn decode_demands(demands: &[(String, u64)]) -> Vec<CustomerDemand> {
    let demands = demands.iter().map(|(customer, asked)| CustomerDemand {
        customer: Name::from(customer.as_str()),
        asked_us_per_s: *asked as f64,
    });
    demands.collect()
}
