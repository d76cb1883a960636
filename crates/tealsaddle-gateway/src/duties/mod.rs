//! Duties that one node at a time has toward the platform, such as reports of usage.
//!
//! The node with the authority to send stage orders performs them, see [`crate::orders`]. It publishes its term here, and a
//! duty acts only within it. Before each call to the platform the duty records what it is about to send, on condition that
//! the holder's key is unchanged, and then asks [`TermWatch::may_send`]: a node that has lost the authority finds out before
//! it acts, and a call that is late in transit is over before a successor begins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tealsaddle_core::fleet::fence::HolderPosition;
use tealsaddle_core::fleet::lease::Authority;
use tealsaddle_core::fleet::store_era::{self, EraCheck};
use tokio::sync::watch;

use crate::clock;
use crate::control::Control;
use crate::external::KeyRevision;
use crate::orders::holder_at;

/// Settings of the duties; absent on platforms without any.
#[derive(Debug, Clone, PartialEq)]
pub struct DutyConfig {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Calls a second that the platform takes from all nodes together.
    pub calls_per_s: f64,
    /// Settings of the usage reports; `None` if the platform asks for none.
    pub usage: Option<UsageConfig>,
    /// Whether the platform takes orders for numbers of runners.
    pub has_sizing: bool,
}

/// Settings of the usage reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageConfig {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub due_after: Duration,
}

/// The time in which this node performs the duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTerm {
    authority: Authority,
    key: HolderPosition,
}

impl DutyTerm {
    /// The term of a holder whose key is at this position.
    pub const fn new(authority: Authority, key: HolderPosition) -> Self {
        Self { authority, key }
    }

    /// Fencing token of the holder. It rises with each holder.
    pub const fn fence(&self) -> u64 {
        self.authority.fence
    }

    /// The condition that this node is still the holder, for the transaction that records what is about to be sent.
    pub fn condition(&self) -> KeyRevision {
        holder_at(self.key.revision)
    }
}

/// Follows the term of this node.
#[derive(Debug, Clone)]
pub struct TermWatch {
    control: Arc<Control>,
    term: watch::Receiver<Option<DutyTerm>>,
}

impl TermWatch {
    /// Follows the term that the orders publish.
    pub const fn new(control: Arc<Control>, term: watch::Receiver<Option<DutyTerm>>) -> Self {
        Self { control, term }
    }

    /// The term, if this node may act now: it holds the authority, its predecessor's calls have arrived, and it is not
    /// stopping.
    pub fn current(&self) -> Option<DutyTerm> {
        let term = (*self.term.borrow())?;
        let may_act = term.authority.may_order(clock::now_us());
        (may_act && self.is_of_current_era(&term) && !self.control.gateway.is_stopping())
            .then_some(term)
    }

    /// Whether a call may be sent whose record was written by a call to the store sent at `recorded_us`.
    pub fn may_send(&self, term: &DutyTerm, recorded_us: u64) -> bool {
        let is_same = self
            .current()
            .is_some_and(|now| now.fence() == term.fence());
        is_same && term.authority.may_send(recorded_us, clock::now_us())
    }

    /// Records that the key of the holder is not as the term has it, so that the authority is given up and acquired again.
    pub fn on_conflict(&self, term: &DutyTerm) {
        let lost = &self.control.lost_term;
        lost.store(term.fence(), Ordering::Relaxed);
    }

    fn is_of_current_era(&self, term: &DutyTerm) -> bool {
        store_era::check(term.key.era, self.control.store.era()) != EraCheck::Later
    }
}
