//! Messages of the engine protocol, as the stand-in reads and writes them.

use serde::{Deserialize, Serialize};

/// Body of `POST /generate`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct GenerateRequest {
    /// Id of the attempt, returned with every event.
    pub attempt_id: String,
    /// Model to run.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Priority class, 0 first.
    #[serde(default)]
    pub priority: u32,
    /// `full`, `prefill` or `decode`.
    pub stage: String,
    /// Where to import KV cache from, for `decode`: `http://IP:port/kv/HANDLE`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_from: Option<String>,
    /// Index of the first token to generate.
    #[serde(default)]
    pub resume_at: u64,
    /// Seed of the output.
    #[serde(default)]
    pub seed: u64,
}

/// One line of the answer.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
pub struct GenerateEvent {
    /// Id of the attempt.
    pub attempt_id: String,
    /// Index of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u64>,
    /// Text of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Set on the last line.
    #[serde(default)]
    pub done: bool,
    /// `length` or `stop`, on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
    /// Length of the prompt, on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<u64>,
    /// Prompt tokens found in the prefix cache, on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<u64>,
    /// Tokens generated, on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output_tokens: Option<u64>,
    /// Handle of the exported KV cache, for `prefill`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<String>,
}

/// Body of `POST /order`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OrderRequest {
    /// Id of the order.
    pub order_id: String,
    /// Fencing token of the sender.
    pub fence: u64,
    /// `role`, `model` or `adapter`.
    pub kind: String,
    /// Role to take, for `role`.
    #[serde(default)]
    pub role: String,
    /// Model or adapter to load.
    #[serde(default)]
    pub model: String,
    /// Version to load.
    #[serde(default)]
    pub version: String,
}

impl OrderRequest {
    /// Whether both ask for the same.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.kind == other.kind
            && self.role == other.role
            && self.model == other.model
            && self.version == other.version
    }
}
