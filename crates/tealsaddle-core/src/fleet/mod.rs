//! Decisions for a fleet whose runners register themselves.
//!
//! On such a platform the runners announce themselves, drain themselves and can be reached from every
//! node, so a node routes requests without agreement with its peers. The decisions that remain are
//! which runner reads a prompt, which runner generates its output, which requests to refuse early by the
//! expected times, and which runners should change their stage. The functions of this module do no I/O:
//! their input is a list of runners, what this node has observed of them and a time; their result is a
//! choice.

pub mod admission;
pub mod backpressure;
pub mod cached_parts;
pub mod caller_budget;
pub mod change_sources;
pub mod config;
pub mod continuation;
pub mod customers;
pub mod decode;
pub mod departures;
pub mod events;
pub mod fence;
pub mod generation;
pub mod knowledge;
pub mod lease;
pub mod load;
pub mod needs;
pub mod paths;
pub mod permit_counter;
pub mod placement;
pub mod prefill;
pub mod quarantine;
pub mod rendezvous;
pub mod resumption;
pub mod send_gate;
pub mod shares;
pub mod sizing;
pub mod split;
pub mod stage_load;
pub mod store_availability;
pub mod store_era;
pub mod store_words;
pub mod usage;

use std::net::SocketAddr;

use crate::name::Name;

/// Stage of a request that a model runner serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Reads prompts and keeps their KV cache for a decode runner.
    Prefill,
    /// Generates output, and reads a prompt itself when no prefill runner has read it.
    Decode,
}

/// A runner, as described by its own registration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Id of the runner, unique in the fleet; a process that restarts may keep it.
    pub id: Name,
    /// Service whose requests the runner serves.
    pub service: Name,
    /// Address at which the runner accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which the runner's process runs.
    pub zone: Name,
    /// Number of requests that the runner serves concurrently.
    pub slots: u32,
    /// Whether the runner is about to stop and accepts no new requests.
    pub is_draining: bool,
    /// Whether the runner costs less and may be taken away with all others of its kind in its zone.
    pub is_spot: bool,
    /// When the platform takes the runner away, in milliseconds as the registration states it; `None` unless the
    /// platform has announced it.
    pub leaves_ms: Option<u64>,
    /// Stage that the runner serves; `None` for a runner of a plain service.
    pub stage: Option<Stage>,
    /// Version of the runner's software; empty if it is not stated.
    pub version: Name,
    /// Start of the runner's process, in milliseconds since the Unix epoch. A new value under the same
    /// id means that the process has restarted.
    pub started_unix_ms: u64,
}

/// One part of a prompt. All parts but the last may be shared with other requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text; equal parts of different prompts have the same id.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Returns the length of a prompt in tokens.
pub fn prompt_tokens(parts: &[PromptPart]) -> u64 {
    let tokens = parts.iter().map(|part| part.tokens);
    tokens.fold(0, u64::saturating_add)
}

/// Returns the parts of a prompt that may be shared with other requests: all but the last one, which belongs to
/// the request or its session alone.
pub fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}
