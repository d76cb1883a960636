//! The protocol of the model engines, as a trait with an HTTP client.

pub mod http;
pub mod orders;

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::retry::AttemptOutcome;

/// Part of the work that a request assigns to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Prefill the prompt and generate tokens.
    Full,
    /// Prefill the prompt and export its KV cache.
    Prefill,
    /// Import the KV cache of the prompt and generate tokens.
    Decode,
}

/// Body of `POST /generate`.
#[derive(Debug, Clone, Serialize)]
pub struct GenerateRequest {
    /// Id of the attempt, unique for each attempt of a request.
    pub attempt_id: String,
    /// Model to run.
    pub model: Arc<str>,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens, counted from index 0 even if the output is resumed.
    pub max_tokens: u64,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Part of the work that the engine is to do.
    pub stage: Stage,
    /// Where to import the KV cache from, for stage decode.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv_from: Option<String>,
    /// Index of the first token to generate; above 0 when an interrupted output is resumed.
    pub resume_at: u64,
    /// Seed of the sampling, so that a resumed output continues the earlier one.
    pub seed: u64,
}

/// One line of an engine's answer.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct GenerateEvent {
    /// Id of the attempt that the line belongs to.
    pub attempt_id: String,
    /// Index of the token in the output; absent on the last line.
    pub index: Option<u64>,
    /// Text of the token; absent on the last line.
    pub text: Option<String>,
    /// Set on the last line of stages full and decode.
    #[serde(default)]
    pub done: bool,
    /// Reason for the end of generation; on the last line only.
    pub finish_reason: Option<String>,
    /// Length of the prompt in tokens; on the last line only.
    pub prompt_tokens: Option<u64>,
    /// Prompt tokens found in the prefix cache; on the last line only.
    pub cached_tokens: Option<u64>,
    /// Tokens generated in this attempt; on the last line only.
    pub output_tokens: Option<u64>,
    /// Handle of the exported KV cache; on the last line of stage prefill only.
    pub kv_handle: Option<String>,
}

/// One line of an engine's answer, parsed.
#[derive(Debug, Clone)]
pub enum EngineLine {
    /// An event of the protocol.
    Event(GenerateEvent),
    /// A line that is not an event.
    Malformed,
}

/// Lines of one attempt; an error ends the stream.
pub type EventStream = BoxStream<'static, Result<EngineLine, AttemptOutcome>>;

/// Client for requests to engines.
pub trait EngineClient: std::fmt::Debug + Send + Sync {
    /// Starts an attempt and returns the stream of its output.
    fn generate<'a>(
        &'a self,
        engine: &'a Engine,
        request: &'a GenerateRequest,
    ) -> BoxFuture<'a, Result<EventStream, AttemptOutcome>>;

    /// Cancels an attempt whose output is no longer needed.
    fn cancel<'a>(
        &'a self,
        engine: &'a Engine,
        attempt_id: &'a str,
    ) -> BoxFuture<'a, Result<(), AttemptOutcome>>;
}
