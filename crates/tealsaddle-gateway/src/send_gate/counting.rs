//! Asking the node that counts the requests to a limited runner, and being that node.
//!
//! All nodes rank each other for each runner in the same way; the first one counts. One that does not answer is
//! passed over for a moment, and the next one stands in for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::permit_counter::{Ask, CounterRole, Reply, RunnerTerms};
use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{PermitReply, PermitRequest};

use super::messages;
use super::{SendGate, State};
use crate::clock;
use crate::peer_message::{self, Connection};

/// Time for the node that counts to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a node that did not answer is passed over.
const UNREACHABLE_US: u64 = 1_000_000;
/// Largest number of nodes that are asked for one permit before the node stands in itself.
const MAX_TRIED: usize = 2;
/// Time after the start of a node in which others may not know it yet; it does not count as the first one then.
const SETTLING_US: u64 = 9_000_000;
/// Time for which terms are gathered before the other nodes are told.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Time for a node to answer a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of nodes that are told at the same time.
const TOLD_AT_ONCE: usize = 16;

impl State {
    /// The other nodes and this one, if it has an address, in the order in which they count for a runner.
    fn ranked(&self, runner: &Name, own_address: Option<SocketAddr>) -> Vec<SocketAddr> {
        let mut nodes: Vec<SocketAddr> = self.peers.to_vec();
        nodes.extend(own_address);
        nodes.sort_by_cached_key(|node| {
            std::cmp::Reverse(rendezvous_weight(0, &format!("{runner} {node}")))
        });
        nodes
    }

    /// Number of nodes that share a limit, including this one.
    fn sharing_nodes(&self) -> u32 {
        self.nodes.max(self.peers.len() as u32 + 1)
    }
}

impl SendGate {
    /// Asks for a permit at the first node in the order that answers; this node is the last resort.
    pub(super) async fn ask(self: &Arc<Self>, runner: &Runner, max_wait: Duration) -> Reply {
        self.metrics.increment("permit.asked");
        let reply = self.exchange(runner, Some(max_wait)).await;
        match reply {
            Reply::Granted { .. } => self.metrics.increment("permit.granted"),
            Reply::Denied { wait_us, .. } => {
                let until_us = clock::now_us() + wait_us;
                self.state().terms.on_full(&runner.id, until_us);
                self.metrics.increment("permit.denied");
            }
        }
        reply
    }

    /// Tells the node that counts what this node knows of a runner.
    pub(super) async fn tell(self: Arc<Self>, runner: Runner) {
        self.exchange(&runner, None).await;
    }

    /// Tells the node that counts what this node knows, asks for a permit if `max_wait` is given, and takes over what
    /// the other one knows.
    async fn exchange(self: &Arc<Self>, runner: &Runner, max_wait: Option<Duration>) -> Reply {
        let known = self.state().terms.known(runner);
        let request = messages::permit_request(&self.node, &known, max_wait, clock::now_us());
        for node in self.reachable(&runner.id) {
            if Some(node) == self.own_address {
                break;
            }
            if let Some(reply) = self.send_to(node, &request).await {
                let now_us = clock::now_us();
                let terms = reply.terms.as_ref();
                if let Some(terms) = terms.and_then(|t| messages::decode_terms(t, now_us)) {
                    self.state().terms.on_reply(&known, &terms, now_us);
                }
                return messages::decode_reply(&reply);
            }
            self.metrics.increment("permit.counter_lost");
            log::info!(runner:% = runner.id, peer:% = node; "node that counts for a runner does not answer");
            let until_us = clock::now_us() + UNREACHABLE_US;
            self.state().unreachable.insert(node, until_us);
        }
        let ask = messages::ask_of(&request, &runner.id);
        self.count(&known, ask.as_ref()).0
    }

    /// The nodes to ask, in order.
    fn reachable(&self, runner: &Name) -> Vec<SocketAddr> {
        let now_us = clock::now_us();
        let mut state = self.state();
        state
            .unreachable
            .retain(|_node, until_us| *until_us > now_us);
        let mut ranked = state.ranked(runner, self.own_address);
        let is_settling = self.is_settling(now_us);
        ranked.retain(|node| {
            let may_be_unknown = is_settling && Some(*node) == self.own_address;
            !may_be_unknown && !state.unreachable.contains_key(node)
        });
        ranked.truncate(MAX_TRIED);
        ranked
    }

