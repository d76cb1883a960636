//! Forwards requests to another node when this node may not route or its zone has no capacity.
//!
//! A peer is called like a target, with one difference: its refusals say whether the request was
//! run. After a refusal with the outcome "not run" another peer is tried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response};
use rand::seq::SliceRandom;
use tealsaddle_core::decision::{Alternative, Decision, DecisionKind};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::AttemptOutcome;
use tealsaddle_gateway::answer::strip_hop_headers;
use tokio::time::Instant;

use super::body_end::BodyEnd;
use super::chat::error_event;
use super::completion;
use super::dispatch::{HOPS, MAX_HOPS, RequestContext};
use super::payload::Payload;
use super::peer_attempts;
use super::response::{Body, BodyError, REQUEST_ID, Refusal};
use crate::clock;
use crate::traffic::{PeerEndpoint, Snapshot, StopSignals, Traffic};

/// Timeout between two frames of a response body; the peer may change engines in between.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);

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
    let response = peer_attempts::run(traffic, context, &forward, peers).await?;
    Ok(relay_response(traffic, context, response))
}

/// Returns the request that is sent to a peer.
pub fn request(
    context: &RequestContext,
    forward: &ForwardedRequest,
    peer: &PeerEndpoint,
) -> Request<Body> {
    let (body, _sent) = Payload::Whole(forward.body.clone()).body();
    let mut request = Request::new(body);
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
    let relayed = RelayedBody {
        end: BodyEnd::begin(&mut head.headers),
        body,
        request_id: context.request_id.clone(),
        stop_signals: traffic.stop_signals.clone(),
    };
    Response::from_parts(head, relayed.into_body())
}

/// A response body of a peer. If it is cut off between two events, an event stream ends with an error event.
/// Otherwise an error closes the caller's connection: an event after half of another one would be read as a part
/// of it.
struct RelayedBody {
    body: Incoming,
    end: BodyEnd,
    request_id: String,
    stop_signals: StopSignals,
}

impl RelayedBody {
    fn into_body(self) -> Body {
        let frames = stream::unfold(Some(self), |body| async move { body?.next().await });
        StreamBody::new(frames.boxed()).boxed_unsync()
    }

    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BodyError>, Option<Self>)> {
        let deadline = Instant::now() + FRAME_TIMEOUT;
        let refusal = match self.stop_signals.wait(deadline, self.body.frame()).await {
            Ok(None) if self.end.is_between_events() => return None,
            Ok(Some(Ok(frame))) => {
                self.end.on_frame(&frame);
                return Some((Ok(frame), Some(self)));
            }
            Ok(None | Some(Err(_))) => completion::connection_lost(),
            Err(reason) => completion::refusal(AttemptOutcome::Unknown(reason)),
        };
        let last = if self.end.is_event_stream() && self.end.is_between_events() {
            Ok(Frame::data(error_event(&refusal, &self.request_id)))
        } else {
            Err(BodyError::from(refusal.message))
        };
        Some((last, None))
    }
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
