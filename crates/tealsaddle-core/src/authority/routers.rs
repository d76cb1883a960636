//! The router list of the zone record: the processes that may send work to engines of the zone.
//!
//! A drain asks exactly these processes, so an entry goes only when its process has certainly stopped
//! routing. Only the holder changes the list, in a compare-and-swap write of the record; a router that
//! is added while a drain runs is therefore in the record that the write of `issuing` compares.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

/// The process that is listed at an address.
pub fn at_address<'a>(record: &'a ZoneRecord, address: &str) -> Option<&'a ProcessId> {
    let router = record.routers.iter().find(|r| r.address == address)?;
    router.process.as_ref()
}

/// Whether a process may route.
pub fn is_registered(record: &ZoneRecord, process: &ProcessId) -> bool {
    record
        .routers
        .iter()
        .any(|router| router.process.as_ref() == Some(process))
}

/// Adds a process in place of an older one with the same address.
///
/// The caller has made sure that the older process is gone: the newer one was seen to answer at the
/// address while both were known to have been started.
pub fn register(record: &mut ZoneRecord, router: RouterEntry) {
    record
        .routers
        .retain(|r| r.address != router.address && r.process != router.process);
    record.routers.push(router);
}

/// Removes a process that routes no more; says whether it was listed.
pub fn remove(record: &mut ZoneRecord, process: &ProcessId) -> bool {
    let before = record.routers.len();
    record
        .routers
        .retain(|r| r.process.as_ref() != Some(process));
    record.routers.len() != before
}

/// Removes the processes of VMs that are gone.
pub fn remove_gone<F>(record: &mut ZoneRecord, is_gone: F)
where
    F: Fn(&ProcessId) -> bool,
{
    record
        .routers
        .retain(|r| !r.process.as_ref().is_some_and(&is_gone));
}
