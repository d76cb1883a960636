//! Distribution of configuration versions, which only increase at each node.
//!
//! A node never replaces its configuration by one of a lower version, whichever source offers it.
//! One or two nodes per zone watch the platform; the others learn of new versions from heartbeats
//! and pull them. A node that was paused may have missed a version, so its state is stale until the
//! platform or a peer has answered a request that was sent after the pause, or until
//! [`REFRESH_TIMEOUT_US`] has passed.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::inventory::ConfigVersion;

/// Nodes per zone that watch the platform. The second one covers the replacement of the first.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Time between two ticks above which the node counts as paused and its state as stale.
pub const PAUSE_THRESHOLD_US: u64 = 3_000_000;
/// Time after which a stale node without an answer serves requests with the state that it has.
pub const REFRESH_TIMEOUT_US: u64 = 1_000_000;

/// Response to an offered version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResponse {
    /// The version is higher than the current one: fetch it.
    Pull,
    /// The version is not higher than the current one.
    Ignore,
}

/// Configuration version of one node, and whether its state is stale after a pause.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    version: ConfigVersion,
    last_tick_us: Option<u64>,
    stale_since_us: Option<u64>,
}

impl Rollout {
    /// Returns the current version; 0 before the first.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns whether to fetch a version that the platform or a peer offers.
    pub const fn on_offer(&self, version: ConfigVersion) -> OfferResponse {
        if version > self.version {
            OfferResponse::Pull
        } else {
            OfferResponse::Ignore
        }
    }

    /// Makes a fetched version the current one if it is higher. Returns whether it was higher.
    pub const fn on_fetched(&mut self, version: ConfigVersion) -> bool {
        let is_higher = version > self.version;
        if is_higher {
            self.version = version;
        }
        is_higher
    }

    /// Handles a tick and returns whether the node was paused since the last one.
    ///
    /// The caller ticks at least once a second and reads `now_us` from a clock that includes
    /// suspended time.
    pub fn on_tick(&mut self, now_us: u64) -> bool {
        let last_us = self.last_tick_us.replace(now_us);
        let was_paused =
            last_us.is_some_and(|last| now_us.saturating_sub(last) > PAUSE_THRESHOLD_US);
        if was_paused {
            self.stale_since_us = Some(now_us);
        }
        was_paused
    }

    /// Handles an answer to a request that was sent at `requested_at_us`. An answer to a request
    /// from before the pause is ignored, since it may be outdated.
    pub fn on_refreshed(&mut self, requested_at_us: u64) {
        if self
            .stale_since_us
            .is_some_and(|since| requested_at_us >= since)
        {
            self.stale_since_us = None;
        }
    }

    /// Returns whether the state is stale, so that new requests have to wait.
    pub fn is_stale(&self, now_us: u64) -> bool {
        self.stale_since_us
            .is_some_and(|since_us| now_us < since_us + REFRESH_TIMEOUT_US)
    }
}

/// Returns the `count` nodes with the highest weight for `subject`, by rendezvous hashing.
///
/// Adding or removing a node changes the result only for subjects for which that node is chosen.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::rollout::rendezvous;
///
/// let chosen = rendezvous("config", &["vm-1", "vm-2", "vm-3"], 2);
/// // Removing the node that was not chosen does not change the result.
/// assert_eq!(rendezvous("config", &chosen, 2), chosen);
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
    // The hasher mixes the low bits poorly, so the finalizer of SplitMix64 is applied.
    let mut x = hasher.finish();
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
