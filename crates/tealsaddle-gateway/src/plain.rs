//! A call of a plain service: one runner answers it.
//!
//! A short answer is read as a whole before it is passed on, so that one that breaks off, or that states
//! a failure, can be replaced by that of another runner. Its last line is written when all of it has come.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::place::Place;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::{Aborted, Body, GatewayAnswer, classify_answer, full_body, strip_hop_headers};
use crate::call::{Call, MIN_RETRY_AFTER, Refused};
use crate::external::SendMetadata;
use crate::scheduler::RunnerAttempt;
use crate::upstream::{Answer, AnswerBody};

/// Largest answer of a plain service that is read as a whole before it is passed on, so that one that
/// breaks off can be replaced.
const WHOLE_ANSWER_BYTES: usize = 64 << 10;
/// An idempotent call to a silent runner is sent elsewhere after this many times its objective.
const PATIENCE_FACTOR: u32 = 4;

/// A body that was read as far as it is kept.
#[derive(Debug)]
struct StartedBody {
    start: Bytes,
    /// What follows the start; `None` if that is all.
    rest: Option<AnswerBody>,
}

/// The answer of a runner.
#[derive(Debug)]
struct PlainAnswer {
    response: Response<StartedBody>,
    attempt: RunnerAttempt,
}

impl Call {
    /// Has a runner answer the call, or others after it as far as the attempts allow.
    pub async fn run_plain(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refused> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut last_answer = None;
        let refused = loop {
            let place = match self.place_plain(&excluded) {
                Ok(place) => place,
                Err(refused) => break refused,
            };
            let runner = &place.runner;
            let outcome = match self.attempt_plain(runner).await {
                Ok(answer) if self.is_replaceable(&answer) => {
                    last_answer = Some(answer);
                    AttemptOutcome::Unknown(UnknownReason::TargetFailed)
                }
                Ok(answer) => return Ok(self.give_back(answer, attempts)),
                Err(outcome) => outcome,
            };
            excluded.push(Name::clone(&runner.id));
            if let Err(last) = self.may_retry(attempts, outcome, &runner.id) {
                break (GatewayAnswer::of_outcome(last), MIN_RETRY_AFTER);
            }
        };
        let answer = last_answer.ok_or(refused)?;
        Ok(self.give_back(answer, attempts))
    }

    /// Whether another runner may answer in place of this answer.
    fn is_replaceable(&self, answer: &PlainAnswer) -> bool {
        answer.response.status().is_server_error() && self.route.repeat.may_repeat()
    }

    /// Makes the answer to the caller from that of a runner.
    fn give_back(self: &Arc<Self>, answer: PlainAnswer, attempts: &Attempts) -> Response<Body> {
        let failed_attempts = attempts.made();
        let PlainAnswer { response, attempt } = answer;
        response.map(|StartedBody { start, rest }| {
            let Some(body) = rest else {
                self.log_end("answered", attempt.runner(), failed_attempts);
                return full_body(start);
            };
            let rest = PassedOn {
                call: Arc::clone(self),
                body,
                attempt,
                failed_attempts,
            };
            rest.after(start)
        })
    }

    fn place_plain(&self, excluded: &[Name]) -> Result<Place, Refused> {
        let snapshot = self.gateway.snapshot.load_full();
        let runners = snapshot.runners_of(&self.service);
        let place = self
            .gateway
            .scheduler
            .choose_plain_runner(runners, &self.ask(), excluded);
        let place = place.ok_or((GatewayAnswer::NoRunner, MIN_RETRY_AFTER))?;
        let wait = Duration::from_micros(place.wait_us as u64);
        self.check_ends_before_stop(wait)?;
        if wait >= self.remaining() {
            return Err((GatewayAnswer::DeadlineInfeasible, wait));
        }
        log::info!(id:% = self.request_id, route:% = self.route.name,
            runner:% = place.runner.id, wait_ms = wait.as_millis() as u64,
            left_ms = self.remaining().as_millis() as u64, config_version = self.config.version,
            runners_revision = snapshot.runners_revision; "placed");
        Ok(place)
    }

    /// Sends the request to a runner, and notes there what came of it.
    async fn attempt_plain(&self, runner: &Runner) -> Result<PlainAnswer, AttemptOutcome> {
        let attempt = self
            .gateway
            .scheduler
            .begin_attempt(runner, Work::default());
        let metadata = self.send_metadata(&runner.id);
        let result = match self.exchange(runner, &metadata).await {
            Ok(answer) => self.take_plain(answer, &attempt).await,
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

    /// Sends the request to a runner; the whole head of the answer is awaited for the time that the
    /// attempt may take.
    async fn exchange(
        &self,
        runner: &Runner,
        metadata: &SendMetadata<'_>,
    ) -> Result<Answer, AttemptOutcome> {
        let mut limit = self.deadline;
        if self.route.repeat.may_repeat() {
            let objective = Duration::from_millis(self.route.objective_ms);
            limit = limit.min(Instant::now() + objective * PATIENCE_FACTOR);
        }
        self.exchange_until(runner, metadata, limit).await
    }

    /// Checks an answer and reads it as far as it is kept.
    async fn take_plain(
        &self,
        answer: Answer,
        attempt: &RunnerAttempt,
    ) -> Result<Response<StartedBody>, AttemptOutcome> {
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

    /// Reads a short body as a whole, and of a longer one the start.
    async fn read_start(&self, mut body: AnswerBody) -> Result<StartedBody, AttemptOutcome> {
        let mut bytes = BytesMut::new();
        let mut is_whole = false;
        while !is_whole && bytes.len() <= WHOLE_ANSWER_BYTES {
            let next = body.next_until(self.deadline).await;
            match next.map_err(AttemptOutcome::Unknown)? {
                Some(data) => bytes.extend_from_slice(&data),
                None => is_whole = true,
            }
        }
        Ok(StartedBody {
            start: bytes.freeze(),
            rest: (!is_whole).then_some(body),
        })
    }
}

/// The rest of a long answer, which goes to the caller while it arrives.
#[derive(Debug)]
struct PassedOn {
    call: Arc<Call>,
    body: AnswerBody,
    attempt: RunnerAttempt,
    failed_attempts: u32,
}

impl PassedOn {
    /// The body of the answer, which begins with `start`.
    fn after(self, start: Bytes) -> Body {
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
                (reason.as_str(), Some((Err(Aborted), None)))
            }
        };
        self.call
            .log_end(outcome, self.attempt.runner(), self.failed_attempts);
        step
    }
}
