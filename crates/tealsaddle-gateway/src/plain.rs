//! Calls of plain services, which are answered by one runner without prefill and decode.
//!
//! A short answer is read completely before it is passed on, so that a truncated answer, or one with a
//! server error, can be replaced by that of another runner. The end of the request is logged when the
//! answer is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::FuturesUnordered;
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
use crate::call::{Call, MIN_RETRY_AFTER, OwnAnswer, Refusal};
use crate::clock;
use crate::permits::{Candidates, PermittedPlacement};
use crate::process_check::Outlasting;
use crate::quarantine::losses::LostAttempt;
use crate::scheduler::RunnerAttempt;
use crate::send_gate::SendPermit;
use crate::stages::LOST;
use crate::timeout::timeout_at;
use crate::upstream::AnswerBody;

/// Answers up to this size are read completely before they are passed on, so that a truncated one can be
/// replaced.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// If a call may be repeated and its runner has not answered after this many times the route's objective,
/// another one is asked as well.
const SILENCE_FACTOR: u32 = 4;

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
    runner: Arc<Runner>,
}

/// What is known of a call at the runners that were asked.
#[derive(Debug, Default)]
struct PlainRun {
    /// Ids of the runners, in the order in which they were asked.
    asked: Vec<Name>,
    /// Last answer with a server error, for the case that no runner gives a better one.
    failure: Option<PlainAnswer>,
}

/// What to do after a wait for runners.
#[derive(Debug)]
enum PlainStep {
    /// This answer goes to the caller.
    Answered(Box<PlainAnswer>),
    /// Another runner is to be asked.
    AskAnother,
    /// All runners have failed, with this outcome.
    GiveUp(AttemptOutcome),
}

impl Call {
    /// Sends the call to a runner, and after a failure to others as far as the retry rules allow. A runner that
    /// is silent keeps the call while another one is asked beside it.
    pub async fn run_plain(
        self: &Arc<Self>,
        attempts: &mut Attempts,
    ) -> Result<Response<Body>, Refusal> {
        let mut run = PlainRun::default();
        let mut running = FuturesUnordered::new();
        let refused = loop {
            let is_alone = running.is_empty();
            let has_started = match self.place_plain(&run.asked, is_alone).await {
                // Beside silent runners the attempt is a retry; after a failure it has been taken already.
                Ok(placed) if is_alone || self.may_ask_other() => {
                    let runner = placed.placement.runner;
                    run.asked.push(Name::clone(&runner.id));
                    running.push(self.attempt_plain(runner, placed.permit));
                    true
                }
                Err(refused) if running.is_empty() => break refused,
                // The silent runners may still answer.
                Ok(_) | Err(_) => false,
            };
            let step = self.wait_plain(&mut run, &mut running, has_started, attempts);
            match step.await {
                PlainStep::Answered(answer) => return Ok(self.respond(*answer, attempts)),
                PlainStep::AskAnother => {}
                PlainStep::GiveUp(last) => {
                    break (GatewayAnswer::from_outcome(last), MIN_RETRY_AFTER);
                }
            }
        };
        let answer = run.failure.ok_or(refused)?;
        Ok(self.respond(answer, attempts))
    }

    /// Waits for the runners that have the call until one answers, another one may be asked, or all have
    /// failed. `may_ask` tells whether another one may be asked because of silence.
    async fn wait_plain<F>(
        &self,
        run: &mut PlainRun,
        running: &mut FuturesUnordered<F>,
        mut may_ask: bool,
        attempts: &mut Attempts,
    ) -> PlainStep
    where
        F: Future<Output = (Name, Result<PlainAnswer, AttemptOutcome>)>,
    {
        may_ask &= self.route.repeat.may_repeat();
        loop {
            let ended = self.next_ended(running, may_ask).await;
            let Some((runner, result)) = ended else {
                may_ask = self.may_ask_beside(run, running.len(), attempts);
                if may_ask {
                    return PlainStep::AskAnother;
                }
                continue;
            };
            let outcome = match result {
                Ok(answer) if self.is_replaceable(&answer) => {
                    run.failure = Some(answer);
                    AttemptOutcome::Unknown(UnknownReason::TargetFailed)
                }
                Ok(answer) => return PlainStep::Answered(Box::new(answer)),
                Err(outcome) => outcome,
            };
            if running.is_empty() {
                let decision = self.on_failed_attempt(attempts, outcome, &runner);
                return decision.map_or_else(PlainStep::GiveUp, |()| PlainStep::AskAnother);
            }
            attempts.count(outcome);
        }
    }

