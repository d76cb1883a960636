//! What an engine stand-in received and did, as the stand-in itself saw it.
//!
//! Tests of the guarantees read this record and not the system's own account.

use serde::Serialize;

use super::wire::OrderRequest;

/// One entry.
#[derive(Debug, Clone, Serialize)]
pub struct RecordEntry {
    /// Milliseconds on the engine's clock.
    pub at_ms: u64,
    /// What happened.
    pub what: EngineEvent,
}

/// What happened.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// A request arrived.
    Request {
        /// The attempt.
        attempt_id: String,
        /// Part of the work.
        stage: String,
        /// Index of the first token.
        resume_at: u64,
        /// Why it was refused; `None` if it was taken.
        refused: Option<&'static str>,
    },
    /// An order arrived.
    Order {
        /// The order.
        order: OrderRequest,
        /// What came of it.
        effect: OrderEffect,
        /// Attempts that it cut off.
        cut_off: Vec<String>,
    },
    /// An order took effect.
    OrderDone {
        /// The order.
        order_id: String,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt_id: String,
        /// How.
        how: Ending,
    },
    /// The engine crashed.
    Crash,
    /// The engine started again.
    Restart,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEffect {
    /// A change began, or the same change was in progress.
    Started,
    /// The content was in effect already.
    Unchanged,
    /// Refused for its fencing token.
    StaleFence,
    /// Refused, since another order was in progress.
    Busy,
    /// Refused, since the stand-in does not know its kind or content.
    Invalid,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Its output is complete.
    Finished,
    /// It was cancelled by a call.
    Cancelled,
    /// Its connection was closed.
    CallerGone,
    /// A role change cut it off.
    CutOffByRoleChange,
    /// A crash cut it off.
    CutOffByCrash,
}

/// Orders of a record with their effects.
pub fn orders(record: &[RecordEntry]) -> Vec<(&OrderRequest, OrderEffect)> {
    let orders = record.iter().filter_map(|entry| match &entry.what {
        EngineEvent::Order { order, effect, .. } => Some((order, *effect)),
        _ => None,
    });
    orders.collect()
}

/// Attempts that a role change cut off.
pub fn cut_off_by_role_change(record: &[RecordEntry]) -> Vec<String> {
    let ended = record.iter().filter_map(|entry| match &entry.what {
        EngineEvent::Ended {
            attempt_id,
            how: Ending::CutOffByRoleChange,
        } => Some(attempt_id.clone()),
        _ => None,
    });
    ended.collect()
}

/// Conflicts between the orders of a record; empty if there are none.
///
/// Two orders conflict if they share an id and differ in content, if one arrives while a different
/// one is in progress, or if one takes effect after a different one with a newer fencing token.
/// An order that the engine refused for its fencing token has no effect and conflicts with none.
pub fn conflicts(record: &[RecordEntry]) -> Vec<String> {
    let mut conflicts = Vec::new();
    let mut accepted: Vec<&OrderRequest> = Vec::new();
    for (order, effect) in orders(record) {
        if matches!(effect, OrderEffect::StaleFence | OrderEffect::Invalid) {
            continue;
        }
        // A repeat of an accepted order is no second conflict.
        let conflict = accepted.iter().find(|earlier| {
            let is_old = earlier.order_id == order.order_id || earlier.fence > order.fence;
            is_old && !order.has_same_content(earlier)
        });
        if let Some(earlier) = conflict {
            conflicts.push(format!("{order:?} after {earlier:?}"));
        }
        if effect == OrderEffect::Busy {
            conflicts.push(format!("order during another: {order:?}"));
        } else {
            accepted.push(order);
        }
    }
    conflicts
}
