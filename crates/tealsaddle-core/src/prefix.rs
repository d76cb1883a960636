//! What the engines' prefix caches are thought to hold.
//!
//! An engine that has read the start of a prompt before reads it again for nothing, as long as its
//! cache still holds it. A node learns from its own requests: an engine holds a prompt that it has
//! read, and with each answer it says how much it really found. What it did not find was evicted, so
//! it is forgotten here as well. Cache events of engines come late and with gaps and name blocks by
//! hashes of the engine's own, so they are not needed for this and not used.
//!
//! Prompts are cut into blocks, and each block's hash covers all blocks before it; two prompts share
//! a block only if they are equal up to its end. The memory per engine is bounded by what its cache
//! can hold.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::num::NonZeroUsize;

use lru::LruCache;
use rustc_hash::FxHasher;

use crate::collections::HashMap;
use crate::name::Name;

/// Words of a prompt in one block.
pub const BLOCK_WORDS: usize = 64;
/// Blocks of one prompt that are hashed; what follows adds little to the choice of an engine.
const MAX_BLOCKS: usize = 512;

/// Hashes of the whole blocks of a prompt, from its start.
///
/// # Examples
///
/// ```
/// use tealsaddle_core::prefix::{BLOCK_WORDS, blocks};
///
/// let rules = "rule ".repeat(BLOCK_WORDS);
/// let first = blocks(&format!("{rules} who has won?"));
/// let second = blocks(&format!("{rules} was it a tilt?"));
/// assert_eq!(first, second);
/// assert_eq!(first.len(), 1);
/// ```
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hasher = FxHasher::default();
    let mut blocks = Vec::new();
    let mut words = 0;
    for word in prompt.split_whitespace() {
        word.hash(&mut hasher);
        words += 1;
        if words == BLOCK_WORDS {
            blocks.push(hasher.finish());
            words = 0;
            if blocks.len() == MAX_BLOCKS {
                break;
            }
        }
    }
    blocks
}

/// Blocks that one engine is thought to hold, the least recently used one first to go.
struct Held(LruCache<u64, ()>);

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Held({} blocks)", self.0.len())
    }
}

/// Blocks that the engines are thought to hold.
#[derive(Debug, Default)]
pub struct PrefixCacheEstimate {
    engines: HashMap<Name, Held>,
}

impl PrefixCacheEstimate {
    /// Notes that an engine reads a prompt; `capacity_tokens` is what its cache can hold.
    pub fn on_read(&mut self, engine: &Name, capacity_tokens: u64, blocks: &[u64]) {
        let capacity = (capacity_tokens as usize / BLOCK_WORDS).max(1);
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        let held = self
            .engines
            .entry(Name::clone(engine))
            .or_insert_with(|| Held(LruCache::new(capacity)));
        if held.0.cap() != capacity {
            held.0.resize(capacity);
        }
        // The last block is touched first, so that a prefix never goes before what follows it.
        for block in blocks.iter().rev() {
            held.0.put(*block, ());
        }
    }

    /// Takes an engine's word on how much of a prompt its cache held when it read it.
    pub fn on_answer(
        &mut self,
        engine: &str,
        blocks: &[u64],
        expected_tokens: u64,
        found_tokens: u64,
    ) {
        // A shorter find by less than a block is a matter of how the engine counts.
        if found_tokens + BLOCK_WORDS as u64 > expected_tokens {
            return;
        }
        // The blocks of this prompt were read again just now, all others may have been evicted too.
        if let Some(held) = self.engines.get_mut(engine) {
            held.0.clear();
            for block in blocks.iter().rev() {
                held.0.put(*block, ());
            }
        }
    }

    /// Prompt tokens that the engine's cache is thought to hold.
    pub fn cached_tokens(&self, engine: &str, blocks: &[u64]) -> u64 {
        let Some(held) = self.engines.get(engine) else {
            return 0;
        };
        let known = blocks
            .iter()
            .take_while(|block| held.0.contains(*block))
            .count();
        (known * BLOCK_WORDS) as u64
    }
}
