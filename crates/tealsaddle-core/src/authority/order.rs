//! Transitions of one engine's order in the zone record.
//!
//! An order is recorded as an intent (`draining`), which may be cancelled freely because nothing has
//! been sent. It becomes `issuing` with a proof that the engine is drained; from then on a copy may
//! reach the engine at any later time, so the order is only ever repeated with the same id and
//! content until it is done. Each function changes the record in memory; the change counts once the
//! compare-and-swap write of the record has succeeded.

use displaydoc::Display;
use tealsaddle_schema::record::{EngineEntry, Order, ProcessId, ZoneRecord};

use super::event::EngineState;
use super::release::record_unreleased;
use crate::drain::Drained;
use crate::inventory::Role;
use crate::name::Name;

/// What an order changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// Take a role.
    Role(Role),
    /// Load a version of a model.
    Model {
        /// Name of the model.
        model: Name,
        /// Version to load.
        version: Name,
    },
    /// Load a version of an adapter.
    Adapter {
        /// Name of the adapter.
        adapter: Name,
        /// Version to load.
        version: Name,
    },
    /// Take no work; nothing is sent to the engine.
    Withdraw,
}

impl Change {
    /// The `kind` of the stored order.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Role(_) => "role",
            Self::Model { .. } => "model",
            Self::Adapter { .. } => "adapter",
            Self::Withdraw => "withdraw",
        }
    }
}

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Recorded; nothing may be sent.
    Draining,
    /// May have been sent, or may still be.
    Issuing,
}

impl Phase {
    /// The text in the record.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Issuing => "issuing",
        }
    }

    /// Phase of a stored order. An unknown text counts as `Issuing`, which permits less.
    pub fn of(order: &Order) -> Self {
        if order.phase == Self::Draining.as_str() {
            Self::Draining
        } else {
            Self::Issuing
        }
    }
}

/// Why a transition is not permitted.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum TransitionError {
    /// the zone record has no such engine
    UnknownEngine,
    /// the engine has an outstanding order
    Outstanding,
    /// the engine has no outstanding order
    NoOrder,
    /// the order is not in the phase that this transition needs
    WrongPhase,
    /// an older order may still reach the engine
    Unreleased,
    /// the engine is not proven to be drained for this order and all routers
    NotDrained,
    /// the content is in effect already
    InEffect,
    /// the zone record carries an epoch that is not lower
    EpochTooLow,
}

impl std::error::Error for TransitionError {}

/// Brings the engines of a record into the order that [`entry`] relies on.
pub(super) fn sort_entries(record: &mut ZoneRecord) {
    if !record.engines.is_sorted_by(|a, b| a.engine <= b.engine) {
        record.engines.sort_by(|a, b| a.engine.cmp(&b.engine));
    }
}

/// Place of an engine's entry; the entries are sorted by name, since the holder looks up every engine
/// several times a second.
fn position(record: &ZoneRecord, engine: &str) -> Result<usize, usize> {
    record
        .engines
        .binary_search_by(|entry| entry.engine.as_str().cmp(engine))
}

/// The entry of an engine, in a record whose engines are sorted by name.
pub fn entry<'a>(record: &'a ZoneRecord, engine: &str) -> Option<&'a EngineEntry> {
    position(record, engine).ok().map(|at| &record.engines[at])
}

/// The entry of an engine, to be changed.
pub(super) fn entry_mut<'a>(
    record: &'a mut ZoneRecord,
    engine: &str,
) -> Result<&'a mut EngineEntry, TransitionError> {
    match position(record, engine) {
        Ok(at) => Ok(&mut record.engines[at]),
        Err(_absent) => Err(TransitionError::UnknownEngine),
    }
}

/// Adds an engine that the record does not hold yet, in its first role.
pub(super) fn add_entry(record: &mut ZoneRecord, engine: &str, role: Role) {
    if let Err(at) = position(record, engine) {
        let entry = EngineEntry {
            engine: engine.to_owned(),
            role: role.as_str().to_owned(),
            ..EngineEntry::default()
        };
        record.engines.insert(at, entry);
    }
}

/// Records an intent.
pub fn record_intent(
    record: &mut ZoneRecord,
    engine: &str,
    change: &Change,
) -> Result<(), TransitionError> {
    let epoch = record.epoch;
    let number = record.next_order;
    let entry = entry_mut(record, engine)?;
    if entry.order.is_some() {
        return Err(TransitionError::Outstanding);
    }
    if *change != Change::Withdraw && !entry.unreleased.is_empty() {
        return Err(TransitionError::Unreleased);
    }
    let mut order = Order {
        order_id: format!("o{number}"),
        kind: change.kind().to_owned(),
        phase: Phase::Draining.as_str().to_owned(),
        epoch,
        ..Order::default()
    };
    match change {
        Change::Role(role) if entry.role == role.as_str() => return Err(TransitionError::InEffect),
        Change::Role(role) => role.as_str().clone_into(&mut order.role),
        Change::Model { model, version }
        | Change::Adapter {
            adapter: model,
            version,
        } => {
            order.model = model.to_string();
            order.version = version.to_string();
        }
        Change::Withdraw => {}
    }
    entry.order = Some(order);
    record.next_order += 1;
    Ok(())
}

