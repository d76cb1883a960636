//! Forwards requests to another node when this node may not route or its zone has no capacity.
//!
//! A peer is called like a target, with one difference: its refusals say whether the request was
//! run. After a refusal with the outcome "not run" another peer is tried.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rand::seq::SliceRandom;
use tealsaddle_core::decision::{Alternative, Decision, DecisionKind};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, GiveUp, NotRunReason, UnknownReason};
use tealsaddle_gateway::answer::strip_hop_headers;
use tokio::time::Instant;

use super::chat::error_event;
use super::completion;
use super::dispatch::{HOPS, MAX_HOPS, RequestContext};
use super::liveness;
use super::proxy::Payload;
use super::response::{Body, BodyError, OUTCOME, REASON, REQUEST_ID, Refusal, RunState};
use crate::clock;
use crate::traffic::{PeerEndpoint, Snapshot, StopSignals, Traffic};

/// Timeout for the head of a streamed response; the peer may need all its attempts before its first
/// token.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the head of an unstreamed response, which is sent after the last token.
const UNSTREAMED_HEAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout between two frames of a response body; the peer may change engines in between.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a request checks a used-up retry budget again, equal to the period of the budget.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of checks of a used-up retry budget before the request fails.
const MAX_BUDGET_POLLS: u32 = 5;

/// A request to be forwarded.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// HTTP method, unchanged.
    pub method: Method,
    /// Path, with the query where the handler supports one.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// The whole body, so that another peer can be tried.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the caller asked for a stream of server-sent events.
    pub is_streamed: bool,
}

/// Returns the peers that may route: first those of the node's own zone, then those of its spill
/// zones in order, then all others.
pub fn ranked_peers(traffic: &Traffic, snapshot: &Snapshot) -> Vec<PeerEndpoint> {
    let own = &traffic.settings.zone;
    let spill_to = spill_zones(traffic, snapshot);
    let rank = |zone: &Name| {
        if zone == own {
            return 0;
        }
        let place = spill_to.iter().position(|spill_zone| spill_zone == zone);
        1 + place.unwrap_or(spill_to.len())
    };
    let mut peers = registered_peers(traffic, snapshot);
    peers.sort_by_key(|peer| rank(&peer.zone));
    peers
}

/// Returns the peers in spill zones that serve a model, nearest zone first. If `zone` is given, only
/// peers of that zone are returned.
pub fn spill_peers(
    traffic: &Traffic,
    snapshot: &Snapshot,
    model: &str,
    zone: Option<&Name>,
) -> Vec<PeerEndpoint> {
    let mut zones = spill_zones(traffic, snapshot);
    zones.retain(|spill_zone| {
        let inventory = snapshot.inventory.as_ref();
        let serves =
            inventory.is_some_and(|all| all.engines_for(spill_zone, model).next().is_some());
        serves && zone.is_none_or(|zone| zone == spill_zone)
    });
    let mut peers = registered_peers(traffic, snapshot);
    peers.retain(|peer| zones.contains(&peer.zone));
    peers.sort_by_key(|peer| zones.iter().position(|spill_zone| *spill_zone == peer.zone));
    peers
}

/// Returns the zones that may receive the overflow of this node's zone, nearest first.
pub fn spill_zones(traffic: &Traffic, snapshot: &Snapshot) -> Vec<Name> {
    let inventory = snapshot.inventory.as_ref();
    let zone = inventory.and_then(|inventory| inventory.zones.get(&traffic.settings.zone));
    zone.map(|zone| zone.spill_to.clone()).unwrap_or_default()
}

fn registered_peers(traffic: &Traffic, snapshot: &Snapshot) -> Vec<PeerEndpoint> {
    let mut peers: Vec<PeerEndpoint> = snapshot
        .peers
        .iter()
        .filter(|peer| peer.is_registered && peer.vm != traffic.settings.vm)
        .cloned()
        .collect();
    // The sorts are stable, so that peers of equal rank stay in random order and share the load.
    peers.shuffle(&mut rand::rng());
    peers.sort_by_key(|peer| traffic.recent_failures.contains(&peer.vm));
    peers
}

/// Forwards a request to one of `peers` and relays the response. `reason` says why this node does not
/// run the request itself; it is used in the recorded decision, in a metric name and in a refusal.
pub async fn send(
    traffic: &Arc<Traffic>,
    context: &RequestContext,
    forward: ForwardedRequest,
    peers: &[PeerEndpoint],
    reason: &'static str,
) -> Result<Response<Body>, Refusal> {
    if context.hops >= MAX_HOPS {
        let message = "no node on the way could take the request";
        return Err(Refusal::unavailable("too_many_hops", message));
    }
    record(traffic, context, peers, reason);
    if peers.is_empty() {
        return Err(Refusal::unavailable(
            reason,
            "no node can take the request now",
        ));
    }
    traffic.counters.increment(&format!("forward.{reason}"));
    // All forwarded requests share one retry budget.
    let budget = Name::from("peers");
    let mut attempts = Attempts::new(forward.is_repeatable);
    traffic.on_first_attempt(&budget);
    let mut queue = PeerQueue::new(peers);
    loop {
        let Some(peer) = queue.next(traffic) else {
            let outcome = attempts.outcome(AttemptOutcome::NotRun(NotRunReason::NoTarget));
            return Err(completion::refusal(outcome));
        };
        let (outcome, refused) = match send_to_peer(traffic, context, &forward, &peer).await {
            Ok(response) if was_aborted(&response) => {
                (AttemptOutcome::Unknown(UnknownReason::NodeStopped), None)
            }
            Ok(response) if !allows_other_peer(&response) => {
                return Ok(relay_response(traffic, context, response));
            }
            Ok(response) => {
                let outcome = AttemptOutcome::NotRun(NotRunReason::TargetRefused);
                (outcome, Some(response))
            }
            Err(outcome) => (outcome, None),
        };
        traffic.recent_failures.on_failure(&peer.vm, outcome);
        let id = &context.request_id;
        let next = traffic.on_failure(&budget, id, &mut attempts, outcome);
        let may_retry = match next {
            Ok(()) => true,
            Err(GiveUp::Budget) => refused.is_none() && wait_for_budget(traffic, &budget).await,
            Err(GiveUp::Attempts | GiveUp::NotRepeatable | GiveUp::NodeStopping) => false,
        };
        if !may_retry || !queue.has_next(traffic) {
            let outcome = attempts.outcome(outcome);
            return match refused {
                Some(response) if matches!(outcome, AttemptOutcome::NotRun(_)) => {
                    Ok(relay_response(traffic, context, response))
                }
                _ => Err(completion::refusal(outcome)),
            };
        }
    }
}

