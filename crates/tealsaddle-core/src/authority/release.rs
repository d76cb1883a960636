//! Copies of orders that may still arrive.
//!
//! A process that was paused between its last check and the send delivers an old order when it
//! resumes. While that is possible, the process is in the `unreleased` list of the engine, and no
//! different order is started there. The process is removed from the list when it reports that it
//! has nothing left to send, or when it has stopped and [`TRANSIT_BOUND_US`] has passed since.

use tealsaddle_schema::record::{EngineEntry, ProcessId, RouterEntry, Unreleased, ZoneRecord};

use crate::name::Name;

/// Time after which an order that was sent is either delivered or lost.
///
/// Connections for orders use a TCP user timeout of 10 s; the other 10 s allow for an engine that
/// reads a received order late.
pub const TRANSIT_BOUND_US: u64 = 20_000_000;

/// Adds a process to the unreleased list of an engine, with its address from the router list,
/// unless it is in the list for this order already.
pub(super) fn add_unreleased(
    entry: &mut EngineEntry,
    order_id: &str,
    process: &ProcessId,
    routers: &[RouterEntry],
) {
    let is_listed = entry
        .unreleased
        .iter()
        .any(|u| u.order_id == order_id && u.process.as_ref() == Some(process));
    if is_listed {
        return;
    }
    let address = routers
        .iter()
        .find(|router| router.process.as_ref() == Some(process))
        .map_or_else(String::new, |router| router.address.clone());
    entry.unreleased.push(Unreleased {
        order_id: order_id.to_owned(),
        process: Some(process.clone()),
        address,
    });
}

/// Removes the entries of `process` from the unreleased lists of engines at which none of its
/// copies can arrive any more. Returns whether any entry was removed.
pub fn release_own_entries<F>(record: &mut ZoneRecord, process: &ProcessId, may_arrive: F) -> bool
where
    F: Fn(&str) -> bool,
{
    remove_unreleased(record, |engine, unreleased| {
        unreleased.process.as_ref() == Some(process) && !may_arrive(engine)
    })
}

/// Returns whether a process is in the unreleased list of any engine.
pub fn is_unreleased(record: &ZoneRecord, process: &ProcessId) -> bool {
    let mut all = record.engines.iter().flat_map(|entry| &entry.unreleased);
    all.any(|unreleased| unreleased.process.as_ref() == Some(process))
}

/// Removes the entries for which `is_released` returns true, given the engine and the entry.
/// Returns whether any entry was removed.
pub fn remove_unreleased<F>(record: &mut ZoneRecord, is_released: F) -> bool
where
    F: Fn(&str, &Unreleased) -> bool,
{
    let mut has_changed = false;
    for entry in &mut record.engines {
        let engine = &entry.engine;
        let before = entry.unreleased.len();
        entry.unreleased.retain(|u| !is_released(engine, u));
        has_changed |= entry.unreleased.len() != before;
    }
    has_changed
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingSend {
    id: u64,
    engine: Name,
    order_id: String,
    /// Time since when the outcome is unknown; `None` while the send is in progress.
    unanswered_since_us: Option<u64>,
}

/// Orders that this process has sent or is about to send and that may still arrive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingSends {
    next_id: u64,
    sends: Vec<PendingSend>,
}

impl PendingSends {
    /// Registers a send before its action is returned. Returns the id of the send.
    pub fn begin(&mut self, engine: &Name, order_id: &str) -> u64 {
        self.next_id += 1;
        self.sends.push(PendingSend {
            id: self.next_id,
            engine: Name::clone(engine),
            order_id: order_id.to_owned(),
            unanswered_since_us: None,
        });
        self.next_id
    }

    /// Removes a send that the engine answered or that certainly did not start. Returns its engine.
    ///
    /// Has no effect once the outcome was marked as unknown, since the answer may be to another
    /// copy.
    pub fn end(&mut self, id: u64) -> Option<Name> {
        let is_ended = |send: &PendingSend| send.id == id && send.unanswered_since_us.is_none();
        let index = self.sends.iter().position(is_ended)?;
        Some(self.sends.remove(index).engine)
    }

    /// Marks the outcome of a send as unknown. Returns its engine.
    pub fn mark_unanswered(&mut self, id: u64, now_us: u64) -> Option<Name> {
        let send = self.sends.iter_mut().find(|send| send.id == id)?;
        send.unanswered_since_us.get_or_insert(now_us);
        Some(Name::clone(&send.engine))
    }

    /// Removes the sends whose copies can no longer arrive.
    pub fn expire(&mut self, now_us: u64) {
        self.sends.retain(|send| {
            send.unanswered_since_us
                .is_none_or(|at_us| now_us < at_us + TRANSIT_BOUND_US)
        });
    }

    /// Returns whether a copy of an order may still reach the engine.
    pub fn may_arrive(&self, engine: &str) -> bool {
        self.sends.iter().any(|send| &*send.engine == engine)
    }

    /// Returns whether a send to the engine is in progress.
    pub fn is_sending(&self, engine: &str) -> bool {
        self.sends
            .iter()
            .any(|send| &*send.engine == engine && send.unanswered_since_us.is_none())
    }

    /// Returns whether no copy of any order can arrive.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns the engine and the order id of a send that is in progress.
    pub fn in_progress(&self, id: u64) -> Option<(&str, &str)> {
        self.sends
            .iter()
            .find(|send| send.id == id && send.unanswered_since_us.is_none())
            .map(|send| (&*send.engine, send.order_id.as_str()))
    }
}
