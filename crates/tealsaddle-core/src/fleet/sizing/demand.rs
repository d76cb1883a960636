//! Demand of the fleet for a service, added up from what each node reports of its own requests.
//!
//! Nodes report totals since their start and the requests that are open now. The totals give rates between any two reports,
//! however far apart, so a lost report costs nothing. Nodes that have not reported yet count as much as the mean of the
//! others; the last rates of a node that has gone silent are kept for [`MAX_AGE_US`].

use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::collections::HashMap;
use crate::fleet::Stage;
use crate::fleet::load::Work;

/// Age from which the report of a node is no longer used.
pub const MAX_AGE_US: u64 = 30_000_000;
/// Shortest time between two reports from which rates are taken; within a shorter one a single request weighs too much.
const MIN_INTERVAL_US: u64 = 500_000;

/// What a node reports of its requests to the runners of one service. Counts are totals since the node's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct NodeLoad {
    /// Attempts that were sent to runners.
    pub requests: u64,
    /// Requests that ended, however they did.
    pub ended: u64,
    /// Requests that were refused for lack of capacity.
    pub refused: u64,
    /// Requests whose first event, or whose answer, came after the objective of the route.
    pub late: u64,
    /// Expected time to read the uncached part of the prompts, in microseconds.
    pub read_us: u64,
    /// Time for which attempts occupied places at decode runners or runners of a plain service, in microseconds.
    pub busy_us: u64,
    /// Attempts that occupy such places now.
    pub running: u32,
    /// Tokens that they occupy in KV caches.
    pub kv_tokens: u64,
    /// Multiple of the present prefill runners with which the first events come in time, as the node observes it.
    pub prefill_ratio: Option<f64>,
    /// Multiple of the present decode runners with which the answers end in time, as the node observes it.
    pub decode_ratio: Option<f64>,
}

impl NodeLoad {
    /// Counts an attempt that is sent to a runner; `read_us` is the expected time to read its prompt there.
    pub fn on_attempt(&mut self, stage: Option<Stage>, work: Work, read_us: u64) {
        self.requests += 1;
        self.read_us = self.read_us.saturating_add(read_us);
        if stage != Some(Stage::Prefill) {
            self.running += 1;
            self.kv_tokens = self.kv_tokens.saturating_add(work.kv_tokens);
        }
    }

    /// Subtracts an attempt that has ended, with the tokens with which it was counted.
    pub fn on_attempt_end(&mut self, stage: Option<Stage>, kv_tokens: u64, took_us: u64) {
        if stage != Some(Stage::Prefill) {
            self.running = self.running.saturating_sub(1);
            self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
            self.busy_us += took_us;
        }
    }

    /// Counts a request that has ended.
    pub fn on_request_end(&mut self, is_refused: bool, is_late: bool) {
        self.ended += 1;
        self.refused += u64::from(is_refused);
        self.late += u64::from(is_late);
    }
}

/// Rates of one node; `busy` and `reading` are numbers of places and of runners that are in use on average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Rates {
    requests_per_s: f64,
    ended_per_s: f64,
    refused_per_s: f64,
    late_per_s: f64,
    reading: f64,
    busy: f64,
}

impl Rates {
    /// Rates between two reports; `None` if the node has restarted in between.
    fn between(before: &NodeLoad, after: &NodeLoad, took_us: u64) -> Option<Self> {
        let per_us = |before: u64, after: u64| {
            let grown = after.checked_sub(before)?;
            Some(grown as f64 / took_us as f64)
        };
        Some(Self {
            requests_per_s: per_us(before.requests, after.requests)? * 1e6,
            ended_per_s: per_us(before.ended, after.ended)? * 1e6,
            refused_per_s: per_us(before.refused, after.refused)? * 1e6,
            late_per_s: per_us(before.late, after.late)? * 1e6,
            reading: per_us(before.read_us, after.read_us)?,
            busy: per_us(before.busy_us, after.busy_us)?,
        })
    }
}

#[derive(Debug, Clone, Copy)]
struct NodeReport {
    load: NodeLoad,
    at_us: u64,
    rates: Option<Rates>,
}

