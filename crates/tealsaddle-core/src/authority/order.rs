//! Transitions of one engine's order in the zone record.
//!
//! An order is first recorded as an intent (phase `draining`), which can be cancelled because
//! nothing has been sent. The transition to phase `issuing` requires a proof that the engine is
//! drained. From then on a copy may reach the engine at any later time, so the order is only
//! repeated with the same id and content until it is complete. The functions change the record in
//! memory; a change is effective once the compare-and-swap write of the record has succeeded.

use displaydoc::Display;
use tealsaddle_schema::record::{EngineEntry, Order, ProcessId, ZoneRecord};

use super::event::EngineState;
use super::release::add_unreleased;
use crate::drain::DrainProof;
use crate::inventory::Role;
use crate::name::Name;

/// Change that an order makes to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// Switch the engine to a role.
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
    /// Take the engine out of service. Nothing is sent to the engine.
    Withdraw,
}

impl Change {
    /// Returns the `kind` of the stored order.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Role(_) => "role",
            Self::Model { .. } => "model",
            Self::Adapter { .. } => "adapter",
            Self::Withdraw => "withdraw",
        }
    }
}

/// Phase of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order is recorded and must not be sent yet.
    Draining,
    /// The order may be sent, or may have been sent.
    Issuing,
}

impl Phase {
    /// Returns the text in the record.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Issuing => "issuing",
        }
    }

    /// Returns the phase of a stored order. An unknown text is read as `Issuing`, since that phase
    /// permits fewer transitions.
    pub fn of(order: &Order) -> Self {
        if order.phase == Self::Draining.as_str() {
            Self::Draining
        } else {
            Self::Issuing
        }
    }
}

/// Reason why a transition is not permitted.
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

/// Sorts the engines of a record by name, as [`entry`] requires.
pub(super) fn sort_entries(record: &mut ZoneRecord) {
    if !record.engines.is_sorted_by(|a, b| a.engine <= b.engine) {
        record.engines.sort_by(|a, b| a.engine.cmp(&b.engine));
    }
}

/// Returns the index of an engine's entry, or the index at which it would be inserted.
///
/// The entries are sorted by name, since the holder looks up every engine several times a second.
fn position(record: &ZoneRecord, engine: &str) -> Result<usize, usize> {
    record
        .engines
        .binary_search_by(|entry| entry.engine.as_str().cmp(engine))
}

/// Returns the entry of an engine. The engines of the record must be sorted by name.
pub fn entry<'a>(record: &'a ZoneRecord, engine: &str) -> Option<&'a EngineEntry> {
    position(record, engine).ok().map(|at| &record.engines[at])
}

/// Returns the entry of an engine for modification.
pub(super) fn entry_mut<'a>(
    record: &'a mut ZoneRecord,
    engine: &str,
) -> Result<&'a mut EngineEntry, TransitionError> {
    match position(record, engine) {
        Ok(at) => Ok(&mut record.engines[at]),
        Err(_absent) => Err(TransitionError::UnknownEngine),
    }
}

/// Adds an engine with its initial role, unless the record contains it already.
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

/// Records an order for a change in phase `draining`, with a new order id.
///
/// Only a withdrawal, which is never sent, is permitted while the engine has unreleased entries.
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

/// Removes an order that is still in phase `draining`.
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

/// Permits `holder` to send the order.
///
/// The first call moves the order from phase `draining` to `issuing`. After a takeover, the new
/// holder repeats the call for the order that is already in phase `issuing`.
pub fn issue(
    record: &mut ZoneRecord,
    engine: &str,
    proof: &DrainProof,
    holder: &ProcessId,
) -> Result<(), TransitionError> {
    let order = entry(record, engine)
        .ok_or(TransitionError::UnknownEngine)?
        .order
        .as_ref()
        .ok_or(TransitionError::NoOrder)?;
    if order.kind == Change::Withdraw.kind() || order.senders.contains(holder) {
        return Err(TransitionError::WrongPhase);
    }
    if !proof.covers(&order.order_id, record) {
        return Err(TransitionError::NotDrained);
    }
    if let Some(order) = &mut entry_mut(record, engine)?.order {
        Phase::Issuing.as_str().clone_into(&mut order.phase);
        order.senders.push(holder.clone());
    }
    Ok(())
}

/// Returns whether a process is permitted to send any outstanding order of the record.
pub fn is_sender(record: &ZoneRecord, process: &ProcessId) -> bool {
    let mut orders = record
        .engines
        .iter()
        .filter_map(|entry| entry.order.as_ref());
    orders.any(|order| order.senders.contains(process))
}

/// Revokes the permission of `process` to send orders, before it hands over the authority.
///
/// The process must have stopped sending, and none of its copies may still be able to arrive.
pub fn remove_sender(record: &mut ZoneRecord, process: &ProcessId) {
    let orders = record
        .engines
        .iter_mut()
        .filter_map(|entry| entry.order.as_mut());
    for order in orders {
        order.senders.retain(|sender| sender != process);
    }
}

/// Returns whether the content of an order is in effect at the engine.
///
/// The state must have been queried after the order entered phase `issuing`.
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
/// Every sender is added to the unreleased list, including the holder that writes the record: it
/// may send once more before this write is confirmed, or, if the response is lost, before the write
/// takes effect. The holder removes itself by a later write, see
/// [`super::release::release_own_entries`].
///
/// `is_fence_raised` states that the engine checks the fencing token and has accepted the order
/// under the current epoch. It then rejects the copies of former holders, so earlier unreleased
/// entries are removed.
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
        add_unreleased(entry, &order.order_id, sender, &routers);
    }
    Ok(())
}

/// Records the role that was observed at an engine without an outstanding order.
pub fn record_role(
    record: &mut ZoneRecord,
    engine: &str,
    observed: Role,
) -> Result<(), TransitionError> {
    let entry = entry_mut(record, engine)?;
    if entry.order.is_some() {
        return Err(TransitionError::Outstanding);
    }
    if entry.role == observed.as_str() {
        return Err(TransitionError::InEffect);
    }
    // A late copy of an order would switch the engine back to the recorded role.
    if !entry.unreleased.is_empty() {
        return Err(TransitionError::Unreleased);
    }
    observed.as_str().clone_into(&mut entry.role);
    Ok(())
}
