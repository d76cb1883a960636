//! What the control thread reacts to.

use tealsaddle_schema::record::ConfigRecord;
use tokio::sync::oneshot;

use super::api::{DrainReply, NodeStatus};
use super::config_write::{ConfigHistory, ConfigWrite};

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
        reply: oneshot::Sender<ConfigWrite>,
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
    /// A configuration was written here or pulled from a peer.
    ConfigOffered(ConfigRecord),
    /// An operator drains an engine or opens it.
    DrainEngine {
        /// Name of the engine.
        engine: String,
        /// Whether it is to be drained.
        is_drained: bool,
        /// Where the result goes.
        reply: oneshot::Sender<DrainReply>,
    },
    /// The node is to take no new work.
    Leave,
    /// The node has no requests left and leaves the router list.
    Resign(oneshot::Sender<()>),
}