/// Demand of the whole fleet for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// Attempts per second.
    pub requests_per_s: f64,
    /// Share of the requests that were refused for lack of capacity.
    pub refused_share: f64,
    /// Share of the requests that were answered late.
    pub late_share: f64,
    /// Number of runners that read prompts without a pause.
    pub reading: f64,
    /// Number of places in use at decode runners or runners of a plain service.
    pub running: f64,
    /// Tokens in use in their KV caches.
    pub kv_tokens: f64,
    /// Mean of [`NodeLoad::prefill_ratio`].
    pub prefill_ratio: Option<f64>,
    /// Mean of [`NodeLoad::decode_ratio`].
    pub decode_ratio: Option<f64>,
    /// Share of the nodes of which the rates are known.
    pub known_share: f64,
    /// Age of the oldest report in use.
    pub age_us: u64,
}

/// Follows the reports of all nodes for one service; `K` identifies a node.
#[derive(Debug)]
pub struct FleetDemand<K> {
    nodes: HashMap<K, NodeReport>,
}

impl<K> Default for FleetDemand<K> {
    fn default() -> Self {
        Self {
            nodes: HashMap::default(),
        }
    }
}

impl<K> FleetDemand<K>
where
    K: Eq + Hash,
{
    /// Records the report of a node.
    pub fn on_report(&mut self, node: K, load: NodeLoad, now_us: u64) {
        let earlier = self.nodes.get(&node).copied();
        let rates = match earlier {
            Some(earlier) => {
                let took_us = now_us.saturating_sub(earlier.at_us);
                if took_us < MIN_INTERVAL_US {
                    return;
                }
                Rates::between(&earlier.load, &load, took_us)
            }
            None => None,
        };
        let report = NodeReport {
            load,
            at_us: now_us,
            rates,
        };
        self.nodes.insert(node, report);
    }

    /// Drops the nodes for which `is_member` does not hold: their callers have gone to other nodes.
    pub fn retain<F>(&mut self, is_member: F)
    where
        F: Fn(&K) -> bool,
    {
        self.nodes.retain(|node, _report| is_member(node));
    }

    /// Adds up the demand of `members` nodes; `None` while no rates are known.
    pub fn total(&self, members: usize, now_us: u64) -> Option<ServiceDemand> {
        let age = |report: &NodeReport| now_us.saturating_sub(report.at_us);
        let fresh = self.nodes.values().filter(|r| age(r) < MAX_AGE_US);
        let known: Vec<(&NodeReport, Rates)> = fresh.filter_map(|r| Some((r, r.rates?))).collect();
        if known.is_empty() {
            return None;
        }
        let unseen = members.max(known.len()) as f64 / known.len() as f64;
        let sum = |value: fn(&NodeLoad, &Rates) -> f64| {
            let values = known
                .iter()
                .map(|(report, rates)| value(&report.load, rates));
            values.sum::<f64>() * unseen
        };
        let ended = sum(|_, rates| rates.ended_per_s);
        let share = |part: f64| if ended > 0.0 { part / ended } else { 0.0 };
        Some(ServiceDemand {
            requests_per_s: sum(|_, rates| rates.requests_per_s),
            refused_share: share(sum(|_, rates| rates.refused_per_s)),
            late_share: share(sum(|_, rates| rates.late_per_s)),
            reading: sum(|_, rates| rates.reading),
            // The time of a long request counts only when it ends, and the requests open at one moment vary.
            running: sum(|_, rates| rates.busy).max(sum(|load, _| f64::from(load.running))),
            kv_tokens: sum(|load, _| load.kv_tokens as f64),
            prefill_ratio: mean(known.iter().filter_map(|(r, _)| r.load.prefill_ratio)),
            decode_ratio: mean(known.iter().filter_map(|(r, _)| r.load.decode_ratio)),
            known_share: 1.0 / unseen,
            age_us: known.iter().map(|(r, _)| age(r)).max().unwrap_or(0),
        })
    }
}

fn mean<I>(values: I) -> Option<f64>
where
    I: Iterator<Item = f64>,
{
    let (sum, count) = values
        .filter(|value| value.is_finite())
        .fold((0.0, 0_u32), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
