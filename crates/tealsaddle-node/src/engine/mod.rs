//! Model engines, behind a trait.

pub mod http;
pub mod orders;

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::{Deserialize, Serialize};
use tealsaddle_core::inventory::Engine;
use tealsaddle_core::retry::AttemptOutcome;

/// Part of the work that an engine is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Read the prompt and generate.
    Full,
    /// Read the prompt and export its KV cache.
    Prefill,
    /// Import KV cache and generate.
    Decode,
}

/// Work for an engine.
#[derive(Debug, Clone, Serialize)]
pub struct GenerateRequest {
    /// Id of the attempt.
    pub attempt_id: String,
    /// Model to run.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate, counted from index 0.
    pub max_tokens: u64,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Part of the work.
    pub stage: Stage,
    /// Where to import KV cache from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv_from: Option<String>,
    /// Index of the first token to generate.
    pub resume_at: u64,
    /// Seed of the output.
    pub seed: u64,
}

/// One line of an engine's answer.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct GenerateEvent {
    /// Id of the attempt.
    pub attempt_id: String,
    /// Index of the token.
    pub index: Option<u64>,
    /// Text of the token.
    pub text: Option<String>,
    /// Set on the last line.
    #[serde(default)]
    pub done: bool,
    /// Why generation ended.
    pub finish_reason: Option<String>,
    /// Length of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: Option<u64>,
    /// Tokens generated in this attempt.
    pub output_tokens: Option<u64>,
    /// Handle of the exported KV cache.
    pub kv_handle: Option<String>,
}

/// One line of an engine's answer, as it was read.
#[derive(Debug, Clone)]
pub enum EngineLine {
    /// An event of the protocol.
    Event(GenerateEvent),
    /// Something else.
    Malformed,
}

/// Lines of one attempt; an error ends the stream.
pub type EventStream = BoxStream<'static, Result<EngineLine, AttemptOutcome>>;

/// The engines' protocol.
pub trait EngineClient: std::fmt::Debug + Send + Sync {
    /// Starts an attempt.
    fn generate<'a>(
        &'a self,
        engine: &'a Engine,
        request: &'a GenerateRequest,
    ) -> BoxFuture<'a, Result<EventStream, AttemptOutcome>>;

    /// Ends an attempt that nobody waits for any more.
    fn cancel<'a>(
        &'a self,
        engine: &'a Engine,
        attempt_id: &'a str,
    ) -> BoxFuture<'a, Result<(), AttemptOutcome>>;
}
