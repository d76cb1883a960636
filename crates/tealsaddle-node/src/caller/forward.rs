//! Passes requests on to another node, when this one may not route or its zone has no engine.
//!
//! A peer is a target like any other, with one difference: its refusals say whether the request was
//! run, so that a refusal "not run" allows another peer to be tried.

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
use super::dispatch::{Context, HOPS, MAX_HOPS};
use super::liveness;
use super::proxy::Payload;
use super::response::{Body, BodyError, OUTCOME, REASON, REQUEST_ID, Refusal, RunState};
use crate::clock;
use crate::traffic::{PeerEndpoint, Snapshot, StopSignals, Traffic};

/// Time for the head of a streamed answer; the peer may need all its attempts before its first
/// token.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for a plain answer, which is sent only when the last token is there.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Time between two parts of a streamed answer; the peer may change engines in between.
const PART_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two requests for a retry, the period of the budget.
const BUDGET_WAIT: Duration = Duration::from_secs(1);
/// Requests for a retry before a forwarded request is given up.
const BUDGET_WAITS: u32 = 5;

/// A request to be passed on.
#[derive(Debug)]
pub struct Forward {
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether it may run twice.
    pub is_repeatable: bool,
    /// Whether the answer is a stream of events.
    pub is_streamed: bool,
}

/// Peers that may route: those of the own zone first, then of the zones to spill to, then others.
pub fn any_peers(traffic: &Traffic, snapshot: &Snapshot) -> Vec<PeerEndpoint> {
    let own = &traffic.settings.zone;
    let spill_to = spill_zones(traffic, snapshot);
    let rank = |zone: &Name| {
        if zone == own {
            return 0;
        }
        let place = spill_to.iter().position(|near| near == zone);
        1 + place.unwrap_or(spill_to.len())
    };
    let mut peers = registered(traffic, snapshot);
    peers.sort_by_key(|peer| rank(&peer.zone));
    peers
}

/// Peers of the zones that may take this zone's overflow of a model, nearest first; only those of
/// `zone`, where it is given.
pub fn spill_peers(
    traffic: &Traffic,
    snapshot: &Snapshot,
    model: &str,
    zone: Option<&Name>,
) -> Vec<PeerEndpoint> {
    let mut zones = spill_zones(traffic, snapshot);
    zones.retain(|near| {
        let inventory = snapshot.inventory.as_ref();
        let serves = inventory.is_some_and(|all| all.engines_for(near, model).next().is_some());
        serves && zone.is_none_or(|zone| zone == near)
    });
    let mut peers = registered(traffic, snapshot);
    peers.retain(|peer| zones.contains(&peer.zone));
    peers.sort_by_key(|peer| zones.iter().position(|near| *near == peer.zone));
    peers
}

/// Zones that may take this zone's overflow, nearest first.
pub fn spill_zones(traffic: &Traffic, snapshot: &Snapshot) -> Vec<Name> {
    let inventory = snapshot.inventory.as_ref();
    let zone = inventory.and_then(|inventory| inventory.zones.get(&traffic.settings.zone));
    zone.map(|zone| zone.spill_to.clone()).unwrap_or_default()
}

fn registered(traffic: &Traffic, snapshot: &Snapshot) -> Vec<PeerEndpoint> {
    let mut peers: Vec<PeerEndpoint> = snapshot
        .peers
        .iter()
        .filter(|peer| peer.is_registered && peer.vm != traffic.settings.vm)
        .cloned()
        .collect();
    // The stable sort that follows keeps this order among equals and so spreads the load.
    peers.shuffle(&mut rand::rng());
    peers.sort_by_key(|peer| traffic.recent_failures.contains(&peer.vm));
    peers
}

