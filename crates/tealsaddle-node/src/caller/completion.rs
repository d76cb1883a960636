//! Runs a completion: choice of engines, attempts, and the joined token stream.

use std::sync::Arc;

use futures::StreamExt;
use hyper::StatusCode;
use tealsaddle_core::decision::{Decision, DecisionKind};
use tealsaddle_core::inventory::{Engine, Model};
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::AttemptOutcome;
use tealsaddle_core::route::{self, RequestFacts, RouteChoice};
use tealsaddle_core::stream::{StreamJoiner, TokenAction};
use tokio::sync::mpsc;
use uuid::Uuid;

use super::response::Refusal;
use crate::clock;
use crate::engine::{GenerateRequest, Stage};
use crate::traffic::Traffic;

/// Tokens buffered for a slow reader before the engine's stream is held back.
const TOKENS_BUFFERED: usize = 64;

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
}

/// What the caller gets, in order.
#[derive(Debug, Clone)]
pub enum Output {
    /// The next token.
    Token(String),
    /// The end of a whole answer.
    Done {
        /// Why generation ended.
        finish_reason: String,
        /// Length of the prompt.
        prompt_tokens: u64,
    },
    /// The answer cannot be completed.
    Failed(Refusal),
}

/// Starts a completion; the receiver gets its output.
pub fn spawn(traffic: Arc<Traffic>, completion: Completion) -> mpsc::Receiver<Output> {
    let (sender, receiver) = mpsc::channel(TOKENS_BUFFERED);
    tokio::spawn(async move {
        let last = match run(&traffic, &completion, &sender).await {
            Ok(last) => last,
            Err(refusal) => Output::Failed(refusal),
        };
        // A caller that went away needs no ending.
        drop(sender.send(last).await);
    });
    receiver
}

async fn run(
    traffic: &Traffic,
    completion: &Completion,
    sender: &mpsc::Sender<Output>,
) -> Result<Output, Refusal> {
    let engine = choose(traffic, completion)?;
    let request = GenerateRequest {
        attempt_id: Uuid::new_v4().to_string(),
        model: Name::clone(&completion.model.name),
        prompt: Arc::clone(&completion.prompt),
        max_tokens: completion.max_tokens,
        priority: 0,
        stage: Stage::Full,
        kv_from: None,
        resume_at: 0,
        seed: completion.seed,
    };
    let mut events = traffic
        .engines
        .generate(&engine, &request)
        .await
        .map_err(refusal)?;
    let mut joiner = StreamJoiner::new(completion.max_tokens);
    while let Some(event) = events.next().await {
        let event = event.map_err(refusal)?;
        if event.done {
            return Ok(Output::Done {
                finish_reason: event.finish_reason.unwrap_or_else(|| "stop".to_owned()),
                prompt_tokens: event.prompt_tokens.unwrap_or(0),
            });
        }
        let (Some(index), Some(text)) = (event.index, event.text) else {
            continue;
        };
        match joiner.on_token(&request.attempt_id, &event.attempt_id, index) {
            TokenAction::Deliver => {
                if sender.send(Output::Token(text)).await.is_err() {
                    traffic.counters.increment("caller.gone");
                    break;
                }
            }
            TokenAction::DropDuplicate => traffic.counters.increment("stream.duplicate"),
            TokenAction::DropForeign => traffic.counters.increment("stream.foreign"),
            TokenAction::DropExcess => traffic.counters.increment("stream.excess"),
            TokenAction::Gap => {
                traffic.counters.increment("stream.gap");
                break;
            }
        }
    }
    Err(Refusal::unknown(
        StatusCode::BAD_GATEWAY,
        "connection_lost",
        "the engine's answer broke off",
    ))
}

fn choose(traffic: &Traffic, completion: &Completion) -> Result<Arc<Engine>, Refusal> {
    let snapshot = traffic.snapshot.load();
    let candidates = traffic.candidates(&snapshot, &completion.model.name);
    let now_us = clock::now_us();
    let facts = RequestFacts {
        model: Name::clone(&completion.model.name),
        prompt_tokens: completion.prompt.split_whitespace().count() as u64,
        max_output_tokens: completion.max_tokens as u32,
        priority: 0,
        prefix_hash: 0,
        first_token_due_us: now_us + completion.model.first_token_ms * 1_000,
    };
    let choice = route::choose(&candidates, &facts, &mut rand::rng());
    let engine = match choice {
        RouteChoice::Single(engine) => engine,
        RouteChoice::Split { decode, .. } => decode,
        RouteChoice::None => {
            let mut refusal = Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_engine",
                "no engine of this zone takes work for the model",
            );
            refusal.retry_after_s = Some(1);
            return Err(refusal);
        }
    };
    traffic.record(Decision {
        at_us: now_us,
        kind: DecisionKind::Route,
        subject: completion.request_id.clone(),
        choice: engine.name.to_string(),
        reason: "lowest estimated time to the first token of two samples".to_owned(),
        inputs: vec![("prompt_tokens".to_owned(), facts.prompt_tokens.to_string())],
        alternatives: Vec::new(),
    });
    Ok(engine)
}

fn refusal(outcome: AttemptOutcome) -> Refusal {
    match outcome {
        AttemptOutcome::NotRun(reason) => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            reason.as_str(),
            "the engine did not run the request",
        ),
        AttemptOutcome::Unknown(reason) => Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            reason.as_str(),
            "the engine's answer is not known",
        ),
        AttemptOutcome::Answered => Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "invalid_answer",
            "the answer had no end",
        ),
    }
}
