//! The platform's services, behind traits.

pub mod http;

use displaydoc::Display;
use futures::future::BoxFuture;

/// A stored value with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Key of the value.
    pub key: String,
    /// Version for the next compare-and-swap.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// Written under this version.
    Written(u64),
    /// Another version stands there; nothing was written.
    Conflict(u64),
}

/// Why a call to the platform has no result.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// the platform cannot be reached: {0}
    Unreachable(String),
    /// the answer was lost, and a write may have taken effect: {0}
    Unknown(String),
    /// the platform refused the call for its rate
    RateLimited,
    /// the platform answered outside its protocol: {0}
    Protocol(String),
}

impl std::error::Error for PlatformError {}

/// The key-value service.
pub trait KeyValue: std::fmt::Debug + Send + Sync {
    /// Reads a key; `None` when it is not there.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, PlatformError>>;

    /// Writes a key if its version is `if_version`; 0 means that it must not exist.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a serde_json::Value,
        if_version: u64,
    ) -> BoxFuture<'a, Result<PutOutcome, PlatformError>>;
}
