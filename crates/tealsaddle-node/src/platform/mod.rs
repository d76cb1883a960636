//! The platform's services, behind traits.

pub mod http;

use std::time::Duration;

use displaydoc::Display;
use futures::future::BoxFuture;
use tealsaddle_core::name::Name;

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

/// Changes under a prefix.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// Revision to continue from.
    pub revision: u64,
    /// The keys that changed, with their newest values.
    pub entries: Vec<Entry>,
}

/// The key-value service.
pub trait KeyValue: std::fmt::Debug + Send + Sync {
    /// Reads a key; `None` when it is not there.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>, PlatformError>>;

    /// Writes a key if its version is `if_version`; 0 means that it must not exist.
    ///
    /// With a lease the key goes away when the lease ends.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a serde_json::Value,
        if_version: u64,
        lease: Option<&'a str>,
    ) -> BoxFuture<'a, Result<PutOutcome, PlatformError>>;

    /// Reads all keys under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>, PlatformError>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, PlatformError>>;

    /// Makes a lease and gives its id.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<String, PlatformError>>;
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub vm: Name,
    /// State of the VM.
    pub state: VmState,
}

/// The platform's list of VMs, which lags.
pub trait VmList: std::fmt::Debug + Send + Sync {
    /// Reads the list.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
