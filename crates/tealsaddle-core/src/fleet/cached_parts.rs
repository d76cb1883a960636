//! Estimate of the prompt parts in a runner's KV cache.
//!
//! A node learns from its own requests: a runner that has read a part keeps the part until it is evicted
//! as the least recently used one. The estimate evicts in the same order at a given capacity in tokens,
//! so that parts which the runner must have evicted are removed here as well.

use std::fmt;

use lru::LruCache;

use super::PromptPart;

/// Prompt parts that one runner is estimated to have in its cache, in LRU order.
pub struct CachedParts {
    parts: LruCache<u64, u64>,
    tokens: u64,
}

impl fmt::Debug for CachedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "CachedParts({}, {} tokens)",
            self.parts.len(),
            self.tokens
        )
    }
}

impl Default for CachedParts {
    fn default() -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: 0,
        }
    }
}

impl CachedParts {
    /// Records that the runner has read a prompt. `capacity_tokens` is the share of the runner's cache that
    /// this estimate may fill, in tokens.
    pub fn on_read(&mut self, parts: &[PromptPart], capacity_tokens: u64) {
        // The last part is touched first, so that a prefix is never evicted before the parts after it.
        for part in parts.iter().rev() {
            if self.parts.put(part.id, part.tokens).is_none() {
                self.tokens += part.tokens;
            }
        }
        while self.tokens > capacity_tokens {
            let Some((_id, tokens)) = self.parts.pop_lru() else {
                break;
            };
            self.tokens -= tokens;
        }
    }

    /// Returns how many tokens at the start of the prompt are estimated to be in the runner's cache.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains(&part.id));
        cached.map(|part| part.tokens).sum()
    }
}
