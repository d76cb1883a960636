//! Reports of this node and of its group, sent once a second to the nodes that sum up.

use std::net::SocketAddr;
use std::sync::Weak;
use std::time::Duration;

use tealsaddle_core::fleet::Stage;
use tealsaddle_core::fleet::rendezvous::{rendezvous_weight, sort_nodes};
use tealsaddle_core::fleet::shares::{Report, Summary};
use tealsaddle_core::name::Name;

use super::messages::{REPORT_PATH, ReportMessage, SummaryMessage, Tier};
use super::{Costs, Shares};
use crate::clock::{self, jittered};
use crate::peer_message::{self, Connection};
use crate::snapshot::FleetSnapshot;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a node to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a node that did not answer, or refused, is passed over.
const UNREACHABLE_US: u64 = 2_000_000;
/// Largest number of nodes that are asked in one round for a report, before the node sums up itself.
const MAX_ASKED: usize = 2;
/// Largest number of nodes that report to one node. With more nodes, there are groups of the square root of their number,
/// so that the sums for 360 nodes take two times 19 messages a second at the busiest node.
const MAX_FLAT_NODES: usize = 24;
/// Tokens over which the time to generate one is averaged.
const SAMPLE_TOKENS: u64 = 1_000;

/// Sends reports once a second for as long as the node runs.
pub async fn run(shares: Weak<Shares>) {
    // Nodes that start together report at different times.
    tokio::time::sleep(jittered(ROUND_INTERVAL)).await;
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shares) = shares.upgrade() else {
            return;
        };
        shares.round().await;
    }
}

impl Shares {
    async fn round(&self) {
        let now_us = clock::now_us();
        let snapshot = self.snapshot.load_full();
        let services: Vec<Name> = {
            let mut state = self.state();
            state
                .unreachable
                .retain(|_node, until_us| *until_us > now_us);
            state.services.keys().cloned().collect()
        };
        for service in services {
            self.exchange(&service, &snapshot).await;
        }
    }

    /// Sends the reports about one service and applies the summary.
    async fn exchange(&self, service: &Name, snapshot: &FleetSnapshot) {
        let has_groups = snapshot.peers.len() + 1 > MAX_FLAT_NODES;
        let own = self.own_report(service, snapshot);
        let heard = if has_groups {
            let group = self.group_key(service, snapshot);
            let heard = match own {
                Some(own) => {
                    Box::pin(self.send(service, &group, Tier::Group, &own, snapshot)).await
                }
                None => None,
            };
            // The node that sums up for its group takes part in the sum for all.
            match self.group_report(service) {
                Some(of_group) => {
                    let sent = self.send(service, service, Tier::Fleet, &of_group, snapshot);
                    let summary = Box::pin(sent).await;
                    self.keep_for_group(service, summary.as_ref());
                    heard.or(summary)
                }
                None => heard,
            }
        } else {
            match own {
                Some(own) => {
                    self.send(service, service, Tier::Fleet, &own, snapshot)
                        .await
                }
                None => return,
            }
        };
        match heard {
            Some(summary) => self.apply(service, &summary, snapshot.nodes),
            None => self.metrics.increment("shares.unheard"),
        }
    }

    /// The report of this node, if it has had requests of customers lately.
    fn own_report(&self, service: &Name, snapshot: &FleetSnapshot) -> Option<Report> {
        let is_in_use = |shares: &Self| {
            let state = shares.state();
            state
                .services
                .get(service)
                .is_some_and(|shares| shares.node.is_in_use())
        };
        if !is_in_use(self) {
            return None;
        }
        let busy = self.busy(service, snapshot);
        let costs = self.estimate_costs(service, snapshot);
        let mut state = self.state();
        let shares = state.services.get_mut(service)?;
        shares.costs = costs;
        let busy = if std::mem::take(&mut shares.is_withheld) {
            1.0
        } else {
            busy
        };
        Some(shares.node.report(busy, clock::now_us()))
    }

    fn group_report(&self, service: &Name) -> Option<Report> {
        let now_us = clock::now_us();
        let state = self.state();
        let of_group = &state.services.get(service)?.of_group;
        of_group.is_in_use(now_us).then(|| of_group.total(now_us))
    }

    fn keep_for_group(&self, service: &Name, summary: Option<&Summary>) {
        if let (Some(shares), Some(summary)) = (self.state().services.get_mut(service), summary) {
            shares.heard = Some((summary.clone(), clock::now_us()));
        }
    }

