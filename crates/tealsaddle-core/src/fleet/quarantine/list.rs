//! The quarantined parts and requests, as one node knows them.
//!
//! Each has a record in the store, which outlives all processes. A decision may be known before its record
//! is stored, from this node or from a peer; it applies at once, and the record is written later if no other node
//! has done so. A record that the store has lost is written again.
//!
//! While a part is quarantined its requests are refused, and so is a quarantined request. From time to time one
//! request of the whole fleet is tried: the node that stores the record with a higher number of trials may do so. A
//! trial that is lost with its runner adds a loss to the record, and the more losses it has, the later is the next
//! trial. Every node counts the time to the next trial from the moment at which it learned of the last change of the
//! record.

use super::accounts::SUSPECT_LOSSES;
use super::subject::{RequestDigest, SubjectKey};
use crate::collections::HashMap;
use crate::fleet::store_era::StoreEra;
use crate::fleet::{PromptPart, shared_parts};
use crate::name::Name;

/// Largest number of parts, and of requests, that this node quarantines. Further decisions are dropped.
const MAX_DECIDED: usize = 32;
/// Largest number of parts and requests that the list takes, also from the store and from peers.
const MAX_ENTRIES: usize = 128;
/// Number of released decisions that are remembered, so that a late message does not bring one back.
const MAX_RELEASED: usize = 64;
/// Time to the first trial of a part with few losses, which may be sound.
const EARLY_TRIAL_US: u64 = 2_000_000;
/// Time to the first trial of a part that is certainly deadly; it doubles with each further loss.
const TRIAL_US: u64 = 60_000_000;
/// Time after a trial in which its outcome becomes known. Without one the part is tried again; the time doubles
/// with each trial.
const OUTCOME_US: u64 = 5_000_000;
/// Longest time between two trials.
const MAX_TRIAL_US: u64 = 3_600_000_000;

/// A record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredKey {
    /// The part or request.
    pub key: SubjectKey,
    /// Store revision of the record.
    pub revision: u64,
}

/// What all nodes know of a quarantined part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The part or request.
    pub key: SubjectKey,
    /// Unique id of the decision.
    pub decision: Name,
    /// Number of losses in a row.
    pub losses: u32,
    /// Number of requests that were tried since the decision.
    pub trials: u32,
    /// Time from the first loss to the last change of the record. A part that has survived since then is sound.
    pub first_loss_age_us: u64,
    /// Unix time of the decision in milliseconds, for operators.
    pub decided_at_unix_ms: u64,
}

impl Record {
    /// Time from a change of the record to the next trial.
    fn trial_delay_us(&self) -> u64 {
        let certain_losses = self.losses.checked_sub(SUSPECT_LOSSES as u32);
        let by_losses = certain_losses.map_or(EARLY_TRIAL_US, |more| doubled(TRIAL_US, more));
        let earlier_trials = self.trials.checked_sub(1);
        let by_trials = earlier_trials.map_or(0, |trials| doubled(OUTCOME_US, trials));
        by_losses.max(by_trials)
    }
}

fn doubled(delay_us: u64, times: u32) -> u64 {
    (delay_us << times.min(16)).min(MAX_TRIAL_US)
}

/// A quarantined part.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What all nodes know of it.
    pub record: Record,
    /// Store revision of the record; `None` while it is not known to be stored.
    pub revision: Option<u64>,
    /// Time of the first loss.
    pub first_lost_us: u64,
    /// Time from which a request may be tried.
    pub trial_due_us: u64,
    /// Time from which this node stores the record; `None` if it is stored in its present state.
    write_due_us: Option<u64>,
}

/// The quarantined parts.
#[derive(Debug, Clone, Default)]
pub struct QuarantineList {
    entries: HashMap<SubjectKey, Entry>,
    /// The latest released decisions, oldest first.
    released: Vec<Name>,
    /// Records of released decisions that are still in the store.
    removals: Vec<StoredKey>,
    era: StoreEra,
}

