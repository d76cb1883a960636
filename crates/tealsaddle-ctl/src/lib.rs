//! Command line for operators, over the administration API.
//!
//! Every command is one exchange with one node. What must be agreed is decided by the nodes and the
//! platform; this program only shows it, so that a command that fails has changed nothing unless its
//! message says that the outcome is not known.

pub mod args;
pub mod client;
pub mod command;
pub mod error;
pub mod output;

pub use error::Error;
