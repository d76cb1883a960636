//! Questions to the nodes for their demand, a few in each round.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::sizing::demand::NodeLoad;
use tealsaddle_core::name::Name;

use super::messages;
use crate::clock;
use crate::gateway::Gateway;
use crate::upstream::Upstreams;

/// Number of nodes that are asked in a round. 70 nodes are asked every two seconds and 360 every nine, with about 600 bytes
/// for a question and its answer: 24 KB/s at the holder, and some bytes at each other node.
const NODES_PER_ROUND: usize = 40;
/// Shortest time between two questions to a node.
const PAUSE_US: u64 = 1_500_000;

/// What a node has answered, by service.
pub type NodeLoads = (SocketAddr, BTreeMap<Name, NodeLoad>);

/// Asks nodes in turn.
#[derive(Debug)]
pub struct Polls {
    upstreams: Arc<Upstreams>,
    /// When each node was last asked.
    asked_us: HashMap<SocketAddr, u64>,
}

impl Polls {
    /// Prepares to ask nodes.
    pub fn open() -> Self {
        Self {
            upstreams: Upstreams::open(),
            asked_us: HashMap::default(),
        }
    }

    /// Asks the nodes that were not asked for the longest time. The answers have that of this node among them.
    pub async fn ask_due(&mut self, gateway: &Gateway, services: &[Name]) -> Vec<NodeLoads> {
        let now_us = clock::now_us();
        let snapshot = gateway.snapshot.load();
        let members: Vec<SocketAddr> = snapshot.members.iter().map(|m| m.address).collect();
        self.asked_us.retain(|node, _asked| members.contains(node));
        let asked_us = |node: &SocketAddr| self.asked_us.get(node).copied().unwrap_or(0);
        let is_due = |node: &SocketAddr| asked_us(node) + PAUSE_US <= now_us;
        let mut due: Vec<SocketAddr> = members.iter().copied().filter(is_due).collect();
        due.sort_by_key(asked_us);
        due.truncate(NODES_PER_ROUND);
        for node in &due {
            self.asked_us.insert(*node, now_us);
        }
        let questions = due.iter().map(|node| async {
            let answer = messages::ask(&self.upstreams, *node, services).await;
            (*node, answer)
        });
        let answers = futures::future::join_all(questions).await;
        let mut loads = vec![(own_address(gateway), messages::own_loads(gateway, services))];
        for (node, answer) in answers {
            match answer {
                Some(answer) => loads.push((node, answer)),
                None => gateway.metrics.increment("sizing.polls_unanswered"),
            }
        }
        loads
    }
}

/// Address under which the demand of this node is kept; it may serve no peers.
pub fn own_address(gateway: &Gateway) -> SocketAddr {
    let none = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    gateway.config.peer_listen.unwrap_or(none)
}
