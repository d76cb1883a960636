//! Spread of the configuration, never backwards.
//!
//! A version that was once in force at a node is never replaced by a lower one, whoever offers it. One
//! or two nodes per zone watch the platform; the others learn the version from heartbeats and pull it.
//! A node that was paused cannot know what it has missed, so its state is stale until it has asked the
//! platform or a peer once, or has waited [`REFRESH_TIMEOUT_US`] for an answer.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::inventory::ConfigVersion;

/// Nodes per zone that watch the platform; a second one stands in while the first is being replaced.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Pause after which the state counts as stale.
pub const PAUSE_THRESHOLD_US: u64 = 3_000_000;
/// Longest time for which a stale node waits for an answer before it serves with what it has.
pub const REFRESH_TIMEOUT_US: u64 = 1_000_000;

/// What to do with an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResponse {
    /// It is higher: fetch it.
    Pull,
    /// It is not higher.
    Ignore,
}

/// Configuration versions at one node, and whether its state is fresh.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    version: ConfigVersion,
    last_tick_us: Option<u64>,
    stale_since_us: Option<u64>,
}

impl Rollout {
    /// Version in force; 0 before any.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Judges a version that the platform or a peer offers.
    pub const fn on_offer(&self, version: ConfigVersion) -> OfferResponse {
        if version > self.version {
            OfferResponse::Pull
        } else {
            OfferResponse::Ignore
        }
    }

    /// Puts a version in force; says whether it did.
    pub const fn on_fetched(&mut self, version: ConfigVersion) -> bool {
        let is_higher = version > self.version;
        if is_higher {
            self.version = version;
        }
        is_higher
    }

    /// Notes that the node runs; says whether it was paused since the last call. Expected at least
    /// every second, on a clock that counts suspended time.
    pub fn on_tick(&mut self, now_us: u64) -> bool {
        let last_us = self.last_tick_us.replace(now_us);
        let was_paused =
            last_us.is_some_and(|last| now_us.saturating_sub(last) > PAUSE_THRESHOLD_US);
        if was_paused {
            self.stale_since_us = Some(now_us);
        }
        was_paused
    }

    /// Takes an answer to a question that was asked at `asked_at_us`. An answer to a question from before
    /// the pause refreshes nothing.
    pub fn on_refreshed(&mut self, asked_at_us: u64) {
        if self
            .stale_since_us
            .is_some_and(|since| asked_at_us >= since)
        {
            self.stale_since_us = None;
        }
    }

    /// Whether new requests have to wait.
    pub fn is_stale(&self, now_us: u64) -> bool {
        self.stale_since_us
            .is_some_and(|since_us| now_us < since_us + REFRESH_TIMEOUT_US)
    }
}

/// The `count` nodes with the highest weight for `subject`, by rendezvous hashing.
///
/// A node that comes or goes changes the choice only where it is chosen itself.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::rollout::rendezvous;
///
/// let all = rendezvous("config", &["vm-1", "vm-2", "vm-3"], 2);
/// let fewer = rendezvous("config", &all, 2);
/// assert_eq!(all, fewer);
/// ```
pub fn rendezvous<'a>(subject: &str, nodes: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = nodes.iter().map(|n| (weight(subject, n), *n)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().take(count).map(|(_, n)| n).collect()
}

fn weight(subject: &str, node: &str) -> u64 {
    let mut hasher = FxHasher::default();
    subject.hash(&mut hasher);
    node.hash(&mut hasher);
    // The hasher is weak in its low bits; the finalizer of SplitMix64 spreads them.
    let mut x = hasher.finish();
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
