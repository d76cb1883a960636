//! Requests and responses of the OpenAI-compatible completion API.
//!
//! Requests are parsed field by field, so that a refusal can name the field. Sampling parameters such
//! as the temperature are accepted and ignored. Fields that change the form of the response, such as
//! tools, are refused, because ignoring them would give a wrong response.

use std::fmt::Write as _;

use bytes::Bytes;
use serde::Serialize;
use serde_json::{Map, Value};

/// Endpoint that received a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/chat/completions`, with a list of messages.
    Chat,
    /// `/v1/completions`, with a text prompt.
    Text,
}

/// A parsed and validated completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text given to the engine; for a chat, the messages with their roles, separated by line breaks.
    pub prompt: String,
    /// Maximum number of output tokens, if the caller sets one; `max_completion_tokens` takes precedence
    /// over the older `max_tokens`.
    pub max_tokens: Option<u64>,
    /// Whether to stream the response as server-sent events.
    pub is_streamed: bool,
    /// Whether a stream ends with the token counts.
    pub includes_usage: bool,
    /// Sampling seed, if the caller sets one.
    pub seed: Option<u64>,
}

/// A field with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// Path of the field, such as `messages[0].content`.
    pub field: String,
    /// The rule that the value violates, as shown to the caller.
    pub rule: String,
}

fn invalid<T>(field: impl Into<String>, rule: impl Into<String>) -> Result<T, InvalidField> {
    Err(InvalidField {
        field: field.into(),
        rule: rule.into(),
    })
}

impl CompletionRequest {
    /// Parses the body of a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use tealsaddle_node::caller::openai::{CompletionRequest, Interface};
    ///
    /// let body = br#"{"model": "rules", "prompt": ["a", "b"]}"#;
    /// let error = CompletionRequest::from_json(Interface::Text, body).unwrap_err();
    /// assert_eq!(error.field, "prompt");
    /// ```
    pub fn from_json(interface: Interface, body: &[u8]) -> Result<Self, InvalidField> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => return invalid("body", format!("is not JSON: {error}")),
        };
        let Value::Object(mut fields) = value else {
            return invalid("body", "must be a JSON object");
        };
        let model = match fields.remove("model") {
            Some(Value::String(model)) if !model.is_empty() => model,
            _ => return invalid("model", "must be the name of a model"),
        };
        let prompt = match interface {
            Interface::Text => text_prompt(fields.remove("prompt"))?,
            Interface::Chat => chat_prompt(fields.remove("messages"))?,
        };
        refuse_unsupported(&fields)?;
        let max_completion_tokens = positive(&fields, "max_completion_tokens")?;
        let includes_usage = match fields.get("stream_options") {
            None | Some(Value::Null) => false,
            Some(Value::Object(options)) => boolean(options, "include_usage")?,
            Some(_) => return invalid("stream_options", "must be an object"),
        };
        Ok(Self {
            model,
            prompt,
            max_tokens: max_completion_tokens.or(positive(&fields, "max_tokens")?),
            is_streamed: boolean(&fields, "stream")?,
            includes_usage,
            seed: match fields.get("seed") {
                None | Some(Value::Null) => None,
                Some(seed) => match (seed.as_u64(), seed.as_i64()) {
                    (Some(seed), _) => Some(seed),
                    (None, Some(seed)) => Some(seed.cast_unsigned()),
                    (None, None) => return invalid("seed", "must be an integer of 64 bits"),
                },
            },
        })
    }
}

fn text_prompt(prompt: Option<Value>) -> Result<String, InvalidField> {
    match prompt {
        Some(Value::String(text)) => Ok(text),
        Some(Value::Array(mut list)) if list.len() == 1 && list[0].is_string() => {
            text_prompt(list.pop())
        }
        _ => invalid("prompt", "must be a text"),
    }
}

fn chat_prompt(messages: Option<Value>) -> Result<String, InvalidField> {
    let Some(Value::Array(messages)) = messages else {
        return invalid("messages", "must be a list of messages");
    };
    if messages.is_empty() {
        return invalid("messages", "must not be empty");
    }
    let mut prompt = String::new();
    for (i, message) in messages.iter().enumerate() {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            return invalid(format!("messages[{i}].role"), "must be a text");
        };
        if i > 0 {
            prompt.push('\n');
        }
        prompt.push_str(role);
        prompt.push_str(": ");
        let field = || format!("messages[{i}].content");
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => {
                for (j, part) in parts.iter().enumerate() {
                    let Some(text) = part.get("text").and_then(Value::as_str) else {
                        return invalid(format!("{}[{j}].text", field()), "must be a text");
                    };
                    if j > 0 {
                        prompt.push(' ');
                    }
                    prompt.push_str(text);
                }
            }
            _ => return invalid(field(), "must be a text or a list of text parts"),
        }
    }
    Ok(prompt)
}

