//! Calls between nodes.
//!
//! The server hands every message to the control thread and waits for its answer; it judges nothing
//! itself. Messages are bounded in size, and those that cannot be decoded or that the control thread
//! refuses are counted.

pub mod client;
pub mod server;

/// Largest message; a configuration record goes up to 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
