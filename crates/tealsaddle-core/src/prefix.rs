//! Estimate of the contents of the engines' prefix caches.
//!
//! An engine does not have to read the start of a prompt again while its prefix cache contains that start. A
//! node learns from its own requests: an engine caches each prompt that it reads, and each answer reports how
//! many prompt tokens were found in the cache. Blocks that were not found have been evicted and are removed
//! from the estimate. The engines' cache events are not used: they arrive late and with gaps, and they
//! identify blocks by hashes specific to the engine.
//!
//! Prompts are split into blocks, and the hash of a block covers all blocks before it, so two prompts share a
//! block only if they are equal up to its end. The memory per engine is bounded by the capacity of its cache.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::num::NonZeroUsize;

use lru::LruCache;
use rustc_hash::FxHasher;

use crate::collections::HashMap;
use crate::name::Name;

/// Number of words in a block. A word counts as one token.
pub const BLOCK_WORDS: usize = 64;
/// Largest number of blocks that are hashed per prompt; later blocks have little effect on the choice of an
/// engine.
const MAX_BLOCKS: usize = 512;

/// Returns the hashes of the complete blocks of a prompt, from its start.
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

/// Blocks that one engine is estimated to have in its cache, in LRU order.
struct CachedBlocks(LruCache<u64, ()>);

impl fmt::Debug for CachedBlocks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CachedBlocks({} blocks)", self.0.len())
    }
}

/// Estimate of the prompt blocks in the prefix cache of each engine.
#[derive(Debug, Default)]
pub struct PrefixCacheEstimate {
    engines: HashMap<Name, CachedBlocks>,
}

impl PrefixCacheEstimate {
    /// Records that an engine reads a prompt. `capacity_tokens` is the capacity of the engine's cache.
    pub fn on_read(&mut self, engine: &Name, capacity_tokens: u64, blocks: &[u64]) {
        let capacity = (capacity_tokens as usize / BLOCK_WORDS).max(1);
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        let cached = self
            .engines
            .entry(Name::clone(engine))
            .or_insert_with(|| CachedBlocks(LruCache::new(capacity)));
        if cached.0.cap() != capacity {
            cached.0.resize(capacity);
        }
        // The last block is touched first, so that a prefix is never evicted before the blocks after it.
        for block in blocks.iter().rev() {
            cached.0.put(*block, ());
        }
    }

    /// Corrects the estimate after an engine has reported how many tokens of a prompt it found in its
    /// cache. `blocks` are the blocks of the prompt, `expected_tokens` is what
    /// [`cached_tokens`](Self::cached_tokens) returned before the engine read it.
    pub fn on_answer(
        &mut self,
        engine: &str,
        blocks: &[u64],
        expected_tokens: u64,
        found_tokens: u64,
    ) {
        // A difference of less than a block is caused by the engine's way of counting tokens.
        if found_tokens + BLOCK_WORDS as u64 > expected_tokens {
            return;
        }
        // The engine has just read the blocks of this prompt; all other blocks may have been evicted too.
        if let Some(cached) = self.engines.get_mut(engine) {
            cached.0.clear();
            for block in blocks.iter().rev() {
                cached.0.put(*block, ());
            }
        }
    }

    /// Returns how many tokens at the start of the prompt are estimated to be in the engine's cache.
    pub fn cached_tokens(&self, engine: &str, blocks: &[u64]) -> u64 {
        let Some(cached) = self.engines.get(engine) else {
            return 0;
        };
        let cached_blocks = blocks
            .iter()
            .take_while(|block| cached.0.contains(*block))
            .count();
        (cached_blocks * BLOCK_WORDS) as u64
    }
}