    /// Uses a summary, and logs when the shortage of a service begins or ends.
    fn apply(&self, service: &Name, summary: &Summary, registered: u32) {
        let mut state = self.state();
        let Some(shares) = state.services.get_mut(service) else {
            return;
        };
        let before = shares.node.level_us_per_s().is_some();
        let is_used = shares.node.on_summary(summary, registered, clock::now_us());
        let after = shares.node.level_us_per_s().is_some();
        drop(state);
        if !is_used {
            self.metrics.increment("shares.partial_summary");
        }
        if before != after {
            log::info!(service:%, is_limited = after, nodes = summary.nodes, registered,
                level_us_per_s = summary.level_us_per_s.unwrap_or(0.0) as u64,
                capacity_us_per_s = summary.capacity_us_per_s.unwrap_or(0.0) as u64;
                "limits of customers changed");
        }
    }

    /// Sends a report to the first node for the key that answers; this node takes its place if it is the first, or if the
    /// first ones do not answer.
    async fn send(
        &self,
        service: &Name,
        key: &str,
        tier: Tier,
        report: &Report,
        snapshot: &FleetSnapshot,
    ) -> Option<Summary> {
        let message = ReportMessage::encode(service, &self.node, tier, report);
        let mut lost = 0;
        for node in self.ranked(key, snapshot) {
            if Some(node) == self.own_address || lost == MAX_ASKED {
                break;
            }
            let (limit, keep) = (REPORT_TIMEOUT, Connection::Keep);
            let sent =
                peer_message::send(&self.upstreams, node, REPORT_PATH, &message, limit, keep);
            let answer: Result<SummaryMessage, _> = sent.await;
            if let Ok(summary) = answer {
                return summary.decode();
            }
            lost += 1;
            let until_us = clock::now_us() + UNREACHABLE_US;
            self.state().unreachable.insert(node, until_us);
        }
        if lost > 0 {
            self.metrics.increment("shares.substituted");
        }
        self.receive(&message, snapshot.nodes).decode()
    }

    /// The nodes in the order in which they sum up for a key, without those that did not answer.
    fn ranked(&self, key: &str, snapshot: &FleetSnapshot) -> Vec<SocketAddr> {
        let mut nodes = snapshot.peers.to_vec();
        nodes.extend(self.own_address);
        sort_nodes(&mut nodes, key);
        let state = self.state();
        nodes.retain(|node| !state.unreachable.contains_key(node));
        nodes
    }

    /// Key of the node that sums up for the group of this node.
    fn group_key(&self, service: &Name, snapshot: &FleetSnapshot) -> String {
        let nodes = snapshot.peers.len() + 1;
        let groups = (nodes as f64).sqrt().ceil() as u64;
        let group = rendezvous_weight(0, &*self.node) % groups;
        format!("{service} group {group}")
    }

    /// Mean use of the places of the runners of a service, at the stage that is used the most.
    fn busy(&self, service: &Name, snapshot: &FleetSnapshot) -> f64 {
        let stages = [None, Some(Stage::Prefill), Some(Stage::Decode)];
        let uses = stages.map(|stage| {
            let runners = snapshot.runners_of(service).iter();
            let runners = runners.filter(|runner| runner.stage == stage && !runner.is_draining);
            let (sum, count) = runners.fold((0.0, 0), |(sum, count), runner| {
                // A prefill runner reads one prompt at a time.
                let places = match stage {
                    Some(Stage::Prefill) => 1,
                    Some(Stage::Decode) | None => runner.slots.max(1),
                };
                let used = self.scheduler.requests_at(runner) / f64::from(places);
                (sum + used.min(1.0), count + 1)
            });
            sum / f64::from(count.max(1))
        });
        uses.into_iter().fold(0.0, f64::max)
    }

    fn estimate_costs(&self, service: &Name, snapshot: &FleetSnapshot) -> Costs {
        let runners = snapshot.runners_of(service);
        let slots = runners.iter().map(|runner| runner.slots).max().unwrap_or(1);
        let generation_us = self.scheduler.generation_us(runners, SAMPLE_TOKENS);
        let per_token = SAMPLE_TOKENS as f64 * f64::from(slots.max(1));
        Costs {
            read_us_per_token: self.scheduler.read_us_per_token(service),
            generate_us_per_token: generation_us / per_token,
        }
    }
}
