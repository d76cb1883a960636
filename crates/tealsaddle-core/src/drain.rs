//! Proof that no request is in flight on an engine and that none can be sent to it any more.
//!
//! An order may change an engine only when the engine has no requests. The engine's load reports
//! alone cannot prove this: a router may have read its table just before the report and send a
//! request just after it. A [`Drain`] therefore first collects, from every router of the zone
//! record, one report of zero requests in flight that was counted under a table without the engine.
//! A router never returns to an older table, so one such report stays valid for the whole drain.
//! After the last of these reports, one idle sample of the engine itself is required, because the
//! engine may still have a request that its router has abandoned.

use displaydoc::Display;
use tealsaddle_schema::peer;
use tealsaddle_schema::record::{ProcessId, ZoneRecord};

use crate::collections::HashMap;
use crate::inventory::Role;
use crate::name::Name;

/// Version of a routing table, ordered by epoch, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TableVersion {
    /// Epoch of the holder that published the table.
    pub epoch: u64,
    /// Number of the table within the epoch, starting at 1.
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

/// The engines of a zone that accept new requests, with their roles.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RoutingTable {
    /// Version of the table.
    pub version: TableVersion,
    /// Engines that accept new requests with their roles, sorted by name.
    pub open: Vec<(Name, Role)>,
}

impl RoutingTable {
    /// Returns whether a node that uses `self` may switch to `offered`.
    pub fn is_replaced_by(&self, offered: &Self) -> bool {
        offered.version > self.version
    }
}

/// Observation that the proof still lacks.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Blocker {
    /// router {0:?} has not reported zero requests in flight under a table without the engine
    Router(ProcessId),
    /// no idle sample of the engine after the last router's report or removal
    NoIdleSample,
}

/// Proof that an engine is drained for one order.
///
/// Only [`Drain::prove`] creates proofs. A proof lists the routers that reported, so that
/// [`DrainProof::covers`] detects a router that was added to the zone record afterwards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainProof {
    order_id: String,
    routers: Vec<ProcessId>,
}

impl DrainProof {
    /// Returns whether the proof is for this order and covers all routers of the record.
    pub fn covers(&self, order_id: &str, record: &ZoneRecord) -> bool {
        self.order_id == order_id && processes(record).all(|router| self.routers.contains(router))
    }
}

/// Progress of draining one engine for one order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    order_id: String,
    first_table: TableVersion,
    /// Time of the first report of zero requests in flight, by router.
    cleared_at_us: HashMap<ProcessId, u64>,
    /// Routers of the last zone record.
    listed: Vec<ProcessId>,
    /// Time of the last removal of a router that had not reported zero requests in flight.
    removed_at_us: Option<u64>,
    /// Time of the latest idle sample.
    idle_sampled_at_us: Option<u64>,
}

impl Drain {
    /// Starts a drain; `first_table` is the first table of the current epoch without the engine.
    pub fn new(order_id: impl Into<String>, first_table: TableVersion) -> Self {
        Self {
            order_id: order_id.into(),
            first_table,
            cleared_at_us: HashMap::default(),
            listed: Vec::new(),
            removed_at_us: None,
            idle_sampled_at_us: None,
        }
    }

    /// Returns the id of the order that waits for this drain.
    pub fn order_id(&self) -> &str {
        &self.order_id
    }

    /// Handles the current zone record.
    ///
    /// A router that was removed because its VM no longer exists may have left a request at the
    /// engine, so the idle sample must be taken after the removal.
    pub fn on_record(&mut self, record: &ZoneRecord, now_us: u64) {
        if self.has_unseen_removal(record) {
            self.removed_at_us = Some(now_us);
        }
        self.listed = processes(record).cloned().collect();
    }

    /// Handles a router's report: the version of the table that it uses, and the requests in flight
    /// on this engine, counted after that table was applied. Returns whether the report advances
    /// the proof.
    pub fn on_router_report(
        &mut self,
        router: &ProcessId,
        table: TableVersion,
        in_flight: u32,
        now_us: u64,
    ) -> bool {
        let is_first_zero =
            table >= self.first_table && in_flight == 0 && !self.cleared_at_us.contains_key(router);
        if is_first_zero {
            self.cleared_at_us.insert(router.clone(), now_us);
        }
        is_first_zero
    }

    /// Handles a load report of the engine.
    ///
    /// `sampled_at_us` is the earliest time on the holder's clock at which the engine can have
    /// taken the sample, see [`sample_time_us`]. Returns whether the report advances the proof.
    pub fn on_load_report(&mut self, sampled_at_us: u64, is_idle: bool) -> bool {
        let is_newer_idle_sample = is_idle && self.idle_sampled_at_us < Some(sampled_at_us);
        if is_newer_idle_sample {
            self.idle_sampled_at_us = Some(sampled_at_us);
        }
        is_newer_idle_sample
    }

    /// Returns the proof for the routers of a record, or the observation that is still missing.
    pub fn prove(&self, record: &ZoneRecord) -> Result<DrainProof, Blocker> {
        let mut last_us = self.removed_at_us.unwrap_or(0);
        let mut routers = Vec::with_capacity(record.routers.len());
        for router in processes(record) {
            let Some(cleared_us) = self.cleared_at_us.get(router) else {
                return Err(Blocker::Router(router.clone()));
            };
            last_us = last_us.max(*cleared_us);
            routers.push(router.clone());
        }
        if self.has_unseen_removal(record) {
            return Err(Blocker::NoIdleSample);
        }
        match self.idle_sampled_at_us {
            Some(sampled_us) if sampled_us > last_us => Ok(DrainProof {
                order_id: self.order_id.clone(),
                routers,
            }),
            _ => Err(Blocker::NoIdleSample),
        }
    }

    /// Returns whether a router that did not report zero was in the previous record and is not in
    /// this one.
    fn has_unseen_removal(&self, record: &ZoneRecord) -> bool {
        self.listed.iter().any(|router| {
            !self.cleared_at_us.contains_key(router)
                && processes(record).all(|listed| listed != router)
        })
    }
}

fn processes(record: &ZoneRecord) -> impl Iterator<Item = &ProcessId> {
    record.routers.iter().filter_map(|r| r.process.as_ref())
}

/// Returns the earliest time, on the clock of the requesting node, at which a load report can have
/// been sampled.
///
/// `requested_at_us` is the node's clock when it sent the request; the other two arguments are
/// values of the engine's clock from the report. The engine answered at `requested_at_us` or later,
/// and its clock has a resolution of 1 ms, so 1 ms is added to the age of the sample.
pub const fn sample_time_us(requested_at_us: u64, sampled_at_ms: u64, engine_now_ms: u64) -> u64 {
    let age_ms = engine_now_ms.saturating_sub(sampled_at_ms) + 1;
    requested_at_us.saturating_sub(age_ms * 1_000)
}