    /// The next attempt that ends; `None` if all are silent for long and `may_ask` is set.
    async fn next_ended<F>(
        &self,
        running: &mut FuturesUnordered<F>,
        may_ask: bool,
    ) -> Option<F::Output>
    where
        F: Future,
    {
        if !may_ask {
            return running.next().await;
        }
        let objective = Duration::from_millis(self.route.objective_ms);
        let limit = Instant::now() + objective * SILENCE_FACTOR;
        timeout_at(limit, running.next()).await.ok().flatten()
    }

    /// Decides whether another runner may be asked beside `running` silent ones.
    fn may_ask_beside(&self, run: &PlainRun, running: usize, attempts: &Attempts) -> bool {
        let Some(newest) = run.asked.last() else {
            return false;
        };
        self.gateway.scheduler.on_silent_runner(newest, true);
        self.on_silence(attempts, running as u32, newest)
    }

    /// Whether this answer may be replaced by that of another runner.
    fn is_replaceable(&self, answer: &PlainAnswer) -> bool {
        answer.response.status().is_server_error() && self.route.repeat.may_repeat()
    }

    /// Turns a runner's answer into the response to the caller.
    fn respond(self: &Arc<Self>, answer: PlainAnswer, attempts: &Attempts) -> Response<Body> {
        self.count_usage();
        let failed_attempts = attempts.failed();
        let PlainAnswer {
            response,
            attempt,
            runner,
        } = answer;
        response.map(|BufferedBody { start, rest }| {
            let Some(body) = rest else {
                self.log_end("answered", attempt.runner(), failed_attempts);
                return full_body(start);
            };
            let rest = ForwardedBody {
                call: Arc::clone(self),
                body,
                attempt,
                runner,
                failed_attempts,
            };
            rest.into_body_after(start)
        })
    }

    /// Chooses a runner that gets a request now; waits for one if `may_wait` is set.
    async fn place_plain(
        &self,
        excluded: &[Name],
        may_wait: bool,
    ) -> Result<PermittedPlacement, Refusal> {
        // The request may have been found to be deadly since its last attempt.
        self.check_quarantine()?;
        let candidates = Candidates {
            stage: None,
            excluded,
            may_wait,
        };
        let placed = self.place(candidates, |left_out| self.choose_plain(left_out));
        let placed = placed.await?;
        let placement = &placed.placement;
        log::info!(id:% = self.request_id, route:% = self.route.name,
            runner:% = placement.runner.id, wait_ms = placement.wait_us as u64 / 1_000,
            left_ms = self.remaining().as_millis() as u64, config_version = self.config.version,
            runners_revision = self.gateway.snapshot.load().runners_revision,
            knowledge_ms = self.gateway.knowledge.age().as_millis() as u64; "placed");
        Ok(placed)
    }

    fn choose_plain(&self, left_out: &[Name]) -> Result<Placement, Refusal> {
        let snapshot = self.gateway.snapshot.load_full();
        let runners = snapshot.runners_of(&self.service);
        let request = self.placement_request();
        let scheduler = &self.gateway.scheduler;
        let placement = scheduler.choose_plain_runner(runners, &request, left_out);
        let placement = placement.ok_or((GatewayAnswer::NoRunner, MIN_RETRY_AFTER))?;
        let wait = Duration::from_micros(placement.wait_us as u64);
        self.check_ends_before_stop(wait)?;
        if wait >= self.remaining() {
            return Err((GatewayAnswer::DeadlineInfeasible, wait));
        }
        Ok(placement)
    }

