//! The attempts of a forwarded request at peers.
//!
//! A peer that leaves probes unanswered may be paused and go on, so its attempt stays open. If the request
//! may run twice, another attempt starts beside it at the next peer. The first response is relayed. An
//! attempt is dropped, which cancels it, when another one has a response, and when the peer of an earlier
//! attempt answers probes again.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, NotRunReason, UnknownReason};
use tokio::time::Instant;

use super::completion;
use super::dispatch::RequestContext;
use super::forward::{self, ForwardedRequest};
use super::liveness;
use super::response::{OUTCOME, REASON, Refusal, RunState};
use crate::traffic::{PeerEndpoint, Traffic};

/// Timeout for the head of a streamed response; the peer may need all its attempts before its first
/// token.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the head of an unstreamed response, which is sent after the last token.
const UNSTREAMED_HEAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Interval at which a request checks a used-up retry budget again, equal to the period of the budget.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of checks of a used-up retry budget before a request without an open attempt fails.
const MAX_BUDGET_POLLS: u32 = 5;

/// Sends a request to one peer after the other until one answers. Returns the response to relay.
pub async fn run(
    traffic: &Arc<Traffic>,
    context: &RequestContext,
    forward: &ForwardedRequest,
    peers: &[PeerEndpoint],
) -> Result<Response<Incoming>, Refusal> {
    let attempts = PeerAttempts {
        traffic,
        context,
        forward,
        queue: PeerQueue::new(peers),
        attempts: Attempts::new(forward.is_repeatable),
        running: Vec::new(),
        budget: Name::from("peers"),
    };
    attempts.run().await
}

/// State of a forwarded request until the head of its response.
struct PeerAttempts<'a> {
    traffic: &'a Arc<Traffic>,
    context: &'a RequestContext,
    forward: &'a ForwardedRequest,
    queue: PeerQueue,
    attempts: Attempts,
    running: Vec<PeerAttempt<'a>>,
    /// All forwarded requests share one retry budget.
    budget: Name,
}

/// An attempt at one peer.
struct PeerAttempt<'a> {
    peer: PeerEndpoint,
    response: BoxFuture<'a, Result<Response<Incoming>, AttemptOutcome>>,
    /// Completes when the peer becomes silent or responsive, or is still silent when the retry budget may
    /// grant another attempt.
    watch: BoxFuture<'a, PeerState>,
    /// Whether the attempt counts as failed, since another one was started beside it.
    is_replaced: bool,
}

/// What the probes of a peer show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// The peer leaves probes unanswered.
    Silent,
    /// The peer still leaves probes unanswered when another attempt may be asked for again.
    StillSilent,
    /// The peer answers probes again.
    Responsive,
}

/// What a forwarded request has waited for, with the index of the attempt.
enum Wakeup {
    /// The head of a response has arrived, or the attempt has failed.
    Response(usize, Result<Response<Incoming>, AttemptOutcome>),
    /// The probes of the peer show this state.
    State(usize, PeerState),
}

impl PeerAttempt<'_> {
    fn poll(&mut self, index: usize, cx: &mut Context<'_>) -> Poll<Wakeup> {
        if let Poll::Ready(response) = self.response.poll_unpin(cx) {
            return Poll::Ready(Wakeup::Response(index, response));
        }
        let state = self.watch.poll_unpin(cx);
        state.map(|state| Wakeup::State(index, state))
    }
}

