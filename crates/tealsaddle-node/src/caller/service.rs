//! Calls to plain services: requests that the node proxies to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use rand::seq::SliceRandom;
use tealsaddle_core::claim::{MAX_STORED_BODY_BYTES, StoredAnswer};
use tealsaddle_core::decision::{Alternative, Decision, DecisionKind};
use tealsaddle_core::inventory::{Inventory, Service, Target};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};
use tealsaddle_gateway::answer::strip_hop_headers;
use tealsaddle_gateway::framing::Framing;
use tokio::time::Instant;

use super::admit;
use super::body_end::BodyEnd;
use super::claim::{self, Claim, KeyedCall, NotClaimed};
use super::completion;
use super::dispatch::{HOPS, RequestContext};
use super::forward::{self, ForwardedRequest};
use super::payload::{BodySent, Payload};
use super::proxy::{BodyPermit, read_body};
use super::response::{Body, BodyError, OUTCOME, REQUEST_ID, Refusal, RunState, full};
use crate::clock;
use crate::traffic::{Snapshot, Traffic};

/// Longest body that is read as a whole before the call is sent, so that it can be sent again; longer
/// ones are relayed while they arrive.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Longest time that the response of a keyed call is delayed until its outcome is stored.
const STORE_OUTCOME_TIMEOUT: Duration = Duration::from_millis(250);

/// Handles requests to `/services/NAME/...`, with any method.
pub async fn call(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    context: RequestContext,
) -> Result<Response<Body>, Refusal> {
    let snapshot = traffic.snapshot.load_full();
    let (head, body) = request.into_parts();
    let Some(inventory) = &snapshot.inventory else {
        return forward_call(traffic, &snapshot, &context, head, body).await;
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let service_path = path.strip_prefix("/services/").unwrap_or_default();
    let (name, _) = service_path
        .split_once(['/', '?'])
        .unwrap_or((service_path, ""));
    let rest = &service_path[name.len()..];
    find_service(inventory, name)?;
    admit::check_rate(traffic, &context)?;
    // A safe method may run any number of times and needs no claim.
    let key = if head.method.is_safe() {
        None
    } else {
        claim::idempotency_key(&head.headers)?
    };
    let (payload, body_permit) = if key.is_some() {
        // The claim includes a digest of the whole body, so the body is read before the call is sent.
        let (bytes, permit) = read_body(traffic, body).await?;
        (Payload::Whole(bytes), permit)
    } else {
        payload(traffic, body).await?
    };
    // The configuration may have changed while the body arrived.
    let snapshot = traffic.snapshot.load_full();
    let inventory = snapshot.inventory.as_ref().unwrap_or(inventory);
    let service = find_service(inventory, name)?;
    let is_repeatable = key.is_none()
        && head.method.is_idempotent()
        && !context.is_non_repeatable
        && !is_non_repeatable(service, &head.method, rest);
    let mut headers = head.headers;
    rewrite_headers(&mut headers, &context);
    let call = ServiceCall {
        traffic: Arc::clone(traffic),
        context,
        service: Arc::clone(service),
        method: head.method,
        path: if rest.starts_with('/') {
            rest.to_owned()
        } else {
            format!("/{rest}")
        },
        headers,
        payload,
        _body_permit: body_permit,
        is_repeatable,
        deadline: Instant::now() + Duration::from_millis(service.timeout_ms),
    };
    let Some(key) = key else {
        return call.run().await;
    };
    // A task of its own continues if the caller disconnects, so that the outcome is stored for a retry.
    let keyed = traffic.tasks.spawn(call.run_keyed(key));
    keyed
        .await
        .unwrap_or_else(|_panicked| Err(completion::connection_lost()))
}

fn find_service<'a>(inventory: &'a Inventory, name: &str) -> Result<&'a Arc<Service>, Refusal> {
    inventory.services.get(name).ok_or_else(|| {
        let message = format!("service {name:?} does not exist");
        Refusal::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
    })
}

/// Forwards a call to another node, since a node without a configuration knows no services.
async fn forward_call(
    traffic: &Arc<Traffic>,
    snapshot: &Snapshot,
    context: &RequestContext,
    head: hyper::http::request::Parts,
    body: Incoming,
) -> Result<Response<Body>, Refusal> {
    let (body, _body_permit) = read_body(traffic, body).await?;
    let forward = ForwardedRequest {
        // The rules of the service are not known here, so every call that a rule could mark as not
        // repeatable is treated as such.
        is_repeatable: head.method.is_safe() && !context.is_non_repeatable,
        path: head
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        method: head.method,
        headers: head.headers,
        body,
        is_streamed: false,
    };
    let peers = forward::ranked_peers(traffic, snapshot);
    forward::send(traffic, context, forward, &peers, "no_configuration").await
}

