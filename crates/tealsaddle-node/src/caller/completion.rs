//! Runs a completion: attempts one after another, and their joined output.

use std::sync::Arc;

use hyper::StatusCode;
use tealsaddle_core::inventory::Model;
use tealsaddle_core::retry::{AttemptOutcome, Attempts, NotRunReason, UnknownReason};
use tealsaddle_core::stream::StreamJoiner;
use tokio::sync::mpsc;

use super::attempt::{Attempt, AttemptEnd};
use super::response::Refusal;
use super::select::{self, Plan};
use crate::traffic::Traffic;

/// Tokens of one answer that wait for a slow reader. It is more than most answers have, so that a
/// slow reader rarely keeps its place in an engine's batch longer than the engine needs.
const TOKENS_BUFFERED: u64 = 4_096;

/// A checked request for a completion.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Id of the request.
    pub request_id: String,
    /// The model.
    pub model: Arc<Model>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Seed of the output.
    pub seed: u64,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Length of the prompt, estimated.
    pub prompt_tokens: u64,
    /// Blocks of the prompt, for what the engines' prefix caches hold of it.
    pub prefix_blocks: Arc<[u64]>,
    /// Time of its arrival.
    pub arrived_us: u64,
    /// Whether it may run twice.
    pub is_repeatable: bool,
}

/// The end of a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Why generation ended.
    pub finish_reason: String,
    /// Length of the prompt.
    pub prompt_tokens: u64,
}

/// What the caller gets, in order.
#[derive(Debug)]
pub enum Output {
    /// The next token.
    Token(String),
    /// The end of a whole answer.
    Done(Done),
    /// The answer cannot be completed.
    Failed(Refusal),
}

/// Starts a completion; the receiver gets its output, and dropping it cancels the work.
pub fn spawn(traffic: Arc<Traffic>, completion: Completion, plan: Plan) -> mpsc::Receiver<Output> {
    let places = completion.max_tokens.clamp(1, TOKENS_BUFFERED) as usize;
    let (sender, receiver) = mpsc::channel(places);
    let tasks = traffic.tasks.clone();
    // A stop waits for it, so that the cancellation of what it gives up reaches the engine.
    tasks.spawn(async move {
        let last = match run(&traffic, &completion, plan, &sender).await {
            Ok(Some(done)) => Output::Done(done),
            Ok(None) => {
                traffic.counters.increment("caller.gone");
                return;
            }
            Err(refusal) => {
                let name = format!("completion.failed.{}", refusal.reason);
                traffic.counters.increment(&name);
                Output::Failed(Refusal {
                    // Another run does no harm, and the fault may have passed.
                    retry_after_s: completion.is_repeatable.then_some(1),
                    ..refusal
                })
            }
        };
        // A caller that went away needs no ending.
        drop(sender.send(last).await);
    });
    receiver
}

/// `None` means that the caller went away.
async fn run(
    traffic: &Arc<Traffic>,
    completion: &Completion,
    plan: Plan,
    sender: &mpsc::Sender<Output>,
) -> Result<Option<Done>, Refusal> {
    let mut joiner = StreamJoiner::new(completion.max_tokens);
    let mut attempts = Attempts::new(completion.is_repeatable);
    let mut failed = Vec::new();
    let mut may_split = true;
    let mut plan = plan;
    traffic.on_first_attempt(&completion.model.name);
    loop {
        let is_split = matches!(plan, Plan::Split { .. });
        let attempt = Attempt {
            traffic,
            completion,
            sender,
            joiner: &mut joiner,
        };
        let (engine, outcome) = match attempt.run(plan).await {
            AttemptEnd::Done(done) => return Ok(Some(done)),
            AttemptEnd::CallerGone => return Ok(None),
            AttemptEnd::Failed(engine, outcome) => (engine, outcome),
        };
        traffic.recent_failures.on_failure(&engine, outcome);
        failed.push(engine);
        may_split &= !is_split;
        let service = &completion.model.name;
        let id = &completion.request_id;
        if traffic
            .on_failure(service, id, &mut attempts, outcome)
            .is_err()
        {
            return Err(refusal(attempts.outcome(outcome)));
        }
        let Some(next) = select::again(traffic, completion, &failed, may_split) else {
            let last = AttemptOutcome::NotRun(NotRunReason::NoTarget);
            return Err(refusal(attempts.outcome(last)));
        };
        plan = next;
    }
}

/// The refusal for an answer that ended without its end.
pub fn broken_off() -> Refusal {
    Refusal::unknown(
        StatusCode::BAD_GATEWAY,
        "connection_lost",
        "the answer broke off",
    )
}

/// The refusal for the outcome of a request that gets no further attempt.
pub fn refusal(outcome: AttemptOutcome) -> Refusal {
    match outcome {
        AttemptOutcome::NotRun(reason) => {
            Refusal::busy(reason.as_str(), "the request was not run; try again")
        }
        AttemptOutcome::Unknown(reason) => {
            let status = match reason {
                UnknownReason::Timeout | UnknownReason::NodeStopped => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            let message = "the request may have been run, and its answer is lost";
            Refusal::unknown(status, reason.as_str(), message)
        }
        AttemptOutcome::Answered => broken_off(),
    }
}
