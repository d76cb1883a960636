//! Serving a fleet whose runners register themselves.
//!
//! On a platform whose runners announce themselves, drain themselves and can be reached from every
//! node, a node needs no agreement with its peers to route a request. What remains to be decided is
//! where a prompt is read, where its output is generated, what is refused before it costs anything,
//! and which runners should change their stage. Those decisions stand here, without I/O: a list of
//! runners, what this node has seen of them and a time go in, a choice comes out.

pub mod cached_parts;
pub mod config;
pub mod events;
pub mod lease;
pub mod load;
pub mod placement;
pub mod prefill;
pub mod rendezvous;
pub mod split;
pub mod store_availability;

use std::net::SocketAddr;

use crate::name::Name;

/// What a model runner does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts and keeps their KV cache for a decode runner.
    Prefill,
    /// Generates output, and reads a prompt itself where nobody has.
    Decode,
}

/// A runner as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Id of this process of the runner.
    pub id: Name,
    /// Service whose requests it runs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub is_draining: bool,
    /// Stage; `None` for a runner of a plain service.
    pub stage: Option<Stage>,
    /// Time of its start, in milliseconds since 1970; a runner may start again under its id.
    pub started_unix_ms: u64,
}

/// One part of a prompt, shared with other requests unless it is the last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// Tokens of a prompt.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}
