//! The borders of the gateway, as traits that a platform implements.
//!
//! [`Store`] is the platform's key-value store. [`Dialect`] is what the platform's callers, runners and
//! operator speak: header names, the shapes of stored entries, the bodies of runner calls. Neither makes
//! a decision.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::header::{HeaderMap, HeaderName};
use tealsaddle_core::fleet::config::FleetConfig;
use tealsaddle_core::fleet::load::ReportedLoad;
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};

use crate::error::{BadEntry, StoreError};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Keys under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys with their values.
    pub items: Vec<Item>,
    /// Revision from which a watch goes on without missing a change.
    pub revision: u64,
}

/// Changes under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// How fresh a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Every acknowledged write is in it.
    Latest,
    /// It may be seconds old and is cheap.
    Stale,
}

/// A write of several keys under conditions, all or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub conditions: Vec<KeyRevision>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// A key at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRevision {
    /// The key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Lease with which it goes, if any.
    pub lease: Option<u64>,
}

/// The platform's key-value store.
pub trait Store: Debug + Send + Sync {
    /// Reads all keys under a prefix; a store that answers by pages bounds the time of each, since a large
    /// fleet on narrow links takes many of them.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        freshness: Freshness,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Writes under conditions; gives the revision of the write.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Opens a lease; gives its id.
    fn open_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease and removes its keys.
    fn end_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Where the operator and the runners write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLayout {
    /// Key of the newest configuration.
    pub config_key: &'static str,
    /// Prefix of the runners' registrations; the rest of the key is the runner's id.
    pub runner_prefix: &'static str,
}

/// What a caller says about its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request.
    pub request_id: Option<String>,
    /// Time that the caller will wait.
    pub deadline_ms: Option<u64>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Most tokens of the output.
    pub output_tokens: u64,
}

/// What a runner says on an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the runner's signature.
    pub is_signed: bool,
    /// Whether the runner states that it did not run the request.
    pub says_not_run: bool,
    /// Its load, where it tells it.
    pub load: Option<ReportedLoad>,
}

/// Where a decode runner fetches the KV cache of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// The runner that has read the prompt.
    pub runner: Runner,
    /// Handle of the KV cache there.
    pub handle: String,
}

/// What the gateway sets on a request that it sends to a runner.
#[derive(Debug, Clone, Copy)]
pub struct SendMetadata<'a> {
    /// Id of the runner that is meant.
    pub runner_id: &'a str,
    /// Time that is left.
    pub remaining: Duration,
    /// Urgency, 0 first; `None` for a plain service.
    pub urgency: Option<u32>,
    /// Whether the runner only reads the prompt.
    pub is_prefill_only: bool,
    /// Where it fetches the KV cache.
    pub kv_source: Option<&'a KvSource>,
    /// Runner from which it fetches the parts of the prompt that it does not hold itself.
    pub fetches_from: Option<SocketAddr>,
    /// Last event that the caller has, for a stream that is resumed.
    pub last_event_id: Option<&'a str>,
}

/// An order to a runner to change its stage.
#[derive(Debug, Clone, Copy)]
pub struct StageOrder<'a> {
    /// Id of the runner.
    pub runner_id: &'a str,
    /// The stage to be.
    pub stage: Stage,
    /// Name of the process that gives the order.
    pub holder: &'a str,
    /// Its fencing token.
    pub fence: u64,
    /// Orders that the runner must have accepted before; it refuses the order otherwise.
    pub orders_before: u64,
}

/// What a runner says of itself when asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerReport {
    /// Its stage; `None` for a runner of a plain service.
    pub stage: Option<Stage>,
    /// Orders that it has accepted since it started.
    pub orders_accepted: u64,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
}

/// A call to a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerCall {
    /// Method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host`.
    pub headers: HeaderMap,
    /// JSON body; empty for none.
    pub body: Bytes,
}

/// What callers, runners and the operator speak.
pub trait Dialect: Debug + Send + Sync {
    /// Where entries stand in the store.
    fn layout(&self) -> StoreLayout;

    /// Reads a configuration.
    fn config(&self, value: &[u8]) -> Result<FleetConfig, BadEntry>;

    /// Reads a runner's registration.
    fn runner(&self, id: &str, value: &[u8]) -> Result<Runner, BadEntry>;

    /// Reads a caller's headers.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Reads a runner's headers.
    fn answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Whether a header always goes through to the runner, whatever a caller's `Connection` names.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Removes the headers that are the system's to set, whoever sent them, and sets those of `metadata`.
    fn prepare(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);

    /// Removes what a runner says to the system only.
    fn clean_answer(&self, headers: &mut HeaderMap);

    /// Marks an answer of the gateway itself with the id of its request.
    fn mark_gateway_answer(&self, headers: &mut HeaderMap, request_id: &str);

    /// Reads the handle from the answer of a runner that has read a prompt.
    fn kv_handle(&self, body: &[u8]) -> Result<String, BadEntry>;

    /// The call that frees a handle.
    fn free_handle(&self, handle: &str) -> RunnerCall;

    /// The call that asks a runner about itself.
    fn ask_report(&self, runner_id: &str) -> RunnerCall;

    /// Reads what a runner says of itself.
    fn runner_report(&self, body: &[u8]) -> Result<RunnerReport, BadEntry>;

    /// The call that gives an order.
    fn stage_order(&self, order: &StageOrder<'_>) -> RunnerCall;
}
