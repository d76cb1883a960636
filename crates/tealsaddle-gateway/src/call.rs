//! One request of a caller, from its head to the answer.
//!
//! The body is read as a whole before anything is sent, so that a request can be sent again and a runner
//! never sees a request whose caller gave up half way. A call is dropped when its caller goes away, and
//! everything that it holds at runners is dropped with it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, Response, Uri, http};
use tealsaddle_core::fleet::config::{EngineLimits, FleetConfig, Route};
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::place::Ask;
use tealsaddle_core::fleet::prompt_tokens;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::{Body, OwnAnswer, full, judge, strip_hop_headers};
use crate::border::{CallerFacts, SendFacts};
use crate::clock::jittered;
use crate::front::CallerConnection;
use crate::gateway::{Gateway, InFlight};
use crate::progress::Progress;
use crate::relay;
use crate::upstream::{Answer, Reuse};

/// Largest answer of a plain service that is read as a whole before it is passed on, so that one that
/// breaks off can be replaced.
const WHOLE_ANSWER_BYTES: usize = 64 << 10;
/// An idempotent call to a silent runner is sent elsewhere after this many times its objective.
const PATIENCE_FACTOR: u32 = 4;
/// Shortest wait that a refusal asks for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Callers honour a wait of up to this share of the time that they have left.
const RETRY_AFTER_SHARE: f64 = 0.33;

/// A request that has a route and whose body has arrived.
#[derive(Debug)]
pub struct Call {
    /// What all requests share.
    pub gateway: Arc<Gateway>,
    /// Configuration that routed it.
    pub config: Arc<FleetConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: Name,
    /// Its id.
    pub request_id: String,
    /// What the caller says.
    pub facts: CallerFacts,
    /// When its head had arrived.
    pub started: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// When the caller gives up if the stream has not begun.
    first_event_deadline: Instant,
    /// How its stream gets on.
    pub progress: Progress,
    /// Whether a runner has been sent the request and has not said what became of it.
    is_at_runner: AtomicBool,
    has_ended: AtomicBool,
    _in_flight: InFlight,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.has_ended.load(Ordering::Relaxed) {
            let has_stopped = self.gateway.answers_ended.is_cancelled();
            let outcome = if has_stopped {
                "cut_by_stop"
            } else {
                "caller_left"
            };
            self.log_end(outcome, "-", 0);
        }
    }
}

/// Serves a request; the answer is always one.
pub async fn serve(
    gateway: Arc<Gateway>,
    caller: &CallerConnection,
    request: Request<Incoming>,
) -> Response<Body> {
    let facts = gateway.dialect.caller_facts(request.headers());
    let request_id = facts.request_id.clone().unwrap_or_default();
    log_if_stopping(&gateway, caller, &request_id);
    let admitted = admit(&gateway, request, facts);
    let admitted = gateway.answers_ended.run_until_cancelled(admitted).await;
    let mut response = match admitted.unwrap_or(Err(OwnAnswer::Stopping)) {
        Ok(call) => call.run().await,
        Err(own) => {
            log::info!(id:% = request_id, reason = own.as_str(); "request refused");
            let after = own.may_return().then(|| jittered(MIN_RETRY_AFTER));
            own_response(&gateway, own, &request_id, after)
        }
    };
    if gateway.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn log_if_stopping(gateway: &Gateway, caller: &CallerConnection, request_id: &str) {
    let earlier_requests = caller.on_request();
    if let Some(stop) = gateway.stopping() {
        gateway.metrics.increment("stop.taken");
        log::info!(id:% = request_id, stopping_ms = stop.began.elapsed().as_millis() as u64,
            connection_age_ms = caller.age().as_millis() as u64, earlier_requests;
            "request taken while stopping");
    }
}

fn own_response(
    gateway: &Gateway,
    own: OwnAnswer,
    request_id: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    gateway
        .metrics
        .increment(&format!("refused.{}", own.as_str()));
    let mut response = own.response(retry_after);
    let headers = response.headers_mut();
    gateway.dialect.mark_own_answer(headers, request_id);
    response
}

/// Finds the route and reads the body.
async fn admit(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    facts: CallerFacts,
) -> Result<Arc<Call>, OwnAnswer> {
    let started = Instant::now();
    let in_flight = gateway.enter();
    let world = gateway.world.load_full();
    let config = world.config.clone().ok_or(OwnAnswer::NoConfiguration)?;
    let (head, body) = request.into_parts();
    let host = host(&head).ok_or(OwnAnswer::NoHost)?;
    let route = config.route(host, head.uri.path());
    let route = Arc::clone(route.ok_or(OwnAnswer::NoRoute)?);
    let request_id = facts.request_id.clone().ok_or(OwnAnswer::NoRequestId)?;
    let body = read_body(body, &config).await?;
    let mut left = Duration::from_millis(route.timeout_ms);
    if let Some(deadline_ms) = facts.deadline_ms {
        left = left.min(Duration::from_millis(deadline_ms));
    }
    if let Some(stop) = gateway.stopping() {
        if !stop.takes(Instant::now(), started + left) {
            return Err(OwnAnswer::Stopping);
        }
        left = left.min(stop.answers_end.saturating_duration_since(started));
    }
    let patience = route.event_patience_ms.map(Duration::from_millis);
    let first_left = patience.map_or(left, |patience| left.min(patience));
    let mut headers = head.headers;
    strip_hop_headers(&mut headers, |name| gateway.dialect.is_end_to_end(name));
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
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
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        body,
        progress: Progress::default(),
        is_at_runner: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
        _in_flight: in_flight,
    }))
}

