//! Handling of one caller request, from its head to the answer.
//!
//! An admitted request becomes a [`Call`]. A call of a model service runs through prefill and decode and
//! its events are streamed; a call of a plain service is answered by one runner. If no runner answers, the
//! gateway answers itself.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response};
use tealsaddle_core::fleet::config::EngineLimits;
use tealsaddle_core::retry::Attempts;

use crate::admit::admit;
use crate::answer::{Body, GatewayAnswer};
use crate::call::{Call, MIN_RETRY_AFTER, Refusal};
use crate::clock::jittered;
use crate::front::CallerConnection;
use crate::gateway::Gateway;
use crate::relay;

/// Serves a request; every failure becomes an answer of the gateway.
pub async fn serve(
    gateway: Arc<Gateway>,
    caller: &CallerConnection,
    request: Request<Incoming>,
) -> Response<Body> {
    let metadata = gateway.dialect.request_metadata(request.headers());
    let request_id = metadata.request_id.clone().unwrap_or_default();
    log_if_stopping(&gateway, caller, &request_id);
    let admitted = admit(&gateway, caller, request, metadata);
    let admitted = gateway.answer_cutoff.run_until_cancelled(admitted).await;
    let mut response = match admitted.unwrap_or(Err(GatewayAnswer::Stopping)) {
        Ok(call) => call.run().await,
        Err(answer) => {
            log::info!(id:% = request_id, reason = answer.as_str(); "request refused");
            let retry_after = answer.is_retryable().then(|| jittered(MIN_RETRY_AFTER));
            gateway_response(&gateway, answer, &request_id, retry_after)
        }
    };
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn log_if_stopping(gateway: &Gateway, caller: &CallerConnection, request_id: &str) {
    let earlier_requests = caller.on_request();
    if let Some(stop) = gateway.current_stop() {
        gateway.metrics.increment("stop.taken");
        log::info!(id:% = request_id, stopping_ms = stop.began.elapsed().as_millis() as u64,
            connection_age_ms = caller.age().as_millis() as u64, earlier_requests;
            "request taken while stopping");
    }
}

fn gateway_response(
    gateway: &Gateway,
    answer: GatewayAnswer,
    request_id: &str,
    retry_after: Option<Duration>,
) -> Response<Body> {
    gateway
        .metrics
        .increment(&format!("refused.{}", answer.as_str()));
    let mut response = answer.response(retry_after);
    let headers = response.headers_mut();
    gateway.dialect.mark_gateway_answer(headers, request_id);
    response
}

impl Call {
    /// Answers the call; every failure becomes an answer of the gateway.
    pub async fn run(self: &Arc<Self>) -> Response<Body> {
        let mut attempts =
            Attempts::with_max_executions(self.route.repeat.may_repeat(), self.route.max_attempts);
        let answered = self.answer(&mut attempts);
        let cutoff = &self.gateway.answer_cutoff;
        let result = cutoff.run_until_cancelled(answered).await;
        match result.unwrap_or_else(|| Err(self.answer_at_stop())) {
            Ok(response) => response,
            Err((answer, wait)) => {
                let answer = answer.given_attempts(&attempts);
                self.log_end(answer.as_str(), "-", attempts.failed());
                let retry_after = answer
                    .is_retryable()
                    .then(|| self.retry_after(answer, wait));
                gateway_response(&self.gateway, answer, &self.request_id, retry_after)
            }
        }
    }

    async fn answer(self: &Arc<Self>, attempts: &mut Attempts) -> Result<Response<Body>, Refusal> {
        let taken = self.take_share()?;
        let answered = self.answer_admitted(attempts).await;
        if let (Some(taken), Err((answer, _wait))) = (&taken, &answered) {
            self.on_refused_with_share(taken, answer.given_attempts(attempts));
        }
        answered
    }

    async fn answer_admitted(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refusal> {
        self.pass_quarantine().await?;
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
    ) -> Result<Response<Body>, Refusal> {
        let objective = Duration::from_millis(self.route.objective_ms);
        self.gateway
            .scheduler
            .on_objective(&self.service, objective);
        self.bind_resumed_version().await?;
        let stream = self.open_stream(&engine, attempts, None).await?;
        Ok(relay::respond(Arc::clone(self), engine, stream, *attempts))
    }
}