impl PeerAttempts<'_> {
    async fn run(mut self) -> Result<Response<Incoming>, Refusal> {
        self.traffic.on_first_attempt(&self.budget);
        self.start_next();
        while !self.running.is_empty() {
            let (index, response) = match self.wait().await {
                Wakeup::Response(index, response) => (index, response),
                Wakeup::State(index, PeerState::Silent) => {
                    self.traffic.counters.increment("forward.peer_silent");
                    self.on_silence(index);
                    continue;
                }
                Wakeup::State(index, PeerState::StillSilent) => {
                    self.on_silence(index);
                    continue;
                }
                Wakeup::State(index, PeerState::Responsive) => {
                    self.on_responsive(index);
                    continue;
                }
            };
            let (outcome, refused) = match response {
                Ok(response) if was_aborted(&response) => {
                    (AttemptOutcome::Unknown(UnknownReason::NodeStopped), None)
                }
                Ok(response) if !allows_other_peer(&response) => return Ok(response),
                Ok(response) => {
                    let outcome = AttemptOutcome::NotRun(NotRunReason::TargetRefused);
                    (outcome, Some(response))
                }
                Err(outcome) => (outcome, None),
            };
            let may_retry = self.on_failure(index, outcome, refused.is_some()).await;
            if may_retry && self.start_next() || !self.running.is_empty() {
                continue;
            }
            let outcome = self.attempts.outcome(outcome);
            return match refused {
                Some(response) if matches!(outcome, AttemptOutcome::NotRun(_)) => Ok(response),
                _ => Err(completion::refusal(outcome)),
            };
        }
        let outcome = AttemptOutcome::NotRun(NotRunReason::NoTarget);
        Err(completion::refusal(self.attempts.outcome(outcome)))
    }

    async fn wait(&mut self) -> Wakeup {
        poll_fn(|cx| {
            let mut attempts = self.running.iter_mut().enumerate();
            let wakeup = attempts.find_map(|(i, attempt)| match attempt.poll(i, cx) {
                Poll::Ready(wakeup) => Some(wakeup),
                Poll::Pending => None,
            });
            wakeup.map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Starts an attempt at the next untried peer, and returns whether there was one.
    fn start_next(&mut self) -> bool {
        let Some(peer) = self.queue.next(self.traffic) else {
            return false;
        };
        let response = send_to_peer(self.traffic, self.context, self.forward, peer.clone());
        // A request that may not run twice waits for its only attempt.
        let watch = if self.forward.is_repeatable {
            watch_responsive(self.traffic, peer.caller_address)
        } else {
            std::future::pending().boxed()
        };
        self.running.push(PeerAttempt {
            peer,
            response: response.boxed(),
            watch,
            is_replaced: false,
        });
        true
    }

    /// Starts an attempt at another peer beside a silent one, if that is allowed.
    fn on_silence(&mut self, index: usize) {
        let attempt = &mut self.running[index];
        let silent = AttemptOutcome::Unknown(UnknownReason::Timeout);
        self.traffic
            .recent_failures
            .on_failure(&attempt.peer.vm, silent);
        let next = if self.queue.has_next(self.traffic) {
            let id = &self.context.request_id;
            let next = self
                .traffic
                .on_silence(&self.budget, id, &mut self.attempts);
            next.map_err(Some)
        } else {
            Err(None)
        };
        let address = attempt.peer.caller_address;
        match next {
            Ok(()) => {
                attempt.is_replaced = true;
                attempt.watch = watch_silent(self.traffic, address, None);
                self.start_next();
            }
            // The budget is granted again, or a peer joins.
            Err(Some(GiveUp::Budget) | None) => {
                let ask_again = Some(BUDGET_POLL_INTERVAL);
                attempt.watch = watch_silent(self.traffic, address, ask_again);
            }
            Err(Some(_)) => attempt.watch = watch_silent(self.traffic, address, None),
        }
    }

    /// Goes on with an attempt whose peer answers probes again, without the attempts started beside it.
    fn on_responsive(&mut self, index: usize) {
        for later in self.running.drain(index + 1..) {
            self.queue.put_back(later.peer);
        }
        let attempt = &mut self.running[index];
        attempt.is_replaced = false;
        attempt.watch = watch_responsive(self.traffic, attempt.peer.caller_address);
    }

    /// Ends a failed attempt and decides whether another one may follow.
    async fn on_failure(
        &mut self,
        index: usize,
        outcome: AttemptOutcome,
        is_refused: bool,
    ) -> bool {
        let failed = self.running.remove(index);
        self.traffic
            .recent_failures
            .on_failure(&failed.peer.vm, outcome);
        // The failure of a replaced attempt was counted when the other one was started.
        if failed.is_replaced {
            return false;
        }
        let id = &self.context.request_id;
        let next = self
            .traffic
            .on_failure(&self.budget, id, &mut self.attempts, outcome);
        match next {
            Ok(()) => true,
            Err(GiveUp::Budget) if self.running.is_empty() => {
                !is_refused && wait_for_budget(self.traffic, &self.budget).await
            }
            Err(_) => false,
        }
    }
}

/// Waits until the retry budget grants a retry, and returns whether it did.
///
/// All requests in flight at a peer that breaks its connections fail at once, while the budget limits the
/// mean rate. Requests that exceed the budget wait a few periods for a retry instead of failing.
async fn wait_for_budget(traffic: &Traffic, budget: &Name) -> bool {
    let aborting = &traffic.stop_signals.aborting;
    for _ in 0..MAX_BUDGET_POLLS {
        let wait = tokio::time::sleep(BUDGET_POLL_INTERVAL);
        if aborting.run_until_cancelled(wait).await.is_none() {
            return false;
        }
        if traffic.take_retry(budget) {
            return true;
        }
    }
    false
}

/// Peers that a request has not tried yet, in order.
#[derive(Debug)]
struct PeerQueue {
    untried: VecDeque<PeerEndpoint>,
    tried: Vec<Name>,
}

impl PeerQueue {
    fn new(peers: &[PeerEndpoint]) -> Self {
        Self {
            untried: peers.iter().cloned().collect(),
            tried: Vec::new(),
        }
    }

    fn next(&mut self, traffic: &Traffic) -> Option<PeerEndpoint> {
        self.has_next(traffic);
        let peer = self.untried.pop_front()?;
        self.tried.push(Name::clone(&peer.vm));
        Some(peer)
    }

    /// Returns a peer to the queue whose attempt was dropped.
    fn put_back(&mut self, peer: PeerEndpoint) {
        self.tried.retain(|vm| *vm != peer.vm);
        self.untried.push_front(peer);
    }

    /// Returns whether an untried peer is left. An empty list is filled again from the current
    /// snapshot, since peers may have joined in the minutes since the list was made.
    fn has_next(&mut self, traffic: &Traffic) -> bool {
        if self.untried.is_empty() {
            let peers = forward::ranked_peers(traffic, &traffic.snapshot.load_full());
            let untried = peers.into_iter().filter(|p| !self.tried.contains(&p.vm));
            self.untried.extend(untried);
        }
        !self.untried.is_empty()
    }
}

/// Watches a responsive peer until it becomes silent.
fn watch_responsive(traffic: &Traffic, peer: SocketAddr) -> BoxFuture<'_, PeerState> {
    liveness::wait_until_unresponsive(traffic, peer)
        .map(|()| PeerState::Silent)
        .boxed()
}

/// Watches a silent peer until it becomes responsive or, if given, `ask_again` has passed.
fn watch_silent(
    traffic: &Traffic,
    peer: SocketAddr,
    ask_again: Option<Duration>,
) -> BoxFuture<'_, PeerState> {
    let responsive = liveness::wait_until_responsive(traffic, peer);
    let Some(ask_again) = ask_again else {
        return responsive.map(|()| PeerState::Responsive).boxed();
    };
    async move {
        match tokio::time::timeout(ask_again, responsive).await {
            Ok(()) => PeerState::Responsive,
            Err(_elapsed) => PeerState::StillSilent,
        }
    }
    .boxed()
}

/// Sends a request to one peer and waits for the head of the response.
async fn send_to_peer(
    traffic: &Traffic,
    context: &RequestContext,
    forward: &ForwardedRequest,
    peer: PeerEndpoint,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let request = forward::request(context, forward, &peer);
    let head_timeout = if forward.is_streamed {
        STREAM_HEAD_TIMEOUT
    } else {
        UNSTREAMED_HEAD_TIMEOUT
    };
    let deadline = Instant::now() + head_timeout;
    traffic
        .targets
        .send(request, forward.is_repeatable, deadline)
        .await
}

/// Whether a stopping peer aborted the request, so that another node may still serve it.
fn was_aborted(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::GATEWAY_TIMEOUT
        && has_header(response, OUTCOME, RunState::Unknown.as_str())
        && has_header(response, REASON, UnknownReason::NodeStopped.as_str())
}

/// Whether a peer refused the request as not run for a reason that may not apply to another node.
fn allows_other_peer(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && has_header(response, OUTCOME, RunState::NotRun.as_str())
}

fn has_header(response: &Response<Incoming>, name: &str, value: &str) -> bool {
    let given = response.headers().get(name);
    given.is_some_and(|given| given.as_bytes() == value.as_bytes())
}