async fn payload(traffic: &Traffic, body: Incoming) -> Result<(Payload, BodyPermit), Refusal> {
    let limit = traffic.settings.limits.request_body_bytes;
    let size = body.size_hint();
    let is_short = size
        .upper()
        .is_some_and(|bytes| bytes <= MAX_BUFFERED_BODY_BYTES);
    // `read_body` refuses a body that is known to be too long without reading it.
    if is_short || size.lower() > limit {
        let (bytes, permit) = read_body(traffic, body).await?;
        return Ok((Payload::Whole(bytes), permit));
    }
    Ok((Payload::stream(body, limit as usize), BodyPermit::default()))
}

/// Whether a rule of the service marks the call as not repeatable, in any spelling of the path.
///
/// A target may decode `%73cores` or resolve `x/../scores` to the path that the rule protects.
fn is_non_repeatable(service: &Service, method: &Method, path_and_query: &str) -> bool {
    let path = path_and_query.split('?').next().unwrap_or_default();
    let normalized = normalize_path(path);
    [
        path,
        path.trim_start_matches('/'),
        &normalized,
        normalized.trim_start_matches('/'),
    ]
    .iter()
    .any(|path| service.is_non_repeatable(method.as_str(), path))
}

/// Decodes percent escapes in a path, removes empty segments and resolves dot segments.
pub fn normalize_path(path: &str) -> String {
    let mut decoded = Vec::with_capacity(path.len());
    let mut bytes = path.as_bytes();
    while let [first, rest @ ..] = bytes {
        let escaped = match rest {
            [high, low, ..] if *first == b'%' => std::str::from_utf8(&[*high, *low])
                .ok()
                .and_then(|digits| u8::from_str_radix(digits, 16).ok()),
            _ => None,
        };
        decoded.push(escaped.unwrap_or(*first));
        bytes = if escaped.is_some() { &rest[2..] } else { rest };
    }
    let decoded = String::from_utf8_lossy(&decoded);
    let mut segments = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

fn rewrite_headers(headers: &mut HeaderMap, context: &RequestContext) {
    strip_hop_headers(headers, |_name| false);
    headers.remove(HOST);
    headers.remove(CONTENT_LENGTH);
    headers.remove(HOPS);
    if context.customer.is_some() {
        // The API key is meant for this deployment and must not reach the target.
        headers.remove(AUTHORIZATION);
    }
    let id = HeaderValue::from_str(&context.request_id).expect("request ids are visible ASCII");
    headers.insert(REQUEST_ID, id);
}

/// Returns the targets of a service that accept work now, in the order in which to try them: those tried
/// least often first, then those without recent failures, then those of the node's own zone.
fn targets(traffic: &Traffic, service: &str, tried: &[Name]) -> Vec<Arc<Target>> {
    let snapshot = traffic.snapshot.load();
    let inventory = snapshot.inventory.as_ref();
    let Some(service) = inventory.and_then(|inventory| inventory.services.get(service)) else {
        return Vec::new();
    };
    let is_leaving = |target: &Target| {
        let vm = target.vm.as_ref();
        vm.is_some_and(|vm| snapshot.leaving_vms.contains(vm))
    };
    let mut targets: Vec<Arc<Target>> = service
        .targets
        .iter()
        .filter(|target| !target.withdrawn && !is_leaving(target))
        .cloned()
        .collect();
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| {
        let attempt_count = tried.iter().filter(|name| **name == target.name).count();
        let has_failed_recently = traffic.recent_failures.contains(&target.name);
        let is_far = target.zone != traffic.settings.zone;
        (attempt_count, has_failed_recently, is_far)
    });
    targets
}