/// Passes a request on to one of `peers` and its answer back.
pub async fn send(
    traffic: &Arc<Traffic>,
    context: &Context,
    forward: Forward,
    peers: &[PeerEndpoint],
    reason: &'static str,
) -> Result<Response<Body>, Refusal> {
    if context.hops >= MAX_HOPS {
        let message = "no node on the way could take the request";
        return Err(Refusal::busy("too_many_hops", message));
    }
    record(traffic, context, peers, reason);
    if peers.is_empty() {
        return Err(Refusal::busy(reason, "no node can take the request now"));
    }
    traffic.counters.increment(&format!("forward.{reason}"));
    let budget = Name::from("peers");
    let mut attempts = Attempts::new(forward.is_repeatable);
    traffic.on_first_attempt(&budget);
    let mut route = Route::new(peers);
    loop {
        let Some(peer) = route.next(traffic) else {
            let outcome = attempts.outcome(AttemptOutcome::NotRun(NotRunReason::NoTarget));
            return Err(completion::refusal(outcome));
        };
        let (outcome, refused) = match pass_on(traffic, context, &forward, &peer).await {
            Ok(response) if is_given_up(&response) => {
                (AttemptOutcome::Unknown(UnknownReason::NodeStopped), None)
            }
            Ok(response) if !is_busy(&response) => {
                return Ok(pass_back(traffic, context, response));
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
        let may_go_on = match next {
            Ok(()) => true,
            Err(GiveUp::Budget) => refused.is_none() && wait_for_budget(traffic, &budget).await,
            Err(GiveUp::Attempts | GiveUp::NotRepeatable | GiveUp::NodeStopping) => false,
        };
        if !may_go_on || !route.has_next(traffic) {
            let outcome = attempts.outcome(outcome);
            return match refused {
                Some(response) if matches!(outcome, AttemptOutcome::NotRun(_)) => {
                    Ok(pass_back(traffic, context, response))
                }
                _ => Err(completion::refusal(outcome)),
            };
        }
    }
}

/// Waits for the retry budget, which grants some retries each second; says whether it granted one.
///
/// All requests in flight at a peer that goes silent fail at once, and the budget is for the mean
/// over time. Those that find it used up still have time to wait for their turn.
async fn wait_for_budget(traffic: &Traffic, budget: &Name) -> bool {
    let aborting = &traffic.stop_signals.aborting;
    for _ in 0..BUDGET_WAITS {
        let wait = tokio::time::sleep(BUDGET_WAIT);
        if aborting.run_until_cancelled(wait).await.is_none() {
            return false;
        }
        if traffic.take_retry(budget) {
            return true;
        }
    }
    false
}

/// Peers for one request, in the order in which they are tried.
#[derive(Debug)]
struct Route {
    left: VecDeque<PeerEndpoint>,
    tried: Vec<Name>,
}

impl Route {
    fn new(peers: &[PeerEndpoint]) -> Self {
        Self {
            left: peers.iter().cloned().collect(),
            tried: Vec::new(),
        }
    }

    fn next(&mut self, traffic: &Traffic) -> Option<PeerEndpoint> {
        self.has_next(traffic);
        let peer = self.left.pop_front()?;
        self.tried.push(Name::clone(&peer.vm));
        Some(peer)
    }

    /// Whether a peer is left. Minutes may have passed since the list was made, so that others are
    /// known now.
    fn has_next(&mut self, traffic: &Traffic) -> bool {
        if self.left.is_empty() {
            let peers = any_peers(traffic, &traffic.snapshot.load_full());
            let untried = peers.into_iter().filter(|p| !self.tried.contains(&p.vm));
            self.left.extend(untried);
        }
        !self.left.is_empty()
    }
}

/// Passes a request on to one peer and waits for the head of its answer.
async fn pass_on(
    traffic: &Traffic,
    context: &Context,
    forward: &Forward,
    peer: &PeerEndpoint,
) -> Result<Response<Incoming>, AttemptOutcome> {
    let request = request(context, forward, peer);
    let head_timeout = if forward.is_streamed {
        STREAM_HEAD_TIMEOUT
    } else {
        PLAIN_HEAD_TIMEOUT
    };
    let deadline = Instant::now() + head_timeout;
    let is_repeatable = forward.is_repeatable;
    tokio::select! {
        sent = traffic.targets.send(request, is_repeatable, deadline) => sent,
        // What may run twice need not wait for a peer that has gone silent.
        () = liveness::silence(traffic, peer.caller_address), if is_repeatable => {
            traffic.counters.increment("forward.peer_silent");
            Err(AttemptOutcome::Unknown(UnknownReason::Timeout))
        }
    }
}

/// Whether a peer gave the request up because it stopped, so that another node may still answer it.
fn is_given_up(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::GATEWAY_TIMEOUT
        && has_header(response, OUTCOME, RunState::Unknown.as_str())
        && has_header(response, REASON, UnknownReason::NodeStopped.as_str())
}

/// Whether a peer refused the request as not run in a way that another node may not share.
fn is_busy(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && has_header(response, OUTCOME, RunState::NotRun.as_str())
}

fn has_header(response: &Response<Incoming>, name: &str, value: &str) -> bool {
    let given = response.headers().get(name);
    given.is_some_and(|given| given.as_bytes() == value.as_bytes())
}

fn request(context: &Context, forward: &Forward, peer: &PeerEndpoint) -> Request<Body> {
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

fn pass_back(traffic: &Traffic, context: &Context, response: Response<Incoming>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    strip_hop_headers(&mut head.headers, |_name| false);
    let is_events = head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    let events_of = is_events.then(|| context.request_id.clone());
    let body = pass_body(body, events_of, traffic.stop_signals.clone());
    Response::from_parts(head, body)
}

/// Passes a body on. One that breaks off ends with an error event where it is a stream of events,
/// and otherwise with a broken connection.
fn pass_body(body: Incoming, events_of: Option<String>, stop_signals: StopSignals) -> Body {
    let first = Some((body, events_of, stop_signals));
    let frames = stream::unfold(first, |state| async move {
        let (mut body, events_of, stop_signals) = state?;
        let deadline = Instant::now() + PART_TIMEOUT;
        let refusal = match stop_signals.wait(deadline, body.frame()).await {
            Ok(None) => return None,
            Ok(Some(Ok(frame))) => return Some((Ok(frame), Some((body, events_of, stop_signals)))),
            Ok(Some(Err(_broken))) => completion::broken_off(),
            Err(reason) => completion::refusal(AttemptOutcome::Unknown(reason)),
        };
        let last = match events_of {
            Some(request_id) => Ok(Frame::data(error_event(&refusal, &request_id))),
            None => Err(BodyError::from(refusal.message)),
        };
        Some((last, None))
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

fn record(traffic: &Traffic, context: &Context, peers: &[PeerEndpoint], reason: &str) {
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
