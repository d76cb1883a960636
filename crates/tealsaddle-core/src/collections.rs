//! Hash maps and sets with a fast hasher.
//!
//! Keys are names and ids from the operators' configuration or made by tealsaddle itself, so the
//! hasher need not withstand chosen collisions.

/// Hash map with a fast hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
