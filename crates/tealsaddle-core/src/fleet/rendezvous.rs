//! Homes of shared prompt parts.
//!
//! A part that every runner reads evicts everything else from every cache. Rendezvous hashing gives
//! each part an order of runners that is the same on every node without any message, and in which few
//! parts move when a runner comes or leaves.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

/// Rank key of a runner for a part; the runner with the highest key is the home.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::fleet::rendezvous::rendezvous_weight;
///
/// let runners = ["r1", "r2", "r3"];
/// let home = runners.iter().max_by_key(|runner| rendezvous_weight(7, runner));
/// assert_eq!(home, runners.iter().rev().max_by_key(|runner| rendezvous_weight(7, runner)));
/// ```
pub fn rendezvous_weight(part: u64, runner: &str) -> u64 {
    let mut hasher = FxHasher::default();
    runner.hash(&mut hasher);
    part.hash(&mut hasher);
    // The fast hasher mixes its last input poorly into the high bits that decide the order.
    mix(hasher.finish())
}

/// Finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