fn refuse_unsupported(fields: &Map<String, Value>) -> Result<(), InvalidField> {
    for field in ["n", "best_of"] {
        if fields
            .get(field)
            .is_some_and(|n| !n.is_null() && n.as_u64() != Some(1))
        {
            return invalid(field, "only one answer per request is supported");
        }
    }
    for field in ["tools", "functions", "stop", "suffix", "audio"] {
        let is_empty = match fields.get(field) {
            None | Some(Value::Null) => true,
            Some(Value::Array(list)) => list.is_empty(),
            Some(Value::String(text)) => text.is_empty(),
            Some(_) => false,
        };
        if !is_empty {
            return invalid(field, "is not supported");
        }
    }
    Ok(())
}

fn positive(fields: &Map<String, Value>, field: &str) -> Result<Option<u64>, InvalidField> {
    match fields.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) if number > 0 => Ok(Some(number)),
            _ => invalid(field, "must be an integer above 0"),
        },
    }
}

fn boolean(fields: &Map<String, Value>, field: &str) -> Result<bool, InvalidField> {
    match fields.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => invalid(field, "must be true or false"),
    }
}

/// Token counts of a request, as reported to the caller.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the output.
    pub completion_tokens: u64,
    /// Sum of both counts.
    pub total_tokens: u64,
}

impl Usage {
    /// Creates the counts with their sum.
    pub const fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

/// Fields common to all parts of one response.
#[derive(Debug, Clone)]
pub struct ResponseFormat {
    interface: Interface,
    id: String,
    model: String,
    created: u64,
}

impl ResponseFormat {
    /// Creates the fields of a response, with the current time as its creation time.
    pub fn new(interface: Interface, request_id: &str, model: &str) -> Self {
        let prefix = match interface {
            Interface::Chat => "chatcmpl",
            Interface::Text => "cmpl",
        };
        Self {
            interface,
            id: format!("{prefix}-{request_id}"),
            model: model.to_owned(),
            created: crate::clock::unix_ms() / 1_000,
        }
    }

    /// Returns the body of an unstreamed response.
    pub fn whole(&self, text: &str, finish_reason: &str, usage: Usage) -> Value {
        let (object, choice) = match self.interface {
            Interface::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "logprobs": null,
                    "finish_reason": finish_reason,
                }),
            ),
            Interface::Text => (
                "text_completion",
                serde_json::json!({
                    "index": 0, "text": text, "logprobs": null, "finish_reason": finish_reason,
                }),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
    }

    /// Returns the writer of a streamed response.
    pub fn chunks(&self) -> ChunkWriter {
        let object = match self.interface {
            Interface::Chat => "chat.completion.chunk",
            Interface::Text => "text_completion",
        };
        let head = serde_json::json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
        });
        let mut head = format!("data: {head}");
        // Drops the closing brace: the fields of each event follow the common ones.
        head.pop();
        ChunkWriter {
            interface: self.interface,
            head,
            is_first: true,
        }
    }
}

/// Writes the events of a streamed response.
///
/// The fields common to all events are serialized once, so that a token costs one short copy; this
/// code runs for every token that the node delivers.
#[derive(Debug)]
pub struct ChunkWriter {
    interface: Interface,
    head: String,
    is_first: bool,
}

impl ChunkWriter {
    /// Returns the event of one token.
    pub fn token(&mut self, text: &str) -> Bytes {
        let text = serde_json::to_string(text).expect("a text is JSON");
        let choice = match self.interface {
            Interface::Chat if self.is_first => {
                format!("\"delta\":{{\"role\":\"assistant\",\"content\":{text}}}")
            }
            Interface::Chat => format!("\"delta\":{{\"content\":{text}}}"),
            Interface::Text => format!("\"text\":{text}"),
        };
        self.is_first = false;
        let head = &self.head;
        Bytes::from(format!(
            "{head},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":null}}]}}\n\n"
        ))
    }

    /// Returns the last events: the finish reason, the token counts if given, and the end marker.
    pub fn end(&self, finish_reason: &str, usage: Option<Usage>) -> Bytes {
        let finish_reason = Value::from(finish_reason);
        let head = &self.head;
        let choice = match self.interface {
            Interface::Chat => "\"delta\":{}",
            Interface::Text => "\"text\":\"\"",
        };
        let mut last = format!(
            "{head},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":{finish_reason}}}]}}\n\n"
        );
        if let Some(usage) = usage {
            let usage = serde_json::json!(usage);
            write!(last, "{head},\"choices\":[],\"usage\":{usage}}}\n\n")
                .expect("writing to a string cannot fail");
        }
        last.push_str("data: [DONE]\n\n");
        Bytes::from(last)
    }
}
