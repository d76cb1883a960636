//! Error types of this crate.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Why the gateway could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}: {source}
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// cannot start a thread, its event loop or a signal handler: {0}
    Thread(io::Error),
    /// cannot open the log: {0}
    Log(String),
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } | Self::Thread(source) => Some(source),
            Self::Log(_) => None,
        }
    }
}

/// invalid entry: {0}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct BadEntry(pub String);

impl std::error::Error for BadEntry {}

impl From<serde_json::Error> for BadEntry {
    fn from(error: serde_json::Error) -> Self {
        Self(json_problem(&error))
    }
}

/// Says why JSON cannot be parsed, without the values that it contains: they may be API keys.
pub fn json_problem(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let is_value_shown = error.is_data()
        && !text.starts_with("missing field")
        && !text.starts_with("duplicate field");
    if !is_value_shown {
        return text;
    }
    // The value stands before what was expected, and the position is not part of either.
    let place = format!("at line {} column {}", error.line(), error.column());
    match text.rsplit_once(", expected ") {
        Some((_value, expected)) => format!("invalid value, expected {expected}"),
        None => format!("invalid value {place}"),
    }
}

/// Why a call to the store has no result.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// the store cannot be reached or did not answer: {0}
    Unreachable(String),
    /// the store refused the call with status {0}
    Refused(u16),
    /// the history after the revision is no longer available
    HistoryGone,
    /// no such key or lease
    NotFound,
    /// a condition of the transaction does not hold
    Conflict,
    /// the answer is not of the era of the store in which the call began
    OtherEra,
    /// the store answered outside its protocol: {0}
    Protocol(String),
}

impl std::error::Error for StoreError {}