    /// Sends the request to a runner and records the outcome in the runner's statistics.
    async fn attempt_plain(
        &self,
        runner: Arc<Runner>,
        permit: SendPermit,
    ) -> (Name, Result<PlainAnswer, AttemptOutcome>) {
        let scheduler = &self.gateway.scheduler;
        let attempt = scheduler.begin_attempt(&runner, Work::default());
        let metadata = self.send_metadata(&runner.id);
        let sent_us = clock::now_us();
        let sent = self.exchange_until(&runner, permit, &metadata, self.deadline);
        let result = match sent.await {
            Ok(answer) => self.read_plain(answer, &attempt, &runner).await,
            Err(outcome) => Err(outcome),
        };
        let runner_id = Name::clone(&runner.id);
        let result = match result {
            Ok(response) => {
                let has_failed = response.status().is_server_error();
                attempt.on_outcome(AttemptOutcome::Answered, has_failed);
                if response.body().rest.is_none() {
                    self.on_survived(clock::now_us());
                }
                Ok(PlainAnswer {
                    response,
                    attempt,
                    runner,
                })
            }
            Err(outcome) => {
                if outcome == LOST {
                    let lost = LostAttempt {
                        sent_us,
                        has_begun: false,
                    };
                    self.on_lost_attempt(&runner, lost);
                }
                attempt.on_outcome(outcome, false);
                Err(outcome)
            }
        };
        (runner_id, result)
    }

    /// Checks an answer and reads its body, or the start of a long body.
    async fn read_plain(
        &self,
        answer: OwnAnswer,
        attempt: &RunnerAttempt,
        runner: &Runner,
    ) -> Result<Response<BufferedBody>, AttemptOutcome> {
        let OwnAnswer {
            mut head,
            metadata,
            mut body,
        } = answer;
        let outcome = classify_answer(head.status, &metadata, &self.request_id);
        if outcome != AttemptOutcome::Answered {
            body.forbid_reuse();
            return Err(outcome);
        }
        let body = self.read_start(body, runner).await?;
        strip_hop_headers(&mut head.headers, |_name| false);
        self.gateway.dialect.clean_answer(&mut head.headers);
        if let Some(load) = metadata.load {
            attempt.on_load(load);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Reads a short body completely, and the start of a longer one.
    async fn read_start(
        &self,
        mut body: AnswerBody,
        runner: &Runner,
    ) -> Result<BufferedBody, AttemptOutcome> {
        let framing = body.framing();
        let mut bytes = BytesMut::new();
        let mut is_complete = false;
        while !is_complete && bytes.len() <= MAX_BUFFERED_BYTES {
            let next = body.next_until(self.deadline).await;
            let checked = self.check_body_end(runner, framing, next, Outlasting::Short);
            match checked.await {
                Ok(Some(data)) => bytes.extend_from_slice(&data),
                Ok(None) => is_complete = true,
                Err(reason) => {
                    self.log_body_end(&runner.id, framing, 0, false);
                    return Err(AttemptOutcome::Unknown(reason));
                }
            }
        }
        if is_complete {
            self.log_body_end(&runner.id, framing, 0, true);
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
    runner: Arc<Runner>,
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
        let framing = self.body.framing();
        let read = self.body.next_until(self.call.deadline).await;
        let checked = self
            .call
            .check_body_end(&self.runner, framing, read, Outlasting::Short);
        let read = checked.await;
        let (outcome, step) = match read {
            Ok(Some(data)) => return Some((Ok(Frame::data(data)), Some(self))),
            Ok(None) => {
                let runner = self.attempt.runner();
                self.call.log_body_end(runner, framing, 0, true);
                self.call.on_survived(clock::now_us());
                ("answered", None)
            }
            Err(reason) => {
                let outcome = AttemptOutcome::Unknown(reason);
                self.attempt.on_outcome(outcome, false);
                let runner = self.attempt.runner();
                self.call.log_body_end(runner, framing, 0, false);
                self.call.log_truncated(reason.as_str(), runner);
                (reason.as_str(), Some((Err(Aborted), None)))
            }
        };
        self.call
            .log_end(outcome, self.attempt.runner(), self.failed_attempts);
        step
    }
}