/// Reads a response up to the length that a claim record stores. A longer response is relayed while it
/// arrives, and the record keeps its status without the body, as it does for a body that ends with its connection.
///
/// Returns the result for the caller, the outcome of the call, and the response to store, if any.
async fn buffer_response(
    response: Response<Body>,
) -> (
    Result<Response<Body>, Refusal>,
    AttemptOutcome,
    Option<StoredAnswer>,
) {
    let says_not_run = response
        .headers()
        .get(OUTCOME)
        .is_some_and(|outcome| outcome.as_bytes() == RunState::NotRun.as_str().as_bytes());
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        let outcome = AttemptOutcome::NotRun(NotRunReason::TargetRefused);
        return (Ok(response), outcome, None);
    }
    let (head, mut body) = response.into_parts();
    let mut stored = StoredAnswer {
        status: u32::from(head.status.as_u16()),
        content_type: head
            .headers
            .get(CONTENT_TYPE)
            .map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
            .unwrap_or_default(),
        body: None,
    };
    let mut bytes = BytesMut::new();
    loop {
        match body.frame().await {
            None => {
                // Without a length or chunks nothing shows that the body is whole.
                let is_proved = head.extensions.get() != Some(&Framing::UntilClose);
                stored.body = is_proved.then(|| bytes.to_vec());
                let response = Response::from_parts(head, full(bytes.freeze()));
                return (Ok(response), AttemptOutcome::Answered, Some(stored));
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
                if bytes.len() > MAX_STORED_BODY_BYTES {
                    let first = stream::once(async { Ok(Frame::data(bytes.freeze())) });
                    let rest = stream::unfold(body, |mut body| async move {
                        body.frame().await.map(|frame| (frame, body))
                    });
                    let body = StreamBody::new(first.chain(rest).boxed()).boxed_unsync();
                    let response = Response::from_parts(head, body);
                    return (Ok(response), AttemptOutcome::Answered, Some(stored));
                }
            }
            Some(Err(_broken)) => {
                let outcome = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);
                return (Err(completion::connection_lost()), outcome, None);
            }
        }
    }
}

struct ServiceCall {
    traffic: Arc<Traffic>,
    context: RequestContext,
    service: Arc<Service>,
    method: Method,
    path: String,
    headers: HeaderMap,
    payload: Payload,
    _body_permit: BodyPermit,
    is_repeatable: bool,
    deadline: Instant,
}

impl ServiceCall {
    /// Claims the call, runs it once and stores its outcome.
    async fn run_keyed(mut self, key: String) -> Result<Response<Body>, Refusal> {
        let Payload::Whole(body) = &self.payload else {
            unreachable!("the body of a keyed call was read as a whole");
        };
        let keyed = KeyedCall {
            service: &self.service.name,
            key: &key,
            method: self.method.as_str(),
            path: &self.path,
            body,
        };
        let claim = match Claim::acquire(&self.traffic, &self.context, &keyed).await {
            Ok(claim) => claim,
            Err(NotClaimed::Answered(response)) => return Ok(*response),
            Err(NotClaimed::Refused(refusal)) => return Err(refusal),
        };
        // The time spent on the claim does not count against the timeout of the service.
        self.deadline = Instant::now() + Duration::from_millis(self.service.timeout_ms);
        let (result, outcome, answer) = match self.run().await {
            Ok(response) => buffer_response(response).await,
            Err(refusal) => {
                let outcome = match refusal.run_state {
                    RunState::NotRun => AttemptOutcome::NotRun(NotRunReason::NoTarget),
                    RunState::Unknown => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
                };
                (Err(refusal), outcome, None)
            }
        };
        // The response waits briefly for the claim record, so that a repeated call finds the stored
        // response, but does not wait for an unavailable platform.
        let storing = self
            .traffic
            .tasks
            .spawn(claim.store_outcome(outcome, answer));
        drop(tokio::time::timeout(STORE_OUTCOME_TIMEOUT, storing).await);
        result
    }

    async fn run(&self) -> Result<Response<Body>, Refusal> {
        let service = &self.service.name;
        let mut attempts = Attempts::new(self.is_repeatable);
        self.traffic.on_first_attempt(service);
        let mut tried = Vec::new();
        loop {
            // The configuration may have changed since the attempt before.
            let targets = targets(&self.traffic, service, &tried);
            if tried.is_empty() {
                self.record(&targets);
            }
            let Some(target) = targets.first() else {
                let outcome = attempts.outcome(AttemptOutcome::NotRun(NotRunReason::NoTarget));
                return Err(match outcome {
                    AttemptOutcome::NotRun(_) => {
                        let message = "no target of the service takes work now";
                        Refusal::unavailable("no_target", message)
                    }
                    outcome => completion::refusal(outcome),
                });
            };
            tried.push(Name::clone(&target.name));
            let (outcome, refused) = match self.send(target).await {
                Ok(response) => match self.failure_outcome(&response) {
                    None => return Ok(self.relay_response(response)),
                    Some(outcome) => (outcome, Some(response)),
                },
                Err(outcome) => (outcome, None),
            };
            self.traffic
                .recent_failures
                .on_failure(&target.name, outcome);
            let id = &self.context.request_id;
            let next = self.traffic.on_failure(service, id, &mut attempts, outcome);
            let is_final = Instant::now() >= self.deadline
                || !self.payload.is_unread()
                || (matches!(outcome, AttemptOutcome::Unknown(_)) && self.is_marked());
            if next.is_ok() && !is_final {
                continue;
            }
            return match (refused, attempts.outcome(outcome)) {
                // The target's own response says more than a refusal made here, but does not cover
                // the attempts before it, so the outcome is taken from all attempts.
                (Some(response), outcome) => {
                    let mut response = self.relay_response(response);
                    if matches!(outcome, AttemptOutcome::Unknown(_)) {
                        let unknown = HeaderValue::from_static(RunState::Unknown.as_str());
                        response.headers_mut().insert(OUTCOME, unknown);
                    }
                    Ok(response)
                }
                (None, outcome) => Err(completion::refusal(outcome)),
            };
        }
    }

