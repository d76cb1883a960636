//! Asking the node that counts the requests to a limited runner, and being that node.
//!
//! All nodes rank each other for each runner in the same way; the first one counts. One that does not answer is
//! passed over for a moment, and the next one stands in for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use rand::seq::SliceRandom;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::permit_counter::{Ask, CounterRole, Reply, RunnerTerms};
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::{PermitReply, PermitRequest, TermsNotice};

use super::messages;
use super::{SendGate, State};
use crate::clock;
use crate::peer_message::{self, Connection, NoAnswer};

/// Time for the node that counts to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a node that did not answer, or refused, is passed over.
const UNREACHABLE_US: u64 = 1_000_000;
/// Largest number of nodes that do not answer the question for one permit, before the node stands in itself.
const MAX_LOST: usize = 2;
/// Largest time from the registration of a node until all others have listed it, with a reserve.
const LIST_DELAY_US: u64 = 9_000_000;
/// Time after its registration in which a node does not count as the first one: the others list it within
/// [`LIST_DELAY_US`], and rank it after that time again.
const SETTLING_US: u64 = 2 * LIST_DELAY_US;
/// Number of nodes by which a substitute estimates how many it reaches.
const REACH_SAMPLE: usize = 12;
/// Time for which such an estimate holds.
const REACH_US: u64 = 5_000_000;
/// Time for which terms are gathered before the other nodes are told.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Time for a node to answer a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of nodes that a node asks for their terms after its start.
const CAUGHT_UP_WITH: usize = 3;
/// Number of nodes that are told at the same time.
const TOLD_AT_ONCE: usize = 16;

impl State {
    /// The other nodes and this one, if it has an address, in the order in which they count for a runner. Nodes that
    /// have registered just now are left out, since others may not know them yet.
    fn ranked(
        &self,
        runner: &Name,
        own_address: Option<SocketAddr>,
        now_us: u64,
    ) -> Vec<SocketAddr> {
        let is_settled = |peer: &&SocketAddr| {
            let first_seen_us = self.first_seen_us.get(*peer);
            first_seen_us.is_none_or(|seen_us| seen_us + LIST_DELAY_US <= now_us)
        };
        let mut nodes: Vec<SocketAddr> = self.peers.iter().filter(is_settled).copied().collect();
        nodes.extend(own_address);
        sort_nodes(&mut nodes, runner);
        nodes
    }

    /// Whether this node may count as the first one: all others know it, and it goes on unless it is alone.
    fn may_be_first(&self, now_us: u64) -> bool {
        let registered = self.registered_us;
        let is_settled =
            registered.is_some_and(|registered_us| registered_us + SETTLING_US <= now_us);
        is_settled && (self.peers.is_empty() || !self.has_retired)
    }

    /// Number of nodes that share a limit, including this one.
    fn sharing_nodes(&self) -> u32 {
        self.nodes.max(self.peers.len() as u32 + 1)
    }

    /// Takes over the addresses of the other nodes.
    pub(super) fn on_peers(&mut self, peers: &Arc<[SocketAddr]>, now_us: u64) {
        let is_first_list = self.peers.is_empty();
        for peer in peers.iter().filter(|_peer| !is_first_list) {
            if !self.peers.contains(peer) {
                self.first_seen_us.insert(*peer, now_us);
            }
        }
        self.first_seen_us
            .retain(|peer, _seen_us| peers.contains(peer));
        self.peers = Arc::clone(peers);
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
        let request = messages::permit_request(&known, max_wait, clock::now_us());
        let mut lost = 0;
        for node in self.reachable(&runner.id) {
            if Some(node) == self.own_address || lost == MAX_LOST {
                break;
            }
            let no_answer = match self.send_to(node, &request).await {
                Ok(reply) => return self.on_permit_reply(&known, &reply),
                Err(no_answer) => no_answer,
            };
            // Nodes that refuse do so at once and are no reason to stand in, which each node that asks would do.
            lost += usize::from(no_answer == NoAnswer::Lost);
            self.metrics.increment("permit.counter_lost");
            log::info!(runner:% = runner.id, peer:% = node, no_answer:?; "node does not count for a runner");
            let until_us = clock::now_us() + UNREACHABLE_US;
            self.state().unreachable.insert(node, until_us);
        }
        let ask = messages::ask_of(&request, &runner.id);
        self.count(&known, ask.as_ref()).0
    }

