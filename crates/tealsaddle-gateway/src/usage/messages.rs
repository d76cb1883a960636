//! Messages between nodes about usage. Field names are short, as the holder asks all nodes once per window.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::usage::Requests;

/// Path of a [`CountQuestion`].
pub const QUESTION_PATH: &str = "/usage-counts";
/// Path of a [`CountCopy`].
pub const COPY_PATH: &str = "/usage-copy";

/// Question of the holder for counts, by age when it is sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CountQuestion {
    /// Age of the start of the range.
    #[serde(rename = "f")]
    pub from_age_us: u64,
    /// Age of the end of the range.
    #[serde(rename = "t")]
    pub to_age_us: u64,
    /// Window that the range stands for; `None` if only the clocks are asked for.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub window: Option<u64>,
    /// When the question was sent; `None` from builds that do not tell it.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<SendTime>,
    /// Highest window that is recorded; 0 if none is known.
    #[serde(rename = "r")]
    pub recorded: u64,
    /// Nodes that do not answer, of which copies are asked for.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<SocketAddr>,
}

/// When a message was sent, by the monotonic clock of the process that sent it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SendTime {
    /// Id of the process.
    #[serde(rename = "p")]
    pub process: u64,
    /// Its clock.
    #[serde(rename = "n")]
    pub now_us: u64,
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
    /// The last return of the store from an older copy that this process has seen.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub store_return: Option<ToldReturn>,
}

/// A return of the store from an older copy, as a process has seen it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ToldReturn {
    /// Era since then.
    #[serde(rename = "e")]
    pub era: u64,
    /// Time since the process saw it.
    #[serde(rename = "a")]
    pub age_us: u64,
    /// Highest window that was recorded before, if this process had the duties until then.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub settled: Option<u64>,
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
    /// First buckets of the latest windows that the process has answered for.
    #[serde(rename = "e", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub window_starts: BTreeMap<u64, u64>,
    /// Whether the process is about to end.
    #[serde(rename = "l", default)]
    pub is_last: bool,
}

impl CountCopy {
    /// Latest window whose start is told; 0 if there is none.
    pub fn latest_window(&self) -> u64 {
        let latest = self.window_starts.last_key_value();
        latest.map_or(0, |(window, _start)| *window)
    }
}

/// Answer to a [`CountCopy`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CopyReply;
