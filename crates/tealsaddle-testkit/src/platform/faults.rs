//! What goes wrong at the platform, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It answers 503.
    Unavailable,
    /// It gives no answer.
    Silent,
}

/// Writes whose answer is lost after they took effect.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct LostAnswers {
    /// Start of the keys concerned; empty for all.
    #[serde(default)]
    pub prefix: String,
    /// Number of writes.
    pub writes: u32,
}

/// What goes wrong; over HTTP, fields that are left out take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the platform answers.
    pub outage: Outage,
    /// Time before a call takes effect.
    pub delay_before_ms: u64,
    /// Time between the effect and the answer.
    pub delay_after_ms: u64,
    /// Writes allowed in a second, lease calls included.
    pub writes_per_s: u32,
    /// Reads allowed in a second, watches and the VM list included.
    pub reads_per_s: u32,
    /// Calls to the weight store allowed in a second.
    pub weights_per_s: u32,
    /// Time until the VM list shows a change; applies to changes made from now on.
    pub vm_lag_ms: u64,
    /// Writes whose answer is lost.
    pub lost_answers: Vec<LostAnswers>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: Outage::None,
            delay_before_ms: 0,
            delay_after_ms: 0,
            // The rates that the design counts on: several hundred writes, two thousand reads.
            writes_per_s: 500,
            reads_per_s: 2_000,
            weights_per_s: 5,
            vm_lag_ms: 0,
            lost_answers: Vec::new(),
        }
    }
}

impl Faults {
    /// Loses the answers of the next writes to keys under a prefix.
    pub fn lose_answers(&mut self, prefix: &str, writes: u32) {
        self.lost_answers.push(LostAnswers {
            prefix: prefix.to_owned(),
            writes,
        });
    }

    /// Whether the answer of this write is lost; counts it off.
    pub(super) fn takes_answer(&mut self, key: &str) -> bool {
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

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A key or a list of keys.
    Read,
    /// A write or a delete.
    Write,
    /// A watch, counted once however long it waits.
    Watch,
    /// A lease given or renewed.
    Lease,
    /// The VM list.
    Vms,
    /// A file of the weight store.
    Weights,
    /// A call that was refused for its rate.
    RateLimited,
}

/// Calls by second since the start and kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts(BTreeMap<(u64, CallKind), u64>);

impl CallCounts {
    pub(super) fn add(&mut self, kind: CallKind, now_ms: u64) {
        *self.0.entry((now_ms / 1_000, kind)).or_default() += 1;
    }

    /// All calls of a kind.
    pub fn total(&self, kind: CallKind) -> u64 {
        let of_kind = self.0.iter().filter(|((_, counted), _)| *counted == kind);
        of_kind.map(|(_, count)| count).sum()
    }

    /// Most calls of the kinds in any second.
    pub fn peak_per_s(&self, kinds: &[CallKind]) -> u64 {
        let mut seconds = BTreeMap::<u64, u64>::new();
        for ((second, kind), count) in &self.0 {
            if kinds.contains(kind) {
                *seconds.entry(*second).or_default() += count;
            }
        }
        seconds.into_values().max().unwrap_or(0)
    }

    /// As rows of second, kind and count.
    pub fn rows(&self) -> Vec<(u64, CallKind, u64)> {
        let rows = self.0.iter();
        rows.map(|((second, kind), count)| (*second, *kind, *count))
            .collect()
    }
}

/// Token buckets of one second each, for writes, reads and weights apart.
#[derive(Debug, Default)]
pub(super) struct Buckets(BTreeMap<&'static str, (f64, u64)>);

impl Buckets {
    /// Takes a token; without one gives the time until the next.
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
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
    /// Taken away; the list leaves it out.
    Gone,
}

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    #[serde(default)]
    pub vm: String,
    /// Address of the VM.
    pub address: String,
    /// Zone of the VM.
    pub zone: String,
    /// State of the VM.
    pub state: VmState,
}

/// The VM list, which shows each change only from a set time on.
#[derive(Debug, Default)]
pub(super) struct VmList(Vec<(u64, VmEntry)>);

impl VmList {
    pub(super) fn set(&mut self, entry: VmEntry, visible_at_ms: u64) {
        self.0.push((visible_at_ms, entry));
    }

    pub(super) fn shown(&self, now_ms: u64) -> Vec<&VmEntry> {
        let mut shown = BTreeMap::new();
        for (visible_at_ms, entry) in &self.0 {
            if *visible_at_ms <= now_ms {
                shown.insert(&entry.vm, entry);
            }
        }
        let listed = shown.into_values();
        listed.filter(|vm| vm.state != VmState::Gone).collect()
    }
}