    /// Takes over what the node that counts knows.
    fn on_permit_reply(&self, known: &RunnerTerms, reply: &PermitReply) -> Reply {
        let now_us = clock::now_us();
        let terms = reply.terms.as_ref();
        if let Some(terms) = terms.and_then(|t| messages::decode_terms(t, now_us)) {
            self.state().terms.on_reply(known, &terms, now_us);
        }
        messages::decode_reply(reply)
    }

    /// The nodes to ask, in order.
    fn reachable(&self, runner: &Name) -> Vec<SocketAddr> {
        let now_us = clock::now_us();
        let mut state = self.state();
        state
            .unreachable
            .retain(|_node, until_us| *until_us > now_us);
        let mut ranked = state.ranked(runner, self.own_address, now_us);
        let may_be_first = state.may_be_first(now_us);
        ranked.retain(|node| {
            let is_asked = may_be_first || Some(*node) != self.own_address;
            is_asked && !state.unreachable.contains_key(node)
        });
        ranked
    }

    async fn send_to(
        &self,
        node: SocketAddr,
        request: &PermitRequest,
    ) -> Result<PermitReply, NoAnswer> {
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
        let role = self.role(&mut state, &terms.runner, now_us);
        let reply = ask.map_or(Reply::Granted { wait_us: 0 }, |ask| {
            if role != CounterRole::First {
                self.metrics.increment("permit.substituted");
            }
            state.counter.on_ask(ask, role, now_us)
        });
        (reply, known)
    }

    fn role(self: &Arc<Self>, state: &mut State, runner: &Name, now_us: u64) -> CounterRole {
        let first = state
            .ranked(runner, self.own_address, now_us)
            .first()
            .copied();
        if first == self.own_address && state.may_be_first(now_us) {
            return CounterRole::First;
        }
        if state.reach_estimated_us + REACH_US <= now_us {
            state.reach_estimated_us = now_us;
            tokio::spawn(Arc::clone(self).estimate_reach(Arc::clone(&state.peers)));
        }
        let alone = 1.0 / f64::from(state.sharing_nodes());
        CounterRole::Substitute {
            reach: state.reach.max(alone),
        }
    }

    /// Estimates which share of the nodes this one reaches.
    async fn estimate_reach(self: Arc<Self>, peers: Arc<[SocketAddr]>) {
        let sample = sample(&peers, REACH_SAMPLE);
        let count = sample.len();
        let asked = sample.into_iter().map(|peer| {
            let upstreams = &self.upstreams;
            async move {
                let (path, limit) = (messages::REACH_PATH, ASK_TIMEOUT);
                let sent = peer_message::send(upstreams, peer, path, &(), limit, Connection::Close);
                let answer: Result<serde_json::Value, NoAnswer> = sent.await;
                answer.is_ok()
            }
        });
        let answers = futures::future::join_all(asked).await;
        let reached = answers.into_iter().filter(|is_reached| *is_reached).count();
        let reach = reached as f64 / count.max(1) as f64;
        log::info!(asked = count, reached; "node stands in for another one that counts for runners");
        self.state().reach = reach;
    }

    /// Asks some of the other nodes what runners ask for: this node has just started, and runners that it sends to
    /// before it has an answer of theirs would get too much.
    pub(super) async fn catch_up(self: Arc<Self>, peers: Arc<[SocketAddr]>) {
        let asked = sample(&peers, CAUGHT_UP_WITH).into_iter().map(|peer| {
            let gate = Arc::clone(&self);
            async move {
                let (path, limit) = (messages::KNOWN_PATH, NOTICE_TIMEOUT);
                let upstreams = &gate.upstreams;
                let sent = peer_message::send(upstreams, peer, path, &(), limit, Connection::Close);
                let known: Option<TermsNotice> = sent.await.ok();
                gate.on_notice(&known.unwrap_or_default());
            }
        });
        futures::future::join_all(asked).await;
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
                let answer: Result<serde_json::Value, NoAnswer> = sent.await;
                answer.is_ok()
            }
        };
        let told = stream::iter(peers.iter().map(tell)).buffer_unordered(TOLD_AT_ONCE);
        let told = told.filter(|is_told| std::future::ready(*is_told)).count();
        let told = told.await;
        log::info!(runners = terms.len(), peers = peers.len(), told; "peers told what runners ask for");
    }
}

/// Some of the nodes, drawn at random.
fn sample(peers: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut peers = peers.to_vec();
    peers.shuffle(&mut rand::rng());
    peers.truncate(count);
    peers
}
