//! Admission of a request: turns its head and body into a [`Call`].
//!
//! The route is looked up and the API key checked first, and both again after the body. The whole body is read before
//! anything is sent to a runner, so that the request can be sent again and no runner receives a request whose caller disconnects
//! halfway. Last, the deadline is set and, while the node stops, a request that can no longer be answered is
//! refused.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Version, header, http};
use tealsaddle_core::fleet::config::{CallerLimits, FleetConfig, Route};
use tealsaddle_core::name::Name;
use tokio::time::Instant;

use crate::answer::GatewayAnswer;
use crate::body_buffer::{BodyBuffer, BudgetUsedUp};
use crate::call::{Call, CallState, DeadlineSource};
use crate::caller_memory::BodyShare;
use crate::customers;
use crate::external::RequestMetadata;
use crate::front::CallerConnection;
use crate::gateway::Gateway;
use crate::outgoing::OutgoingRequest;
use crate::progress::Progress;
use crate::stop::Stop;
use crate::timeout::timeout_at;

/// Looks up the route, reads the body and creates the call, or returns why the request is refused.
pub async fn admit(
    gateway: &Arc<Gateway>,
    caller: &CallerConnection,
    request: Request<Incoming>,
    metadata: RequestMetadata,
) -> Result<Arc<Call>, GatewayAnswer> {
    let started = Instant::now();
    let in_flight = gateway.begin_request();
    let config = current_config(gateway).await?;
    let (head, body) = request.into_parts();
    if head.version < Version::HTTP_11 {
        return Err(GatewayAnswer::OldProtocol);
    }
    if head_bytes(&head) > caller.header_bytes(&config.limits) {
        return Err(GatewayAnswer::HeadTooLarge);
    }
    let host = host(&head).ok_or(GatewayAnswer::NoHost)?;
    let find_route = |config: &FleetConfig| {
        let route = config.route(host, head.uri.path());
        route.cloned().ok_or(GatewayAnswer::NoRoute)
    };
    // A request without a route, or without the key that its route requires, is refused before its body is read.
    let route = find_route(&config)?;
    let identity_at_head = customers::check(&config, &route, &head.headers)?;
    let body_deadline = started + time_to_answer(&route, &metadata).0;
    let request_id = metadata
        .request_id
        .clone()
        .ok_or(GatewayAnswer::NoRequestId)?;
    let body_share = caller.memory().receive();
    let body = read_body(gateway, &body_share, body, config.limits);
    let body = timeout_at(body_deadline, body).await;
    // A caller who sends a little now and then would otherwise hold the request open without end.
    let body = body.unwrap_or(Err(GatewayAnswer::BodyTimeout))?;
    // The body may have taken long, and a newer version may have come into force meanwhile.
    let config = current_config(gateway).await?;
    let route = find_route(&config)?;
    let identity = customers::check(&config, &route, &head.headers)?.or_checked(&identity_at_head);
    let customer = identity.customer().cloned();
    let (left, deadline_source) = time_left(gateway, &route, &metadata, started)?;
    let event_timeout = route.event_timeout_ms.map(Duration::from_millis);
    let first_event_left = event_timeout.map_or(left, |event_timeout| left.min(event_timeout));
    if !body_share.run() {
        return Err(GatewayAnswer::CallerMemory);
    }
    let request = OutgoingRequest::new(head, body, identity, &*gateway.dialect);
    // A stream that is taken up belongs to the service of the request that began it.
    let first_id = metadata.resumed_id().unwrap_or(&request_id);
    let service = Name::clone(route.service(hash(first_id)));
    gateway.scheduler.on_request(&service);
    Ok(Arc::new(Call {
        gateway: Arc::clone(gateway),
        config,
        route,
        service,
        request_id,
        customer,
        metadata,
        started,
        deadline: started + left,
        deadline_source,
        first_event_deadline: started + first_event_left,
        request,
        body_share,
        progress: Progress::default(),
        state: CallState::default(),
        in_flight,
    }))
}

