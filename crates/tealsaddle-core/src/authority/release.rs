//! Copies of orders that may still arrive.
//!
//! A process that was paused between its last check and the send delivers an old order when it
//! resumes. As long as that is possible the process stands in the `unreleased` list of the engine,
//! and no different order is begun there. It leaves the list when it says itself that it has nothing
//! left to send, or when it is gone and [`TRANSIT_BOUND_US`] has passed.

use tealsaddle_schema::record::{EngineEntry, ProcessId, RouterEntry, Unreleased, ZoneRecord};

use crate::name::Name;

/// Time after which an order that has left its process is delivered or lost.
///
/// Order connections use a TCP user timeout of 10 s; the other 10 s allow for an engine that reads a
/// received order late.
pub const TRANSIT_BOUND_US: u64 = 20_000_000;

/// Adds a process to the unreleased list of an engine, with its address from the router list.
pub(super) fn record_unreleased(
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

/// Removes the own entries of `me` where none of its copies can arrive any more; says whether there
/// were any.
pub fn release_own_entries<F>(record: &mut ZoneRecord, me: &ProcessId, may_arrive: F) -> bool
where
    F: Fn(&str) -> bool,
{
    remove_unreleased(record, |engine, unreleased| {
        unreleased.process.as_ref() == Some(me) && !may_arrive(engine)
    })
}

/// Whether a process stands in the unreleased list of any engine.
pub fn is_unreleased(record: &ZoneRecord, process: &ProcessId) -> bool {
    let mut all = record.engines.iter().flat_map(|entry| &entry.unreleased);
    all.any(|unreleased| unreleased.process.as_ref() == Some(process))
}

/// Removes the entries for which `is_over` holds, given the engine and the entry; says whether there
/// were any.
pub fn remove_unreleased<F>(record: &mut ZoneRecord, is_over: F) -> bool
where
    F: Fn(&str, &Unreleased) -> bool,
{
    let mut has_changed = false;
    for entry in &mut record.engines {
        let engine = &entry.engine;
        let before = entry.unreleased.len();
        entry.unreleased.retain(|u| !is_over(engine, u));
        has_changed |= entry.unreleased.len() != before;
    }
    has_changed
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Send {
    id: u64,
    engine: Name,
    order_id: String,
    /// When the answer was given up; `None` while the send is going on.
    given_up_at_us: Option<u64>,
}

/// Orders that this process has sent, or is about to send, and that may still arrive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingSends {
    next_id: u64,
    sends: Vec<Send>,
}

impl PendingSends {
    /// Notes a send before its action is given out.
    pub fn begin(&mut self, engine: &Name, order_id: &str) -> u64 {
        self.next_id += 1;
        self.sends.push(Send {
            id: self.next_id,
            engine: Name::clone(engine),
            order_id: order_id.to_owned(),
            given_up_at_us: None,
        });
        self.next_id
    }

    /// Ends a send that was answered, or that certainly did not leave; names its engine.
    ///
    /// An answer after the send was given up changes nothing, since it may be to another copy.
    pub fn end(&mut self, id: u64) -> Option<Name> {
        let is_ended = |send: &Send| send.id == id && send.given_up_at_us.is_none();
        let index = self.sends.iter().position(is_ended)?;
        Some(self.sends.remove(index).engine)
    }

    /// Notes that the answer to a send is unknown; names its engine.
    pub fn mark_unanswered(&mut self, id: u64, now_us: u64) -> Option<Name> {
        let send = self.sends.iter_mut().find(|send| send.id == id)?;
        send.given_up_at_us.get_or_insert(now_us);
        Some(Name::clone(&send.engine))
    }

    /// Forgets the copies that can no longer arrive.
    pub fn expire(&mut self, now_us: u64) {
        self.sends.retain(|send| {
            send.given_up_at_us
                .is_none_or(|at_us| now_us < at_us + TRANSIT_BOUND_US)
        });
    }

    /// Whether a copy may still reach the engine.
    pub fn may_arrive(&self, engine: &str) -> bool {
        self.sends.iter().any(|send| &*send.engine == engine)
    }

    /// Whether a send to the engine is going on.
    pub fn is_sending(&self, engine: &str) -> bool {
        self.sends
            .iter()
            .any(|send| &*send.engine == engine && send.given_up_at_us.is_none())
    }

    /// Whether no copy of any order can arrive.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Order and engine of a send that is going on.
    pub fn in_progress(&self, id: u64) -> Option<(&str, &str)> {
        self.sends
            .iter()
            .find(|send| send.id == id && send.given_up_at_us.is_none())
            .map(|send| (&*send.engine, send.order_id.as_str()))
    }
}
