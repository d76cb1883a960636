//! Copies of this node's counts at another node, so that few counts are lost if this process is killed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::fleet::usage::log::bucket_at;

use super::Usage;
use super::messages::{COPY_PATH, CopyReply, CountCopy};
use crate::control::Control;
use crate::gateway::Gateway;
use crate::peer_message::{self, Connection};

/// Interval of the copies. A killed node loses the counts of at most this time, one bucket and the time of the message.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the other node to answer.
const COPY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of nodes that may have copies of a node's counts: the first by rendezvous, and the next ones if it does not answer.
pub const REPLICAS: usize = 3;
/// Time before now whose counts are told again when another node gets the copies.
const RETOLD_US: u64 = 30_000_000;
/// Number of nodes that are told the last counts of a process that ends.
const LAST_REPLICAS: usize = 2;
/// Time for a last message. The process may have to end soon.
const LAST_TIMEOUT: Duration = Duration::from_millis(150);

/// The nodes that may hold copies of the counts of `node`, best first.
pub fn replicas(peers: &[SocketAddr], node: SocketAddr) -> Vec<SocketAddr> {
    let mut nodes = peers.to_vec();
    nodes.retain(|peer| *peer != node);
    sort_nodes(&mut nodes, &node.to_string());
    nodes.truncate(REPLICAS);
    nodes
}

/// Tells another node the counts of this one each second.
pub async fn run(control: Arc<Control>) {
    let gateway = &control.gateway;
    let usage = &gateway.usage;
    let Some(own) = usage.own_address else {
        log::warn!(
            "this node serves no peers; its counts are reported only while it holds the duties"
        );
        return;
    };
    let mut replica = None;
    let mut failures = 0;
    loop {
        tokio::time::sleep(COPY_INTERVAL).await;
        usage.forget_old();
        let nodes = replicas(&gateway.snapshot.load().peers, own);
        if nodes.is_empty() {
            continue;
        }
        let chosen = nodes[failures % nodes.len()];
        if replica.replace(chosen) != Some(chosen) {
            log::info!(node:% = chosen, failures; "counts of usage are told to another node from now on");
            usage.tell_again();
        }
        let copy = usage.untold(own, false);
        if usage.is_known(&copy) {
            continue;
        }
        if usage.tell(chosen, &copy, COPY_TIMEOUT).await {
            usage.on_told(&copy);
        } else {
            failures += 1;
            usage.metrics.increment("usage.copy_failed");
        }
    }
}

impl Usage {
    /// Has all recent counts told again, as another node gets them from now on.
    fn tell_again(&self) {
        let from_us = crate::clock::now_us().saturating_sub(RETOLD_US);
        let mut state = self.state();
        state.untold_from = bucket_at(from_us);
        state.told_window = 0;
    }

    /// Whether another node has been told of all that a copy has.
    fn is_known(&self, copy: &CountCopy) -> bool {
        copy.buckets.is_empty() && copy.latest_window() <= self.state().told_window
    }

    async fn tell(&self, node: SocketAddr, copy: &CountCopy, limit: Duration) -> bool {
        let connection = Connection::Keep;
        let told = peer_message::send(&self.upstreams, node, COPY_PATH, copy, limit, connection);
        told.await.is_ok_and(|CopyReply| true)
    }

    fn on_told(&self, copy: &CountCopy) {
        let mut state = self.state();
        state.untold_from = state.untold_from.max(bucket_at(copy.now_us));
        state.told_window = state.told_window.max(copy.latest_window());
    }
}

/// Tells other nodes the last counts of a process that is about to end. They are told to the holder when it asks.
pub async fn hand_over(gateway: &Gateway) {
    let usage = &gateway.usage;
    let Some(own) = usage.own_address.filter(|_own| usage.is_counting) else {
        return;
    };
    usage.tell_again();
    let copy = usage.untold(own, true);
    if copy.buckets.is_empty() {
        return;
    }
    let mut nodes = replicas(&gateway.snapshot.load().peers, own);
    nodes.truncate(LAST_REPLICAS);
    let told = nodes
        .iter()
        .map(|node| usage.tell(*node, &copy, LAST_TIMEOUT));
    let told = join_all(told).await;
    let told = told.into_iter().filter(|is_told| *is_told).count();
    log::info!(told, asked = nodes.len(), buckets = copy.buckets.len(); "last counts of usage told to other nodes");
}
