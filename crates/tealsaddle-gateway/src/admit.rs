//! Admission: from the head of a request to a [`Call`].
//!
//! The route is found first. The body is then read as a whole before anything is sent, so that a request
//! can be sent again and a runner never sees a request whose caller gave up half way. Last come the
//! deadline, and while the node stops the decision whether the request can still be answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Version, header, http};
use tealsaddle_core::fleet::config::{CallerLimits, Route};
use tealsaddle_core::name::Name;
use tokio::time::Instant;

use crate::answer::OwnAnswer;
use crate::call::{Call, CallState};
use crate::external::CallerFacts;
use crate::gateway::Gateway;
use crate::outgoing::OutgoingRequest;
use crate::progress::Progress;
use crate::stop::Stop;

/// Finds the route, reads the body and begins the call.
pub async fn admit(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    facts: CallerFacts,
) -> Result<Arc<Call>, OwnAnswer> {
    let started = Instant::now();
    let in_flight = gateway.enter();
    let world = gateway.world.load_full();
    let config = world.config.clone().ok_or(OwnAnswer::NoConfiguration)?;
    let (head, body) = request.into_parts();
    if head.version < Version::HTTP_11 {
        return Err(OwnAnswer::OldProtocol);
    }
    let host = host(&head).ok_or(OwnAnswer::NoHost)?;
    let route = config.route(host, head.uri.path());
    let route = Arc::clone(route.ok_or(OwnAnswer::NoRoute)?);
    let request_id = facts.request_id.clone().ok_or(OwnAnswer::NoRequestId)?;
    let body = read_body(body, config.limits).await?;
    let left = time_left(gateway, &route, &facts, started)?;
    let patience = route.event_patience_ms.map(Duration::from_millis);
    let first_left = patience.map_or(left, |patience| left.min(patience));
    let request = OutgoingRequest::new(head, body, &*gateway.dialect);
    let service = Name::clone(route.service(hash(&request_id)));
    gateway.board.on_request(&service);
    Ok(Arc::new(Call {
        gateway: Arc::clone(gateway),
        config,
        route,
        service,
        request_id,
        facts,
        started,
        deadline: started + left,
        first_event_deadline: started + first_left,
        request,
        progress: Progress::default(),
        state: CallState::default(),
        in_flight,
    }))
}

fn host(head: &http::request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

async fn read_body(body: Incoming, limits: CallerLimits) -> Result<Bytes, OwnAnswer> {
    if hyper::body::Body::size_hint(&body).lower() > limits.body_bytes as u64 {
        return Err(OwnAnswer::BodyTooLarge);
    }
    let mut body = Limited::new(body, limits.body_bytes);
    let mut bytes = BytesMut::new();
    // A caller may be slow, but each part has to come within the idle time.
    let pause = Duration::from_millis(limits.idle_timeout_ms);
    loop {
        match tokio::time::timeout(pause, body.frame()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(error))) if error.is::<LengthLimitError>() => {
                return Err(OwnAnswer::BodyTooLarge);
            }
            Ok(Some(Err(_cut_off))) => return Err(OwnAnswer::BodyCutOff),
            Err(_elapsed) => return Err(OwnAnswer::BodyTimeout),
        }
    }
}

/// Time from `started` to the deadline, that of the route or of the caller, unless a stop leaves less.
fn time_left(
    gateway: &Gateway,
    route: &Route,
    facts: &CallerFacts,
    started: Instant,
) -> Result<Duration, OwnAnswer> {
    let mut left = Duration::from_millis(route.timeout_ms);
    if let Some(deadline_ms) = facts.deadline_ms {
        left = left.min(Duration::from_millis(deadline_ms));
    }
    let is_taken = |stop: Stop| stop.takes(Instant::now(), started + left);
    if gateway.stopping().is_none_or(is_taken) {
        Ok(left)
    } else {
        Err(OwnAnswer::Stopping)
    }
}

fn hash(text: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish() >> 7
}
