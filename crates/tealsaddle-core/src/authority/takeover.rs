//! The write by which a new holder takes the zone record over.
//!
//! It carries a higher epoch, so that from this version on every write of the former holder fails.
//! Intents of the former holder are cancelled: it can never send them. An order that is `issuing` may
//! still be sent by it, so the order stays and its senders become unreleased.

use tealsaddle_schema::record::{ProcessId, RouterEntry, ZoneRecord};

use super::order::{Change, Phase, TransitionError};
use super::release::record_unreleased;
use super::routers;

/// Makes `me` the holder under `epoch`, and a router of the zone.
pub fn take_over(
    record: &mut ZoneRecord,
    me: &ProcessId,
    address: &str,
    epoch: u64,
) -> Result<(), TransitionError> {
    if epoch <= record.epoch {
        return Err(TransitionError::EpochTooLow);
    }
    record.epoch = epoch;
    record.holder = Some(me.clone());
    // Order ids start at o1, so that 0 stands for a record that was never written.
    record.next_order = record.next_order.max(1);
    for entry in &mut record.engines {
        let Some(mut order) = entry.order.take() else {
            continue;
        };
        let stays = Phase::of(&order) == Phase::Issuing || order.kind == Change::Withdraw.kind();
        if !stays {
            continue;
        }
        for sender in std::mem::take(&mut order.senders) {
            record_unreleased(entry, &order.order_id, &sender, &record.routers);
        }
        entry.order = Some(order);
    }
    routers::register(
        record,
        RouterEntry {
            process: Some(me.clone()),
            address: address.to_owned(),
        },
    );
    Ok(())
}
