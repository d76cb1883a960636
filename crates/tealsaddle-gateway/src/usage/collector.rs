//! Collecting the counts of a window from all nodes.
//!
//! The holder asks for counts by age, so that only the holder needs the true time. Each answer also tells the wall clock of
//! its node, from which the true time is estimated. Few nodes are asked at a time; those that do not answer are asked again
//! while there is time, and last the nodes that may have copies of their counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::{StreamExt, stream};
use tealsaddle_core::collections::HashMap;
use tealsaddle_core::fleet::rendezvous::sort_nodes;
use tealsaddle_core::fleet::usage::true_time::TrueTime;
use tealsaddle_core::fleet::usage::{Requests, add};

use super::copies::replicas;
use super::messages::{CountAnswer, CountQuestion, QUESTION_PATH, SendTime};
use super::{StoreReturn, Usage};
use crate::clock::{self, jittered};
use crate::gateway::Gateway;
use crate::peer_message::{self, Connection};

/// Number of nodes that are asked at the same time. With a third of 70 nodes silent, a round takes a second and a half.
const ASKED_AT_ONCE: usize = 16;
/// Longest pause before a question, so that answers do not arrive all at once: 360 nodes are asked within 2 s.
const SPREAD: Duration = Duration::from_millis(20);
/// Time for a node to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before the nodes that have not answered are asked again.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);
/// Number of other nodes that are told of a record before its report is sent.
const RECORD_REPLICAS: usize = 3;
/// Time for them to answer. The report has to be sent soon after its record was written.
const RECORD_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a node that is no longer registered is still asked. It may be stopping.
const DEPARTED_US: u64 = 15_000_000;

/// A range of the own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// Window that it stands for; `None` if only the clocks are asked for.
    pub window: Option<u64>,
    /// Start.
    pub from_us: u64,
    /// End, which does not belong to the range.
    pub to_us: u64,
}

impl Range {
    /// An empty range, for questions in which only the clocks, or what is recorded, are of interest.
    pub fn empty() -> Self {
        let now_us = clock::now_us();
        Self {
            window: None,
            from_us: now_us,
            to_us: now_us,
        }
    }
}

/// Counts of all nodes that answered.
#[derive(Debug)]
pub struct Collected {
    /// Requests of all nodes.
    pub requests: Requests,
    /// Number of registered nodes, this one included.
    pub nodes: usize,
    /// Number of registered nodes that did not answer.
    pub missing: usize,
    /// Highest window that a node knows to be recorded; 0 if none does.
    pub recorded: u64,
    /// Own clock when the first of the processes that answered was started, or somewhat later.
    pub running_since_us: u64,
    /// The last return of the store from an older copy that a process has seen.
    pub store_return: Option<StoreReturn>,
}

impl Collected {
    /// Whether so few nodes have answered that the counts are of no use.
    pub const fn is_minority(&self) -> bool {
        self.missing * 2 > self.nodes
    }
}

/// Asks the nodes for their counts.
#[derive(Debug)]
pub struct Collector {
    gateway: Arc<Gateway>,
    true_time: TrueTime,
    /// When each node was last registered.
    known: HashMap<SocketAddr, u64>,
}

impl Collector {
    /// Creates a collector that has asked no node yet.
    pub fn open(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            true_time: TrueTime::default(),
            known: HashMap::default(),
        }
    }

    /// True time minus the own monotonic clock; `None` if too few clocks were read lately.
    pub fn true_offset_us(&mut self) -> Option<i64> {
        let nodes = self.gateway.snapshot.load().peers.len() + 1;
        self.true_time.offset_us(clock::now_us(), nodes.div_ceil(2))
    }

    /// Tells a few nodes that the report of a window is recorded, so that they remember it if the store loses the record and
    /// this node is lost before it asks all nodes again. Returns how many have answered.
    pub async fn tell_recorded(&self, window: u64) -> usize {
        let usage = &self.gateway.usage;
        let inquiry = Inquiry {
            usage: Arc::clone(usage),
            range: Range::empty(),
            recorded: window,
            missing: Vec::new(),
        };
        usage.answer_question(&inquiry.question());
        let mut nodes = self.gateway.snapshot.load().peers.to_vec();
        sort_nodes(&mut nodes, &window.to_string());
        nodes.truncate(RECORD_REPLICAS);
        let told = nodes.into_iter().map(move |node| inquiry.clone().ask(node));
        let told = told.map(|told| tokio::time::timeout(RECORD_TIMEOUT, told));
        let told = join_all(told).await;
        let has_answered = |answer| matches!(answer, Ok((_node, Some(_answer))));
        told.into_iter()
            .map(has_answered)
            .filter(|told| *told)
            .count()
    }

    /// Asks all nodes for their counts in a range, until all have answered or `deadline_us` of the own clock.
    pub async fn collect(&mut self, range: Range, recorded: u64, deadline_us: u64) -> Collected {
        let peers = Arc::clone(&self.gateway.snapshot.load().peers);
        let inquiry = Inquiry {
            usage: Arc::clone(&self.gateway.usage),
            range,
            recorded,
            missing: Vec::new(),
        };
        let mut round = Round::begin(inquiry, &mut self.true_time);
        let now_us = clock::now_us();
        self.known.extend(peers.iter().map(|peer| (*peer, now_us)));
        self.known
            .retain(|_node, seen_us| *seen_us + DEPARTED_US > now_us);
        let all: Vec<SocketAddr> = self.known.keys().copied().collect();
        let mut missing = round.ask(all.clone(), &mut self.true_time).await;
        missing.retain(|node| peers.contains(node));
        while !missing.is_empty() && clock::now_us() < deadline_us {
            tokio::time::sleep(jittered(REPEAT_PAUSE)).await;
            missing = round.ask(missing, &mut self.true_time).await;
        }
        if !missing.is_empty() {
            let mut holders: Vec<SocketAddr> = missing
                .iter()
                .flat_map(|node| replicas(&all, *node))
                .filter(|node| !missing.contains(node))
                .collect();
            holders.sort_unstable();
            holders.dedup();
            round.inquiry.missing.clone_from(&missing);
            round.ask(holders, &mut self.true_time).await;
            let own = round.ask_self();
            round.merge(own);
        }
        round.finish(peers.len() + 1, missing.len())
    }
}

