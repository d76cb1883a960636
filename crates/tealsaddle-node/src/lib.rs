//! The tealsaddle entry node.
//!
//! A node routes requests from callers to engines and other targets. Its traffic threads serve
//! callers and read an immutable snapshot of the control state. A single control thread owns that
//! state, communicates with the platform and the peers, and publishes new snapshots. The decision
//! logic is in `tealsaddle-core`, free of clocks and I/O; this package provides the clocks, the
//! sockets and the threads.

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
