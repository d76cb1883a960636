//! Keys, versions, revisions and leases.
//!
//! Deleted keys are kept as tombstones: watches report them, and a key that is created again
//! continues its version numbers, so that a compare-and-swap with an old version never matches a
//! key that was deleted and created again.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// A key with its value. In a list of changes, version 0 and a null value denote a deleted key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Full path of the key, without the `/kv/` of the URL.
    pub key: String,
    /// Number of writes to the key so far; the version to pass to the next compare-and-swap.
    pub version: u64,
    /// Value as JSON; null if the key is deleted.
    pub value: Value,
}

#[derive(Debug)]
struct Slot {
    entry: Entry,
    is_deleted: bool,
    revision: u64,
    lease: Option<String>,
}

#[derive(Debug)]
struct Lease {
    ttl_ms: u64,
    ends_at_ms: u64,
}

/// The key-value store with its leases.
#[derive(Debug, Default)]
pub struct Store {
    slots: BTreeMap<String, Slot>,
    leases: BTreeMap<String, Lease>,
    revision: u64,
    next_lease: u64,
}

/// Reason for which a write had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteError {
    /// The key has this version instead of the expected one; 0 if it does not exist.
    Conflict(u64),
    /// The lease has expired or was never granted.
    NoLease,
}

impl Store {
    /// Latest revision of the store, incremented by every write and delete.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        let slot = self.slots.get(key).filter(|slot| !slot.is_deleted)?;
        Some(&slot.entry)
    }

    /// Reads all keys under a prefix.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        self.slots_under(prefix)
            .filter(|slot| !slot.is_deleted)
            .map(|slot| slot.entry.clone())
            .collect()
    }

    fn slots_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Slot> {
        self.slots
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, slot)| slot)
    }

    /// Keys under a prefix that changed after a revision, with their current values.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Entry> {
        let mut changed: Vec<_> = self
            .slots_under(prefix)
            .filter(|slot| slot.revision > after)
            .collect();
        changed.sort_by_key(|slot| slot.revision);
        changed
            .into_iter()
            .map(|slot| Entry {
                version: if slot.is_deleted {
                    0
                } else {
                    slot.entry.version
                },
                ..slot.entry.clone()
            })
            .collect()
    }

    fn check(&self, key: &str, if_version: Option<u64>) -> Result<(), WriteError> {
        let current = self.get(key).map_or(0, |entry| entry.version);
        match if_version {
            Some(expected) if expected != current => Err(WriteError::Conflict(current)),
            _ => Ok(()),
        }
    }

    /// Writes a key if its version matches and returns the new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        if_version: Option<u64>,
        lease: Option<&str>,
    ) -> Result<u64, WriteError> {
        self.check(key, if_version)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(lease)) {
            return Err(WriteError::NoLease);
        }
        let version = self.set(key, value);
        let slot = self.slots.get_mut(key).expect("the key was just written");
        slot.lease = lease.map(str::to_owned);
        Ok(version)
    }

    /// Writes a key unconditionally and returns its version; the key has no lease afterwards.
    pub fn set(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        let version = self.slots.get(key).map_or(0, |slot| slot.entry.version) + 1;
        let slot = Slot {
            entry: Entry {
                key: key.to_owned(),
                version,
                value,
            },
            is_deleted: false,
            revision: self.revision,
            lease: None,
        };
        self.slots.insert(key.to_owned(), slot);
        version
    }

    /// Deletes a key if its version matches.
    pub fn delete(&mut self, key: &str, if_version: Option<u64>) -> Result<(), WriteError> {
        self.check(key, if_version)?;
        self.revision += 1;
        if let Some(slot) = self.slots.get_mut(key) {
            slot.is_deleted = true;
            slot.entry.value = Value::Null;
            slot.revision = self.revision;
            slot.lease = None;
        }
        Ok(())
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl_ms: u64, now_ms: u64) -> String {
        self.next_lease += 1;
        let id = format!("lease-{}", self.next_lease);
        let ends_at_ms = now_ms + ttl_ms;
        self.leases.insert(id.clone(), Lease { ttl_ms, ends_at_ms });
        id
    }

    /// Extends a lease to its full duration from now; false if it has expired or was never granted.
    pub fn renew(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.ends_at_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Removes expired leases and deletes their keys; returns whether any key was deleted.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        self.leases.retain(|_, lease| lease.ends_at_ms > now_ms);
        let expired: Vec<String> = self
            .slots
            .values()
            .filter(|slot| !slot.is_deleted)
            .filter(|slot| {
                let lease = slot.lease.as_ref();
                lease.is_some_and(|lease| !self.leases.contains_key(lease))
            })
            .map(|slot| slot.entry.key.clone())
            .collect();
        for key in &expired {
            self.delete(key, None)
                .expect("a delete without a condition succeeds");
        }
        !expired.is_empty()
    }

    /// Time of the next expiry of a lease; `None` without leases.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.ends_at_ms).min()
    }
}