impl QuarantineList {
    /// Whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of quarantined parts and requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no room for another decision on a part, or on a request if `is_request` is set.
    pub fn is_full(&self, is_request: bool) -> bool {
        let same_kind = self
            .entries
            .keys()
            .filter(|key| key.subject.is_request() == is_request);
        same_kind.count() >= MAX_DECIDED
    }

    /// Whether a request of a service is quarantined.
    pub fn has_requests(&self, service: &Name) -> bool {
        let mut keys = self.entries.keys();
        keys.any(|key| key.subject.is_request() && key.service == *service)
    }

    /// The entry of a part, if it is quarantined.
    pub fn entry(&self, key: &SubjectKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All quarantined parts.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entry of a request or of a part of its prompt, if one is quarantined; of several the one that is
    /// tried last. `request` may be left out unless [`has_requests`](Self::has_requests).
    pub fn find(
        &self,
        service: &Name,
        request: Option<RequestDigest>,
        parts: &[PromptPart],
    ) -> Option<&Entry> {
        let parts = shared_parts(parts).iter();
        let parts = parts.map(|part| SubjectKey::part(service, part.id));
        let request = request.map(|digest| SubjectKey::request(service, digest));
        let found = parts.chain(request).filter_map(|key| self.entry(&key));
        found.max_by_key(|entry| entry.trial_due_us)
    }

    /// Adds a decision that is not in the store as far as this node knows, or a change of one. Returns whether
    /// it is new. This node stores it `write_delay_us` from now, unless another one does.
    pub fn on_told(&mut self, record: Record, now_us: u64, write_delay_us: u64) -> bool {
        if self.released.contains(&record.decision) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&record.key) {
            // Of two decisions on a part the one in the store applies.
            let is_newer = entry.record.decision == record.decision
                && progress(&record) > progress(&entry.record);
            if is_newer {
                entry.learn(record, now_us);
                entry.write_due_us = Some(now_us + write_delay_us);
            }
            return is_newer;
        }
        self.insert(record, None, now_us, Some(now_us + write_delay_us))
    }

    /// Adds or updates a record of the store. If this node knows a later state of the decision, it stores that
    /// `write_delay_us` from now. Returns `false` if the decision was released; the record has to be removed then.
    pub fn on_stored(
        &mut self,
        record: Record,
        revision: u64,
        now_us: u64,
        write_delay_us: u64,
    ) -> bool {
        if self.released.contains(&record.decision) {
            let key = record.key;
            self.removals.push(StoredKey { key, revision });
            return false;
        }
        let Some(entry) = self.entries.get_mut(&record.key) else {
            self.insert(record, Some(revision), now_us, None);
            return true;
        };
        if entry.revision.is_some_and(|known| known > revision) {
            // The watch repeats what a listing had.
            return true;
        }
        entry.revision = Some(revision);
        let is_behind =
            entry.record.decision == record.decision && progress(&record) < progress(&entry.record);
        if is_behind {
            entry.write_due_us = Some(now_us + write_delay_us);
            return true;
        }
        entry.write_due_us = None;
        if progress(&entry.record) != progress(&record) || entry.record.decision != record.decision
        {
            entry.learn(record, now_us);
        }
        true
    }

