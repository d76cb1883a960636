//! Calls of plain services, which are answered by one runner without prefill and decode.
//!
//! A short answer is read completely before it is passed on, so that a truncated answer, or one with a
//! server error, can be replaced by that of another runner. The end of the request is logged when the
//! answer is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::placement::Placement;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::{Aborted, Body, GatewayAnswer, classify_answer, full_body, strip_hop_headers};
use crate::call::{Call, MIN_RETRY_AFTER, Refusal};
use crate::external::SendMetadata;
use crate::scheduler::RunnerAttempt;
use crate::upstream::{Answer, AnswerBody};

/// Answers up to this size are read completely before they are passed on, so that a truncated one can be
/// replaced.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// An attempt of a call that may be repeated ends if the head of the answer has not arrived after this many
/// times the route's objective; the call is then sent to another runner.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 4;

/// A body whose start has been read into memory.
#[derive(Debug)]
struct BufferedBody {
    start: Bytes,
    /// Body after the start; `None` if the start is the whole body.
    rest: Option<AnswerBody>,
}

/// A runner's answer, with the attempt that counts at the runner until it ends.
#[derive(Debug)]
struct PlainAnswer {
    response: Response<BufferedBody>,
    attempt: RunnerAttempt,
}

impl Call {
    /// Sends the call to a runner, and after a failure to others as far as the retry rules allow.
    pub async fn run_plain(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refusal> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut last_answer = None;
        let refused = loop {
            let placement = match self.place_plain(&excluded) {
                Ok(placement) => placement,
                Err(refused) => break refused,
            };
            let runner = &placement.runner;
            let outcome = match self.attempt_plain(runner).await {
                Ok(answer) if self.is_replaceable(&answer) => {
                    last_answer = Some(answer);
                    AttemptOutcome::Unknown(UnknownReason::TargetFailed)
                }
                Ok(answer) => return Ok(self.respond(answer, attempts)),
                Err(outcome) => outcome,
            };
            excluded.push(Name::clone(&runner.id));
            if let Err(last) = self.on_failed_attempt(attempts, outcome, &runner.id) {
                break (GatewayAnswer::from_outcome(last), MIN_RETRY_AFTER);
            }
        };
        let answer = last_answer.ok_or(refused)?;
        Ok(self.respond(answer, attempts))
    }

    /// Whether this answer may be replaced by that of another runner.
    fn is_replaceable(&self, answer: &PlainAnswer) -> bool {
        answer.response.status().is_server_error() && self.route.repeat.may_repeat()
    }

    /// Turns a runner's answer into the response to the caller.
    fn respond(self: &Arc<Self>, answer: PlainAnswer, attempts: &Attempts) -> Response<Body> {
        let failed_attempts = attempts.failed();
        let PlainAnswer { response, attempt } = answer;
        response.map(|BufferedBody { start, rest }| {
            let Some(body) = rest else {
                self.log_end("answered", attempt.runner(), failed_attempts);
                return full_body(start);
            };
            let rest = ForwardedBody {
                call: Arc::clone(self),
                body,
                attempt,
                failed_attempts,
            };
            rest.into_body_after(start)
        })
    }

    fn place_plain(&self, excluded: &[Name]) -> Result<Placement, Refusal> {
        let snapshot = self.gateway.snapshot.load_full();
        let runners = snapshot.runners_of(&self.service);
        let placement = self.gateway.scheduler.choose_plain_runner(
            runners,
            &self.placement_request(),
            excluded,
        );
        let placement = placement.ok_or((GatewayAnswer::NoRunner, MIN_RETRY_AFTER))?;
        let wait = Duration::from_micros(placement.wait_us as u64);
        self.check_ends_before_stop(wait)?;
        if wait >= self.remaining() {
            return Err((GatewayAnswer::DeadlineInfeasible, wait));
        }
        log::info!(id:% = self.request_id, route:% = self.route.name,
            runner:% = placement.runner.id, wait_ms = wait.as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64, config_version = self.config.version,
            runners_revision = snapshot.runners_revision; "placed");
        Ok(placement)
    }