/// Removes an intent of which nothing was sent.
pub fn cancel(record: &mut ZoneRecord, engine: &str) -> Result<(), TransitionError> {
    let entry = entry_mut(record, engine)?;
    match &entry.order {
        None => Err(TransitionError::NoOrder),
        Some(order) if Phase::of(order) == Phase::Draining => {
            entry.order = None;
            Ok(())
        }
        Some(_) => Err(TransitionError::WrongPhase),
    }
}

/// Permits the holder `me` to send the order: the first time from `draining`, and after a takeover
/// again for the order that is already `issuing`.
pub fn issue(
    record: &mut ZoneRecord,
    engine: &str,
    drained: &Drained,
    me: &ProcessId,
) -> Result<(), TransitionError> {
    let order = entry(record, engine)
        .ok_or(TransitionError::UnknownEngine)?
        .order
        .as_ref()
        .ok_or(TransitionError::NoOrder)?;
    if order.kind == Change::Withdraw.kind() || order.senders.contains(me) {
        return Err(TransitionError::WrongPhase);
    }
    if !drained.covers(&order.order_id, record) {
        return Err(TransitionError::NotDrained);
    }
    if let Some(order) = &mut entry_mut(record, engine)?.order {
        Phase::Issuing.as_str().clone_into(&mut order.phase);
        order.senders.push(me.clone());
    }
    Ok(())
}

/// Whether a process may send an outstanding order of the record.
pub fn is_sender(record: &ZoneRecord, process: &ProcessId) -> bool {
    let mut orders = record
        .engines
        .iter()
        .filter_map(|entry| entry.order.as_ref());
    orders.any(|order| order.senders.contains(process))
}

/// Takes back the permission of a holder that sends nothing any more and of which no copy can arrive,
/// before it hands over.
pub fn remove_sender(record: &mut ZoneRecord, me: &ProcessId) {
    let orders = record
        .engines
        .iter_mut()
        .filter_map(|entry| entry.order.as_mut());
    for order in orders {
        order.senders.retain(|sender| sender != me);
    }
}

/// Whether the content of an order is in effect at the engine.
///
/// The state must have been asked for after the order became `issuing`.
pub fn is_in_effect(order: &Order, state: &EngineState) -> bool {
    if state.is_changing {
        return false;
    }
    match order.kind.as_str() {
        "role" => state.role.as_str() == order.role,
        "model" | "adapter" => {
            state.last_order_id == order.order_id
                && state.models.iter().any(|model| **model == *order.model)
        }
        _ => false,
    }
}

/// Removes an order whose content is in effect and updates the engine's role.
///
/// Every sender becomes unreleased, the writing holder too: it may send once more before this write is
/// confirmed, or after its answer was lost and before it takes effect. The holder removes itself by a
/// later write, see [`super::release::release_own_entries`]. `is_fence_raised` says that the engine checks the
/// fencing token and has taken the order under the current epoch, so that it refuses the copies of
/// former holders.
pub fn complete(
    record: &mut ZoneRecord,
    engine: &str,
    is_fence_raised: bool,
) -> Result<(), TransitionError> {
    let routers = record.routers.clone();
    let entry = entry_mut(record, engine)?;
    let order = entry
        .order
        .take_if(|order| Phase::of(order) == Phase::Issuing);
    let Some(order) = order else {
        return Err(if entry.order.is_some() {
            TransitionError::WrongPhase
        } else {
            TransitionError::NoOrder
        });
    };
    if order.kind == "role" {
        entry.role.clone_from(&order.role);
    }
    if is_fence_raised {
        entry.unreleased.clear();
    }
    for sender in &order.senders {
        record_unreleased(entry, &order.order_id, sender, &routers);
    }
    Ok(())
}

/// Records the role that an engine without an outstanding order was found in.
pub fn record_role(
    record: &mut ZoneRecord,
    engine: &str,
    found: Role,
) -> Result<(), TransitionError> {
    let entry = entry_mut(record, engine)?;
    if entry.order.is_some() {
        return Err(TransitionError::Outstanding);
    }
    if entry.role == found.as_str() {
        return Err(TransitionError::InEffect);
    }
    // A late copy would repeat the recorded role and change the engine once more.
    if !entry.unreleased.is_empty() {
        return Err(TransitionError::Unreleased);
    }
    found.as_str().clone_into(&mut entry.role);
    Ok(())
}
