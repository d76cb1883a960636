//! Fair shares of customers over all nodes: asked once for each request, told once a second what the fleet does.
//!
//! The decisions are made by [`tealsaddle_core::fleet::shares`]. The node that ranks first for a service sums up. In a
//! large fleet the nodes are divided into groups, and one node of each group sums up the reports of the group, so that no
//! node has messages of all others. This module needs nothing of a call or of the control thread but the snapshot.

mod call;
mod exchange;
mod messages;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use hyper::StatusCode;
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::shares::{Collector, NodeShares, OverShare, STALE_US, Summary};
use tealsaddle_core::name::Name;

use crate::clock;
use crate::metrics::Metrics;
use crate::peer_message;
use crate::scheduler::Scheduler;
use crate::shares::messages::{ReportMessage, SummaryMessage, Tier};
use crate::snapshot::FleetSnapshot;
use crate::upstream::Upstreams;

/// Estimated work of the requests of a service, in microseconds of runner time.
#[derive(Debug, Clone, Copy, Default)]
struct Costs {
    /// For each prompt token.
    read_us_per_token: f64,
    /// For each expected token of the output: the part of a runner that one of its streams uses.
    generate_us_per_token: f64,
}

/// Why no runner has taken a request, for want of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnedAway {
    /// No runner would answer in time, or those that were asked refused.
    Full,
    /// The runners have asked for no request now, or for fewer.
    Withheld,
}

/// Shares of the customers of one service.
#[derive(Debug, Default)]
struct ServiceShares {
    node: NodeShares,
    costs: Costs,
    /// Whether runners have asked for no request since the last report. They are full then, whatever places they have.
    is_withheld: bool,
    /// Reports of the nodes of a group.
    of_group: Collector,
    /// Reports of all nodes, or of all groups.
    of_fleet: Collector,
    /// The last summary and when it was received, for the nodes of a group.
    heard: Option<(Summary, u64)>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<Name, ServiceShares>,
    /// Whether reports are sent once a second.
    has_rounds: bool,
    /// Whether this node sums up for no others any more, since it is told to stop.
    has_retired: bool,
    /// Nodes that did not answer or refused, with the time until which they are not asked again.
    unreachable: HashMap<SocketAddr, u64>,
}

/// Shares of customers at this node, and the sums of the nodes for which it sums up.
#[derive(Debug)]
pub struct Shares {
    node: Name,
    /// Address on which peers reach this node; `None` if it serves no peers.
    own_address: Option<SocketAddr>,
    metrics: Arc<Metrics>,
    scheduler: Arc<Scheduler>,
    /// Connections to peers.
    upstreams: Arc<Upstreams>,
    /// The fleet, as last published.
    snapshot: Arc<ArcSwap<FleetSnapshot>>,
    state: Mutex<State>,
}

impl Shares {
    /// Creates the shares of a node that has had no requests.
    pub fn open(
        node: Name,
        own_address: Option<SocketAddr>,
        metrics: Arc<Metrics>,
        scheduler: Arc<Scheduler>,
        snapshot: Arc<ArcSwap<FleetSnapshot>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            own_address,
            metrics,
            scheduler,
            upstreams: Upstreams::open(),
            snapshot,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Admits or refuses a request of a customer, which is expected to take `work_us` of runner time.
    pub fn on_request(
        self: &Arc<Self>,
        service: &Name,
        customer: &Name,
        work_us: f64,
    ) -> Result<(), OverShare> {
        let now_us = clock::now_us();
        let mut state = self.state();
        self.begin_rounds(&mut state);
        let shares = state.services.entry(Name::clone(service)).or_default();
        shares.node.on_request(customer, work_us, now_us)
    }

    /// Records that no runner has taken an admitted request, for want of capacity.
    pub fn on_turned_away(
        &self,
        service: &Name,
        customer: &Name,
        work_us: f64,
        reason: TurnedAway,
    ) {
        let now_us = clock::now_us();
        let mut state = self.state();
        if let Some(shares) = state.services.get_mut(service) {
            shares.node.on_turned_away(customer, work_us, now_us);
            shares.is_withheld |= reason == TurnedAway::Withheld;
        }
        drop(state);
        self.metrics.increment("shares.turned_away");
    }

    /// Work of the requests of a service, as estimated in the last round.
    fn costs(&self, service: &Name) -> Costs {
        let state = self.state();
        let shares = state.services.get(service);
        shares.map_or_else(Costs::default, |shares| shares.costs)
    }

    /// Ends the summing up for other nodes, which ask the next one then.
    pub fn retire(&self) {
        self.state().has_retired = true;
    }

    /// Answers a message of a peer; `None` if the path is not one of this module.
    pub fn answer(self: &Arc<Self>, path: &str, body: &[u8]) -> Option<(StatusCode, String)> {
        if path != messages::REPORT_PATH {
            return None;
        }
        if self.state().has_retired {
            return Some((StatusCode::SERVICE_UNAVAILABLE, String::new()));
        }
        let answered = peer_message::parse(body)
            .map(|message| peer_message::text_of(&self.on_report(&message)));
        Some(peer_message::respond(path, answered))
    }

    fn on_report(self: &Arc<Self>, message: &ReportMessage) -> SummaryMessage {
        // A node without requests of customers passes on what the others of its group report.
        self.begin_rounds(&mut self.state());
        self.receive(message, self.snapshot.load().nodes)
    }

    /// Adds a report to the sums, and returns the summary.
    fn receive(&self, message: &ReportMessage, registered: u32) -> SummaryMessage {
        let now_us = clock::now_us();
        let (node, report) = (Name::from(message.node.as_str()), message.decode());
        let mut state = self.state();
        let service = Name::from(message.service.as_str());
        let shares = state.services.entry(service).or_default();
        match message.tier {
            Tier::Group => {
                shares.of_group.on_report(node, report, now_us);
                messages::encode_summary(shares.fresh_summary(now_us))
            }
            Tier::Fleet => {
                shares.of_fleet.on_report(node, report, now_us);
                messages::encode_summary(Some(shares.of_fleet.summary(registered, now_us)))
            }
        }
    }

    fn begin_rounds(self: &Arc<Self>, state: &mut State) {
        if !state.has_rounds {
            state.has_rounds = true;
            tokio::spawn(exchange::run(Arc::downgrade(self)));
        }
    }
}

impl ServiceShares {
    /// The last summary, unless it is out of date.
    fn fresh_summary(&self, now_us: u64) -> Option<&Summary> {
        let (summary, heard_us) = self.heard.as_ref()?;
        let is_fresh = now_us < heard_us + STALE_US;
        is_fresh.then_some(summary)
    }
}
