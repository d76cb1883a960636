//! One attempt of a completion, on one engine or split between a prefill and a decode engine.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tealsaddle_core::stream::{EndAction, StreamJoiner, TokenAction};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::completion::{Completion, Done, Output};
use super::engine_work::{DecodeReservation, EngineWork, WorkEstimate};
use super::select::{AttemptPlan, CountedEngine};
use crate::engine::{EngineLine, EventStream, GenerateEvent, GenerateRequest, Stage};
use crate::traffic::Traffic;

/// Timeout of the first token as a multiple of its target. The target is a 95th percentile, and a
/// timeout makes another engine process the prompt again.
const FIRST_TOKEN_TIMEOUT_FACTOR: u64 = 20;
/// Timeout between tokens as a multiple of its target.
const BETWEEN_TOKENS_TIMEOUT_FACTOR: u64 = 50;
/// Lower bound of both timeouts: another attempt costs more than a shorter pause of an engine.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Prefill rate assumed for the slowest engine; it extends the first-token timeout of long prompts.
const MIN_PREFILL_TOKENS_PER_MS: u64 = 1;
/// Time after which a request is aborted if its caller leaves the output buffer full.
const READER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest accepted handle of an exported KV cache.
const MAX_HANDLE_BYTES: usize = 256;

/// Context of one attempt.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// Shared state of the traffic threads.
    pub traffic: &'a Arc<Traffic>,
    /// The completion request that is run.
    pub completion: &'a Completion,
    /// Channel to the caller's response.
    pub sender: &'a mpsc::Sender<Output>,
    /// Position in the output, kept across attempts.
    pub joiner: &'a mut StreamJoiner,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The engine generated the whole output.
    Done(Done),
    /// The caller disconnected or stopped reading.
    CallerDisconnected,
    /// The named engine failed, with this outcome.
    Failed(Name, AttemptOutcome),
}

