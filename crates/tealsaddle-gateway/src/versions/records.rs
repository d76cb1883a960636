//! Records of the versions in the store, for nodes that start or that could not hear of changes.
//!
//! The node with the authority to order writes them. A record tells in which era of the store it was written: if the store
//! has come back from an older copy since, the record lacks the versions that came after the copy.

use tealsaddle_core::fleet::continuation::{Coverage, VersionRecord};
use tealsaddle_core::name::Name;
use tealsaddle_schema::fleet::VersionRecord as StoredRecord;

use super::{State, StreamVersions};
use crate::external::Item;
use crate::orders::StoredFirstEra;

/// Prefix of the keys of the recorded versions; the rest is the service.
pub const VERSIONS_PREFIX: &str = "tealsaddle/versions/";

impl StreamVersions {
    /// Takes over a listing of the nodes' keys, which has the records of all services. It may be some seconds old.
    pub fn on_listed(&self, items: &[Item], era: Option<u64>) {
        let mut state = self.state();
        state.first_era = StoredFirstEra::of(items).era;
        state.take_stored(items, era);
    }

    /// Whether this node may lack versions that the records have.
    pub fn needs_records(&self) -> bool {
        let state = self.state();
        self.coverage(&state) != Coverage::Complete
    }

    /// Takes over a listing of the records that was asked for at `asked_us` and is up to date.
    pub fn on_records(&self, items: &[Item], era: Option<u64>, asked_us: u64) {
        let mut state = self.state();
        state.take_stored(items, era);
        let times = state.times();
        let stored: Vec<(Name, VersionRecord)> = state.stored.clone().into_iter().collect();
        for (service, record) in stored {
            log::info!(service:%, versions:? = record.versions, life_ms = record.life_us / 1_000, record_era = record.era, era;
                "software versions taken from the record");
            state.life.on_earlier(record.life_us, times.now_us);
            state
                .histories
                .entry(service)
                .or_default()
                .on_record(&record, times);
        }
        if state.reaches_up_to_now(era) {
            state.recorded_us = Some(asked_us);
        }
    }

    /// Records that are not in the store as they should be, as keys with values.
    pub fn due_records(&self) -> Vec<(String, Vec<u8>)> {
        let mut state = self.state();
        if self.coverage(&state) != Coverage::Complete || self.knowledge.is_doubtful() {
            return Vec::new();
        }
        let times = state.times();
        let era = state.stored_era;
        let mut due = Vec::new();
        let State {
            histories, stored, ..
        } = &mut *state;
        for (service, history) in histories {
            history.expire(times.now_us);
            let record = VersionRecord {
                versions: history.live(),
                life_us: times.life_us,
                era,
            };
            if !record.versions.is_empty() && stored.get(service) != Some(&record) {
                due.push((format!("{VERSIONS_PREFIX}{service}"), encode(&record)));
            }
        }
        due
    }
}

impl State {
    fn take_stored(&mut self, items: &[Item], era: Option<u64>) {
        let records = items.iter().filter_map(|item| {
            let service = item.key.strip_prefix(VERSIONS_PREFIX)?;
            Some((Name::from(service), parse(item)?))
        });
        self.stored = records.collect();
        self.stored_era = era;
    }

    /// Whether the records have all versions of the services that this node knows up to now. Nodes of an earlier release
    /// do not tell the era in which they wrote; that is plain as long as the store has never come back from a copy.
    fn reaches_up_to_now(&self, era: Option<u64>) -> bool {
        let written_in = |record: &VersionRecord| record.era.or(self.first_era);
        let is_of_now = |record: &VersionRecord| written_in(record) == era;
        let mut services = self.histories.keys();
        services.all(|service| self.stored.get(service).is_some_and(is_of_now))
    }
}

fn encode(record: &VersionRecord) -> Vec<u8> {
    let stored = StoredRecord {
        base: None,
        versions: record.versions.iter().map(ToString::to_string).collect(),
        life_us: Some(record.life_us),
        era: record.era,
    };
    serde_json::to_vec(&stored).expect("a record has a JSON form")
}

fn parse(item: &Item) -> Option<VersionRecord> {
    let record: StoredRecord = serde_json::from_slice(&item.value)
        .inspect_err(
            |error| log::warn!(key:% = item.key, error:%; "record of versions cannot be parsed"),
        )
        .ok()?;
    let versions = record.versions.iter();
    Some(VersionRecord {
        versions: versions
            .map(|version| Name::from(version.as_str()))
            .collect(),
        life_us: record.life_us.unwrap_or_default(),
        era: record.era,
    })
}