    /// Sends the request to a runner and records the outcome in the runner's statistics.
    async fn attempt_plain(&self, runner: &Runner) -> Result<PlainAnswer, AttemptOutcome> {
        let attempt = self
            .gateway
            .scheduler
            .begin_attempt(runner, Work::default());
        let metadata = self.send_metadata(&runner.id);
        let result = match self.exchange(runner, &metadata).await {
            Ok(answer) => self.read_plain(answer, &attempt).await,
            Err(outcome) => Err(outcome),
        };
        match result {
            Ok(response) => {
                let has_failed = response.status().is_server_error();
                attempt.on_outcome(AttemptOutcome::Answered, has_failed);
                Ok(PlainAnswer { response, attempt })
            }
            Err(outcome) => {
                attempt.on_outcome(outcome, false);
                Err(outcome)
            }
        }
    }

    /// Sends the request to a runner and waits for the head of the answer, for as long as the attempt may
    /// take.
    async fn exchange(
        &self,
        runner: &Runner,
        metadata: &SendMetadata<'_>,
    ) -> Result<Answer, AttemptOutcome> {
        let mut limit = self.deadline;
        if self.route.repeat.may_repeat() {
            let objective = Duration::from_millis(self.route.objective_ms);
            limit = limit.min(Instant::now() + objective * ATTEMPT_TIMEOUT_FACTOR);
        }
        self.exchange_until(runner, metadata, limit).await
    }

    /// Checks an answer and reads its body, or the start of a long body.
    async fn read_plain(
        &self,
        answer: Answer,
        attempt: &RunnerAttempt,
    ) -> Result<Response<BufferedBody>, AttemptOutcome> {
        let Answer { mut head, mut body } = answer;
        let dialect = &self.gateway.dialect;
        let metadata = dialect.answer_metadata(&head.headers);
        let outcome = classify_answer(head.status, &metadata, &self.request_id);
        if outcome != AttemptOutcome::Answered {
            body.forbid_reuse();
            return Err(outcome);
        }
        let body = self.read_start(body).await?;
        strip_hop_headers(&mut head.headers, |_name| false);
        dialect.clean_answer(&mut head.headers);
        if let Some(load) = metadata.load {
            attempt.on_load(load);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Reads a short body completely, and the start of a longer one.
    async fn read_start(&self, mut body: AnswerBody) -> Result<BufferedBody, AttemptOutcome> {
        let mut bytes = BytesMut::new();
        let mut is_complete = false;
        while !is_complete && bytes.len() <= MAX_BUFFERED_BYTES {
            let next = body.next_until(self.deadline).await;
            match next.map_err(AttemptOutcome::Unknown)? {
                Some(data) => bytes.extend_from_slice(&data),
                None => is_complete = true,
            }
        }
        Ok(BufferedBody {
            start: bytes.freeze(),
            rest: (!is_complete).then_some(body),
        })
    }
}

/// The rest of a long answer, which is passed on to the caller as it arrives.
#[derive(Debug)]
struct ForwardedBody {
    call: Arc<Call>,
    body: AnswerBody,
    attempt: RunnerAttempt,
    failed_attempts: u32,
}

impl ForwardedBody {
    /// Makes the body of the response: `start`, then this rest.
    fn into_body_after(self, start: Bytes) -> Body {
        let start = stream::once(future::ready(Ok(Frame::data(start))));
        let rest = stream::unfold(Some(self), |rest| async move { rest?.next().await });
        StreamBody::new(start.chain(rest)).boxed_unsync()
    }

    async fn next(mut self) -> Option<(Result<Frame<Bytes>, Aborted>, Option<Self>)> {
        let (outcome, step) = match self.body.next_until(self.call.deadline).await {
            Ok(Some(data)) => return Some((Ok(Frame::data(data)), Some(self))),
            Ok(None) => ("answered", None),
            Err(reason) => {
                let outcome = AttemptOutcome::Unknown(reason);
                self.attempt.on_outcome(outcome, false);
                self.call.log_truncated(reason, self.attempt.runner());
                (reason.as_str(), Some((Err(Aborted), None)))
            }
        };
        self.call
            .log_end(outcome, self.attempt.runner(), self.failed_attempts);
        step
    }
}