fn host(head: &http::request::Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

/// The request target without scheme and host, which belong to the connection.
fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn hash(text: &str) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish() >> 7
}

async fn read_body(body: Incoming, config: &FleetConfig) -> Result<Bytes, OwnAnswer> {
    let limits = config.limits;
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

impl Call {
    async fn run(self: &Arc<Self>) -> Response<Body> {
        let mut attempts =
            Attempts::with_max_runs(self.route.repeat.may_repeat(), self.route.max_attempts);
        let answered = self.answer(&mut attempts);
        let ended = &self.gateway.answers_ended;
        let result = ended.run_until_cancelled(answered).await;
        match result.unwrap_or_else(|| Err(self.give_up())) {
            Ok(response) => response,
            Err((own, wait)) => {
                let own = own.after(&attempts);
                self.log_end(own.as_str(), "-", 0);
                let after = own.may_return().then(|| self.retry_after(wait));
                own_response(&self.gateway, own, &self.request_id, after)
            }
        }
    }

    /// The answer of a node that stops before there is another one.
    fn give_up(&self) -> Refused {
        let own = if self.is_at_runner.load(Ordering::Relaxed) {
            OwnAnswer::Unknown(UnknownReason::NodeStopped)
        } else {
            OwnAnswer::Stopping
        };
        (own, Duration::ZERO)
    }

    async fn answer(self: &Arc<Self>, attempts: &mut Attempts) -> Result<Response<Body>, Refused> {
        let engine = self.config.services.get(&self.service);
        let engine = engine.and_then(|service| service.engine.clone());
        match engine {
            Some(engine) => self.run_model(engine, attempts).await,
            None => self.run_plain(attempts).await,
        }
    }

    async fn run_model(
        self: &Arc<Self>,
        engine: EngineLimits,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refused> {
        let stream = self.open_stream(&engine, attempts, None).await?;
        Ok(relay::respond(Arc::clone(self), engine, stream, *attempts))
    }

    async fn run_plain(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refused> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut last_answer = None;
        loop {
            let world = self.gateway.world.load_full();
            let runners = world.runners_of(&self.service);
            let board = &self.gateway.board;
            let Some(chosen) = board.plain(runners, &self.ask(), &excluded) else {
                return last_answer.ok_or((OwnAnswer::NoRunner, MIN_RETRY_AFTER));
            };
            let wait = Duration::from_micros(chosen.wait_us as u64);
            if wait >= self.left() {
                return last_answer.ok_or((OwnAnswer::DeadlineInfeasible, wait));
            }
            log::info!(id:% = self.request_id, route:% = self.route.name,
                runner:% = chosen.runner.id, wait_ms = wait.as_millis() as u64,
                left_ms = self.left().as_millis() as u64, config_version = self.config.version,
                runners_revision = world.runners_revision; "placed");
            let at = board.enter(&chosen.runner, Work::default());
            let facts = self.send_facts(&chosen.runner.id);
            let sent = self.exchange(&chosen.runner, &facts);
            let (outcome, response) = match sent.await {
                Ok(answer) => self.take_plain(answer).await,
                Err(outcome) => (outcome, None),
            };
            let failed = response
                .as_ref()
                .is_some_and(|response| response.status().is_server_error());
            if let Some(load) = response.as_ref().and_then(|r| r.extensions().get()) {
                at.on_load(*load);
            }
            at.on_outcome(outcome, failed);
            if let Some(response) = response {
                if !failed || !self.route.repeat.may_repeat() {
                    self.log_end("answered", at.runner(), attempts.made());
                    return Ok(response);
                }
                last_answer = Some(response);
            }
            excluded.push(Name::clone(at.runner()));
            let outcome = if failed {
                AttemptOutcome::Unknown(UnknownReason::TargetFailed)
            } else {
                outcome
            };
            if self.may_go_on(attempts, outcome, at.runner()).is_err() {
                let own = OwnAnswer::of_outcome(attempts.outcome(outcome));
                return last_answer.ok_or((own, MIN_RETRY_AFTER));
            }
        }
    }

    /// Decides whether another attempt may follow a failed one.
    pub fn may_go_on(
        &self,
        attempts: &mut Attempts,
        outcome: AttemptOutcome,
        runner: &str,
    ) -> Result<(), AttemptOutcome> {
        let board = &self.gateway.board;
        let decision = board.on_failure(&self.service, attempts, outcome);
        let name = match decision {
            Ok(()) => "retry.granted".to_owned(),
            Err(give_up) => format!("retry.{}", give_up.as_str()),
        };
        self.gateway.metrics.increment(&name);
        log::info!(id:% = self.request_id, runner:%, outcome:? = outcome, decision:% = name,
            made = attempts.made(); "attempt failed");
        match decision {
            Ok(()) if !self.left().is_zero() => Ok(()),
            Ok(()) | Err(_) => Err(attempts.outcome(outcome)),
        }
    }

    /// Sends the request to a runner; the whole head of the answer is awaited for the time that the
    /// attempt may take.
    async fn exchange(
        &self,
        runner: &tealsaddle_core::fleet::Runner,
        facts: &SendFacts<'_>,
    ) -> Result<Answer, AttemptOutcome> {
        let mut limit = self.deadline;
        if self.route.repeat.may_repeat() {
            let objective = Duration::from_millis(self.route.objective_ms);
            limit = limit.min(Instant::now() + objective * PATIENCE_FACTOR);
        }
        self.exchange_until(runner, facts, limit).await
    }

    /// Sends the request to a runner and waits for the head of the answer until `limit`.
    pub async fn exchange_until(
        &self,
        runner: &tealsaddle_core::fleet::Runner,
        facts: &SendFacts<'_>,
        limit: Instant,
    ) -> Result<Answer, AttemptOutcome> {
        let reuse = if self.route.repeat.may_repeat() || facts.reads_only {
            Reuse::Any
        } else {
            Reuse::Recent
        };
        let request = self.request(facts);
        let upstreams = &self.gateway.upstreams;
        let sent = upstreams.send(runner.address, request, reuse);
        let is_run = !facts.reads_only;
        self.is_at_runner.store(is_run, Ordering::Relaxed);
        let result = match tokio::time::timeout_at(limit, sent).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(failure)) => failure.outcome,
            Err(_elapsed) => AttemptOutcome::Unknown(UnknownReason::Timeout),
        };
        // From here on the attempts say whether it may have run.
        self.is_at_runner.store(false, Ordering::Relaxed);
        Err(result)
    }

    /// What is set on a request to a runner that runs it as it is.
    pub fn send_facts<'a>(&self, runner_id: &'a str) -> SendFacts<'a> {
        SendFacts {
            runner_id,
            left: self.left(),
            urgency: None,
            reads_only: false,
            kv_source: None,
            fetches_from: None,
            last_event_id: None,
        }
    }

    fn request(&self, facts: &SendFacts<'_>) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        self.gateway.dialect.prepare(&mut headers, facts);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Reads a short answer as a whole; a longer one is passed on while it arrives.
    async fn take_plain(&self, answer: Answer) -> (AttemptOutcome, Option<Response<Body>>) {
        let Answer { head, mut body } = answer;
        let facts = self.gateway.dialect.answer_facts(&head.headers);
        let outcome = judge(head.status, &facts, &self.request_id);
        if outcome != AttemptOutcome::Answered {
            body.forbid_reuse();
            return (outcome, None);
        }
        let mut bytes = BytesMut::new();
        let lost = AttemptOutcome::Unknown(UnknownReason::ConnectionLost);
        let mut response = loop {
            match tokio::time::timeout_at(self.deadline, body.next()).await {
                Ok(None) => break Response::from_parts(head, full(bytes.freeze())),
                Ok(Some(Ok(data))) => bytes.extend_from_slice(&data),
                Ok(Some(Err(_broken))) => return (lost, None),
                Err(_elapsed) => {
                    return (AttemptOutcome::Unknown(UnknownReason::Timeout), None);
                }
            }
            if bytes.len() > WHOLE_ANSWER_BYTES {
                let body = relay::pass_on(bytes.freeze(), body, self.deadline);
                break Response::from_parts(head, body);
            }
        };
        let headers = response.headers_mut();
        strip_hop_headers(headers, |_name| false);
        self.gateway.dialect.clean_answer(headers);
        if let Some(load) = facts.load {
            response.extensions_mut().insert(load);
        }
        (outcome, Some(response))
    }

    /// What placing needs to know of the request.
    pub fn ask(&self) -> Ask<'_> {
        Ask {
            parts: &self.facts.parts,
            kv_tokens: prompt_tokens(&self.facts.parts) + self.facts.output_tokens,
            zone: &self.gateway.config.zone,
            body_bytes: self.body.len(),
        }
    }

    /// Notes that the caller gets events now.
    pub fn on_events(&self) {
        let first = self.progress.on_events(self.started.elapsed());
        if let Some(took) = first {
            self.gateway.metrics.latency("request.first_event", took);
        }
    }

    /// When the stream has to begin; a stream that goes on elsewhere has the whole time.
    pub fn event_deadline(&self) -> Instant {
        if self.progress.has_begun() {
            self.deadline
        } else {
            self.first_event_deadline
        }
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// When the caller should come back: not before the work ahead is done, and not all at once.
    fn retry_after(&self, wait: Duration) -> Duration {
        let most = self.left().mul_f64(RETRY_AFTER_SHARE);
        jittered(wait.max(MIN_RETRY_AFTER).min(most))
    }

    /// Writes the line at the end of a request.
    pub fn log_end(&self, outcome: &str, runner: &str, failed_attempts: u32) {
        self.has_ended.store(true, Ordering::Relaxed);
        let took = self.started.elapsed();
        let metrics = &self.gateway.metrics;
        metrics.increment(&format!("request.{outcome}"));
        metrics.latency("request.total", took);
        log::info!(id:% = self.request_id, route:% = self.route.name, service:% = self.service,
            config_version = self.config.version, outcome:%, runner:%, failed_attempts,
            took_ms = took.as_millis() as u64,
            first_event_ms = self.progress.first_event_ms(),
            longest_pause_ms = self.progress.longest_pause_ms(), left_ms = self.left().as_millis() as u64;
            "request ended");
    }
}

/// An answer of the gateway's own, and the time after which another try makes sense.
pub type Refused = (OwnAnswer, Duration);
