//! The events of an engine stand-in, as recorded by the stand-in itself.
//!
//! Tests of the guarantees read this record instead of relying on what the system under test
//! reports.

use serde::Serialize;

use super::wire::OrderRequest;

/// An event of an engine with its time.
#[derive(Debug, Clone, Serialize)]
pub struct RecordEntry {
    /// Time in milliseconds since the stand-in started.
    pub at_ms: u64,
    /// The recorded event.
    pub what: EngineEvent,
}

/// An event of an engine.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineEvent {
    /// A request arrived.
    Request {
        /// Id of the attempt, chosen by the node.
        attempt_id: String,
        /// Requested stage: `full`, `prefill` or `decode`.
        stage: String,
        /// Index of the first token to generate.
        resume_at: u64,
        /// Reason of the refusal; `None` if the request was accepted.
        refused: Option<&'static str>,
    },
    /// An order arrived.
    Order {
        /// Body of the order.
        order: OrderRequest,
        /// Effect of the order.
        effect: OrderEffect,
        /// Ids of the attempts that the order aborted.
        cut_off: Vec<String>,
    },
    /// An order took effect.
    OrderDone {
        /// Id of the order.
        order_id: String,
    },
    /// An attempt ended.
    Ended {
        /// Id of the attempt.
        attempt_id: String,
        /// How the attempt ended.
        how: Ending,
    },
    /// The engine crashed.
    Crash,
    /// The engine restarted after a crash.
    Restart,
}

/// Effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEffect {
    /// The order started a change, or the same change was already in progress.
    Started,
    /// The requested role or model was already in effect.
    Unchanged,
    /// The order was refused because of an old fencing token.
    StaleFence,
    /// The order was refused because another order was in progress or the engine had crashed.
    Busy,
    /// The order was refused because its kind or role is unknown.
    Invalid,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The output is complete.
    Finished,
    /// The attempt was cancelled by a call.
    Cancelled,
    /// The caller closed the connection.
    CallerGone,
    /// A role change or model load aborted the attempt.
    CutOffByRoleChange,
    /// A crash aborted the attempt.
    CutOffByCrash,
}

/// The orders in a record with their effects.
pub fn orders(record: &[RecordEntry]) -> Vec<(&OrderRequest, OrderEffect)> {
    let orders = record.iter().filter_map(|entry| match &entry.what {
        EngineEvent::Order { order, effect, .. } => Some((order, *effect)),
        _ => None,
    });
    orders.collect()
}

/// Ids of the attempts that a role change or model load aborted.
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

/// Descriptions of the conflicts between the orders in a record; empty if there are none.
///
/// Two orders conflict if they have the same id but different content, if one arrives while a
/// different one is in progress, or if one takes effect after a different one with a newer fencing
/// token. An order that was refused because of its fencing token has no effect and conflicts with
/// no other.
pub fn conflicts(record: &[RecordEntry]) -> Vec<String> {
    let mut conflicts = Vec::new();
    let mut accepted: Vec<&OrderRequest> = Vec::new();
    for (order, effect) in orders(record) {
        if matches!(effect, OrderEffect::StaleFence | OrderEffect::Invalid) {
            continue;
        }
        // A repetition of an accepted order is not a conflict.
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
