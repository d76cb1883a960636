//! Typed calls from other threads of the process to the control thread.
//!
//! The calls run over the in-process transport of `tarpc`. Each call has a deadline, so a caller never
//! waits longer than that for a control thread that is paused or busy.

use std::time::{Duration, Instant};

use futures::StreamExt;
use serde::Serialize;
use tarpc::server::{BaseChannel, Channel};
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::config_write::{ConfigHistory, ConfigWriteOutcome};
use super::event::Event;

/// Calls that the control thread answers. A call that returns an `Option` returns `None` if the control
/// thread ends without answering it.
#[tarpc::service]
pub trait ControlApi {
    /// Returns the state of the node for operators.
    async fn status() -> Option<NodeStatus>;
    /// Returns the configuration record in force; `None` also before the first.
    async fn config() -> Option<ConfigRecord>;
    /// Writes a configuration if the version in force is `if_version`.
    async fn put_config(
        if_version: u64,
        author: String,
        yaml: String,
    ) -> Option<ConfigWriteOutcome>;
    /// Returns the last `limit` accepted configurations, newest first.
    async fn config_history(limit: u64) -> Option<ConfigHistory>;
    /// Stops new work on an engine, or reopens the engine if `is_drained` is false.
    async fn drain_engine(engine: String, is_drained: bool) -> Option<DrainOutcome>;
    /// Takes the node out of service. The node completes its requests in flight and exits.
    async fn leave();
    /// Hands over the zone authority and removes the node from the router list. Completes when both are
    /// done or their time limits are over. Returns whether the node is known to be removed from the list.
    async fn resign() -> bool;
}

/// Outcome of an operator's request to drain or reopen an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum DrainOutcome {
    /// The holder has accepted the request.
    Accepted,
    /// The configuration has no engine of this name in the zone of the node.
    UnknownEngine,
    /// No holder of the zone is known, or the holder does not answer.
    NoHolder,
}

/// State of a node, as the administration API shows it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, shown to operators under their own names"
)]
#[derive(Debug, Clone, Default, Serialize)]
pub struct NodeStatus {
    /// Name of the VM.
    pub vm: String,
    /// Id of this start of the process, unique across restarts.
    pub incarnation: String,
    /// Zone of the node.
    pub zone: String,
    /// Address for calls from other nodes.
    pub peer_address: String,
    /// Address for callers.
    pub caller_address: String,
    /// Whether the node has a configuration and is not leaving.
    pub is_ready: bool,
    /// Whether the node is stopping and takes no new work.
    pub is_leaving: bool,
    /// Whether the router list has this process, so that the node may route to engines of its zone.
    pub is_registered: bool,
    /// Whether new requests wait because the process was paused and its state may be out of date.
    pub is_stale: bool,
    /// Whether the last read of the VM list or of the configuration succeeded.
    pub is_platform_reachable: bool,
    /// Configuration version in force; 0 without a configuration.
    pub config_version: u64,
    /// Whether this process holds the authority of its zone and may send orders to engines.
    pub is_holder: bool,
    /// The process that holds the authority of the zone; `None` while unknown.
    pub holder: Option<ProcessStatus>,
    /// The higher of two fencing tokens: that of this process as the holder, and that of the routing table
    /// in force.
    pub epoch: u64,
    /// Routing table in force.
    pub table: TableStatus,
    /// Processes that may route in the zone; empty unless this process is the holder.
    pub routers: Vec<RouterStatus>,
    /// Engines of the zone, sorted by name.
    pub engines: Vec<EngineStatus>,
    /// Other nodes of all zones that this node knows, sorted by VM and incarnation.
    pub peers: Vec<PeerStatus>,
    /// VMs that the VM list, or a node on them, reports as leaving; sorted.
    pub leaving_vms: Vec<String>,
}

/// A node process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ProcessStatus {
    /// Name of the VM; empty if only the address is known.
    pub vm: String,
    /// Id of this start of the process, unique across restarts; empty if only the address is known.
    pub incarnation: String,
    /// Address for calls from other nodes.
    pub address: String,
}

/// Version of a routing table.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct TableStatus {
    /// Fencing token of the holder that published the table.
    pub epoch: u64,
    /// Number of the table within the epoch.
    pub sequence: u64,
}

