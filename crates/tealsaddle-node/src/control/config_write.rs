//! Configuration changes by operators.
//!
//! `config/current` is written by compare-and-swap, so one of two concurrent changes is refused. If the
//! answer to a write is lost, its outcome is found by the write id: in the current record, or in the
//! history if another change came after it. Therefore the record in force is copied to the history
//! before it is overwritten.

use std::time::Duration;

use serde::Serialize;
use tealsaddle_core::collections::HashSet;
use tealsaddle_core::inventory::Inventory;
use tealsaddle_schema::record::ConfigRecord;
use uuid::Uuid;

use crate::clock;
use crate::metrics::Counters;
use crate::platform::{KeyValue, PlatformError, PutOutcome};

/// Key of the configuration in force.
pub const CONFIG_KEY: &str = "config/current";
/// Attempts of one write before its outcome is reported as unavailable.
const MAX_ATTEMPTS: u32 = 4;
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of lines of a diff.
const MAX_DIFF_LINES: usize = 200;

/// Outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigWriteOutcome {
    /// The record is stored.
    Accepted(ConfigRecord),
    /// The configuration is invalid. The message names the field and the rule, or the line.
    Invalid(String),
    /// Another version is in force.
    Conflict {
        /// Version in force.
        version: u64,
        /// Operator who wrote the version in force.
        author: String,
        /// Lines that differ between the operator's base and the version in force.
        diff: Vec<String>,
    },
    /// The platform gave no usable answer in any attempt.
    Unavailable {
        /// Whether one of the attempts may have been written.
        may_be_written: bool,
        /// Error of the last attempt.
        message: String,
    },
}

/// Accepted configurations, newest first, or the error of a read.
pub type ConfigHistory = Result<Vec<HistoryEntry>, String>;

/// One accepted configuration.
#[derive(Debug, Clone, Serialize)]
pub struct HistoryEntry {
    /// Version of the configuration.
    pub version: u64,
    /// Operator who made the change.
    pub author: String,
    /// Unix time of the change, by the clock of the node that wrote it.
    pub accepted_at_unix_ms: u64,
    /// Lines added to or removed from the previous version.
    pub diff: Vec<String>,
}

fn history_key(version: u64) -> String {
    format!("config/history/{version}")
}

/// A stored configuration with the platform's version of its key.
#[derive(Debug, Clone, Default)]
pub struct StoredConfig {
    /// Version of the key, for compare-and-swap; 0 if the key does not exist.
    pub key_version: u64,
    /// The record; its version is 0 if the key does not exist.
    pub record: ConfigRecord,
}

/// Reads a stored configuration. Without one, the result has version 0.
pub async fn read(platform: &dyn KeyValue, key: &str) -> Result<StoredConfig, PlatformError> {
    match platform.get(key).await? {
        None => Ok(StoredConfig::default()),
        Some(entry) => Ok(StoredConfig {
            key_version: entry.version,
            record: serde_json::from_value(entry.value)
                .map_err(|error| PlatformError::Protocol(error.to_string()))?,
        }),
    }
}

async fn store_in_history(
    platform: &dyn KeyValue,
    record: &ConfigRecord,
) -> Result<(), PlatformError> {
    let value = serde_json::to_value(record).expect("a record is plain JSON");
    // A conflict means that the entry already exists.
    platform
        .put(&history_key(record.version), &value, 0, None)
        .await?;
    Ok(())
}

/// Returns the lines that only one of two texts has, prefixed with `-` or `+`.
pub fn diff(old: &str, new: &str) -> Vec<String> {
    let old_lines: HashSet<&str> = old.lines().collect();
    let new_lines: HashSet<&str> = new.lines().collect();
    let removed = old.lines().filter(|line| !new_lines.contains(line));
    let added = new.lines().filter(|line| !old_lines.contains(line));
    removed
        .map(|line| format!("-{line}"))
        .chain(added.map(|line| format!("+{line}")))
        .take(MAX_DIFF_LINES)
        .collect()
}

