//! Budget for what a node holds for its callers, and the choice of who is dropped when it is used up.
//!
//! Each connection of a caller holds bytes: its buffers, the body of its request and the part of an answer that it has not
//! read. While the sum is within the budget, no request is refused. Beyond it, connections that hold more than an equal share
//! are dropped, first those that hold the most for what they have moved in the last moments. A connection whose request
//! has been sent to a runner is dropped only if no other holds more than an equal share, since what has run is lost with
//! it. The sum stays within the budget, as one of the connections holds at least an equal share.

use crate::collections::HashMap;

/// Time in which the weight of moved bytes halves. With 1 s, a body that had just stopped counted as moving while others
/// arrived, and these were dropped in its place.
const HALF_LIFE_US: f64 = 200e3;
/// Added to the bytes moved lately, so that connections that have moved nothing are compared by what they hold.
const MOVED_OFFSET_BYTES: f64 = 4_096.0;

/// One in this many connections is reserved for new ones while requests of all others run.
const RESERVED_DIVISOR: usize = 4;

/// Limits of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBudgetLimits {
    /// Bytes that all connections hold together.
    pub held_bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// What follows from a new connection.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Admission {
    /// Connections that are dropped at once. It may be the new one.
    pub dropped: Vec<u64>,
    /// A connection that closes after the answer to its request.
    pub closes_after_answer: Option<u64>,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerPhase {
    /// It waits for a request, or its answer is under way without a runner.
    Waiting,
    /// The body of a request arrives.
    Receiving,
    /// A request has been sent to a runner, or is about to be.
    Running,
    /// The caller does not read an answer.
    Unread,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    phase: CallerPhase,
    /// Whether it closes after the answer to its request.
    is_closing: bool,
    /// Bytes moved, with a weight that halves by [`HALF_LIFE_US`], as of `moved_us`.
    moved_bytes: f64,
    moved_us: u64,
}

impl Holder {
    fn moved_lately(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.moved_us) as f64;
        self.moved_bytes * (-age_us / HALF_LIFE_US).exp2()
    }

    /// How much it holds for what it moves; the largest is dropped first.
    fn burden(&self, now_us: u64) -> f64 {
        self.bytes as f64 / (self.moved_lately(now_us) + MOVED_OFFSET_BYTES)
    }
}

/// State of the budget. Connections are named by ids that are used once.
#[derive(Debug)]
pub struct CallerBudget {
    limits: CallerBudgetLimits,
    holders: HashMap<u64, Holder>,
    held_bytes: usize,
}

impl CallerBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: CallerBudgetLimits) -> Self {
        Self {
            limits,
            holders: HashMap::default(),
            held_bytes: 0,
        }
    }

    /// The limits of the node.
    pub const fn limits(&self) -> CallerBudgetLimits {
        self.limits
    }

    /// Sum of what all connections hold.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Number of connections that are not dropped.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Adds a connection.
    ///
    /// Near the largest number, the connection that has been idle for the longest time is dropped for it. If requests of
    /// all connections run, the oldest one closes after its answer, so that callers who always have a request under way do
    /// not keep others out; the last quarter of the connections bridges the time until then.
    pub fn connect(&mut self, id: u64, bytes: usize, now_us: u64) -> Admission {
        let mut admission = Admission::default();
        let most = self.limits.connections;
        if self.holders.len() >= most - most / RESERVED_DIVISOR {
            match self.longest_idle() {
                Some(idle) => {
                    self.release(idle);
                    admission.dropped.push(idle);
                }
                None if self.holders.len() >= most => {
                    admission.dropped.push(id);
                    return admission;
                }
                None => admission.closes_after_answer = self.close_oldest(),
            }
        }
        let holder = Holder {
            bytes: 0,
            phase: CallerPhase::Waiting,
            is_closing: false,
            moved_bytes: 0.0,
            moved_us: now_us,
        };
        self.holders.insert(id, holder);
        admission.dropped.extend(self.hold(id, bytes, now_us));
        admission
    }

    /// Marks the oldest connection that is not marked yet.
    fn close_oldest(&mut self) -> Option<u64> {
        let open = self.holders.iter_mut().filter(|(_id, h)| !h.is_closing);
        let (id, holder) = open.min_by_key(|(id, _holder)| **id)?;
        holder.is_closing = true;
        Some(*id)
    }

    /// The connection without a request at a runner that has not moved a byte for the longest time; one that receives a
    /// body only if no other is left.
    fn longest_idle(&self) -> Option<u64> {
        let not_running = self.holders.iter();
        let not_running = not_running.filter(|(_id, h)| h.phase != CallerPhase::Running);
        let key = |holder: &Holder| (holder.phase == CallerPhase::Receiving, holder.moved_us);
        let longest_idle = not_running.min_by_key(|(id, holder)| (key(holder), **id));
        longest_idle.map(|(id, _holder)| *id)
    }

    /// Sets how many bytes a connection holds, and returns the connections that are dropped for it, which may be this one.
    pub fn hold(&mut self, id: u64, bytes: usize, now_us: u64) -> Vec<u64> {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Vec::new();
        };
        self.held_bytes = self.held_bytes - holder.bytes + bytes;
        holder.bytes = bytes;
        let mut dropped = Vec::new();
        while self.held_bytes > self.limits.held_bytes
            && let Some(id) = self.heaviest(now_us)
        {
            self.release(id);
            dropped.push(id);
        }
        dropped
    }

    /// The connection with the largest burden among those above an equal share.
    fn heaviest(&self, now_us: u64) -> Option<u64> {
        let equal_share = self.limits.held_bytes / self.holders.len().max(1);
        let above = || self.holders.iter().filter(|(_id, h)| h.bytes > equal_share);
        let heaviest = |is_running: bool| {
            let candidates =
                above().filter(|(_id, h)| (h.phase == CallerPhase::Running) == is_running);
            let burden = |holder: &Holder| holder.burden(now_us);
            let heaviest = candidates
                .max_by(|(id, a), (other, b)| burden(a).total_cmp(&burden(b)).then(other.cmp(id)));
            heaviest.map(|(id, _holder)| *id)
        };
        heaviest(false).or_else(|| heaviest(true))
    }

    /// Records bytes that a connection has moved in either direction.
    pub fn on_moved(&mut self, id: u64, bytes: usize, now_us: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved_bytes = holder.moved_lately(now_us) + bytes as f64;
            holder.moved_us = now_us;
        }
    }

    /// Sets what a connection does; returns whether it is still there.
    pub fn set_phase(&mut self, id: u64, phase: CallerPhase) -> bool {
        let holder = self.holders.get_mut(&id);
        holder.map(|holder| holder.phase = phase).is_some()
    }

    /// Removes a connection.
    pub fn release(&mut self, id: u64) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held_bytes -= holder.bytes;
        }
    }
}
