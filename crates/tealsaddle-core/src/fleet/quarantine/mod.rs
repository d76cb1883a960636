//! Quarantine of prompt parts that crash runners.
//!
//! A part may crash each runner that begins an answer on it. A crash ends many requests at once, and a node
//! sees only its own, so the cause follows from several crashes: a part whose requests were lost with their
//! runners one after the other, without one that survived in between. [`accounts`] counts these losses,
//! [`survivals`] records which parts have survived at a node, and [`list`] keeps the quarantined parts and the
//! times at which one of their requests may be tried.

pub mod accounts;
pub mod list;
pub mod survivals;

use crate::name::Name;

/// A shared prompt part at a service. A part that crashes the runners of one service may be sound at another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// Service whose runners answer the requests.
    pub service: Name,
    /// Id of the part.
    pub part: u64,
}

impl PartKey {
    /// Creates the key of a part at a service.
    pub fn new(service: &Name, part: u64) -> Self {
        Self {
            service: Name::clone(service),
            part,
        }
    }
}

/// Time after its first event at which a stream has survived. Until then the loss of its runner counts
/// against its parts.
pub const SURVIVAL_US: u64 = 500_000;
