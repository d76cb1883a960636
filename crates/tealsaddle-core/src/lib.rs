//! Decisions of tealsaddle, without I/O.
//!
//! Everything that chooses, limits, retries, governs or recovers stands in this package. It reads no
//! clock, opens no socket and draws no random number of its own: an event and a time go in, a choice
//! or a list of actions comes out. The same code therefore runs in the node, in tests with a fixed
//! seed and under the model checker.
//!
//! Times are `now_us`, microseconds of a clock that counts suspended time, so that a process that was
//! paused sees how long it was away.

pub mod admission;
pub mod authority;
pub mod claim;
pub mod collections;
pub mod decision;
pub mod drain;
pub mod error;
pub mod fleet;
pub mod inventory;
pub mod load;
pub mod member;
pub mod name;
pub mod planner;
pub mod prefix;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod stream;

pub use error::Error;
