//! Interfaces to the systems outside the gateway, as traits that a platform implements.
//!
//! [`Store`] is the platform's key-value store. [`Dialect`] translates between the gateway's types and
//! the platform's formats: header names, stored entries, and the bodies of calls to runners. Neither
//! makes a decision.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::header::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::backpressure::Backpressure;
use tealsaddle_core::fleet::config::FleetConfig;
use tealsaddle_core::fleet::load::ReportedLoad;
use tealsaddle_core::fleet::{PromptPart, Runner, Stage};
use tealsaddle_core::name::Name;

use crate::error::{BadEntry, StoreError};

/// A key of the store with its value.
#[derive(Clone, PartialEq, Eq)]
pub struct Item {
    /// Full key, prefix included.
    pub key: String,
    /// Value as stored; a [`Dialect`] parses it.
    pub value: Vec<u8>,
    /// Store revision at which the key last changed.
    pub revision: u64,
}

impl fmt::Debug for Item {
    /// Leaves out the value: that of a configuration contains the keys of customers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Item")
            .field("key", &self.key)
            .field("value_bytes", &self.value.len())
            .field("revision", &self.revision)
            .finish()
    }
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was created or overwritten.
    Put(Item),
    /// The key was removed, or the lease bound to it has ended.
    Removed {
        /// Full key, prefix included.
        key: String,
        /// Store revision of the removal.
        revision: u64,
        /// Whether a peer that told of it knows that the runner has left. The store does not say why a key is removed.
        has_left: bool,
    },
}

impl Change {
    /// Full key, prefix included.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Store revision of the change.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Result of [`Store::list`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// All keys under the prefix, with their values.
    pub items: Vec<Item>,
    /// Revision after which a watch has to continue to miss no change.
    pub revision: u64,
    /// Era of the store: a number that rises each time it comes back from an older copy. `None` if the store
    /// does not tell.
    pub era: Option<u64>,
}

/// Result of [`Store::watch`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes under the prefix, oldest first; empty if there was none in time.
    pub changes: Vec<Change>,
    /// Revision after which the next watch continues.
    pub revision: u64,
    /// Era of the store, as in [`Listing::era`].
    pub era: Option<u64>,
}

/// Result of a call to the store, with the era of the store that answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InEra<T> {
    /// The result.
    pub value: T,
    /// Era of the store, as in [`Listing::era`].
    pub era: Option<u64>,
}

/// Consistency that a read requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The result includes every acknowledged write.
    Latest,
    /// The result may be seconds old; such a read is cheap for the store.
    Stale,
}

/// An atomic write of several keys, applied only if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Revisions that keys must have; 0 for a key that must not exist.
    pub conditions: Vec<KeyRevision>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// A condition of a transaction: a key with the revision that it must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRevision {
    /// Full key, prefix included.
    pub key: String,
    /// Store revision at which the key last changed.
    pub revision: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Full key, prefix included.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Id of the lease whose end removes the key; `None` for a key that stays.
    pub lease: Option<u64>,
}

/// The platform's key-value store.
pub trait Store: Debug + Send + Sync {
    /// Reads all keys under a prefix.
    ///
    /// An implementation that reads page by page limits the time of each page rather than of the whole
    /// call, since the listing of a large fleet takes many pages over narrow links.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        freshness: Freshness,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Returns the changes under a prefix after a revision, waiting up to `wait` for the first one.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Commits a transaction and returns the store revision of the write.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, Result<InEra<u64>, StoreError>>;

    /// Opens a lease and returns its id.
    fn open_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<InEra<u64>, StoreError>>;

    /// Renews a lease for another full lifetime. In a later era than that in which it was opened, the id may be that of
    /// another node's lease.
    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<InEra<()>, StoreError>>;

    /// Ends a lease, which removes the keys bound to it.
    fn end_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Newest era of the store that any answer to this client has told, refusals included; `None` if none did.
    fn era(&self) -> Option<u64>;
}

