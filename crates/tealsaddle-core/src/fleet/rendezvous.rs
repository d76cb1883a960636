//! Rendezvous hashing of shared prompt parts.
//!
//! A part that every runner reads takes up space in every cache and evicts other parts there. Rendezvous
//! hashing ranks the runners for each part; the runner that ranks highest is the home of the part. All
//! nodes compute the same ranking without exchanging messages, and few parts change their home when a
//! runner joins or leaves.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use rustc_hash::FxHasher;

/// Returns the rendezvous weight of a runner for a part. The runner with the highest weight is the home
/// of the part.
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
pub fn rendezvous_weight<K>(part: u64, runner: &K) -> u64
where
    K: Hash + ?Sized,
{
    let mut hasher = FxHasher::default();
    runner.hash(&mut hasher);
    part.hash(&mut hasher);
    // FxHasher mixes its last input poorly into the high bits, which decide the ranking.
    mix(hasher.finish())
}

/// Sorts nodes for a key, such as a service or a request, so that all nodes that know the same ones agree on the first.
pub fn sort_nodes(nodes: &mut [SocketAddr], key: &str) {
    nodes.sort_by_cached_key(|node| Reverse(rendezvous_weight(0, &format!("{key} {node}"))));
}

/// Applies the finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
