//! What the control thread reacts to.

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
    /// Someone asks for the state of the node.
    Status(oneshot::Sender<NodeStatus>),
    /// Someone asks for the configuration in force.
    Config(oneshot::Sender<Option<ConfigRecord>>),
    /// An operator changes the configuration.
    PutConfig {
        /// Version that the change is based on.
        if_version: u64,
        /// The operator.
        author: String,
        /// The configuration.
        yaml: String,
        /// Where the result goes.
        reply: oneshot::Sender<ConfigWriteOutcome>,
    },
    /// An operator asks for the last configurations.
    ConfigHistory {
        /// Number of versions at most.
        limit: u64,
        /// Where the result goes.
        reply: oneshot::Sender<ConfigHistory>,
    },
    /// The platform was asked for the configuration; `None` when it did not answer.
    ConfigRead(Option<ConfigRecord>),
    /// A configuration was written here.
    ConfigWritten(ConfigRecord),
    /// A pull of a configuration ended; `None` when the peer had none or did not answer.
    ConfigPulled(Option<ConfigRecord>),
    /// After a pause the platform or a peer has answered, or the wait is over.
    Refreshed {
        /// Time of the question.
        requested_at_us: u64,
    },
    /// An operator drains an engine or opens it.
    DrainEngine {
        /// Name of the engine.
        engine: String,
        /// Whether it is to be drained.
        is_drained: bool,
        /// Where the result goes.
        reply: oneshot::Sender<DrainOutcome>,
    },
    /// The node is to take no new work.
    Leave,
    /// The node has no requests left and leaves the router list.
    Resign(oneshot::Sender<()>),
    /// A peer sent its state.
    PeerHeartbeat {
        /// The message.
        request: Box<HeartbeatRequest>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<HeartbeatReply, Status>>,
    },
    /// A process asks to be written into the router list.
    PeerRegister {
        /// The message.
        request: RegisterRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<RegisterReply, Status>>,
    },
    /// A process leaves the router list.
    PeerResign {
        /// The message.
        request: RegisterRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<RegisterReply, Status>>,
    },
    /// A node passes an operator's drain on to the holder.
    PeerDrain {
        /// The message.
        request: DrainRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<DrainReply, Status>>,
    },
    /// An own heartbeat was answered or failed.
    HeartbeatDone {
        /// Time of the call.
        requested_at_us: u64,
        /// Address that was called.
        address: SocketAddr,
        /// The answer.
        result: Result<Box<HeartbeatReply>, Status>,
    },
    /// The VM list was read; `None` when the platform did not answer.
    VmsRead(Option<Vec<Vm>>),
    /// An engine's load was read; `None` when it did not answer.
    LoadRead {
        /// Name of the engine.
        engine: Name,
        /// Time of the question.
        requested_at_us: u64,
        /// The answer.
        answer: Option<EngineLoadAnswer>,
    },
    /// The holder answered the own registration; `None` when it did not.
    RegisterDone {
        /// The answer.
        result: Option<Box<RegisterReply>>,
    },
    /// The holder answered the own resignation, or did not.
    ResignDone {
        /// Whether the router list has the process no more.
        is_accepted: bool,
    },
    /// A connection for an order is open; `None` when that failed.
    OrderConnected {
        /// Id of the send.
        send: u64,
        /// The order.
        order: OrderMessage,
        /// The connection.
        connection: Option<OrderConnection>,
    },
    /// An event for authority.
    Authority(authority::Event),
}
