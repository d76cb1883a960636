//! Prompt parts that a runner is thought to hold.
//!
//! A node learns from its own requests: a runner that has read a part keeps it until the least recently
//! used parts have to yield. The bound in tokens is the runner's own, so that what it must have evicted
//! is forgotten here as well.

use std::fmt;

use lru::LruCache;

use super::PromptPart;

/// Parts of one runner.
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
    /// Notes that the runner has read a prompt; `capacity_tokens` is what its cache can hold.
    pub fn on_read(&mut self, parts: &[PromptPart], capacity_tokens: u64) {
        // The last part is touched first, so that a prefix never goes before what follows it.
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

    /// Tokens at the start of the prompt that the runner is thought to hold.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u64 {
        let known = parts
            .iter()
            .take_while(|part| self.parts.contains(&part.id));
        known.map(|part| part.tokens).sum()
    }
}
