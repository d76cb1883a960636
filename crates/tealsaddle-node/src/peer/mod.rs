//! Calls between nodes.
//!
//! The server passes every message to the control thread and waits for the answer; all checks of the
//! content are made there. Messages have a maximum size. Messages that cannot be decoded or that the
//! control thread refuses are counted.

pub mod client;
pub mod server;

/// Maximum size of a message; a configuration record can be 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;
