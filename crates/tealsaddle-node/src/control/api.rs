//! Typed calls from traffic and administration to the control thread.
//!
//! The calls run over the in-process transport of `tarpc`, so that each has a deadline and a caller
//! never waits for a control thread that is paused or busy.

use std::time::{Duration, Instant};

use futures::StreamExt;
use serde::Serialize;
use tarpc::server::{BaseChannel, Channel};
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::config_write::{ConfigHistory, ConfigWriteOutcome};
use super::event::Event;

/// Calls that the control thread answers.
#[tarpc::service]
pub trait ControlApi {
    /// State of the node as operators see it.
    async fn status() -> Option<NodeStatus>;
    /// The configuration record in force.
    async fn config() -> Option<ConfigRecord>;
    /// Writes a configuration if the version in force is `if_version`.
    async fn put_config(
        if_version: u64,
        author: String,
        yaml: String,
    ) -> Option<ConfigWriteOutcome>;
    /// The last `limit` accepted configurations, newest first.
    async fn config_history(limit: u64) -> Option<ConfigHistory>;
    /// Stops new work on an engine, or opens it again.
    async fn drain_engine(engine: String, is_drained: bool) -> Option<DrainOutcome>;
    /// Takes the node out of service; it completes its requests and exits.
    async fn leave();
    /// Completes once the holder has handed over and the node is off the router list.
    async fn resign() -> bool;
}

/// What became of an operator's drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum DrainOutcome {
    /// The holder takes it on.
    Accepted,
    /// The configuration has no such engine in this zone.
    UnknownEngine,
    /// The zone has no holder now, or it does not answer.
    NoHolder,
}

/// State of a node as operators see it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, shown to operators under their own names"
)]
#[derive(Debug, Clone, Default, Serialize)]
pub struct NodeStatus {
    /// Name of the VM.
    pub vm: String,
    /// Start of the process, unique.
    pub incarnation: String,
    /// Zone of the node.
    pub zone: String,
    /// Peer address.
    pub peer_address: String,
    /// Caller address.
    pub caller_address: String,
    /// Whether the node has a configuration and is not leaving.
    pub is_ready: bool,
    /// Whether the node takes no new work.
    pub is_leaving: bool,
    /// Whether the node may route in its zone.
    pub is_registered: bool,
    /// Whether the node holds new requests after a pause.
    pub is_stale: bool,
    /// Whether the last call to the platform was answered.
    pub is_platform_reachable: bool,
    /// Configuration version in force; 0 without any.
    pub config_version: u64,
    /// Whether this process may give orders in the zone.
    pub is_holder: bool,
    /// Who may give orders, where known.
    pub holder: Option<ProcessStatus>,
    /// Fencing token in force.
    pub epoch: u64,
    /// Routing table in force.
    pub table: TableStatus,
    /// Processes that may route in the zone; known to the holder.
    pub routers: Vec<RouterStatus>,
    /// Engines of the zone.
    pub engines: Vec<EngineStatus>,
    /// Other nodes.
    pub peers: Vec<PeerStatus>,
    /// VMs that the list or their node shows as leaving.
    pub leaving_vms: Vec<String>,
}

/// A process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ProcessStatus {
    /// Name of the VM.
    pub vm: String,
    /// Start of the process, unique.
    pub incarnation: String,
    /// Peer address, where known.
    pub address: String,
}

/// A routing table version.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct TableStatus {
    /// Fencing token of its maker.
    pub epoch: u64,
    /// Number within the epoch.
    pub sequence: u64,
}

/// A router of the zone.
#[derive(Debug, Clone, Serialize)]
pub struct RouterStatus {
    /// Name of the VM.
    pub vm: String,
    /// Start of the process, unique.
    pub incarnation: String,
}

/// An engine of the zone.
#[derive(Debug, Clone, Serialize)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: String,
    /// Role in force.
    pub role: String,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Whether the configuration withdraws it.
    pub is_withdrawn: bool,
    /// The outstanding order.
    pub order: Option<OrderStatus>,
    /// Former holders that block a different order.
    pub unreleased: usize,
    /// Requests of this node in flight on it.
    pub in_flight: u32,
    /// Its last load report.
    pub load: Option<LoadStatus>,
}

/// An order that is not done.
#[derive(Debug, Clone, Serialize)]
pub struct OrderStatus {
    /// Id of the order.
    pub order_id: String,
    /// Kind of the order.
    pub kind: String,
    /// Role to take, for kind role.
    pub role: String,
    /// Phase: draining or issuing.
    pub phase: String,
}

/// A load report.
#[derive(Debug, Clone, Serialize)]
pub struct LoadStatus {
    /// Age of the sample.
    pub age_ms: u64,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub queued_prefill_tokens: u64,
    /// KV cache in use.
    pub kv_used_tokens: u64,
}

/// Another node.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Start of the process, unique.
    pub incarnation: String,
    /// Zone of the node.
    pub zone: String,
    /// Peer address.
    pub peer_address: String,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it may route in its zone.
    pub is_registered: bool,
    /// Configuration version in force there, as last heard.
    pub config_version: u64,
    /// Time since it was last heard of.
    pub age_ms: u64,
}

