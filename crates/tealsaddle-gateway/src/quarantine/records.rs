//! Records of quarantined parts and requests: their keys and form in the store, and what the store and peers tell of
//! them.

use std::sync::Arc;

use rand::RngExt;
use tealsaddle_core::fleet::quarantine::list::{Entry, QuarantineList, Record, StoreState};
use tealsaddle_core::fleet::quarantine::subject::{Subject, SubjectKey};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::QuarantineRecord;

use crate::clock;
use crate::control::Control;
use crate::external::{Change, Item};
use crate::follow::StoreUpdate;
use crate::quarantine::keeper::Command;
use crate::quarantine::messages;

/// Prefix of the records in the store, which continues with the service and the part or request.
pub const QUARANTINE_PREFIX: &str = "tealsaddle/quarantine/";
/// Time after which a node stores what it was told, drawn from this range in microseconds.
const TOLD_WRITE_DELAY_US: std::ops::Range<u64> = 1_000_000..3_000_000;

fn told_write_delay_us() -> u64 {
    rand::rng().random_range(TOLD_WRITE_DELAY_US)
}

/// Key of a record: [`QUARANTINE_PREFIX`], the service, and the part or the digest of the request in hexadecimal.
pub fn record_key(key: &SubjectKey) -> String {
    format!("{QUARANTINE_PREFIX}{}/{}", key.service, key.subject)
}

/// Parses the key of a record.
fn parse_key(key: &str) -> Option<SubjectKey> {
    let (service, subject) = key.strip_prefix(QUARANTINE_PREFIX)?.rsplit_once('/')?;
    let subject = Subject::parse(subject)?;
    Some(SubjectKey::new(&Name::from(service), subject))
}

/// Parses a record. `None` if it cannot be read, or does not belong to its key.
fn parse_record(item: &Item) -> Option<Record> {
    let parsed: Result<QuarantineRecord, _> = serde_json::from_slice(&item.value);
    let record = parsed
        .inspect_err(
            |error| log::warn!(key:% = item.key, error:%; "quarantine record cannot be parsed"),
        )
        .ok()?;
    let record = messages::decode_record(&record)?;
    (parse_key(&item.key).as_ref() == Some(&record.key)).then_some(record)
}

impl Control {
    /// Applies what the store has under [`QUARANTINE_PREFIX`].
    pub fn on_quarantine(self: &Arc<Self>, update: StoreUpdate) {
        let now_us = clock::now_us();
        let delay_us = told_write_delay_us();
        {
            let mut fleet = self.fleet();
            let list = fleet.quarantine_mut();
            match update {
                StoreUpdate::Listing(listing) => {
                    let items = listing.items.iter();
                    let stored =
                        items.filter_map(|item| Some((parse_record(item)?, item.revision)));
                    let state = StoreState {
                        revision: listing.revision,
                        era: listing.era,
                    };
                    list.on_listing(stored.collect(), state, now_us, delay_us);
                    fleet.has_quarantine_list = true;
                }
                StoreUpdate::Changes(changes) => {
                    for change in changes.changes {
                        apply(list, change, now_us, delay_us);
                    }
                }
            }
        }
        self.on_quarantine_changed();
    }

    /// Takes the records of a peer that was asked since the store does not answer.
    pub fn take_quarantine(&self, records: &[QuarantineRecord]) {
        self.on_told_records(records);
        self.fleet().has_quarantine_list = true;
    }

    /// Takes records that peers tell of. Those that cannot be read are left out.
    pub fn on_told_records(&self, records: &[QuarantineRecord]) {
        let now_us = clock::now_us();
        for record in records.iter().filter_map(messages::decode_record) {
            let decision = Name::clone(&record.decision);
            let mut fleet = self.fleet();
            let list = fleet.quarantine_mut();
            if list.on_told(record, now_us, told_write_delay_us()) {
                log::info!(decision:%; "a peer tells of a quarantined part or request");
            }
        }
    }

    /// Publishes the list, and ends the quarantine of what has survived at this node since its losses.
    pub fn on_quarantine_changed(&self) {
        self.publish();
        let quarantine = &self.gateway.quarantine;
        let has_survived = |entry: &&Entry| {
            let survived_us = quarantine.survived_us(&entry.record.key);
            survived_us.is_some_and(|at_us| at_us > entry.first_lost_us)
        };
        let survived: Vec<Name> = {
            let fleet = self.fleet();
            let entries = fleet.quarantine().entries().filter(has_survived);
            entries
                .map(|entry| Name::clone(&entry.record.decision))
                .collect()
        };
        for decision in survived {
            quarantine.send(Command::Survived(decision));
        }
    }

    /// Forgets the losses of a part or request whose quarantine has ended.
    pub fn forget_losses(&self, key: &SubjectKey) {
        self.gateway.quarantine.forget_losses(key);
    }
}

fn apply(list: &mut QuarantineList, change: Change, now_us: u64, delay_us: u64) {
    match change {
        Change::Put(item) => {
            if let Some(record) = parse_record(&item) {
                list.on_stored(record, item.revision, now_us, delay_us);
            }
        }
        Change::Removed { key, revision, .. } => {
            let Some(key) = parse_key(&key) else {
                return;
            };
            if list.on_removed(&key, revision) {
                log::info!(service:% = key.service, subject:% = key.subject;
                    "quarantine record removed");
            }
        }
    }
}
