//! Command-line client of the administration API.
//!
//! Each command talks to at most one node. Agreement between nodes is left to the nodes and the
//! platform, so a failed command has changed nothing, unless its error says that the outcome is
//! unknown.

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod output;

pub use error::Error;
