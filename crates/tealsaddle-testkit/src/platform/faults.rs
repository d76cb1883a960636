//! Faults, call counts, rate limits and the VM list of the platform stand-in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Availability of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Calls are answered normally.
    #[default]
    None,
    /// Calls are answered with status 503.
    Unavailable,
    /// Calls are never answered.
    Silent,
}

/// A number of writes that take effect and whose responses are then lost.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct LostAnswers {
    /// Prefix of the affected keys; empty for all keys.
    #[serde(default)]
    pub prefix: String,
    /// Number of writes still to be affected.
    pub writes: u32,
}

/// Faults of the platform; over HTTP, omitted fields take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Availability of the platform.
    pub outage: Outage,
    /// Delay before a call takes effect.
    pub delay_before_ms: u64,
    /// Delay between the effect and the response.
    pub delay_after_ms: u64,
    /// Maximum writes per second, including lease calls.
    pub writes_per_s: u32,
    /// Maximum reads per second, including watches and reads of the VM list.
    pub reads_per_s: u32,
    /// Maximum calls per second to the weight store.
    pub weights_per_s: u32,
    /// Delay until the VM list shows a change; applies to changes made after it is set.
    pub vm_lag_ms: u64,
    /// Writes whose responses are lost.
    pub lost_answers: Vec<LostAnswers>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: Outage::None,
            delay_before_ms: 0,
            delay_after_ms: 0,
            // The design assumes rates of several hundred writes and two thousand reads per second.
            writes_per_s: 500,
            reads_per_s: 2_000,
            weights_per_s: 5,
            vm_lag_ms: 0,
            lost_answers: Vec::new(),
        }
    }
}

impl Faults {
    /// Drops the responses of the next `writes` writes to keys under a prefix.
    pub fn lose_answers(&mut self, prefix: &str, writes: u32) {
        self.lost_answers.push(LostAnswers {
            prefix: prefix.to_owned(),
            writes,
        });
    }

    /// Returns whether the response of a write to `key` is lost, and decrements the matching
    /// counter.
    pub(super) fn consume_lost_answer(&mut self, key: &str) -> bool {
        let lost = self
            .lost_answers
            .iter_mut()
            .find(|lost| lost.writes > 0 && key.starts_with(&lost.prefix));
        let Some(lost) = lost else {
            return false;
        };
        lost.writes -= 1;
        true
    }
}

/// Kind of a call to the platform, for counts and rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A read of a key or of a list of keys.
    Read,
    /// A write or a delete.
    Write,
    /// A watch, counted once regardless of its duration.
    Watch,
    /// A grant or renewal of a lease.
    Lease,
    /// A read of the VM list.
    Vms,
    /// A read of a file in the weight store.
    Weights,
    /// A call of any kind that was refused by a rate limit.
    RateLimited,
}

/// Number of calls, by second since the start and by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts(BTreeMap<(u64, CallKind), u64>);

impl CallCounts {
    pub(super) fn add(&mut self, kind: CallKind, now_ms: u64) {
        *self.0.entry((now_ms / 1_000, kind)).or_default() += 1;
    }

    /// Total number of calls of a kind.
    pub fn total(&self, kind: CallKind) -> u64 {
        let of_kind = self.0.iter().filter(|((_, counted), _)| *counted == kind);
        of_kind.map(|(_, count)| count).sum()
    }

    /// Largest number of calls of the given kinds in one second.
    pub fn peak_per_s(&self, kinds: &[CallKind]) -> u64 {
        let mut seconds = BTreeMap::<u64, u64>::new();
        for ((second, kind), count) in &self.0 {
            if kinds.contains(kind) {
                *seconds.entry(*second).or_default() += count;
            }
        }
        seconds.into_values().max().unwrap_or(0)
    }

    /// The counts as rows of second, kind and count.
    pub fn rows(&self) -> Vec<(u64, CallKind, u64)> {
        let rows = self.0.iter();
        rows.map(|((second, kind), count)| (*second, *kind, *count))
            .collect()
    }
}

/// Separate token buckets for writes, reads and weights; each holds at most the tokens of one second.
/// The values are the available tokens and the time of the last refill in milliseconds.
#[derive(Debug, Default)]
pub(super) struct TokenBuckets(BTreeMap<&'static str, (f64, u64)>);

impl TokenBuckets {
    /// Takes a token, or returns the time in milliseconds until the next one is available.
    pub(super) fn take(&mut self, kind: CallKind, faults: &Faults, now_ms: u64) -> Result<(), u64> {
        let (bucket, rate) = match kind {
            CallKind::Write | CallKind::Lease => ("writes", faults.writes_per_s),
            CallKind::Weights => ("weights", faults.weights_per_s),
            _ => ("reads", faults.reads_per_s),
        };
        let rate = f64::from(rate);
        let (tokens, at_ms) = self.0.entry(bucket).or_insert((rate, now_ms));
        *tokens = (*tokens + (now_ms - *at_ms) as f64 * rate / 1_000.0).min(rate);
        *at_ms = now_ms;
        if *tokens < 1.0 {
            return Err(((1.0 - *tokens) / rate.max(0.001) * 1_000.0).ceil() as u64);
        }
        *tokens -= 1.0;
        Ok(())
    }
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM will be removed soon.
    Leaving,
    /// The VM was removed; the list omits it.
    Gone,
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct VmEntry {
    /// Name of the VM; over HTTP, taken from the path.
    #[serde(default)]
    pub vm: String,
    /// Address of the VM, as `IP:PORT`.
    pub address: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// State of the VM; the list omits removed VMs.
    pub state: VmState,
}

/// The VM list with its pending changes; each change becomes visible at its own time.
#[derive(Debug, Default)]
pub(super) struct VmList(Vec<(u64, VmEntry)>);

impl VmList {
    pub(super) fn set(&mut self, entry: VmEntry, visible_at_ms: u64) {
        self.0.push((visible_at_ms, entry));
    }

    pub(super) fn visible(&self, now_ms: u64) -> Vec<&VmEntry> {
        let mut visible = BTreeMap::new();
        for (visible_at_ms, entry) in &self.0 {
            if *visible_at_ms <= now_ms {
                visible.insert(&entry.vm, entry);
            }
        }
        let listed = visible.into_values();
        listed.filter(|vm| vm.state != VmState::Gone).collect()
    }
}
