//! Quarantine of prompt parts and requests that crash runners.
//!
//! A part may crash each runner that begins an answer on it. A crash ends many requests at once, and a node
//! sees only its own, so the cause follows from several crashes: a part whose requests were lost with their
//! runners one after the other, without one that survived in between. A whole request may do the same and come
//! again; a [`subject`] is either. [`accounts`] counts these losses,
//! [`survivals`] records which parts have survived at a node, and [`list`] keeps the quarantined parts and the
//! times at which one of their requests may be tried.

pub mod accounts;
pub mod list;
pub mod subject;
pub mod survivals;

/// Time after its first event at which a stream has survived. Until then the loss of its runner counts
/// against its parts.
pub const SURVIVAL_US: u64 = 500_000;
