//! Settings and messages of the engine model.

use std::sync::Arc;

use tealsaddle_core::inventory::Role;
use tealsaddle_core::name::Name;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct SimConfig {
    /// Role at first.
    pub role: Role,
    /// Models loaded at first.
    pub models: Vec<ModelVersion>,
    /// Prompt tokens read in a second when nothing is decoded.
    pub prefill_tokens_per_s: u64,
    /// Time of a step that decodes, without the parts below.
    pub step_us: u64,
    /// Time that each decoded request adds to a step.
    pub step_per_request_us: u64,
    /// Extra time of a chunk beside decoded requests, as a share of its time alone.
    pub interference: f64,
    /// Most requests decoded at once.
    pub batch_requests: usize,
    /// Most requests that wait.
    pub queue_requests: usize,
    /// Tokens that the KV cache holds.
    pub kv_capacity_tokens: u64,
    /// Tokens that the prefix cache holds.
    pub prefix_cache_tokens: u64,
    /// Prompt tokens in a step in the prefill role.
    pub prefill_chunk_tokens: u64,
    /// Prompt tokens in a step in the mixed role.
    pub mixed_chunk_tokens: u64,
    /// Prompt tokens in a step in the decode role.
    pub decode_chunk_tokens: u64,
    /// KV cache tokens imported in a second.
    pub transfer_tokens_per_s: u64,
    /// Time of an import without its tokens.
    pub transfer_us: u64,
    /// Time of a change of role or model.
    pub role_change_us: u64,
    /// Whether orders with an old fencing token are refused.
    pub checks_fence: bool,
    /// Age of the load that a report shows.
    pub report_lag_us: u64,
    /// Time until a cache event is published.
    pub cache_event_delay_us: u64,
    /// Every n-th cache event is lost; 0 loses none.
    pub cache_event_lost_every: u64,
    /// Whether each token is an event, and not just the first of an attempt.
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

/// A model with the version that is loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the model.
    pub name: Name,
    /// Its version.
    pub version: Name,
}

/// Part of a request that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Reads the prompt and generates the output.
    Full,
    /// Reads the prompt and keeps the KV cache for export.
    Prefill,
    /// Imports KV cache and generates the output.
    Decode,
}

/// A request to an engine.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Id of the attempt.
    pub attempt_id: u64,
    /// Model to run.
    pub model: Name,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's leading blocks of [`super::BLOCK_TOKENS`], each over all before it.
    pub prefix_blocks: Arc<[u64]>,
    /// Index after the last token that the caller accepts.
    pub max_tokens: u64,
    /// Index after the last token that the model generates, at most `max_tokens`.
    pub output_tokens: u64,
    /// Priority class, 0 first.
    pub priority: u32,
    /// Part to run; for [`Stage::Decode`] the transfer of the prompt's KV cache comes first.
    pub stage: Stage,
    /// Index of the first token to generate; the ones before are read as prompt.
    pub resume_at: u64,
}

/// Why a request was refused without running any of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The engine changes its role or loads a model.
    ChangingRole,
    /// The engine is down.
    Crashed,
    /// The model is not loaded.
    UnknownModel,
    /// Too many requests wait.
    QueueFull,
    /// The request needs more KV cache than the engine has.
    TooLong,
}

/// KV cache that a prefill left for export.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvExport {
    /// The attempt that made it.
    pub attempt_id: u64,
    /// Its size.
    pub kv_tokens: u64,
}

/// Something that happened in an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// When.
    pub at_us: u64,
    /// What.
    pub kind: EventKind,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// A token was generated.
    Token {
        /// The attempt.
        attempt_id: u64,
        /// Index of the token in the whole output.
        index: u64,
    },
    /// The prompt was read and its KV cache waits for export.
    PrefillDone {
        /// The attempt.
        attempt_id: u64,
        /// Handle for the export.
        handle: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u64,
    },
    /// The output is complete.
    Finished {
        /// The attempt.
        attempt_id: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u64,
        /// Tokens generated by this attempt.
        output_tokens: u64,
        /// Why it ended.
        reason: FinishReason,
    },
    /// The attempt was cut off.
    CutOff {
        /// The attempt.
        attempt_id: u64,
        /// Why.
        reason: CutOffReason,
    },
    /// An order took effect.
    OrderDone {
        /// Id of the order.
        order_id: String,
    },
}

/// Why an output ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishReason {
    /// It reached the most tokens that the caller accepts.
    Length,
    /// The model ended it.
    Stop,
}

/// Why an attempt was cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutOffReason {
    /// The engine was ordered to change.
    RoleChange,
    /// The engine crashed.
    Crash,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Id of the order; a repeat with the same id and content has no further effect.
    pub order_id: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// Content of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Take a role.
    Role(Role),
    /// Load a version of a model.
    Model(ModelVersion),
}

/// Effect of an accepted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The change is in progress.
    Started,
    /// The content was already in effect.
    Unchanged,
}

/// Why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderError {
    /// A newer fencing token was seen.
    StaleFence {
        /// The newest one.
        fence: u64,
    },
    /// Another order is in progress.
    Busy,
    /// The engine is down.
    Crashed,
}

/// State of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Role in effect.
    pub role: Role,
    /// Role that it changes to.
    pub changing_to: Option<Role>,
    /// Whether any order is in progress.
    pub is_changing: bool,
    /// Models loaded.
    pub models: Vec<ModelVersion>,
    /// Last order that took effect.
    pub last_order_id: Option<String>,
    /// Newest fencing token seen.
    pub fence: u64,
}