impl Attempt<'_> {
    /// Runs the attempt until it completes, fails or has no reader.
    pub async fn run(mut self, plan: AttemptPlan) -> AttemptEnd {
        match plan {
            AttemptPlan::Single(counted) => self.generate(counted, None, None).await,
            AttemptPlan::Split { prefill, decode } => self.split(prefill, decode).await,
        }
    }

    async fn split(&mut self, prefill: CountedEngine, decode: Arc<Engine>) -> AttemptEnd {
        let engine = Arc::clone(&prefill.engine);
        let kv_tokens = self.completion.prompt_tokens + self.completion.max_tokens;
        let reservation = DecodeReservation::open(self.traffic, &decode.name, kv_tokens);
        let cached_tokens = self.record_prefill(&engine);
        let estimate = self.estimate(Some(cached_tokens), false);
        let mut prefill_work = EngineWork::start(self.traffic, prefill, estimate);
        let request = self.request(prefill_work.attempt_id(), Stage::Prefill, None, 0);
        let result = tokio::select! {
            result = self.export_kv(&engine, &request, cached_tokens) => result,
            () = self.sender.closed() => return AttemptEnd::CallerDisconnected,
        };
        let handle = match result {
            Ok(handle) => handle,
            Err(outcome) => {
                prefill_work.on_failure(outcome);
                return AttemptEnd::Failed(Name::clone(&engine.name), outcome);
            }
        };
        prefill_work.on_first_token();
        let kv_from = format!("http://{}/kv/{handle}", engine.address);
        let Some(in_flight) = self.traffic.begin_request(&decode.name) else {
            let outcome = AttemptOutcome::NotRun(NotRunReason::NoTarget);
            return AttemptEnd::Failed(Name::clone(&decode.name), outcome);
        };
        let counted = CountedEngine {
            engine: decode,
            in_flight,
        };
        drop(reservation);
        self.generate(counted, Some(kv_from), Some(prefill_work))
            .await
    }

    /// Runs the prefill stage on an engine and returns the handle of the exported KV cache.
    async fn export_kv(
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
                let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
                if (1..=MAX_HANDLE_BYTES).contains(&handle.len())
                    && handle.bytes().all(is_unreserved)
                {
                    self.on_cache_report(engine, cached_tokens, event.cached_tokens);
                    return Ok(handle);
                }
                return Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer));
            } else if event.done {
                return Err(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer));
            }
        }
    }

    /// Generates output on an engine. `prefill_work` is the work on the engine that exports the KV cache;
    /// it ends with the first token.
    async fn generate(
        &mut self,
        counted: CountedEngine,
        kv_from: Option<String>,
        mut prefill_work: Option<EngineWork>,
    ) -> AttemptEnd {
        let engine = Arc::clone(&counted.engine);
        let cached_tokens = kv_from.is_none().then(|| self.record_prefill(&engine));
        let estimate = self.estimate(cached_tokens, true);
        let mut work = EngineWork::start(self.traffic, counted, estimate);
        let stage = if kv_from.is_some() {
            Stage::Decode
        } else {
            Stage::Full
        };
        let resume_at = self.joiner.begin_attempt();
        let request = self.request(work.attempt_id(), stage, kv_from, resume_at);
        let sender = self.sender;
        let end = tokio::select! {
            end = self.deliver(&request, &mut work, &mut prefill_work) => end,
            () = sender.closed() => Ok(None),
        };
        match end {
            Ok(Some(last)) => {
                work.finish();
                if let Some(expected) = cached_tokens {
                    self.on_cache_report(&engine, expected, last.cached_tokens);
                }
                AttemptEnd::Done(self.record_completion(last))
            }
            Ok(None) => AttemptEnd::CallerDisconnected,
            Err(outcome) => {
                work.on_failure(outcome);
                AttemptEnd::Failed(Name::clone(&engine.name), outcome)
            }
        }
    }

    /// Delivers tokens to the caller and returns the final event, or `None` if the caller stopped
    /// reading.
    async fn deliver(
        &mut self,
        request: &GenerateRequest,
        work: &mut EngineWork,
        prefill_work: &mut Option<EngineWork>,
    ) -> Result<Option<GenerateEvent>, AttemptOutcome> {
        let engine = Arc::clone(work.engine());
        // Only a delivered token extends the deadline, so an engine that keeps sending other events
        // still times out.
        let mut deadline = Instant::now() + self.first_token_timeout();
        let mut events = self.start(&engine, request, deadline).await?;
        loop {
            let event = self.next(&mut events, deadline).await?;
            let attempt_id = request.attempt_id.as_str();
            if event.done {
                match self
                    .joiner
                    .on_end(attempt_id, &event.attempt_id, event.output_tokens)
                {
                    EndAction::Finish => {
                        finish_prefill(prefill_work);
                        return Ok(Some(event));
                    }
                    EndAction::DropForeign => self.traffic.counters.increment("stream.foreign"),
                    EndAction::Gap => return Err(self.sequence_gap()),
                }
                continue;
            }
            let (Some(index), Some(text)) = (event.index, event.text) else {
                self.traffic.counters.increment("stream.junk");
                continue;
            };
            match self.joiner.on_token(attempt_id, &event.attempt_id, index) {
                TokenAction::Deliver => {
                    work.on_first_token();
                    finish_prefill(prefill_work);
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
                TokenAction::Gap => return Err(self.sequence_gap()),
            }
        }
    }

    /// Records that an engine processes the prompt and returns the number of prompt tokens expected
    /// in its prefix cache.
    fn record_prefill(&self, engine: &Engine) -> u64 {
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

    /// Adds the completion to the statistics of its model and returns its result.
    fn record_completion(&self, event: GenerateEvent) -> Done {
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

    fn sequence_gap(&self) -> AttemptOutcome {
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

    /// Estimates the work of an engine. `cached_tokens` is the part of the prompt in its prefix cache,
    /// `None` if the engine does not process the prompt.
    fn estimate(&self, cached_tokens: Option<u64>, decodes: bool) -> WorkEstimate {
        let prompt_tokens = self.completion.prompt_tokens;
        WorkEstimate {
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
        let target_ms = self.completion.model.first_token_ms * FIRST_TOKEN_TIMEOUT_FACTOR;
        // A prompt has more tokens than words, so the estimate is based on its length in bytes.
        let prompt_ms = self.completion.prompt.len() as u64 / 4 / MIN_PREFILL_TOKENS_PER_MS;
        Duration::from_millis(target_ms + prompt_ms).max(MIN_TIMEOUT)
    }

    fn idle_timeout(&self) -> Duration {
        let target_ms = self.completion.model.between_tokens_ms * BETWEEN_TOKENS_TIMEOUT_FACTOR;
        Duration::from_millis(target_ms).max(MIN_TIMEOUT)
    }
}

/// Ends the work on the prefill engine once the decode engine has imported its KV cache.
fn finish_prefill(prefill_work: &mut Option<EngineWork>) {
    if let Some(prefill_work) = prefill_work.take() {
        prefill_work.finish();
    }
}
