//! One attempt of a completion, on one engine or split between a prefill and a decode engine.

use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::{StreamExt, TryStreamExt, stream};
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::name::Name;
use tealsaddle_core::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use tealsaddle_core::stream::{EndAction, StreamJoiner, TokenAction};

use super::completion::{Completion, Done};
use super::engine_work::{DecodeReservation, EngineWork, WorkEstimate};
use super::select::{AttemptPlan, CountedEngine};
use crate::engine::{EngineLine, EventStream, GenerateEvent, GenerateRequest, Stage};
use crate::traffic::Traffic;

/// Time to the first token after which an engine counts as silent, as a multiple of the target. The
/// target is a 95th percentile, and another attempt makes another engine process the prompt again.
const FIRST_TOKEN_SILENCE_FACTOR: u64 = 20;
/// Time between tokens after which an engine counts as silent, as a multiple of its target.
const BETWEEN_TOKENS_SILENCE_FACTOR: u64 = 50;
/// Lower bound of both times: another attempt costs more than a shorter pause of an engine.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// Prefill rate assumed for the slowest engine; it extends the time to the first token of long prompts.
const MIN_PREFILL_TOKENS_PER_MS: u64 = 1;
/// Longest accepted handle of an exported KV cache.
const MAX_HANDLE_BYTES: usize = 256;

/// An attempt in progress. Dropping it cancels its work at the engines.
#[derive(Debug)]
pub struct Attempt<'a> {
    traffic: &'a Arc<Traffic>,
    completion: &'a Completion,
    engine: Arc<Engine>,
    work: EngineWork,
    lines: Lines,
    stage: AttemptStage,
}

/// Stage of an attempt, with the state that belongs to it.
#[derive(Debug)]
enum AttemptStage {
    /// An engine processes the prompt and exports its KV cache.
    Prefill {
        decode: Arc<Engine>,
        _reservation: DecodeReservation,
        cached_tokens: u64,
    },
    /// An engine generates output. `prefill_work` is the work on the engine that exports the KV cache; it
    /// ends with the first token.
    Generate {
        prefill_work: Option<EngineWork>,
        cached_tokens: Option<u64>,
        resumed_at: u64,
    },
}

/// Lines of an engine's answer.
struct Lines(EventStream);

impl std::fmt::Debug for Lines {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

/// What an event of an engine means for its attempt.
#[derive(Debug)]
pub enum Progress {
    /// Nothing: the event is dropped.
    None,
    /// The prompt has been processed, and another engine generates the output.
    Prefilled,
    /// The text of the next token.
    Token(String),
    /// The output is complete; this is the last event.
    Done(GenerateEvent),
    /// The attempt has failed.
    Failed(AttemptOutcome),
}

impl<'a> Attempt<'a> {
    /// Starts an attempt that continues the output at the joiner's position.
    pub fn start(
        traffic: &'a Arc<Traffic>,
        completion: &'a Completion,
        plan: AttemptPlan,
        joiner: &StreamJoiner,
    ) -> Self {
        match plan {
            AttemptPlan::Single(counted) => {
                let engine = Arc::clone(&counted.engine);
                let cached_tokens = traffic.on_prefill(&engine, &completion.prefix_blocks);
                let estimate = estimate(completion, Some(cached_tokens), true);
                let work = EngineWork::start(traffic, counted, estimate);
                let resumed_at = joiner.next_index();
                let request = request(completion, &work, Stage::Full, None, resumed_at);
                Self {
                    traffic,
                    completion,
                    work,
                    lines: open_lines(traffic, &engine, request),
                    engine,
                    stage: AttemptStage::Generate {
                        prefill_work: None,
                        cached_tokens: Some(cached_tokens),
                        resumed_at,
                    },
                }
            }
            AttemptPlan::Split { prefill, decode } => {
                let engine = Arc::clone(&prefill.engine);
                let kv_tokens = completion.prompt_tokens + completion.max_tokens;
                let reservation = DecodeReservation::open(traffic, &decode.name, kv_tokens);
                let cached_tokens = traffic.on_prefill(&engine, &completion.prefix_blocks);
                let estimate = estimate(completion, Some(cached_tokens), false);
                let work = EngineWork::start(traffic, prefill, estimate);
                let request = request(completion, &work, Stage::Prefill, None, 0);
                Self {
                    traffic,
                    completion,
                    work,
                    lines: open_lines(traffic, &engine, request),
                    engine,
                    stage: AttemptStage::Prefill {
                        decode,
                        _reservation: reservation,
                        cached_tokens,
                    },
                }
            }
        }
    }