    const fn is_settling(&self, now_us: u64) -> bool {
        now_us < self.opened_us + SETTLING_US
    }

    async fn send_to(&self, node: SocketAddr, request: &PermitRequest) -> Option<PermitReply> {
        let (upstreams, path) = (&self.upstreams, messages::PERMIT_PATH);
        let sent = peer_message::send(
            upstreams,
            node,
            path,
            request,
            ASK_TIMEOUT,
            Connection::Keep,
        );
        sent.await
    }

    /// Answers a node that asks for a permit, or tells what it knows.
    pub(super) fn on_permit_request(self: &Arc<Self>, request: &PermitRequest) -> PermitReply {
        let now_us = clock::now_us();
        let terms = request.terms.as_ref();
        let Some(terms) = terms.and_then(|terms| messages::decode_terms(terms, now_us)) else {
            return PermitReply::default();
        };
        let ask = messages::ask_of(request, &terms.runner);
        let (reply, known) = self.count(&terms, ask.as_ref());
        messages::encode_reply(reply, known.as_ref(), clock::now_us())
    }

    /// Counts as the first node for the runner, or in its place.
    fn count(
        self: &Arc<Self>,
        terms: &RunnerTerms,
        ask: Option<&Ask>,
    ) -> (Reply, Option<RunnerTerms>) {
        let now_us = clock::now_us();
        let mut state = self.state();
        let own = state.terms.known_of(&terms.runner, terms.started_unix_ms);
        let by_own = state.counter.on_terms(&own, now_us);
        let by_other = state.counter.on_terms(terms, now_us);
        let known = state.counter.terms(&terms.runner);
        if let Some(known) = &known {
            state.terms.on_reply(&own, known, now_us);
        }
        if by_own.has_begun || by_other.has_begun {
            let is_first_untold = state.untold.is_empty();
            state.untold.extend(known.clone());
            if is_first_untold {
                tokio::spawn(Arc::clone(self).tell_all());
            }
        }
        if by_own.has_ended || by_other.has_ended {
            log::info!(runner:% = terms.runner; "limit of a runner has ended");
        }
        let role = self.role(&state, &terms.runner, now_us);
        let reply = ask.map_or(Reply::Granted { wait_us: 0 }, |ask| {
            if !role.is_first {
                self.metrics.increment("permit.substituted");
            }
            state.counter.on_ask(ask, role, now_us)
        });
        (reply, known)
    }

    fn role(&self, state: &State, runner: &Name, now_us: u64) -> CounterRole {
        let first = state.ranked(runner, self.own_address).first().copied();
        let is_first = first == self.own_address;
        CounterRole {
            is_first: is_first && !self.is_settling(now_us),
            nodes: state.sharing_nodes(),
        }
    }

    /// Tells all nodes what runners have begun to ask for.
    async fn tell_all(self: Arc<Self>) {
        tokio::time::sleep(GATHER_TIME).await;
        let (terms, peers) = {
            let mut state = self.state();
            (std::mem::take(&mut state.untold), Arc::clone(&state.peers))
        };
        let tell = |peer: &SocketAddr| {
            let (gate, peer) = (Arc::clone(&self), *peer);
            let notice = messages::notice(&terms, clock::now_us());
            async move {
                let path = messages::TERMS_PATH;
                let (upstreams, limit) = (&gate.upstreams, NOTICE_TIMEOUT);
                let sent =
                    peer_message::send(upstreams, peer, path, &notice, limit, Connection::Close);
                let answer: Option<serde_json::Value> = sent.await;
                answer.is_some()
            }
        };
        let told = stream::iter(peers.iter().map(tell)).buffer_unordered(TOLD_AT_ONCE);
        let told = told.filter(|is_told| std::future::ready(*is_told)).count();
        let told = told.await;
        log::info!(runners = terms.len(), peers = peers.len(), told; "peers told what runners ask for");
    }
}
