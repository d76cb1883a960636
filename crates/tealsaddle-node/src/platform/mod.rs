//! Traits for the platform's services, with an HTTP client.

pub mod http;

use std::time::Duration;

use displaydoc::Display;
use futures::future::BoxFuture;
use tealsaddle_core::name::Name;

/// A stored value with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Key under which the value is stored.
    pub key: String,
    /// Version to pass as `if_version` with the next write of the key.
    pub version: u64,
    /// The stored value as JSON.
    pub value: serde_json::Value,
}

/// Outcome of a write that the platform answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written with this version.
    Written(u64),
    /// The key has this version instead of `if_version`; nothing was written.
    Conflict(u64),
}

/// Error of a call to the platform.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// the platform cannot be reached: {0}
    Unreachable(String),
    /// the answer was lost, and a write may have taken effect: {0}
    Unknown(String),
    /// the platform refused the call because of its rate limit
    RateLimited,
    /// the platform answered outside its protocol: {0}
    Protocol(String),
}

impl std::error::Error for PlatformError {}

/// Changes of keys under a prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// Revision to pass as `after_revision` with the next watch.
    pub revision: u64,
    /// Changed keys with their latest values.
    pub entries: Vec<Entry>,
}

/// The platform's key-value service.
pub trait KeyValue: std::fmt::Debug + Send + Sync {
    /// Reads a key; `None` if the key does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, PlatformError>>;

    /// Writes a key if its version is `if_version`; 0 means that the key must not exist.
    ///
    /// With a lease, the key is deleted when the lease ends.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a serde_json::Value,
        if_version: u64,
        lease: Option<&'a str>,
    ) -> BoxFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Reads all keys under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>, PlatformError>>;

    /// Returns the changes under a prefix after a revision, and waits for up to `wait` if there are none.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>>;

    /// Creates a lease that ends after `ttl`, and returns its id.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<String, PlatformError>>;
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub vm: Name,
    /// State that the platform reports for the VM.
    pub state: VmState,
}

/// The platform's list of VMs, which lags behind the actual state.
pub trait VmList: std::fmt::Debug + Send + Sync {
    /// Reads the whole list.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