    /// The engine that works on the attempt now, or that has failed.
    pub fn engine(&self) -> &Name {
        &self.engine.name
    }

    /// Polls for the next event of the engine. After an error the attempt has ended.
    pub fn poll_event(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<GenerateEvent, AttemptOutcome>> {
        loop {
            let outcome = match ready!(self.lines.0.poll_next_unpin(cx)) {
                Some(Ok(EngineLine::Event(event))) => return Poll::Ready(Ok(event)),
                Some(Ok(EngineLine::Malformed)) => {
                    self.traffic.counters.increment("stream.junk");
                    continue;
                }
                Some(Err(outcome)) => outcome,
                None => AttemptOutcome::Unknown(UnknownReason::ConnectionLost),
            };
            self.work.on_failure(outcome);
            return Poll::Ready(Err(outcome));
        }
    }

    /// Handles an event of the engine.
    pub fn on_event(&mut self, event: GenerateEvent, joiner: &mut StreamJoiner) -> Progress {
        match self.stage {
            AttemptStage::Prefill { cached_tokens, .. } => {
                self.on_prefill_event(event, cached_tokens, joiner)
            }
            AttemptStage::Generate { resumed_at, .. } => {
                self.on_output_event(event, resumed_at, joiner)
            }
        }
    }

    fn on_prefill_event(
        &mut self,
        event: GenerateEvent,
        cached_tokens: u64,
        joiner: &StreamJoiner,
    ) -> Progress {
        let invalid = AttemptOutcome::Unknown(UnknownReason::InvalidAnswer);
        if event.attempt_id != self.work.attempt_id() {
            self.traffic.counters.increment("stream.foreign");
            return Progress::None;
        }
        let Some(handle) = event.kv_handle else {
            return if event.done {
                Progress::Failed(invalid)
            } else {
                Progress::None
            };
        };
        if !is_valid_handle(&handle) {
            return Progress::Failed(invalid);
        }
        self.on_cache_report(cached_tokens, event.cached_tokens);
        self.work.on_first_token();
        self.start_decode(&handle, joiner)
    }

    /// Starts the decode stage with the KV cache that the prefill engine has exported.
    fn start_decode(&mut self, handle: &str, joiner: &StreamJoiner) -> Progress {
        let AttemptStage::Prefill { decode, .. } = &self.stage else {
            unreachable!("the decode stage follows the prefill stage");
        };
        let decode = Arc::clone(decode);
        let kv_from = format!("http://{}/kv/{handle}", self.engine.address);
        self.engine = Arc::clone(&decode);
        let Some(in_flight) = self.traffic.begin_request(&decode.name) else {
            return Progress::Failed(AttemptOutcome::NotRun(NotRunReason::NoTarget));
        };
        let counted = CountedEngine {
            engine: decode,
            in_flight,
        };
        let estimate = estimate(self.completion, None, true);
        let work = EngineWork::start(self.traffic, counted, estimate);
        let resumed_at = joiner.next_index();
        let request = request(
            self.completion,
            &work,
            Stage::Decode,
            Some(kv_from),
            resumed_at,
        );
        self.lines = open_lines(self.traffic, &self.engine, request);
        self.stage = AttemptStage::Generate {
            prefill_work: Some(std::mem::replace(&mut self.work, work)),
            cached_tokens: None,
            resumed_at,
        };
        Progress::Prefilled
    }

    fn on_output_event(
        &mut self,
        event: GenerateEvent,
        resumed_at: u64,
        joiner: &mut StreamJoiner,
    ) -> Progress {
        let (expected, actual) = (self.work.attempt_id(), event.attempt_id.as_str());
        if event.done {
            return match joiner.on_end(expected, actual, resumed_at, event.output_tokens) {
                EndAction::Finish => Progress::Done(event),
                EndAction::DropForeign => self.drop_event("stream.foreign"),
                EndAction::Gap => self.sequence_gap(),
            };
        }
        let (Some(index), Some(text)) = (event.index, event.text) else {
            return self.drop_event("stream.junk");
        };
        match joiner.on_token(expected, actual, index) {
            TokenAction::Deliver => {
                self.on_delivered_token();
                Progress::Token(text)
            }
            TokenAction::DropDuplicate => self.drop_event("stream.duplicate"),
            TokenAction::DropForeign => self.drop_event("stream.foreign"),
            TokenAction::DropExcess => self.drop_event("stream.excess"),
            TokenAction::Gap => self.sequence_gap(),
        }
    }

    fn drop_event(&self, counter: &str) -> Progress {
        self.traffic.counters.increment(counter);
        Progress::None
    }

    fn sequence_gap(&self) -> Progress {
        self.traffic.counters.increment("stream.gap");
        Progress::Failed(AttemptOutcome::Unknown(UnknownReason::InvalidAnswer))
    }

    fn on_delivered_token(&mut self) {
        self.work.on_first_token();
        if let AttemptStage::Generate { prefill_work, .. } = &mut self.stage {
            // The decode engine has imported the KV cache.
            if let Some(prefill_work) = prefill_work.take() {
                prefill_work.finish();
            }
        }
    }

    /// Ends the attempt after its last event, adds the completion to the statistics of its model and
    /// returns its result.
    pub fn finish(mut self, last: GenerateEvent, joiner: &StreamJoiner) -> Done {
        self.on_delivered_token();
        if let AttemptStage::Generate {
            cached_tokens: Some(expected),
            ..
        } = self.stage
        {
            self.on_cache_report(expected, last.cached_tokens);
        }
        self.work.finish();
        let prompt_tokens = last.prompt_tokens.unwrap_or(0);
        let read_tokens = prompt_tokens.saturating_sub(last.cached_tokens.unwrap_or(0));
        let output_tokens = joiner.next_index();
        let model = &self.completion.model.name;
        self.traffic
            .demands
            .on_answer(model, read_tokens, output_tokens);
        self.traffic
            .on_request_done(model, read_tokens, output_tokens);
        Done {
            finish_reason: last.finish_reason.unwrap_or_else(|| "stop".to_owned()),
            prompt_tokens,
        }
    }

    /// Corrects the estimate of the engine's prefix cache by the cached tokens that it reports.
    fn on_cache_report(&self, expected: u64, found: Option<u64>) {
        if let Some(found) = found {
            let blocks = &self.completion.prefix_blocks;
            self.traffic
                .on_cache_report(&self.engine.name, blocks, expected, found);
        }
    }
}

/// Returns the time to the first token after which an engine counts as silent.
pub fn first_token_silence(completion: &Completion) -> Duration {
    let target_ms = completion.model.first_token_ms * FIRST_TOKEN_SILENCE_FACTOR;
    // A prompt has more tokens than words, so the estimate is based on its length in bytes.
    let prompt_ms = completion.prompt.len() as u64 / 4 / MIN_PREFILL_TOKENS_PER_MS;
    Duration::from_millis(target_ms + prompt_ms).max(MIN_SILENCE)
}

/// Returns the time between two tokens after which an engine counts as silent.
pub fn between_tokens_silence(completion: &Completion) -> Duration {
    let target_ms = completion.model.between_tokens_ms * BETWEEN_TOKENS_SILENCE_FACTOR;
    Duration::from_millis(target_ms).max(MIN_SILENCE)
}

/// Returns the lines of an engine's answer to a request, which is sent with the first poll.
fn open_lines(traffic: &Traffic, engine: &Arc<Engine>, request: GenerateRequest) -> Lines {
    let engines = Arc::clone(&traffic.engines);
    let engine = Arc::clone(engine);
    let start = async move { engines.generate(&engine, &request).await };
    Lines(stream::once(start).try_flatten().boxed())
}

fn is_valid_handle(handle: &str) -> bool {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    (1..=MAX_HANDLE_BYTES).contains(&handle.len()) && handle.bytes().all(is_unreserved)
}

fn request(
    completion: &Completion,
    work: &EngineWork,
    stage: Stage,
    kv_from: Option<String>,
    resume_at: u64,
) -> GenerateRequest {
    GenerateRequest {
        attempt_id: work.attempt_id().to_owned(),
        model: Name::clone(&completion.model.name),
        prompt: Arc::clone(&completion.prompt),
        max_tokens: completion.max_tokens,
        priority: completion.priority,
        stage,
        kv_from,
        resume_at,
        seed: completion.seed,
    }
}

/// Estimates the work of an engine. `cached_tokens` is the part of the prompt in its prefix cache, `None`
/// if the engine does not process the prompt.
fn estimate(completion: &Completion, cached_tokens: Option<u64>, decodes: bool) -> WorkEstimate {
    let prompt_tokens = completion.prompt_tokens;
    let output_tokens = if decodes { completion.max_tokens } else { 0 };
    WorkEstimate {
        prefill_tokens: cached_tokens.map_or(0, |cached| prompt_tokens.saturating_sub(cached)),
        decodes,
        kv_tokens: prompt_tokens + output_tokens,
    }
}