/// Waits until the retry budget grants a retry, and returns whether it did.
///
/// All requests in flight at a peer that becomes unresponsive fail at once, while the budget limits
/// the mean rate. Requests that exceed the budget wait a few periods for a retry instead of failing.
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

    /// Returns whether an untried peer is left. An empty list is filled again from the current
    /// snapshot, since peers may have joined in the minutes since the list was made.
    fn has_next(&mut self, traffic: &Traffic) -> bool {
        if self.untried.is_empty() {
            let peers = ranked_peers(traffic, &traffic.snapshot.load_full());
            let untried = peers.into_iter().filter(|p| !self.tried.contains(&p.vm));
            self.untried.extend(untried);
        }
        !self.untried.is_empty()
    }
}

/// Sends a request to one peer and waits for the head of the response.
async fn send_to_peer(
    traffic: &Traffic,
    context: &RequestContext,
    forward: &ForwardedRequest,
    peer: &PeerEndpoint,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let request = request(context, forward, peer);
    let head_timeout = if forward.is_streamed {
        STREAM_HEAD_TIMEOUT
    } else {
        UNSTREAMED_HEAD_TIMEOUT
    };
    let deadline = Instant::now() + head_timeout;
    let is_repeatable = forward.is_repeatable;
    tokio::select! {
        sent = traffic.targets.send(request, is_repeatable, deadline) => sent,
        // A repeatable request does not have to wait for an unresponsive peer.
        () = liveness::wait_until_unresponsive(traffic, peer.caller_address), if is_repeatable => {
            traffic.counters.increment("forward.peer_silent");
            Err(AttemptOutcome::Unknown(UnknownReason::Timeout))
        }
    }
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

fn request(
    context: &RequestContext,
    forward: &ForwardedRequest,
    peer: &PeerEndpoint,
) -> Request<Body> {
    let mut request = Request::new(Payload::Whole(forward.body.clone()).body());
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = format!("http://{}{}", peer.caller_address, forward.path)
        .parse()
        .expect("an address and a path that was a URI make a URI");
    let mut headers = forward.headers.clone();
    strip_hop_headers(&mut headers, |_name| false);
    headers.remove(HOST);
    headers.remove(CONTENT_LENGTH);
    headers.insert(HOPS, HeaderValue::from(context.hops + 1));
    let id = HeaderValue::from_str(&context.request_id).expect("request ids are visible ASCII");
    headers.insert(REQUEST_ID, id);
    *request.headers_mut() = headers;
    request
}

fn relay_response(
    traffic: &Traffic,
    context: &RequestContext,
    response: Response<Incoming>,
) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    strip_hop_headers(&mut head.headers, |_name| false);
    let is_event_stream = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let event_request_id = is_event_stream.then(|| context.request_id.clone());
    let body = relay_body(body, event_request_id, traffic.stop_signals.clone());
    Response::from_parts(head, body)
}

/// Relays a response body. If the body is cut off, an event stream ends with an error event, and any
/// other body with an error that closes the caller's connection. `event_request_id` is the request id
/// for the error event, and `None` if the body is not an event stream.
fn relay_body(body: Incoming, event_request_id: Option<String>, stop_signals: StopSignals) -> Body {
    let first = Some((body, event_request_id, stop_signals));
    let frames = stream::unfold(first, |state| async move {
        let (mut body, event_request_id, stop_signals) = state?;
        let deadline = Instant::now() + FRAME_TIMEOUT;
        let refusal = match stop_signals.wait(deadline, body.frame()).await {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) => {
                return Some((Ok(frame), Some((body, event_request_id, stop_signals))));
            }
            Ok(Some(Err(_broken))) => completion::connection_lost(),
            Err(reason) => completion::refusal(AttemptOutcome::Unknown(reason)),
        };
        let last = match event_request_id {
            Some(request_id) => Ok(Frame::data(error_event(&refusal, &request_id))),
            None => Err(BodyError::from(refusal.message)),
        };
        Some((last, None))
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

fn record(traffic: &Traffic, context: &RequestContext, peers: &[PeerEndpoint], reason: &str) {
    let alternatives = peers
        .iter()
        .enumerate()
        .map(|(i, peer)| Alternative {
            name: peer.vm.to_string(),
            score: i as f64,
            reason: format!("node of zone {}", peer.zone),
        })
        .collect();
    let choice = peers.first().map_or("none", |peer| &*peer.vm);
    traffic.record(Decision {
        at_us: clock::now_us(),
        kind: DecisionKind::Route,
        subject: context.request_id.clone(),
        choice: choice.to_owned(),
        reason: reason.to_owned(),
        inputs: vec![("hops".to_owned(), context.hops.to_string())],
        alternatives,
    });
}
