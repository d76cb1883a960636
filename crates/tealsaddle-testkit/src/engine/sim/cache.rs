//! Prefix cache of limited size, and the events that it publishes.

use std::collections::{BTreeMap, VecDeque};

use tealsaddle_core::collections::HashMap;

use super::SimConfig;

/// Prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 64;

/// Maximum number of cache events kept for slow readers.
const MAX_EVENTS: usize = 4_096;

/// The storage or eviction of a block in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event; lost events leave gaps.
    pub sequence: u64,
    /// Time from which the event can be read.
    pub visible_us: u64,
    /// Hash of the block and of all blocks before it.
    pub block: u64,
    /// Whether the block was stored; false if it was evicted.
    pub is_stored: bool,
}

/// A cache of blocks with least-recently-used eviction.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    event_delay_us: u64,
    lost_every: u64,
    /// Number of the latest use of each cached block.
    used_at: HashMap<u64, u64>,
    /// Cached blocks by the number of their latest use; the first one is evicted next.
    by_use: BTreeMap<u64, u64>,
    /// Number of uses so far, counted per block.
    uses: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(config: &SimConfig) -> Self {
        Self {
            capacity_blocks: (config.prefix_cache_tokens / BLOCK_TOKENS) as usize,
            event_delay_us: config.cache_event_delay_us,
            lost_every: config.cache_event_lost_every,
            used_at: HashMap::default(),
            by_use: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Number of tokens in the leading blocks that are cached.
    pub(super) fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let hits = blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(block));
        hits.count() as u64 * BLOCK_TOKENS
    }

    /// Stores blocks, or updates the last use of stored ones.
    pub(super) fn store(&mut self, blocks: &[u64], now_us: u64) {
        // The last block is updated first, so that a prefix is never evicted before its
        // continuation.
        for block in blocks.iter().rev() {
            self.uses += 1;
            match self.used_at.insert(*block, self.uses) {
                Some(before) => {
                    self.by_use.remove(&before);
                }
                None => self.publish(*block, true, now_us),
            }
            self.by_use.insert(self.uses, *block);
        }
        while self.used_at.len() > self.capacity_blocks
            && let Some((_, block)) = self.by_use.pop_first()
        {
            self.used_at.remove(&block);
            self.publish(block, false, now_us);
        }
    }

    /// Empties the cache without events, as happens at a crash and at the end of a change.
    pub(super) fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
    }

    pub(super) fn events(&self, after: u64, now_us: u64) -> Vec<CacheEvent> {
        let visible = self
            .events
            .iter()
            .take_while(|event| event.visible_us <= now_us);
        visible
            .filter(|event| event.sequence > after)
            .copied()
            .collect()
    }

    fn publish(&mut self, block: u64, is_stored: bool, now_us: u64) {
        self.sequence += 1;
        if self.lost_every > 0 && self.sequence.is_multiple_of(self.lost_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            visible_us: now_us + self.event_delay_us,
            block,
            is_stored,
        });
    }
}