/// The configuration in force. If it has customers, a key may have been withdrawn while the process was paused, so the
/// request waits for what has changed.
async fn current_config(gateway: &Gateway) -> Result<Arc<FleetConfig>, GatewayAnswer> {
    let config = known_config(gateway)?;
    if config.customers.is_none() {
        return Ok(config);
    }
    if gateway.resumption.until_current(&gateway.knowledge).await {
        gateway.metrics.increment("customers.waited_after_pause");
        return known_config(gateway);
    }
    Ok(config)
}

fn known_config(gateway: &Gateway) -> Result<Arc<FleetConfig>, GatewayAnswer> {
    let snapshot = gateway.snapshot.load();
    let config = snapshot.config.as_ref();
    config.cloned().ok_or(GatewayAnswer::NoConfiguration)
}

/// Size of a head as it is sent: request line, header lines and the empty line.
fn head_bytes(head: &http::request::Parts) -> usize {
    const LINE_END: usize = 2;
    let target = head.uri.path_and_query().map_or(1, |t| t.as_str().len());
    let request_line = head.method.as_str().len() + target + "  HTTP/1.1".len() + LINE_END;
    let lines = head.headers.iter();
    let lines =
        lines.map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + LINE_END);
    request_line + lines.sum::<usize>() + LINE_END
}

fn host(head: &http::request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

async fn read_body(
    gateway: &Gateway,
    share: &BodyShare,
    body: Incoming,
    limits: CallerLimits,
) -> Result<Bytes, GatewayAnswer> {
    let size = hyper::body::Body::size_hint(&body);
    if size.lower() > limits.body_bytes as u64 {
        return Err(GatewayAnswer::BodyTooLarge);
    }
    let most_bytes = size
        .exact()
        .map_or(limits.body_bytes, |exact| exact as usize);
    let mut body = Limited::new(body, limits.body_bytes);
    let mut buffer = BodyBuffer::open(most_bytes);
    let used_up = |_: BudgetUsedUp| GatewayAnswer::CallerMemory;
    loop {
        // The limit applies to each frame, not to the body: a slow caller is served as long as data arrives and
        // the deadline has not passed.
        let frame = tokio::select! {
            biased;
            () = share.dropped() => return Err(GatewayAnswer::CallerMemory),
            frame = before_idle_timeout(gateway, limits, body.frame()) => frame?,
        };
        match frame {
            None => return buffer.into_bytes(share).map_err(used_up),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.push(&data, share).map_err(used_up)?;
                }
            }
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(GatewayAnswer::BodyTooLarge);
            }
            Some(Err(_cut_off)) => return Err(GatewayAnswer::BodyCutOff),
        }
    }
}

/// Waits for the next part of a body for as long as the limits of the request's version or of the newest one
/// allow.
async fn before_idle_timeout<F>(
    gateway: &Gateway,
    limits: CallerLimits,
    next: F,
) -> Result<F::Output, GatewayAnswer>
where
    F: Future,
{
    tokio::pin!(next);
    let began = Instant::now();
    let mut longest_ms = limits.idle_timeout_ms;
    loop {
        let limit = began + Duration::from_millis(longest_ms);
        if let Ok(next) = timeout_at(limit, next.as_mut()).await {
            return Ok(next);
        }
        let newest_ms = gateway.caller_limits().idle_timeout_ms;
        if newest_ms <= longest_ms {
            return Err(GatewayAnswer::BodyTimeout);
        }
        longest_ms = newest_ms;
    }
}

/// Time from the head of a request to its deadline, and which limit sets it: the shorter of the route's and the
/// caller's.
fn time_to_answer(route: &Route, metadata: &RequestMetadata) -> (Duration, DeadlineSource) {
    let of_route = Duration::from_millis(route.timeout_ms);
    let of_caller = metadata.deadline_ms.map(Duration::from_millis);
    match of_caller {
        Some(of_caller) if of_caller < of_route => (of_caller, DeadlineSource::Caller),
        Some(_) | None => (of_route, DeadlineSource::Route),
    }
}

/// Time from `started` to the deadline, and which limit sets it. Refuses the request if the node is stopping and
/// does not accept one with this deadline.
fn time_left(
    gateway: &Gateway,
    route: &Route,
    metadata: &RequestMetadata,
    started: Instant,
) -> Result<(Duration, DeadlineSource), GatewayAnswer> {
    let (left, source) = time_to_answer(route, metadata);
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