    /// Whether a rule of the configuration now in force marks the call as not repeatable.
    fn is_marked(&self) -> bool {
        let snapshot = self.traffic.snapshot.load();
        let inventory = snapshot.inventory.as_ref();
        let service = inventory.and_then(|inventory| inventory.services.get(&self.service.name));
        service.is_some_and(|service| is_non_repeatable(service, &self.method, &self.path))
    }

    async fn send(&self, target: &Target) -> Result<Response<Incoming>, AttemptOutcome> {
        let (body, sent) = self.payload.body();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = format!("http://{}{}", target.address, self.path)
            .parse()
            .map_err(|_invalid| AttemptOutcome::NotRun(NotRunReason::NoTarget))?;
        *request.headers_mut() = self.headers.clone();
        let client = &self.traffic.targets;
        let response = client.send(request, self.is_repeatable, self.deadline);
        let mut response = response.await?;
        response.extensions_mut().insert(sent);
        Ok(response)
    }

    /// Returns the outcome of a response that counts as a failed attempt, or `None` for a response to
    /// relay to the caller.
    fn failure_outcome(&self, response: &Response<Incoming>) -> Option<AttemptOutcome> {
        let says_not_run = response
            .headers()
            .get(OUTCOME)
            .is_some_and(|outcome| outcome.as_bytes() == RunState::NotRun.as_str().as_bytes());
        let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        match (is_unavailable, says_not_run) {
            (true, true) => Some(AttemptOutcome::NotRun(NotRunReason::TargetRefused)),
            // A 503 without the outcome header does not say whether the call was run.
            (true, false) if self.is_repeatable => {
                Some(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer))
            }
            _ => None,
        }
    }

    fn relay_response(&self, response: Response<Incoming>) -> Response<Body> {
        let (mut head, body) = response.into_parts();
        let framing = Framing::of(&head, !body.is_end_stream());
        head.extensions.insert(framing);
        let sent = head.extensions.remove::<BodySent>();
        let ends_with_connection = framing == Framing::UntilClose && head.status.is_success();
        let sent = sent.filter(|_sent| ends_with_connection);
        strip_hop_headers(&mut head.headers, |_name| false);
        let end = BodyEnd::begin(&mut head.headers);
        let deadline = self.deadline;
        let stop_signals = self.traffic.stop_signals.clone();
        // A body that is cut off closes the caller's connection, so that the caller does not take
        // it for a whole one.
        let first = Some((body, end, sent, stop_signals));
        let frames = stream::unfold(first, move |state| async move {
            let (mut body, mut end, sent, stop_signals) = state?;
            match stop_signals.wait(deadline, body.frame()).await {
                // The target has given up a call that is still being sent, so nothing shows that its answer is whole.
                Ok(None) if sent.as_ref().is_some_and(|sent| !sent.get()) => Some((
                    Err(BodyError::from("the answer ended before the call was sent")),
                    None,
                )),
                Ok(None) if end.is_between_events() => None,
                Ok(None) => Some((
                    Err(BodyError::from("the stream ended inside an event")),
                    None,
                )),
                Ok(Some(Ok(frame))) => {
                    end.on_frame(&frame);
                    Some((Ok(frame), Some((body, end, sent, stop_signals))))
                }
                Ok(Some(Err(error))) => Some((Err(BodyError::from(error)), None)),
                Err(reason) => Some((Err(BodyError::from(reason.as_str())), None)),
            }
        });
        Response::from_parts(head, StreamBody::new(frames.boxed()).boxed_unsync())
    }

    fn record(&self, targets: &[Arc<Target>]) {
        let alternatives = targets
            .iter()
            .enumerate()
            .map(|(i, target)| Alternative {
                name: target.name.to_string(),
                score: i as f64,
                reason: format!("target of zone {}", target.zone),
            })
            .collect();
        let choice = targets.first().map_or("none", |target| &*target.name);
        self.traffic.record(Decision {
            at_us: clock::now_us(),
            kind: DecisionKind::Route,
            subject: self.context.request_id.clone(),
            choice: choice.to_owned(),
            reason: "own zone first, then at random".to_owned(),
            inputs: vec![
                (
                    "service".to_owned(),
                    Name::clone(&self.service.name).to_string(),
                ),
                ("repeatable".to_owned(), self.is_repeatable.to_string()),
            ],
            alternatives,
        });
    }
}
