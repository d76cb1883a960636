//! Events that the control thread handles.

use std::net::SocketAddr;

use tealsaddle_core::authority;
use tealsaddle_core::name::Name;
use tealsaddle_schema::peer::{
    DrainReply, DrainRequest, HeartbeatReply, HeartbeatRequest, RegisterReply, RegisterRequest,
};
use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::oneshot;
use tonic::Status;

use super::api::{DrainOutcome, NodeStatus};
use super::config_write::{ConfigHistory, ConfigWriteOutcome};
use crate::engine::orders::{EngineLoadAnswer, OrderConnection, OrderMessage};
use crate::platform::Vm;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// The administration API requests the state of the node.
    Status(oneshot::Sender<NodeStatus>),
    /// An operator or a peer requests the configuration in force.
    Config(oneshot::Sender<Option<ConfigRecord>>),
    /// An operator changes the configuration.
    PutConfig {
        /// Version that the change is based on.
        if_version: u64,
        /// Operator who makes the change.
        author: String,
        /// The configuration as YAML text.
        yaml: String,
        /// Receives the outcome.
        reply: oneshot::Sender<ConfigWriteOutcome>,
    },
    /// An operator requests the last configurations.
    ConfigHistory {
        /// Maximum number of versions.
        limit: u64,
        /// Receives the configurations.
        reply: oneshot::Sender<ConfigHistory>,
    },
    /// A read of the configuration from the platform ended; `None` if it failed.
    ConfigRead(Option<ConfigRecord>),
    /// This node has written a configuration for an operator.
    ConfigWritten(ConfigRecord),
    /// A pull of a configuration ended; `None` if the peer had none or did not answer.
    ConfigPulled(Option<ConfigRecord>),
    /// After a pause, the platform has answered or the time limit is over.
    Refreshed {
        /// Time at which the refresh began.
        requested_at_us: u64,
    },
    /// An operator drains or reopens an engine.
    DrainEngine {
        /// Name of the engine.
        engine: String,
        /// Whether the engine is to be drained; false reopens it.
        is_drained: bool,
        /// Receives the outcome.
        reply: oneshot::Sender<DrainOutcome>,
    },
    /// A signal or an operator takes the node out of service.
    Leave,
    /// The node has completed its requests and is to leave the router list.
    Resign(oneshot::Sender<bool>),
    /// A peer sent a heartbeat.
    PeerHeartbeat {
        /// State of the peer.
        request: Box<HeartbeatRequest>,
        /// Receives the answer to the peer.
        reply: oneshot::Sender<Result<HeartbeatReply, Status>>,
    },
    /// A process requests its entry in the router list.
    PeerRegister {
        /// Identity and address of the process.
        request: RegisterRequest,
        /// Receives the answer to the peer.
        reply: oneshot::Sender<Result<RegisterReply, Status>>,
    },
    /// A process requests the removal of its entry from the router list.
    PeerResign {
        /// Identity and address of the process.
        request: RegisterRequest,
        /// Receives the answer to the peer.
        reply: oneshot::Sender<Result<RegisterReply, Status>>,
    },
    /// A peer forwards an operator's drain to this node as the holder.
    PeerDrain {
        /// Engine to drain or reopen.
        request: DrainRequest,
        /// Receives the answer to the peer.
        reply: oneshot::Sender<Result<DrainReply, Status>>,
    },
    /// A heartbeat of this node was answered or failed.
    HeartbeatDone {
        /// Time at which the heartbeat was sent.
        requested_at_us: u64,
        /// Peer address that was called.
        address: SocketAddr,
        /// Answer of the peer, or the error of the call.
        result: Result<Box<HeartbeatReply>, Status>,
    },
    /// A read of the VM list ended; `None` if it failed.
    VmsRead(Option<Vec<Vm>>),
    /// A poll of an engine's load ended.
    LoadRead {
        /// Name of the engine.
        engine: Name,
        /// Time at which the poll was sent.
        requested_at_us: u64,
        /// Answer of the engine; `None` if it gave no usable answer.
        answer: Option<EngineLoadAnswer>,
    },
    /// A registration request of this node ended.
    RegisterDone {
        /// Answer of the holder; `None` if the call failed.
        result: Option<Box<RegisterReply>>,
    },
    /// A resignation request of this node ended.
    ResignDone {
        /// Whether the holder confirmed that the router list no longer has this process.
        is_accepted: bool,
    },
    /// The attempt to open a connection for an order ended.
    OrderConnected {
        /// Id that the authority state machine gave to this send.
        send: u64,
        /// The order to send.
        order: OrderMessage,
        /// The open connection; `None` if it could not be opened.
        connection: Option<OrderConnection>,
    },
    /// An event for the authority state machine.
    Authority(authority::Event),
}