/// What the nodes are asked in one collection.
#[derive(Debug, Clone)]
struct Inquiry {
    usage: Arc<Usage>,
    range: Range,
    recorded: u64,
    /// Nodes of which copies are asked for.
    missing: Vec<SocketAddr>,
}

impl Inquiry {
    /// The question at this moment.
    fn question(&self) -> CountQuestion {
        let now_us = clock::now_us();
        CountQuestion {
            from_age_us: now_us.saturating_sub(self.range.from_us),
            to_age_us: now_us.saturating_sub(self.range.to_us),
            window: self.range.window,
            sent: Some(SendTime {
                process: self.usage.process,
                now_us,
            }),
            recorded: self.recorded,
            missing: self.missing.clone(),
        }
    }

    /// Asks a node; returns its answer and the middle of the time in which it answered.
    async fn ask(self, node: SocketAddr) -> (SocketAddr, Option<(CountAnswer, u64)>) {
        tokio::time::sleep(jittered(SPREAD)).await;
        let question = self.question();
        let sent_us = clock::now_us();
        let answer = peer_message::send(
            &self.usage.upstreams,
            node,
            QUESTION_PATH,
            &question,
            ANSWER_TIMEOUT,
            Connection::Keep,
        );
        let answer = answer.await.ok();
        let middle_us = u64::midpoint(sent_us, clock::now_us());
        (node, answer.map(|answer| (answer, middle_us)))
    }
}

/// One collection.
#[derive(Debug)]
struct Round {
    inquiry: Inquiry,
    /// Highest window that a node knows to be recorded.
    recorded: u64,
    /// Own clock when the first of the processes that answered was started; too late by the time that its answer took.
    running_since_us: u64,
    store_return: Option<StoreReturn>,
    /// Counts by process as told by itself.
    told: HashMap<u64, Requests>,
    /// Counts by process as kept by others.
    copied: HashMap<u64, Requests>,
}

impl Round {
    fn begin(inquiry: Inquiry, true_time: &mut TrueTime) -> Self {
        let mut round = Self {
            recorded: 0,
            running_since_us: u64::MAX,
            store_return: None,
            told: HashMap::default(),
            copied: HashMap::default(),
            inquiry,
        };
        let own = round.ask_self();
        let no_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let own_address = round.inquiry.usage.own_address.unwrap_or(no_address);
        true_time.on_reading(own_address, own.unix_us, clock::now_us());
        round.merge(own);
        round
    }

    fn ask_self(&self) -> CountAnswer {
        let question = self.inquiry.question();
        self.inquiry.usage.answer_question(&question)
    }

    /// Asks nodes, a few at a time; returns those that did not answer.
    async fn ask(&mut self, nodes: Vec<SocketAddr>, true_time: &mut TrueTime) -> Vec<SocketAddr> {
        let inquiry = self.inquiry.clone();
        let asked = nodes.into_iter().map(move |node| inquiry.clone().ask(node));
        let mut answers = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
        let mut silent = Vec::new();
        while let Some((node, answer)) = answers.next().await {
            let Some((answer, middle_us)) = answer else {
                silent.push(node);
                continue;
            };
            true_time.on_reading(node, answer.unix_us, middle_us);
            self.merge(answer);
        }
        silent
    }

    fn merge(&mut self, answer: CountAnswer) {
        self.recorded = self.recorded.max(answer.recorded);
        let since_us = clock::now_us().saturating_sub(answer.uptime_us);
        self.running_since_us = self.running_since_us.min(since_us);
        if let Some(told) = answer.store_return {
            let told = StoreReturn {
                era: told.era,
                seen_us: clock::now_us().saturating_sub(told.age_us),
                settled: told.settled,
            };
            let seen = self.store_return.map_or(told, |seen| seen.merge(told));
            self.store_return = Some(seen);
        }
        self.told.insert(answer.process, answer.requests);
        for copy in answer.copies {
            let kept = self.copied.entry(copy.process).or_default();
            // Several nodes may have copies, of which each may lack a part.
            for (customer, count) in copy.requests {
                let most = kept.entry(customer).or_default();
                *most = count.max(*most);
            }
        }
    }

    fn finish(self, nodes: usize, missing: usize) -> Collected {
        let mut requests = Requests::default();
        for told in self.told.values() {
            add(&mut requests, told);
        }
        let copied = self.copied.iter();
        for (_process, copy) in copied.filter(|(process, _c)| !self.told.contains_key(*process)) {
            add(&mut requests, copy);
        }
        Collected {
            requests,
            nodes,
            missing,
            recorded: self.recorded,
            running_since_us: self.running_since_us,
            store_return: self.store_return,
        }
    }
}
