//! Admission of a request: turns its head and body into a [`Call`].
//!
//! The route is looked up first. The whole body is then read before anything is sent to a runner, so that
//! the request can be sent again and no runner receives a request whose caller disconnects halfway. Last,
//! the deadline is set and, while the node stops, a request that can no longer be answered is refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Version, header, http};
use tealsaddle_core::fleet::config::{CallerLimits, Route};
use tealsaddle_core::name::Name;
use tokio::time::Instant;

use crate::answer::GatewayAnswer;
use crate::call::{Call, CallState, DeadlineSource};
use crate::external::RequestMetadata;
use crate::gateway::Gateway;
use crate::outgoing::OutgoingRequest;
use crate::progress::Progress;
use crate::stop::Stop;

/// Looks up the route, reads the body and creates the call, or returns why the request is refused.
pub async fn admit(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    metadata: RequestMetadata,
) -> Result<Arc<Call>, GatewayAnswer> {
    let started = Instant::now();
    let in_flight = gateway.begin_request();
    let snapshot = gateway.snapshot.load_full();
    let config = snapshot
        .config
        .clone()
        .ok_or(GatewayAnswer::NoConfiguration)?;
    let (head, body) = request.into_parts();
    if head.version < Version::HTTP_11 {
        return Err(GatewayAnswer::OldProtocol);
    }
    let host = host(&head).ok_or(GatewayAnswer::NoHost)?;
    let route = config.route(host, head.uri.path());
    let route = Arc::clone(route.ok_or(GatewayAnswer::NoRoute)?);
    let request_id = metadata
        .request_id
        .clone()
        .ok_or(GatewayAnswer::NoRequestId)?;
    let body = read_body(body, config.limits).await?;
    let (left, deadline_source) = time_left(gateway, &route, &metadata, started)?;
    let event_timeout = route.event_timeout_ms.map(Duration::from_millis);
    let first_event_left = event_timeout.map_or(left, |event_timeout| left.min(event_timeout));
    let request = OutgoingRequest::new(head, body, &*gateway.dialect);
    let service = Name::clone(route.service(hash(&request_id)));
    gateway.scheduler.on_request(&service);
    Ok(Arc::new(Call {
        gateway: Arc::clone(gateway),
        config,
        route,
        service,
        request_id,
        metadata,
        started,
        deadline: started + left,
        deadline_source,
        first_event_deadline: started + first_event_left,
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

async fn read_body(body: Incoming, limits: CallerLimits) -> Result<Bytes, GatewayAnswer> {
    if hyper::body::Body::size_hint(&body).lower() > limits.body_bytes as u64 {
        return Err(GatewayAnswer::BodyTooLarge);
    }
    let mut body = Limited::new(body, limits.body_bytes);
    let mut bytes = BytesMut::new();
    // The limit applies to each frame, not to the body: a slow caller is served as long as data arrives.
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
                return Err(GatewayAnswer::BodyTooLarge);
            }
            Ok(Some(Err(_cut_off))) => return Err(GatewayAnswer::BodyCutOff),
            Err(_elapsed) => return Err(GatewayAnswer::BodyTimeout),
        }
    }
}

/// Time from `started` to the deadline, and which limit sets it: the shorter of the route's and the
/// caller's. Refuses the request if the node is stopping and does not accept one with this deadline.
fn time_left(
    gateway: &Gateway,
    route: &Route,
    metadata: &RequestMetadata,
    started: Instant,
) -> Result<(Duration, DeadlineSource), GatewayAnswer> {
    let of_route = Duration::from_millis(route.timeout_ms);
    let of_caller = metadata.deadline_ms.map(Duration::from_millis);
    let (left, source) = match of_caller {
        Some(of_caller) if of_caller < of_route => (of_caller, DeadlineSource::Caller),
        Some(_) | None => (of_route, DeadlineSource::Route),
    };
    let is_accepted = |stop: Stop| stop.accepts(Instant::now(), started + left);
    if gateway.current_stop().is_none_or(is_accepted) {
        Ok((left, source))
    } else {
        Err(GatewayAnswer::Stopping)
    }
}

fn hash(text: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish() >> 7
}