    /// Drops a part whose record was removed from the store. A record that this node knows to be newer stays.
    pub fn on_removed(&mut self, key: &SubjectKey, revision: u64) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        if entry.revision.is_none_or(|known| known > revision) {
            return false;
        }
        self.remove(key)
    }

    /// Takes the records that the store has, at a revision and in an era, both as far as it tells. A record that
    /// it had before was removed, unless the store has come back from an older copy: then it is stored again
    /// after `write_delay_us`.
    pub fn on_listing(
        &mut self,
        stored: Vec<(Record, u64)>,
        store: StoreState,
        now_us: u64,
        write_delay_us: u64,
    ) {
        let is_later_era = self.era.rises_to(store.era);
        let listed: Vec<SubjectKey> = stored
            .iter()
            .map(|(record, _)| record.key.clone())
            .collect();
        let mut removed = Vec::new();
        for (key, entry) in &mut self.entries {
            let Some(known) = entry.revision else {
                continue;
            };
            if is_later_era || store.revision < known {
                entry.revision = None;
                entry.write_due_us = Some(now_us + write_delay_us);
            } else if !listed.contains(key) {
                removed.push(key.clone());
            }
        }
        for key in removed {
            self.remove(&key);
        }
        for (record, revision) in stored {
            self.on_stored(record, revision, now_us, write_delay_us);
        }
    }

    /// Ends the quarantine of a part, if it is still that of this decision. Its record has to be removed. Returns
    /// its last entry.
    pub fn release(&mut self, decision: &Name) -> Option<Entry> {
        let mut entries = self.entries.values();
        let key = entries.find(|entry| entry.record.decision == *decision);
        let entry = key.cloned();
        self.remember_released(decision);
        if let Some(entry) = &entry {
            self.entries.remove(&entry.record.key);
            self.removals.extend(entry.stored_key());
        }
        entry
    }

    /// Records that have to be removed from the store.
    pub fn removals(&self) -> &[StoredKey] {
        &self.removals
    }

    /// Records that the store has removed a record, or that the record has changed meanwhile.
    pub fn on_removal_done(&mut self, stored: &StoredKey) {
        self.removals.retain(|other| other != stored);
    }

    /// Puts the trial of a part off.
    pub fn delay_trial(&mut self, key: &SubjectKey, until_us: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.trial_due_us = entry.trial_due_us.max(until_us);
        }
    }

    /// The entries that this node has to store now.
    pub fn unwritten(&self, now_us: u64) -> Vec<Entry> {
        let is_due = |entry: &&Entry| entry.write_due_us.is_some_and(|due_us| due_us <= now_us);
        self.entries.values().filter(is_due).cloned().collect()
    }

    /// Puts the next attempt to store a record off.
    pub fn retry_write_at(&mut self, key: &SubjectKey, retry_us: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.write_due_us = entry.write_due_us.map(|_due_us| retry_us);
        }
    }

    fn insert(
        &mut self,
        record: Record,
        revision: Option<u64>,
        now_us: u64,
        write_due_us: Option<u64>,
    ) -> bool {
        if self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        let entry = Entry {
            revision,
            first_lost_us: now_us.saturating_sub(record.first_loss_age_us),
            trial_due_us: now_us + record.trial_delay_us(),
            write_due_us,
            record,
        };
        self.entries.insert(entry.record.key.clone(), entry);
        true
    }

    fn remove(&mut self, key: &SubjectKey) -> bool {
        let removed = self.entries.remove(key);
        if let Some(entry) = &removed {
            self.remember_released(&entry.record.decision);
        }
        removed.is_some()
    }

    fn remember_released(&mut self, decision: &Name) {
        if self.released.contains(decision) {
            return;
        }
        if self.released.len() == MAX_RELEASED {
            self.released.remove(0);
        }
        self.released.push(Name::clone(decision));
    }
}

/// State of the store at a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreState {
    /// Revision of the store.
    pub revision: u64,
    /// Era of the store: a number that rises each time it comes back from an older copy. `None` if the store
    /// does not tell.
    pub era: Option<u64>,
}

impl Entry {
    /// The record as it would be written now.
    #[must_use]
    pub fn record_at(&self, now_us: u64) -> Record {
        Record {
            first_loss_age_us: now_us.saturating_sub(self.first_lost_us),
            ..self.record.clone()
        }
    }

    fn stored_key(&self) -> Option<StoredKey> {
        Some(StoredKey {
            key: self.record.key.clone(),
            revision: self.revision?,
        })
    }

    /// Takes a change of the record. A first loss that was known before stays.
    fn learn(&mut self, record: Record, now_us: u64) {
        if self.record.decision != record.decision {
            self.first_lost_us = now_us.saturating_sub(record.first_loss_age_us);
        }
        self.trial_due_us = now_us + record.trial_delay_us();
        self.record = record;
    }
}

/// Orders the states of one decision.
const fn progress(record: &Record) -> (u32, u32) {
    (record.trials, record.losses)
}
