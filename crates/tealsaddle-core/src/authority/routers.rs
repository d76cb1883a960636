//! The router list of the zone record: the processes that may send requests to engines of the zone.
//!
//! A drain waits for a report from each of these processes, so an entry is removed only when its
//! process has certainly stopped routing. Only the holder changes the list, by a compare-and-swap
//! write of the record. The transition to phase `issuing` checks the drain proof against the list,
//! and its write compares the record's version, so it cannot miss a router that was added during
//! the drain.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

/// Returns the process that is listed at `address`.
pub fn at_address<'a>(record: &'a ZoneRecord, address: &str) -> Option<&'a ProcessId> {
    let router = record.routers.iter().find(|r| r.address == address)?;
    router.process.as_ref()
}

/// Returns whether `process` is in the router list and so may route.
pub fn is_registered(record: &ZoneRecord, process: &ProcessId) -> bool {
    record
        .routers
        .iter()
        .any(|router| router.process.as_ref() == Some(process))
}

/// Adds a router, replacing an older process with the same address.
///
/// The caller must know that the older process has stopped: the newer one answered at the address
/// after both had been started.
pub fn register(record: &mut ZoneRecord, router: RouterEntry) {
    record
        .routers
        .retain(|r| r.address != router.address && r.process != router.process);
    record.routers.push(router);
}

/// Removes a process that no longer routes. Returns whether it was listed.
pub fn remove(record: &mut ZoneRecord, process: &ProcessId) -> bool {
    let before = record.routers.len();
    record
        .routers
        .retain(|r| r.process.as_ref() != Some(process));
    record.routers.len() != before
}

/// Removes the processes for which `is_stopped` returns true.
pub fn remove_stopped<F>(record: &mut ZoneRecord, is_stopped: F)
where
    F: Fn(&ProcessId) -> bool,
{
    record
        .routers
        .retain(|r| !r.process.as_ref().is_some_and(&is_stopped));
}