/// A process in the router list of the zone.
#[derive(Debug, Clone, Serialize)]
pub struct RouterStatus {
    /// Name of the VM.
    pub vm: String,
    /// Id of this start of the process, unique across restarts.
    pub incarnation: String,
}

/// An engine of the zone.
#[derive(Debug, Clone, Serialize)]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: String,
    /// Role in force: prefill, decode or mixed. Without a zone record or a routing table, the initial role
    /// of the configuration.
    pub role: String,
    /// Whether the engine takes new work.
    pub is_open: bool,
    /// Whether the configuration withdraws the engine or an operator has drained it.
    pub is_withdrawn: bool,
    /// The outstanding order of the zone record; `None` without one.
    pub order: Option<OrderStatus>,
    /// Number of former senders whose older orders may still arrive. Until each is released, the engine gets
    /// no different order.
    pub unreleased: usize,
    /// Requests of this node in flight on the engine.
    pub in_flight: u32,
    /// Last load report; `None` before the first.
    pub load: Option<LoadStatus>,
}

/// An order that is not completed.
#[derive(Debug, Clone, Serialize)]
pub struct OrderStatus {
    /// Id of the order, unique in the zone.
    pub order_id: String,
    /// Kind of the order: role, model, adapter or withdraw.
    pub kind: String,
    /// Role that the engine is to take; empty for other kinds.
    pub role: String,
    /// Phase of the order: draining or issuing.
    pub phase: String,
}

/// Load report of an engine.
#[derive(Debug, Clone, Serialize)]
pub struct LoadStatus {
    /// Age of the sample, by the clock of this node.
    pub age_ms: u64,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens queued for prefill.
    pub queued_prefill_tokens: u64,
    /// Tokens in the KV cache.
    pub kv_used_tokens: u64,
}

/// Another node, as this node knows it.
#[derive(Debug, Clone, Serialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Id of this start of the process, unique across restarts.
    pub incarnation: String,
    /// Zone of the node.
    pub zone: String,
    /// Address for calls from other nodes.
    pub peer_address: String,
    /// Whether the node is stopping and takes no new work.
    pub is_leaving: bool,
    /// Whether the node may route to engines of its zone.
    pub is_registered: bool,
    /// Configuration version that the node last reported as in force.
    pub config_version: u64,
    /// Time since the last known contact of any node with this one, by the clock of the answering node.
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
        // The send fails only if the control thread has ended, which happens with the process.
        drop(self.events.send(Event::Leave).await);
    }

    async fn resign(self, _: tarpc::context::Context) -> bool {
        self.request(Event::Resign).await.unwrap_or(false)
    }
}

/// Client of the control thread; every call has a time limit.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    client: ControlApiClient,
    leaving: CancellationToken,
}

/// Error of a call that the control thread did not answer in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

impl ControlHandle {
    /// Opens the in-process transport. The server end runs on `runtime`.
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

    /// Completes when the node stops taking new work, whether by a signal, an operator or the VM list.
    pub async fn wait_until_leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// Returns the state of the node.
    pub async fn status(&self, timeout: Duration) -> Result<NodeStatus, NoAnswer> {
        let answer = self
            .client
            .status(Self::context_with_timeout(timeout))
            .await;
        answer.ok().flatten().ok_or(NoAnswer)
    }

    /// Returns the configuration record in force; `None` before the first.
    pub async fn config(&self, timeout: Duration) -> Result<Option<ConfigRecord>, NoAnswer> {
        let answer = self
            .client
            .config(Self::context_with_timeout(timeout))
            .await;
        answer.map_err(|_late| NoAnswer)
    }

    /// Writes a configuration if the version in force is `if_version`.
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

    /// Returns the last `limit` accepted configurations, newest first.
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

    /// Stops new work on an engine, or reopens the engine if `is_drained` is false.
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

    /// Takes the node out of service; requests in flight go on.
    pub async fn leave(&self, timeout: Duration) -> Result<(), NoAnswer> {
        let answer = self.client.leave(Self::context_with_timeout(timeout)).await;
        answer.map_err(|_late| NoAnswer)
    }

    /// Hands over the zone authority and removes the node from the router list. Returns when both are done
    /// or their time limits are over, and whether the node is known to be removed from the list.
    pub async fn resign(&self, timeout: Duration) -> Result<bool, NoAnswer> {
        let answer = self
            .client
            .resign(Self::context_with_timeout(timeout))
            .await;
        answer.map_err(|_late| NoAnswer)
    }
}
