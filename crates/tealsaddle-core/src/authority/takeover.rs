//! Takeover of the zone record by a new holder.
//!
//! The takeover writes a higher epoch and thereby a new version, so every later write of the former
//! holder fails. Intents of the former holder are cancelled, since it can no longer send them;
//! withdrawals, which are never sent, are kept. An order in phase `issuing` may still be sent by
//! the former holder, so it is kept, and its senders are moved to the unreleased list.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

use super::order::{Change, Phase, TransitionError};
use super::release::add_unreleased;
use super::routers;

/// Makes `process` the holder under `epoch`, and a router of the zone at `address`.
pub fn take_over(
    record: &mut ZoneRecord,
    process: &ProcessId,
    address: &str,
    epoch: u64,
) -> Result<(), TransitionError> {
    if epoch <= record.epoch {
        return Err(TransitionError::EpochTooLow);
    }
    record.epoch = epoch;
    record.holder = Some(process.clone());
    // Order ids start at o1, since 0 marks a record that was never written.
    record.next_order = record.next_order.max(1);
    for entry in &mut record.engines {
        let Some(mut order) = entry.order.take() else {
            continue;
        };
        let is_kept = Phase::of(&order) == Phase::Issuing || order.kind == Change::Withdraw.kind();
        if !is_kept {
            continue;
        }
        for sender in std::mem::take(&mut order.senders) {
            add_unreleased(entry, &order.order_id, &sender, &record.routers);
        }
        entry.order = Some(order);
    }
    routers::register(
        record,
        RouterEntry {
            process: Some(process.clone()),
            address: address.to_owned(),
        },
    );
    Ok(())
}