/// Outcome of a call to the platform's API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DutyOutcome {
    /// The platform has accepted it.
    Accepted,
    /// The platform has answered with this status, or was not reached (0), and has not carried it out.
    Refused(u16),
    /// There is no answer, or one that does not tell. The platform may have carried it out, or may do so later.
    Unknown,
}

/// Who makes a call to the platform's API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyCaller<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Fencing token of the holder.
    pub fence: u64,
}

/// Use of the system in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window: it begins so many window lengths after the start of 1970.
    pub window: u64,
    /// Requests that began to run in it, by customer, sorted by name.
    pub requests: BTreeMap<Name, u64>,
}

/// An order for a number of runners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SizeOrder {
    /// Service of the runners.
    pub service: Name,
    /// Availability zone of the runners.
    pub zone: Name,
    /// Number of runners of this kind that are to run there.
    pub runners: u32,
    /// Whether the order is for runners that cost less and may be taken away.
    pub is_spot: bool,
}

/// The platform's API for the duties of one node at a time.
pub trait DutyPlatform: Debug + Send + Sync {
    /// Reports the use of a window.
    fn report_usage<'a>(
        &'a self,
        caller: DutyCaller<'a>,
        report: &'a UsageReport,
    ) -> BoxFuture<'a, DutyOutcome>;

    /// Orders a number of runners.
    fn order_runners<'a>(
        &'a self,
        caller: DutyCaller<'a>,
        order: &'a SizeOrder,
    ) -> BoxFuture<'a, DutyOutcome>;
}

/// Keys under which the operator and the runners write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLayout {
    /// Key of the newest configuration.
    pub config_key: &'static str,
    /// Prefix of the runners' registrations; the rest of the key is the runner's id.
    pub runner_prefix: &'static str,
}

/// What the headers of a caller's request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request; `None` if the caller sent none, in which case the request is refused.
    pub request_id: Option<String>,
    /// Milliseconds that the caller waits for the end of the answer; `None` for the limit of the route.
    pub deadline_ms: Option<u64>,
    /// Parts of the prompt, in order; empty for a plain service.
    pub parts: Vec<PromptPart>,
    /// Upper limit of the output, in tokens; 0 if the caller states none.
    pub output_tokens: u64,
    /// Caller's estimate of the output, in tokens; `None` if it makes none.
    pub estimated_output_tokens: Option<u64>,
    /// Id of the last event that the caller has received, if it takes the stream up again.
    pub last_event_id: Option<String>,
    /// Id of the request that brought the first of them; `None` if the caller does not say.
    pub resumes: Option<String>,
}

impl RequestMetadata {
    /// Expected output, in tokens: the caller's estimate up to its limit, or else the limit; 0 if it states neither.
    pub fn expected_output_tokens(&self) -> u64 {
        match (self.estimated_output_tokens, self.output_tokens) {
            (Some(estimate), 0) => estimate,
            (Some(estimate), limit) => estimate.min(limit),
            (None, limit) => limit,
        }
    }

    /// Id of the request that brought the first event of the stream that the caller takes up; `None` for a new stream, or
    /// if the caller does not say.
    pub fn resumed_id(&self) -> Option<&str> {
        let resumes = self.resumes.as_deref();
        resumes.filter(|_| self.last_event_id.is_some())
    }
}

/// What the headers of a runner's answer say.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Id of the request that the answer belongs to; `None` if the runner sent none.
    pub request_id: Option<String>,
    /// Whether the answer bears the runner's signature.
    pub is_signed: bool,
    /// Whether the runner states that it did not run the request.
    pub says_not_run: bool,
    /// Load of the runner; `None` if the answer does not report it.
    pub load: Option<ReportedLoad>,
    /// What the runner asks of those who send to it.
    pub backpressure: Backpressure,
}

/// Where a decode runner fetches the KV cache of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvSource {
    /// The prefill runner that has read the prompt.
    pub runner: Runner,
    /// Handle of the KV cache at that runner.
    pub handle: String,
}

