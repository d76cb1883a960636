//! Messages between nodes about usage. Field names are short, as the holder asks all nodes once per window.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::usage::Requests;

/// Path of a [`CountQuestion`].
pub const QUESTION_PATH: &str = "/usage-counts";
/// Path of a [`CountCopy`].
pub const COPY_PATH: &str = "/usage-copy";

/// Question of the holder for counts, by age on the monotonic clock of whoever answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CountQuestion {
    /// Age of the start of the range.
    #[serde(rename = "f")]
    pub from_age_us: u64,
    /// Age of the end of the range.
    #[serde(rename = "t")]
    pub to_age_us: u64,
    /// Highest window that is recorded; 0 if none is known.
    #[serde(rename = "r")]
    pub recorded: u64,
    /// Nodes that do not answer, of which copies are asked for.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<SocketAddr>,
}

/// Answer to a [`CountQuestion`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CountAnswer {
    /// Id of the process, drawn at its start.
    #[serde(rename = "p")]
    pub process: u64,
    /// Time since the process started.
    #[serde(rename = "s")]
    pub uptime_us: u64,
    /// Wall clock of the node.
    #[serde(rename = "u")]
    pub unix_us: u64,
    /// Highest window that this node knows to be recorded; 0 if none is known.
    #[serde(rename = "r")]
    pub recorded: u64,
    /// Requests in the range.
    #[serde(rename = "c")]
    pub requests: Requests,
    /// Copies of counts of processes that have been silent lately, or that the question names.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub copies: Vec<CopiedRequests>,
}

/// Requests in the range of a question that were told by another process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CopiedRequests {
    /// Id of that process.
    #[serde(rename = "p")]
    pub process: u64,
    /// Its requests in the range.
    #[serde(rename = "c")]
    pub requests: Requests,
}

/// Counts of a process that another node keeps in case that the process ends.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CountCopy {
    /// Address of the node for peers.
    #[serde(rename = "a")]
    pub node: SocketAddr,
    /// Id of the process.
    #[serde(rename = "p")]
    pub process: u64,
    /// Monotonic clock of the process.
    #[serde(rename = "n")]
    pub now_us: u64,
    /// Buckets with requests by number, as in [`tealsaddle_core::fleet::usage::log::UsageLog`].
    #[serde(rename = "b")]
    pub buckets: BTreeMap<u64, Requests>,
    /// Whether the process is about to end.
    #[serde(rename = "l", default)]
    pub is_last: bool,
}

/// Answer to a [`CountCopy`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CopyReply;
