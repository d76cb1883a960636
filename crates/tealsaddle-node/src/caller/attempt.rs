//! One attempt of a completion on one engine, or on two for a split of prefill and decode.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tealsaddle_core::stream::{EndAction, StreamJoiner, TokenAction};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::at_engine::{AtEngine, Promise, Work};
use super::completion::{Completion, Done, Output};
use super::select::{Counted, Plan};
use crate::engine::{EngineLine, EventStream, GenerateEvent, GenerateRequest, Stage};
use crate::traffic::Traffic;

/// The first token may take this many times its target. The target is for the 95th percentile, and
/// giving up costs a second prefill.
const FIRST_TOKEN_FACTOR: u64 = 20;
/// The same for the time between tokens.
const BETWEEN_TOKENS_FACTOR: u64 = 50;
/// Shortest timeout: a pause of an engine of less than this is not worth another attempt.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Prompt tokens that the slowest engine is expected to read in a millisecond; a longer prompt gets
/// a longer timeout.
const SLOW_PREFILL_TOKENS_PER_MS: u64 = 1;
/// Time that a reader may leave a full buffer untouched before its request is given up.
const READER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest handle of exported KV cache.
const MAX_HANDLE_BYTES: usize = 256;

/// What one attempt works with.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// State of the node.
    pub traffic: &'a Arc<Traffic>,
    /// The request.
    pub completion: &'a Completion,
    /// Where the output goes.
    pub sender: &'a mpsc::Sender<Output>,
    /// Position in the answer.
    pub joiner: &'a mut StreamJoiner,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The answer is whole.
    Done(Done),
    /// Nobody waits for it any more.
    CallerGone,
    /// The engine named failed.
    Failed(Name, AttemptOutcome),
}

