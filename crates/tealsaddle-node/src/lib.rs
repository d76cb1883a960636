//! The tealsaddle entry node.
//!
//! A node stands between callers and targets. Its traffic threads serve callers on an immutable
//! snapshot of control state; one control thread owns that state, talks to the platform and to the
//! peers, and publishes the next snapshot. The decisions themselves come from `tealsaddle-core`; this
//! package gives them time, sockets and a place in the process.

pub mod admin;
pub mod caller;
pub mod control;
pub mod engine;
pub mod error;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod traffic;

pub use error::Error;
pub use tealsaddle_gateway::clock;
