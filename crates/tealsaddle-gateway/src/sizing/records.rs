//! Records of orders in the store, from which a successor learns what was ordered.

use serde::{Deserialize, Serialize};
use tealsaddle_core::fleet::sizing::planner::PlannedOrder;
use tealsaddle_core::fleet::sizing::{RunnerKind, Subject};
use tealsaddle_core::name::Name;

use crate::control::{CALL_TIMEOUT, Control, with_timeout};
use crate::duties::DutyTerm;
use crate::error::StoreError;
use crate::external::{Freshness, Item, Put, Transaction};

/// Prefix of the keys of records: one for each service, zone and kind.
pub const SIZING: &str = "tealsaddle/sizing/";

/// Record of the latest order for a subject, written before the order is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Service of the runners.
    pub service: Name,
    /// Availability zone of the runners.
    pub zone: Name,
    /// Whether the order is for spot runners.
    pub is_spot: bool,
    /// Number that was ordered.
    pub runners: u32,
    /// Number that counted before.
    pub before: u32,
    /// Fencing token of the holder.
    pub fence: u64,
}

impl OrderRecord {
    /// The record of an order for a service.
    pub fn new(service: &Name, order: &PlannedOrder, fence: u64) -> Self {
        Self {
            service: Name::clone(service),
            zone: Name::clone(&order.subject.zone),
            is_spot: order.subject.kind == RunnerKind::Spot,
            runners: order.runners,
            before: order.before,
            fence,
        }
    }

    /// What the order is about.
    pub fn subject(&self) -> Subject {
        Subject {
            zone: Name::clone(&self.zone),
            kind: if self.is_spot {
                RunnerKind::Spot
            } else {
                RunnerKind::Regular
            },
        }
    }

    fn key(&self) -> String {
        let kind = self.subject().kind.as_str();
        format!("{SIZING}{}/{}/{kind}", self.service, self.zone)
    }
}

/// Writes the records of orders that are about to be sent, on condition that this node is still the holder.
pub async fn write(
    control: &Control,
    term: &DutyTerm,
    records: &[OrderRecord],
) -> Result<(), StoreError> {
    let puts = records.iter().map(|record| Put {
        key: record.key(),
        value: serde_json::to_vec(record).expect("a record has a JSON form"),
        lease: None,
    });
    let transaction = Transaction {
        conditions: vec![term.condition()],
        puts: puts.collect(),
        removes: Vec::new(),
    };
    with_timeout(CALL_TIMEOUT, control.store.commit(transaction)).await?;
    Ok(())
}

/// Reads the records of earlier orders.
pub async fn read(control: &Control) -> Result<Vec<OrderRecord>, StoreError> {
    let list = control.store.list(SIZING, Freshness::Latest);
    let items = with_timeout(CALL_TIMEOUT, list).await?.items;
    Ok(items.iter().filter_map(parse).collect())
}

fn parse(item: &Item) -> Option<OrderRecord> {
    serde_json::from_slice(&item.value)
        .inspect_err(|error| {
            log::warn!(key:% = item.key, error:%; "record of an order for runners cannot be parsed");
        })
        .ok()
}