/// Writes a configuration if the version in force is `if_version`.
pub async fn write(
    platform: &dyn KeyValue,
    counters: &Counters,
    if_version: u64,
    author: String,
    yaml: String,
) -> ConfigWriteOutcome {
    let record = ConfigRecord {
        version: if_version + 1,
        author,
        write_id: Uuid::new_v4().to_string(),
        yaml,
        accepted_at_unix_ms: clock::unix_ms(),
    };
    if let Err(error) = Inventory::from_yaml(&record.yaml, record.version) {
        counters.increment("config.refused.invalid");
        return ConfigWriteOutcome::Invalid(error.to_string());
    }
    let mut may_be_written = false;
    let mut message = String::new();
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            counters.increment("config.write_retry");
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        match attempt_write(platform, if_version, &record, &mut may_be_written).await {
            Ok(outcome) => {
                let name = match &outcome {
                    ConfigWriteOutcome::Accepted(_) if attempt > 0 => {
                        "config.settled_after_lost_answer"
                    }
                    ConfigWriteOutcome::Accepted(_) => "config.accepted",
                    _ => "config.refused.conflict",
                };
                counters.increment(name);
                return outcome;
            }
            Err(error) => message = error.to_string(),
        }
    }
    counters.increment("config.refused.platform");
    ConfigWriteOutcome::Unavailable {
        may_be_written,
        message,
    }
}

/// Makes one attempt to write a record. Every attempt writes the same record, so a delayed copy of an
/// earlier attempt has no further effect.
async fn attempt_write(
    platform: &dyn KeyValue,
    if_version: u64,
    record: &ConfigRecord,
    may_be_written: &mut bool,
) -> Result<ConfigWriteOutcome, PlatformError> {
    let current = read(platform, CONFIG_KEY).await?;
    if current.record.version != if_version {
        return resolve_outcome(platform, if_version, record, current).await;
    }
    if if_version > 0 {
        store_in_history(platform, &current.record).await?;
    }
    let value = serde_json::to_value(record).expect("a record is plain JSON");
    match platform
        .put(CONFIG_KEY, &value, current.key_version, None)
        .await
    {
        Ok(PutOutcome::Written(_)) => {
            // If this write fails, the next change writes the entry.
            drop(store_in_history(platform, record).await);
            Ok(ConfigWriteOutcome::Accepted(record.clone()))
        }
        Ok(PutOutcome::Conflict(_)) => {
            let current = read(platform, CONFIG_KEY).await?;
            resolve_outcome(platform, if_version, record, current).await
        }
        Err(error) => {
            *may_be_written |= matches!(
                error,
                PlatformError::Unknown(_) | PlatformError::Protocol(_)
            );
            Err(error)
        }
    }
}

/// Finds the outcome of a write whose base is no longer the version in force: accepted if an earlier
/// attempt stored the record, a conflict otherwise.
async fn resolve_outcome(
    platform: &dyn KeyValue,
    if_version: u64,
    record: &ConfigRecord,
    current: StoredConfig,
) -> Result<ConfigWriteOutcome, PlatformError> {
    if current.record.write_id == record.write_id {
        drop(store_in_history(platform, record).await);
        return Ok(ConfigWriteOutcome::Accepted(record.clone()));
    }
    if current.record.version > record.version {
        let stored = read(platform, &history_key(record.version)).await?;
        if stored.record.write_id == record.write_id {
            return Ok(ConfigWriteOutcome::Accepted(record.clone()));
        }
    }
    let base = read(platform, &history_key(if_version)).await;
    let diff = base.map_or_else(
        |_unreadable| Vec::new(),
        |base| diff(&base.record.yaml, &current.record.yaml),
    );
    Ok(ConfigWriteOutcome::Conflict {
        version: current.record.version,
        author: current.record.author,
        diff,
    })
}

/// Reads the last `limit` accepted configurations, newest first.
pub async fn history(platform: &dyn KeyValue, limit: u64) -> ConfigHistory {
    let current = read(platform, CONFIG_KEY)
        .await
        .map_err(|error| error.to_string())?;
    let mut entries: Vec<HistoryEntry> = Vec::new();
    let mut newer = current.record;
    while newer.version > 0 && entries.len() < limit as usize {
        let older = match newer.version - 1 {
            0 => ConfigRecord::default(),
            version => {
                read(platform, &history_key(version))
                    .await
                    .map_err(|error| error.to_string())?
                    .record
            }
        };
        entries.push(HistoryEntry {
            version: newer.version,
            author: newer.author,
            accepted_at_unix_ms: newer.accepted_at_unix_ms,
            diff: diff(&older.yaml, &newer.yaml),
        });
        newer = older;
    }
    Ok(entries)
}