/// What the gateway sets in the headers of a request that it sends to a runner.
#[derive(Debug, Clone, Copy)]
pub struct SendMetadata<'a> {
    /// Id of the runner that the request is meant for; another process at its address must refuse it.
    pub runner_id: &'a str,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Priority, with 0 the most urgent; `None` for a plain service.
    pub urgency: Option<u32>,
    /// Whether the runner only reads the prompt and keeps its KV cache (prefill).
    pub is_prefill_only: bool,
    /// Where the runner fetches the KV cache of the whole prompt; `None` if it reads the prompt itself.
    pub kv_source: Option<&'a KvSource>,
    /// Address of a runner that may have cached parts of the prompt which the receiving runner lacks. `None`
    /// for decode runners and plain services, or if there is no other runner.
    pub fetches_from: Option<SocketAddr>,
    /// Id of the last event that the caller has received, for a stream that is resumed.
    pub last_event_id: Option<&'a str>,
}

/// An order to a runner to change its stage.
#[derive(Debug, Clone, Copy)]
pub struct StageOrder<'a> {
    /// Id of the runner that the order is meant for.
    pub runner_id: &'a str,
    /// Stage to switch to.
    pub stage: Stage,
    /// Name of the node that holds the authority and sends the order.
    pub holder: &'a str,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Number of orders that the runner must have accepted so far; with any other count it refuses.
    pub orders_before: u64,
}

/// State of a runner, as it reports it on request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerReport {
    /// Current stage; `None` for a runner of a plain service.
    pub stage: Option<Stage>,
    /// Number of orders that the runner has accepted since it started.
    pub orders_accepted: u64,
    /// Whether the runner is executing an order.
    pub is_busy: bool,
    /// Start of the runner's process, in milliseconds since the Unix epoch; `None` if it does not tell.
    pub started_unix_ms: Option<u64>,
}

/// A request of the gateway itself to a runner, to the store or to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingCall {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host`, which follows from the address.
    pub headers: HeaderMap,
    /// JSON body; empty for a call without one.
    pub body: Bytes,
}

/// Formats of the platform's callers, runners and operator.
pub trait Dialect: Debug + Send + Sync {
    /// Keys of the configuration and of the registrations in the store.
    fn layout(&self) -> StoreLayout;

    /// Parses the operator's configuration.
    fn config(&self, value: &[u8]) -> Result<FleetConfig, BadEntry>;

    /// Parses the registration of the runner with this id.
    fn runner(&self, id: &str, value: &[u8]) -> Result<Runner, BadEntry>;

    /// Parses the headers of a caller's request; malformed ones count as absent.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Parses the headers of a runner's answer; malformed ones count as absent.
    fn answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Headers that belong to the content of a request: requests with different values are different ones.
    fn content_headers(&self) -> &'static [HeaderName];

    /// Whether a header is always forwarded to the runner, even if the caller's `Connection` lists it.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Removes the headers that only this system may set, whoever sent them, and sets those of
    /// `metadata`.
    fn prepare(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);

    /// Sets the header that names the customer of a request, or removes it if there is no customer. What the caller sent
    /// in it is dropped.
    fn set_customer(&self, headers: &mut HeaderMap, customer: Option<&str>);

    /// Removes the headers of a runner's answer that are meant for this system and not for the caller.
    fn clean_answer(&self, headers: &mut HeaderMap);

    /// Adds the id of the request to an answer that the gateway itself gives.
    fn mark_gateway_answer(&self, headers: &mut HeaderMap, request_id: &str);

    /// Parses the handle of the KV cache from a prefill runner's answer.
    fn kv_handle(&self, body: &[u8]) -> Result<String, BadEntry>;

    /// Builds the call that frees the KV cache of a handle.
    fn free_handle(&self, handle: &str) -> OutgoingCall;

    /// Builds the call that requests a runner's report.
    fn report_request(&self, runner_id: &str) -> OutgoingCall;

    /// Parses a runner's report.
    fn runner_report(&self, body: &[u8]) -> Result<RunnerReport, BadEntry>;

    /// Builds the call that orders a runner to switch its stage.
    fn stage_order(&self, order: &StageOrder<'_>) -> OutgoingCall;
}
