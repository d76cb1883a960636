//! Proof that no request is in flight on an engine and that none can be sent to it any more.
//!
//! An order may change an engine only when nothing runs there. Load reports alone cannot show that:
//! a router may have looked at its table just before and send a moment later. So a [`Drain`] first
//! collects, from every router of the zone record, one report of zero requests in flight that was
//! counted under a table without the engine. A router never returns to an older table, therefore one
//! such report stays valid for the whole drain. After the last of them one idle sample of the engine
//! itself is needed, because a request may still wait there that its router has given up.

use displaydoc::Display;
use tealsaddle_schema::peer;
use tealsaddle_schema::record::{ProcessId, ZoneRecord};

use crate::collections::HashMap;
use crate::inventory::Role;
use crate::name::Name;

/// Version of a routing table; ordered by epoch, then sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TableVersion {
    /// Fencing token of the holder that made it.
    pub epoch: u64,
    /// Number within the epoch.
    pub sequence: u64,
}

impl From<peer::TableVersion> for TableVersion {
    fn from(version: peer::TableVersion) -> Self {
        Self {
            epoch: version.epoch,
            sequence: version.sequence,
        }
    }
}

impl From<TableVersion> for peer::TableVersion {
    fn from(version: TableVersion) -> Self {
        Self {
            epoch: version.epoch,
            sequence: version.sequence,
        }
    }
}

/// Which engines of a zone take new work, and in which role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RoutingTable {
    /// Version of the table.
    pub version: TableVersion,
    /// Engines that take new work with their roles, by name.
    pub open: Vec<(Name, Role)>,
}

impl RoutingTable {
    /// Whether a node that uses `self` may go over to `offered`.
    pub fn is_replaced_by(&self, offered: &Self) -> bool {
        offered.version > self.version
    }
}

/// What is still missing for the proof.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Blocker {
    /// router {0:?} has not reported zero requests in flight under a table without the engine
    Router(ProcessId),
    /// no idle sample of the engine after the last router's report or removal
    NoIdleSample,
}

/// The proof that an engine is drained for one order.
///
/// Only [`Drain::prove`] makes one. It names the routers that were asked, so that a router that was
/// added to the zone record afterwards is noticed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drained {
    order_id: String,
    routers: Vec<ProcessId>,
}

impl Drained {
    /// Whether the proof is for this order and covers all routers of the record.
    pub fn covers(&self, order_id: &str, record: &ZoneRecord) -> bool {
        self.order_id == order_id && processes(record).all(|router| self.routers.contains(router))
    }
}

/// Progress of draining one engine for one order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    order_id: String,
    since: TableVersion,
    /// Time of the first report of zero per router.
    clear: HashMap<ProcessId, u64>,
    /// Routers of the last record.
    listed: Vec<ProcessId>,
    /// Time at which a router was last removed without having reported zero.
    removed_at_us: Option<u64>,
    idle_sampled_at_us: Option<u64>,
}

impl Drain {
    /// Starts the proof; `since` is the first table of this epoch without the engine.
    pub fn new(order_id: impl Into<String>, since: TableVersion) -> Self {
        Self {
            order_id: order_id.into(),
            since,
            clear: HashMap::default(),
            listed: Vec::new(),
            removed_at_us: None,
            idle_sampled_at_us: None,
        }
    }

    /// The order that waits for this drain.
    pub fn order_id(&self) -> &str {
        &self.order_id
    }

    /// Takes the record that is in force.
    ///
    /// A router that was removed, because its VM is gone, may have left a request at the engine until
    /// then.
    pub fn on_record(&mut self, record: &ZoneRecord, now_us: u64) {
        if self.has_unseen_removal(record) {
            self.removed_at_us = Some(now_us);
        }
        self.listed = processes(record).cloned().collect();
    }

    /// Takes a router's report: the table in force there, and the requests in flight on this engine
    /// counted after that table came into force. Says whether it brings the proof on.
    pub fn on_router_report(
        &mut self,
        router: &ProcessId,
        table: TableVersion,
        in_flight: u32,
        now_us: u64,
    ) -> bool {
        let counts = table >= self.since && in_flight == 0 && !self.clear.contains_key(router);
        if counts {
            self.clear.insert(router.clone(), now_us);
        }
        counts
    }

    /// Takes a load report of the engine.
    ///
    /// `sampled_at_us` is the earliest time on the holder's clock at which the engine can have taken
    /// the sample, see [`sample_time_us`]. Says whether it brings the proof on.
    pub fn on_load_report(&mut self, sampled_at_us: u64, is_idle: bool) -> bool {
        let counts = is_idle && self.idle_sampled_at_us < Some(sampled_at_us);
        if counts {
            self.idle_sampled_at_us = Some(sampled_at_us);
        }
        counts
    }

    /// Proves the drain for the routers of a record, or names what is missing.
    pub fn prove(&self, record: &ZoneRecord) -> Result<Drained, Blocker> {
        let mut last_us = self.removed_at_us.unwrap_or(0);
        let mut routers = Vec::with_capacity(record.routers.len());
        for router in processes(record) {
            let Some(clear_us) = self.clear.get(router) else {
                return Err(Blocker::Router(router.clone()));
            };
            last_us = last_us.max(*clear_us);
            routers.push(router.clone());
        }
        if self.has_unseen_removal(record) {
            return Err(Blocker::NoIdleSample);
        }
        match self.idle_sampled_at_us {
            Some(sampled_us) if sampled_us > last_us => Ok(Drained {
                order_id: self.order_id.clone(),
                routers,
            }),
            _ => Err(Blocker::NoIdleSample),
        }
    }

    /// Whether a router without a report of zero was listed before and is not in this record.
    fn has_unseen_removal(&self, record: &ZoneRecord) -> bool {
        self.listed.iter().any(|router| {
            !self.clear.contains_key(router) && processes(record).all(|listed| listed != router)
        })
    }
}

fn processes(record: &ZoneRecord) -> impl Iterator<Item = &ProcessId> {
    record.routers.iter().filter_map(|r| r.process.as_ref())
}

/// Earliest time on the asking node's clock at which a load report can have been sampled.
///
/// `asked_at_us` is the node's clock when it sent the request; the other two are the engine's clock in
/// the report. The engine answered at `asked_at_us` or later, and its clock has a resolution of 1 ms.
pub const fn sample_time_us(asked_at_us: u64, sampled_at_ms: u64, engine_now_ms: u64) -> u64 {
    let age_ms = engine_now_ms.saturating_sub(sampled_at_ms) + 1;
    asked_at_us.saturating_sub(age_ms * 1_000)
}
