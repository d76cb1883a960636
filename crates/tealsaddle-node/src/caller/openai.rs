//! Shapes of the usual HTTP interface for language models.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/chat/completions` and `POST /v1/completions`.
///
/// Fields that only change the style of sampling are accepted and ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionRequest {
    /// Model to run.
    pub model: String,
    /// The prompt, for `/v1/completions`.
    pub prompt: Option<String>,
    /// The conversation, for `/v1/chat/completions`.
    pub messages: Option<Vec<Message>>,
    /// Most tokens to generate.
    pub max_tokens: Option<u64>,
    /// The newer name of `max_tokens`.
    pub max_completion_tokens: Option<u64>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// What to add to a stream.
    pub stream_options: Option<StreamOptions>,
    /// Seed of the output.
    pub seed: Option<u64>,
}

/// One message of a conversation.
#[derive(Debug, Clone, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: Content,
}

/// Content of a message: text or parts.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts, of which the texts are read.
    Parts(Vec<Part>),
}

/// A part of a message.
#[derive(Debug, Clone, Deserialize)]
pub struct Part {
    /// Text of the part.
    #[serde(default)]
    pub text: String,
}

/// What to add to a stream.
#[derive(Debug, Clone, Deserialize)]
pub struct StreamOptions {
    /// Whether the last event carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// Tokens of a request.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both.
    pub total_tokens: u64,
}

/// Which of the two interfaces a request came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl CompletionRequest {
    /// The text that is given to the engine; an error names the missing field.
    pub fn prompt_text(&self, interface: Interface) -> Result<String, &'static str> {
        match interface {
            Interface::Text => self.prompt.clone().ok_or("prompt: must be given"),
            Interface::Chat => {
                let messages = self.messages.as_ref().ok_or("messages: must be given")?;
                if messages.is_empty() {
                    return Err("messages: must not be empty");
                }
                Ok(messages
                    .iter()
                    .map(message_text)
                    .collect::<Vec<_>>()
                    .join("\n"))
            }
        }
    }
}

fn message_text(message: &Message) -> String {
    match &message.content {
        Content::Text(text) => format!("{}: {text}", message.role),
        Content::Parts(parts) => {
            let texts: Vec<&str> = parts.iter().map(|part| part.text.as_str()).collect();
            format!("{}: {}", message.role, texts.join(" "))
        }
    }
}

/// A whole answer.
pub fn whole(
    interface: Interface,
    id: &str,
    model: &str,
    text: &str,
    finish: &str,
    usage: Usage,
) -> serde_json::Value {
    let (object, choice) = match interface {
        Interface::Chat => (
            "chat.completion",
            serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        ),
        Interface::Text => (
            "text_completion",
            serde_json::json!({ "index": 0, "text": text, "finish_reason": finish }),
        ),
    };
    serde_json::json!({
        "id": id,
        "object": object,
        "created": crate::clock::unix_ms() / 1_000,
        "model": model,
        "choices": [choice],
        "usage": usage,
    })
}

/// One event of a streamed answer; `finish` is set on the last one.
pub fn chunk(
    interface: Interface,
    id: &str,
    model: &str,
    text: &str,
    finish: Option<&str>,
) -> serde_json::Value {
    let (object, choice) = match interface {
        Interface::Chat => {
            let delta = if finish.is_some() {
                serde_json::json!({})
            } else {
                serde_json::json!({ "role": "assistant", "content": text })
            };
            let choice = serde_json::json!({ "index": 0, "delta": delta, "finish_reason": finish });
            ("chat.completion.chunk", choice)
        }
        Interface::Text => (
            "text_completion",
            serde_json::json!({ "index": 0, "text": text, "finish_reason": finish }),
        ),
    };
    serde_json::json!({
        "id": id,
        "object": object,
        "created": crate::clock::unix_ms() / 1_000,
        "model": model,
        "choices": [choice],
    })
}