impl Attempt<'_> {
    /// Runs the attempt to its end.
    pub async fn run(mut self, plan: Plan) -> AttemptEnd {
        match plan {
            Plan::Single(counted) => self.generate(counted, None, None).await,
            Plan::Split { prefill, decode } => self.split(prefill, decode).await,
        }
    }

    async fn split(&mut self, prefill: Counted, decode: Arc<Engine>) -> AttemptEnd {
        let engine = Arc::clone(&prefill.engine);
        let kv_tokens = self.completion.prompt_tokens + self.completion.max_tokens;
        let promise = Promise::open(self.traffic, &decode.name, kv_tokens);
        let cached_tokens = self.read(&engine);
        let work = self.work(Some(cached_tokens), false);
        let mut held = AtEngine::start(self.traffic, prefill, work);
        let request = self.request(held.attempt_id(), Stage::Prefill, None, 0);
        let exported = tokio::select! {
            exported = self.export(&engine, &request, cached_tokens) => exported,
            () = self.sender.closed() => return AttemptEnd::CallerGone,
        };
        let handle = match exported {
            Ok(handle) => handle,
            Err(outcome) => {
                held.on_failure(outcome);
                return AttemptEnd::Failed(Name::clone(&engine.name), outcome);
            }
        };
        held.on_first_token();
        let kv_from = format!("http://{}/kv/{handle}", engine.address);
        let Some(guard) = self.traffic.begin_request(&decode.name) else {
            let outcome = AttemptOutcome::NotRun(NotRunReason::NoTarget);
            return AttemptEnd::Failed(Name::clone(&decode.name), outcome);
        };
        let counted = Counted {
            engine: decode,
            guard,
        };
        drop(promise);
        self.generate(counted, Some(kv_from), Some(held)).await
    }

    /// Lets an engine read the prompt; the result is the handle of its KV cache.
    async fn export(
        &self,
        engine: &Engine,
        request: &GenerateRequest,
        cached_tokens: u64,
    ) -> Result<String, AttemptOutcome> {
        let deadline = Instant::now() + self.first_token_timeout();
        let mut events = self.start(engine, request, deadline).await?;
        loop {
            let event = self.next(&mut events, deadline).await?;
            if event.attempt_id != request.attempt_id {
                self.traffic.counters.increment("stream.foreign");
            } else if let Some(handle) = event.kv_handle {
                let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
                if (1..=MAX_HANDLE_BYTES).contains(&handle.len()) && handle.bytes().all(is_plain) {
                    self.on_cache_report(engine, cached_tokens, event.cached_tokens);
                    return Ok(handle);
                }
                return Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer));
            } else if event.done {
                return Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer));
            }
        }
    }

    /// Lets an engine generate. `held` is the work at the engine that exports the KV cache; it ends
    /// with the first token.
    async fn generate(
        &mut self,
        counted: Counted,
        kv_from: Option<String>,
        mut held: Option<AtEngine>,
    ) -> AttemptEnd {
        let engine = Arc::clone(&counted.engine);
        let cached_tokens = kv_from.is_none().then(|| self.read(&engine));
        let work = self.work(cached_tokens, true);
        let mut running = AtEngine::start(self.traffic, counted, work);
        let stage = if kv_from.is_some() {
            Stage::Decode
        } else {
            Stage::Full
        };
        let resume_at = self.joiner.begin_attempt();
        let request = self.request(running.attempt_id(), stage, kv_from, resume_at);
        let sender = self.sender;
        let end = tokio::select! {
            end = self.deliver(&request, &mut running, &mut held) => end,
            () = sender.closed() => Ok(None),
        };
        match end {
            Ok(Some(last)) => {
                running.finish();
                if let Some(expected) = cached_tokens {
                    self.on_cache_report(&engine, expected, last.cached_tokens);
                }
                AttemptEnd::Done(self.done(last))
            }
            Ok(None) => AttemptEnd::CallerGone,
            Err(outcome) => {
                running.on_failure(outcome);
                AttemptEnd::Failed(Name::clone(&engine.name), outcome)
            }
        }
    }

    /// Passes tokens on until the event at the end, which is the result; `None` means that the reader stopped reading.
    async fn deliver(
        &mut self,
        request: &GenerateRequest,
        running: &mut AtEngine,
        held: &mut Option<AtEngine>,
    ) -> Result<Option<GenerateEvent>, AttemptOutcome> {
        let engine = Arc::clone(running.engine());
        // Only a token that is delivered moves the deadline; an engine that sends anything else
        // without end still runs into it.
        let mut deadline = Instant::now() + self.first_token_timeout();
        let mut events = self.start(&engine, request, deadline).await?;
        loop {
            let event = self.next(&mut events, deadline).await?;
            let own = request.attempt_id.as_str();
            if event.done {
                match self
                    .joiner
                    .on_end(own, &event.attempt_id, event.output_tokens)
                {
                    EndAction::Finish => {
                        release(held);
                        return Ok(Some(event));
                    }
                    EndAction::DropForeign => self.traffic.counters.increment("stream.foreign"),
                    EndAction::Gap => return Err(self.gap()),
                }
                continue;
            }
            let (Some(index), Some(text)) = (event.index, event.text) else {
                self.traffic.counters.increment("stream.junk");
                continue;
            };
            match self.joiner.on_token(own, &event.attempt_id, index) {
                TokenAction::Deliver => {
                    running.on_first_token();
                    release(held);
                    let sent = self
                        .sender
                        .send_timeout(Output::Token(text), READER_TIMEOUT);
                    if sent.await.is_err() {
                        self.traffic.counters.increment("caller.not_reading");
                        return Ok(None);
                    }
                    deadline = Instant::now() + self.idle_timeout();
                }
                TokenAction::DropDuplicate => self.traffic.counters.increment("stream.duplicate"),
                TokenAction::DropForeign => self.traffic.counters.increment("stream.foreign"),
                TokenAction::DropExcess => self.traffic.counters.increment("stream.excess"),
                TokenAction::Gap => return Err(self.gap()),
            }
        }
    }

    /// Notes that an engine reads the prompt; gives the tokens that its cache is thought to hold.
    fn read(&self, engine: &Engine) -> u64 {
        self.traffic
            .on_prefill(engine, &self.completion.prefix_blocks)
    }

    fn on_cache_report(&self, engine: &Engine, expected: u64, found: Option<u64>) {
        if let Some(found) = found {
            let blocks = &self.completion.prefix_blocks;
            self.traffic
                .on_cache_report(&engine.name, blocks, expected, found);
        }
    }

    fn done(&self, event: GenerateEvent) -> Done {
        let prompt_tokens = event.prompt_tokens.unwrap_or(0);
        let read_tokens = prompt_tokens.saturating_sub(event.cached_tokens.unwrap_or(0));
        let output_tokens = self.joiner.next_index();
        let model = &self.completion.model.name;
        self.traffic
            .demands
            .on_answer(model, read_tokens, output_tokens);
        self.traffic
            .on_request_done(model, read_tokens, output_tokens);
        Done {
            finish_reason: event.finish_reason.unwrap_or_else(|| "stop".to_owned()),
            prompt_tokens,
        }
    }

    fn gap(&self) -> AttemptOutcome {
        self.traffic.counters.increment("stream.gap");
        AttemptOutcome::Unknown(UnknownReason::InvalidAnswer)
    }

    async fn start(
        &self,
        engine: &Engine,
        request: &GenerateRequest,
        deadline: Instant,
    ) -> Result<EventStream, AttemptOutcome> {
        let start = self.traffic.engines.generate(engine, request);
        self.traffic.stop_signals.send(deadline, start).await?
    }

    async fn next(
        &self,
        events: &mut EventStream,
        deadline: Instant,
    ) -> Result<GenerateEvent, AttemptOutcome> {
        loop {
            match self
                .traffic
                .stop_signals
                .wait(deadline, events.next())
                .await
            {
                Ok(Some(Ok(EngineLine::Event(event)))) => return Ok(event),
                Ok(Some(Ok(EngineLine::Malformed))) => {
                    self.traffic.counters.increment("stream.junk");
                }
                Ok(Some(Err(outcome))) => return Err(outcome),
                Ok(None) => return Err(AttemptOutcome::Unknown(UnknownReason::ConnectionLost)),
                Err(reason) => return Err(AttemptOutcome::Unknown(reason)),
            }
        }
    }

    fn request(
        &self,
        attempt_id: &str,
        stage: Stage,
        kv_from: Option<String>,
        resume_at: u64,
    ) -> GenerateRequest {
        GenerateRequest {
            attempt_id: attempt_id.to_owned(),
            model: Name::clone(&self.completion.model.name),
            prompt: Arc::clone(&self.completion.prompt),
            max_tokens: self.completion.max_tokens,
            priority: self.completion.priority,
            stage,
            kv_from,
            resume_at,
            seed: self.completion.seed,
        }
    }

    /// Work of an engine; `cached_tokens` is what it need not read, and `None` if it reads nothing.
    fn work(&self, cached_tokens: Option<u64>, decodes: bool) -> Work {
        let prompt_tokens = self.completion.prompt_tokens;
        Work {
            prefill_tokens: cached_tokens.map_or(0, |cached| prompt_tokens.saturating_sub(cached)),
            decodes,
            kv_tokens: prompt_tokens
                + if decodes {
                    self.completion.max_tokens
                } else {
                    0
                },
        }
    }

    fn first_token_timeout(&self) -> Duration {
        let target_ms = self.completion.model.first_token_ms * FIRST_TOKEN_FACTOR;
        // Words are fewer than tokens, so the length in bytes gives the cautious bound.
        let prompt_ms = self.completion.prompt.len() as u64 / 4 / SLOW_PREFILL_TOKENS_PER_MS;
        Duration::from_millis(target_ms + prompt_ms).max(MIN_TIMEOUT)
    }

    fn idle_timeout(&self) -> Duration {
        let target_ms = self.completion.model.between_tokens_ms * BETWEEN_TOKENS_FACTOR;
        Duration::from_millis(target_ms).max(MIN_TIMEOUT)
    }
}

/// Ends the count at the engine whose KV cache has been taken over.
fn release(held: &mut Option<AtEngine>) {
    if let Some(held) = held.take() {
        held.finish();
    }
}
