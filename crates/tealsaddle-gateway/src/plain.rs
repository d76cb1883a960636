//! A call of a plain service: one runner answers it.
//!
//! A short answer is read as a whole before it is passed on, so that one that breaks off, or that states
//! a failure, can be replaced by that of another runner.

use std::time::Duration;

use bytes::BytesMut;
use hyper::Response;
use tealsaddle_core::fleet::Runner;
use tealsaddle_core::fleet::load::Work;
use tealsaddle_core::fleet::place::Place;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, UnknownReason};
use tokio::time::Instant;

use crate::answer::{Body, OwnAnswer, full, judge, strip_hop_headers};
use crate::board::AtRunner;
use crate::border::SendFacts;
use crate::call::{Call, MIN_RETRY_AFTER, Refused};
use crate::relay;
use crate::upstream::{Answer, AnswerBody};

/// Largest answer of a plain service that is read as a whole before it is passed on, so that one that
/// breaks off can be replaced.
const WHOLE_ANSWER_BYTES: usize = 64 << 10;
/// An idempotent call to a silent runner is sent elsewhere after this many times its objective.
const PATIENCE_FACTOR: u32 = 4;

impl Call {
    /// Has a runner answer the call, or others after it as far as the attempts allow.
    pub async fn run_plain(&self, attempts: &mut Attempts) -> Result<Response<Body>, Refused> {
        let mut excluded: Vec<Name> = Vec::new();
        let mut last_answer = None;
        loop {
            let place = match self.place_plain(&excluded) {
                Ok(place) => place,
                Err(refused) => return last_answer.ok_or(refused),
            };
            let at = self.gateway.board.enter(&place.runner, Work::default());
            let outcome = match self.attempt_plain(&place.runner, &at).await {
                Ok(response) if self.is_replaceable(&response) => {
                    last_answer = Some(response);
                    AttemptOutcome::Unknown(UnknownReason::TargetFailed)
                }
                Ok(response) => {
                    self.log_end("answered", at.runner(), attempts.made());
                    return Ok(response);
                }
                Err(outcome) => outcome,
            };
            excluded.push(Name::clone(at.runner()));
            if let Err(last) = self.may_go_on(attempts, outcome, at.runner()) {
                return last_answer.ok_or((OwnAnswer::of_outcome(last), MIN_RETRY_AFTER));
            }
        }
    }

    /// Whether another runner may answer in place of this answer.
    fn is_replaceable(&self, response: &Response<Body>) -> bool {
        response.status().is_server_error() && self.route.repeat.may_repeat()
    }

    fn place_plain(&self, excluded: &[Name]) -> Result<Place, Refused> {
        let world = self.gateway.world.load_full();
        let runners = world.runners_of(&self.service);
        let place = self.gateway.board.plain(runners, &self.ask(), excluded);
        let place = place.ok_or((OwnAnswer::NoRunner, MIN_RETRY_AFTER))?;
        let wait = Duration::from_micros(place.wait_us as u64);
        if wait >= self.left() {
            return Err((OwnAnswer::DeadlineInfeasible, wait));
        }
        log::info!(id:% = self.request_id, route:% = self.route.name,
            runner:% = place.runner.id, wait_ms = wait.as_millis() as u64,
            left_ms = self.left().as_millis() as u64, config_version = self.config.version,
            runners_revision = world.runners_revision; "placed");
        Ok(place)
    }

    /// Sends the request to a runner, and notes there what came of it.
    async fn attempt_plain(
        &self,
        runner: &Runner,
        at: &AtRunner,
    ) -> Result<Response<Body>, AttemptOutcome> {
        let facts = self.send_facts(&runner.id);
        let result = match self.exchange(runner, &facts).await {
            Ok(answer) => self.take_plain(answer, at).await,
            Err(outcome) => Err(outcome),
        };
        match &result {
            Ok(response) => {
                at.on_outcome(
                    AttemptOutcome::Answered,
                    response.status().is_server_error(),
                );
            }
            Err(outcome) => at.on_outcome(*outcome, false),
        }
        result
    }

    /// Sends the request to a runner; the whole head of the answer is awaited for the time that the
    /// attempt may take.
    async fn exchange(
        &self,
        runner: &Runner,
        facts: &SendFacts<'_>,
    ) -> Result<Answer, AttemptOutcome> {
        let mut limit = self.deadline;
        if self.route.repeat.may_repeat() {
            let objective = Duration::from_millis(self.route.objective_ms);
            limit = limit.min(Instant::now() + objective * PATIENCE_FACTOR);
        }
        self.exchange_until(runner, facts, limit).await
    }

    /// Makes the answer to the caller from that of a runner.
    async fn take_plain(
        &self,
        answer: Answer,
        at: &AtRunner,
    ) -> Result<Response<Body>, AttemptOutcome> {
        let Answer { head, mut body } = answer;
        let dialect = &self.gateway.dialect;
        let facts = dialect.answer_facts(&head.headers);
        let outcome = judge(head.status, &facts, &self.request_id);
        if outcome != AttemptOutcome::Answered {
            body.forbid_reuse();
            return Err(outcome);
        }
        let body = self.read_or_pass_on(body).await;
        let mut response = Response::from_parts(head, body.map_err(AttemptOutcome::Unknown)?);
        let headers = response.headers_mut();
        strip_hop_headers(headers, |_name| false);
        dialect.clean_answer(headers);
        if let Some(load) = facts.load {
            at.on_load(load);
        }
        Ok(response)
    }

    /// Reads a short body as a whole; a longer one is passed on while it arrives.
    async fn read_or_pass_on(&self, mut body: AnswerBody) -> Result<Body, UnknownReason> {
        let mut bytes = BytesMut::new();
        while bytes.len() <= WHOLE_ANSWER_BYTES {
            match body.next_until(self.deadline).await? {
                Some(data) => bytes.extend_from_slice(&data),
                None => return Ok(full(bytes.freeze())),
            }
        }
        Ok(relay::pass_on(bytes.freeze(), body, self.deadline))
    }
}
