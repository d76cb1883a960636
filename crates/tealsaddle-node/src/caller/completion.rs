//! A completion request, its output and its result.

use std::sync::Arc;

use hyper::StatusCode;
use tealsaddle_core::inventory::Model;
use tealsaddle_core::retry::{AttemptOutcome, UnknownReason};
use tokio::sync::mpsc;

use super::generation::Generation;
use super::response::Refusal;
use super::select::AttemptPlan;
use crate::traffic::Traffic;

/// Output tokens buffered for a slow reader. Most completions are shorter, so that a slow reader
/// rarely occupies a slot in the batch of an engine for longer than the generation takes.
const MAX_BUFFERED_TOKENS: u64 = 4_096;

/// A validated completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Id of the request, as returned to the caller.
    pub request_id: String,
    /// Model that generates the output, with its latency targets.
    pub model: Arc<Model>,
    /// Text given to the engine.
    pub prompt: Arc<str>,
    /// Upper bound of the output, in tokens.
    pub max_tokens: u64,
    /// Sampling seed, the same in all attempts so that a later one can resume the output.
    pub seed: u64,
    /// Priority class of the customer; 0 is served first.
    pub priority: u32,
    /// Estimated length of the prompt in tokens: its number of words.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks, compared with the content of the engines' prefix caches.
    pub prefix_blocks: Arc<[u64]>,
    /// Arrival time of the request, as given by `clock::now_us`.
    pub arrived_us: u64,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
}

/// Result of a completion that generated its whole output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Reason why generation ended, as reported by the engine.
    pub finish_reason: String,
    /// Length of the prompt in tokens, as reported by the engine.
    pub prompt_tokens: u64,
}

/// Output of a completion, in order.
#[derive(Debug)]
pub enum Output {
    /// Text of the next token.
    Token(String),
    /// The output is complete.
    Done(Done),
    /// The completion failed; no further output follows.
    Failed(Refusal),
}

/// Starts a completion and returns the receiver of its output. Dropping the receiver cancels the work.
pub fn spawn(
    traffic: Arc<Traffic>,
    completion: Completion,
    plan: AttemptPlan,
) -> mpsc::Receiver<Output> {
    let capacity = completion.max_tokens.clamp(1, MAX_BUFFERED_TOKENS) as usize;
    let (sender, receiver) = mpsc::channel(capacity);
    let tasks = traffic.tasks.clone();
    // A stop waits for this task, so that cancellations reach the engines before the process exits.
    tasks.spawn(async move {
        let generation = Generation::new(&traffic, &completion, &sender);
        let last = match generation.run(plan).await {
            Ok(Some(done)) => Output::Done(done),
            Ok(None) => {
                traffic.counters.increment("caller.gone");
                return;
            }
            Err(refusal) => {
                let name = format!("completion.failed.{}", refusal.reason);
                traffic.counters.increment(&name);
                Output::Failed(Refusal {
                    // A repeatable request may be sent again, and the failure may be temporary.
                    retry_after_s: completion.is_repeatable.then_some(1),
                    ..refusal
                })
            }
        };
        // The send fails if the caller has disconnected.
        drop(sender.send(last).await);
    });
    receiver
}

/// Returns the refusal for a response that was cut off before its end.
pub fn connection_lost() -> Refusal {
    Refusal::unknown(
        StatusCode::BAD_GATEWAY,
        "connection_lost",
        "the answer broke off",
    )
}

/// Returns the refusal for a request whose last attempt ended with this outcome.
pub fn refusal(outcome: AttemptOutcome) -> Refusal {
    match outcome {
        AttemptOutcome::NotRun(reason) => {
            Refusal::unavailable(reason.as_str(), "the request was not run; try again")
        }
        AttemptOutcome::Unknown(reason) => {
            let status = match reason {
                UnknownReason::Timeout | UnknownReason::NodeStopped => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
            let message = "the request may have been run, and its answer is lost";
            Refusal::unknown(status, reason.as_str(), message)
        }
        AttemptOutcome::Answered => connection_lost(),
    }
}
