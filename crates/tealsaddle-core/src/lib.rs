//! Decision logic of tealsaddle, without I/O.
//!
//! This crate contains admission, routing, retries, planning, drains, leases and recovery. It reads
//! no clock, opens no socket and seeds no random number generator: callers pass in events, the
//! current time and, for routing, a generator, and the functions return a choice or a list of
//! actions. The same code therefore runs in the node, in tests with a fixed seed and in the model
//! checker.
//!
//! Times named `now_us` are microseconds of a clock that includes suspended time, so that a process
//! can tell how long it was paused.

pub mod admission;
pub mod arrivals;
pub mod authority;
pub mod claim;
pub mod collections;
pub mod decaying_rate;
pub mod decision;
pub mod digest;
pub mod drain;
pub mod error;
pub mod fleet;
pub mod inventory;
pub mod load;
pub mod max_min;
pub mod member;
pub mod name;
pub mod planner;
pub mod prefix;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod stream;

pub use error::Error;
