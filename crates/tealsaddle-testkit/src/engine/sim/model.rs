//! Configuration, requests, orders and events of the engine model.

use std::sync::Arc;

use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct SimConfig {
    /// Initial role.
    pub role: Role,
    /// Models that are loaded initially.
    pub models: Vec<ModelVersion>,
    /// Prompt tokens processed per second in steps without decoding.
    pub prefill_tokens_per_s: u64,
    /// Base duration of a step that decodes, without the times per request and of the prompt chunk.
    pub step_us: u64,
    /// Duration that each decoded request adds to a step.
    pub step_per_request_us: u64,
    /// Additional duration of a prompt chunk in a step that also decodes, as a fraction of the
    /// chunk's own duration.
    pub interference: f64,
    /// Maximum number of requests decoded in one step.
    pub batch_requests: usize,
    /// Maximum number of waiting requests.
    pub queue_requests: usize,
    /// Capacity of the KV cache.
    pub kv_capacity_tokens: u64,
    /// Capacity of the prefix cache.
    pub prefix_cache_tokens: u64,
    /// Maximum prompt tokens per step in the prefill role.
    pub prefill_chunk_tokens: u64,
    /// Maximum prompt tokens per step in the mixed role.
    pub mixed_chunk_tokens: u64,
    /// Maximum prompt tokens per step in the decode role.
    pub decode_chunk_tokens: u64,
    /// KV cache tokens imported per second.
    pub transfer_tokens_per_s: u64,
    /// Fixed duration of an import, to which the time of its tokens is added.
    pub transfer_us: u64,
    /// Duration of a role change or model load.
    pub role_change_us: u64,
    /// Whether orders with a fencing token older than the newest one received are refused.
    pub checks_fence: bool,
    /// Age of the load in a report.
    pub report_lag_us: u64,
    /// Delay until a cache event is published.
    pub cache_event_delay_us: u64,
    /// Every n-th cache event is lost; 0 loses none.
    pub cache_event_lost_every: u64,
    /// Whether each token causes an event; otherwise only the first token of an attempt does.
    pub reports_each_token: bool,
}

impl Default for SimConfig {
    fn default() -> Self {
        Self {
            role: Role::Mixed,
            models: Vec::new(),
            prefill_tokens_per_s: 8_000,
            step_us: 14_000,
            step_per_request_us: 350,
            interference: 0.15,
            batch_requests: 48,
            queue_requests: 512,
            kv_capacity_tokens: 200_000,
            prefix_cache_tokens: 40_000,
            prefill_chunk_tokens: 1_024,
            mixed_chunk_tokens: 192,
            decode_chunk_tokens: 48,
            transfer_tokens_per_s: 200_000,
            transfer_us: 2_000,
            role_change_us: 5_000_000,
            checks_fence: true,
            report_lag_us: 200_000,
            cache_event_delay_us: 500_000,
            cache_event_lost_every: 17,
            reports_each_token: true,
        }
    }
}

/// A model and its loaded version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: Name,
    /// Version of the model.
    pub version: Name,
}

/// The part of a request that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Processes the prompt and generates the output.
    Full,
    /// Processes the prompt and keeps the KV cache for export.
    Prefill,
    /// Imports a KV cache and generates the output.
    Decode,
}

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Id of the attempt.
    pub attempt_id: u64,
    /// Model to run.
    pub model: Name,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's leading blocks of [`super::BLOCK_TOKENS`] tokens; each hash covers
    /// all preceding blocks.
    pub prefix_blocks: Arc<[u64]>,
    /// Maximum number of output tokens that the caller accepts, including those before `resume_at`.
    pub max_tokens: u64,
    /// Number of output tokens after which the model stops, at most `max_tokens`, including those
    /// before `resume_at`.
    pub output_tokens: u64,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// Part to run; [`Stage::Decode`] begins with the transfer of the prompt's KV cache.
    pub stage: Stage,
    /// Index of the first token to generate; earlier tokens are processed as part of the prompt.
    pub resume_at: u64,
}

/// Reason for refusing a request without running any part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The engine is changing its role or loading a model.
    ChangingRole,
    /// The engine has crashed.
    Crashed,
    /// The model is not loaded.
    UnknownModel,
    /// The maximum number of requests is waiting.
    QueueFull,
    /// The request needs more KV cache than the engine has.
    TooLong,
}

/// The KV cache of a finished prefill, ready for export.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExport {
    /// Id of the prefill attempt.
    pub attempt_id: u64,
    /// Size of the KV cache.
    pub kv_tokens: u64,
}

/// An event in an engine with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Time of the event.
    pub at_us: u64,
    /// Kind and details of the event.
    pub kind: EventKind,
}

/// Kind of an [`Event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A token was generated.
    Token {
        /// Id of the attempt.
        attempt_id: u64,
        /// Index of the token in the complete output of the request.
        index: u64,
    },
    /// A prefill has finished and its KV cache is ready for export.
    PrefillDone {
        /// Id of the attempt.
        attempt_id: u64,
        /// Handle for the export.
        handle: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u64,
    },
    /// The output is complete.
    Finished {
        /// Id of the attempt.
        attempt_id: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u64,
        /// Tokens generated by this attempt.
        output_tokens: u64,
        /// Reason for the end of the output.
        reason: FinishReason,
    },
    /// The attempt was aborted.
    Aborted {
        /// Id of the attempt.
        attempt_id: u64,
        /// Cause of the abort.
        reason: AbortReason,
    },
    /// An order took effect.
    OrderDone {
        /// Id of the order.
        order_id: String,
    },
}

/// Reason for the end of an output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishReason {
    /// The output reached the maximum number of tokens that the caller accepts.
    Length,
    /// The model ended the output.
    Stop,
}

/// Reason for which an attempt was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbortReason {
    /// The engine started a role change or model load.
    RoleChange,
    /// The engine crashed.
    Crash,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Id of the order; a repetition with the same id and content has no further effect.
    pub order_id: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// Requested change.
    pub kind: OrderKind,
}

/// Content of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Change to a role.
    Role(Role),
    /// Load a version of a model.
    Model(ModelVersion),
}

/// Effect of an accepted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The change has started or was already in progress.
    Started,
    /// The requested role or model was already in effect.
    Unchanged,
}

/// Reason for refusing an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has received a newer fencing token.
    StaleFence {
        /// The newest fencing token received.
        fence: u64,
    },
    /// Another order is in progress.
    Busy,
    /// The engine has crashed.
    Crashed,
}

/// State of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Current role.
    pub role: Role,
    /// New role of a change in progress; `None` without one and during a model load.
    pub changing_to: Option<Role>,
    /// Whether a role change or model load is in progress.
    pub is_changing: bool,
    /// Loaded models with their versions.
    pub models: Vec<ModelVersion>,
    /// Id of the last order that took effect; `None` before the first.
    pub last_order_id: Option<String>,
    /// Newest fencing token received.
    pub fence: u64,
}