#[derive(Debug, Clone)]
struct ControlServer {
    events: mpsc::Sender<Event>,
}

impl ControlServer {
    async fn request<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(event(reply)).await.ok()?;
        answer.await.ok()
    }
}

impl ControlApi for ControlServer {
    async fn status(self, _: tarpc::context::Context) -> Option<NodeStatus> {
        self.request(Event::Status).await
    }

    async fn config(self, _: tarpc::context::Context) -> Option<ConfigRecord> {
        self.request(Event::Config).await.flatten()
    }

    async fn put_config(
        self,
        _: tarpc::context::Context,
        if_version: u64,
        author: String,
        yaml: String,
    ) -> Option<ConfigWriteOutcome> {
        self.request(|reply| Event::PutConfig {
            if_version,
            author,
            yaml,
            reply,
        })
        .await
    }

    async fn config_history(self, _: tarpc::context::Context, limit: u64) -> Option<ConfigHistory> {
        self.request(|reply| Event::ConfigHistory { limit, reply })
            .await
    }

    async fn drain_engine(
        self,
        _: tarpc::context::Context,
        engine: String,
        is_drained: bool,
    ) -> Option<DrainOutcome> {
        self.request(|reply| Event::DrainEngine {
            engine,
            is_drained,
            reply,
        })
        .await
    }

    async fn leave(self, _: tarpc::context::Context) {
        // The control thread ends only with the process, so nobody is left to be told.
        drop(self.events.send(Event::Leave).await);
    }

    async fn resign(self, _: tarpc::context::Context) -> bool {
        self.request(Event::Resign).await.is_some()
    }
}

/// Client of the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    client: ControlApiClient,
    leaving: CancellationToken,
}

/// A call that the control thread did not answer in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

impl ControlHandle {
    /// Opens the in-process transport; the server end answers on `runtime`.
    pub(super) fn open(
        events: mpsc::Sender<Event>,
        leaving: CancellationToken,
        runtime: &tokio::runtime::Handle,
    ) -> Self {
        let (client_transport, server_transport) = tarpc::transport::channel::unbounded();
        let requests =
            BaseChannel::with_defaults(server_transport).execute(ControlServer { events }.serve());
        runtime.spawn(requests.for_each(|answer| async {
            tokio::spawn(answer);
        }));
        let new_client = ControlApiClient::new(tarpc::client::Config::default(), client_transport);
        runtime.spawn(new_client.dispatch);
        Self {
            client: new_client.client,
            leaving,
        }
    }

    fn context_with_timeout(timeout: Duration) -> tarpc::context::Context {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + timeout;
        context
    }

    /// Completes when the node takes no new work any more, whoever decided that.
    pub async fn wait_until_leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// State of the node.
    pub async fn status(&self, timeout: Duration) -> Result<NodeStatus, NoAnswer> {
        let answer = self
            .client
            .status(Self::context_with_timeout(timeout))
            .await;
        answer.ok().flatten().ok_or(NoAnswer)
    }

    /// The configuration record in force; `None` before the first.
    pub async fn config(&self, timeout: Duration) -> Result<Option<ConfigRecord>, NoAnswer> {
        let answer = self
            .client
            .config(Self::context_with_timeout(timeout))
            .await;
        answer.map_err(|_late| NoAnswer)
    }

    /// Writes a configuration.
    pub async fn put_config(
        &self,
        timeout: Duration,
        if_version: u64,
        author: String,
        yaml: String,
    ) -> Result<ConfigWriteOutcome, NoAnswer> {
        let context = Self::context_with_timeout(timeout);
        let answer = self.client.put_config(context, if_version, author, yaml);
        answer.await.ok().flatten().ok_or(NoAnswer)
    }

    /// The last accepted configurations.
    pub async fn config_history(
        &self,
        timeout: Duration,
        limit: u64,
    ) -> Result<ConfigHistory, NoAnswer> {
        let answer = self
            .client
            .config_history(Self::context_with_timeout(timeout), limit);
        answer.await.ok().flatten().ok_or(NoAnswer)
    }

    /// Stops new work on an engine, or opens it again.
    pub async fn drain_engine(
        &self,
        timeout: Duration,
        engine: String,
        is_drained: bool,
    ) -> Result<DrainOutcome, NoAnswer> {
        let context = Self::context_with_timeout(timeout);
        let answer = self.client.drain_engine(context, engine, is_drained);
        answer.await.ok().flatten().ok_or(NoAnswer)
    }

    /// Takes the node out of service.
    pub async fn leave(&self, timeout: Duration) -> Result<(), NoAnswer> {
        let answer = self.client.leave(Self::context_with_timeout(timeout)).await;
        answer.map_err(|_late| NoAnswer)
    }

    /// Hands authority over and leaves the router list.
    pub async fn resign(&self, timeout: Duration) -> Result<bool, NoAnswer> {
        let answer = self
            .client
            .resign(Self::context_with_timeout(timeout))
            .await;
        answer.map_err(|_late| NoAnswer)
    }
}
