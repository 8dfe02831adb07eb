//! The cache of prompt prefixes, in limited memory.

use std::collections::{BTreeMap, VecDeque};

use base::CacheEvent;

/// A cached prefix.
#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    tokens: u32,
    blocks: u32,
    used: u64,
}

/// Prefixes by hash; the least recently used one is evicted first.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    prefixes: BTreeMap<u64, CachedPrefix>,
    events: VecDeque<CacheEvent>,
    free_blocks: u32,
    uses: u64,
    sequence: u64,
}

impl PrefixCache {
    /// An empty cache of `blocks` memory blocks.
    #[must_use]
    pub fn new(blocks: u32) -> Self {
        Self { free_blocks: blocks, ..Self::default() }
    }

    /// Cached tokens of `prefix`, which counts as used now.
    pub fn find(&mut self, prefix: u64) -> u32 {
        self.uses += 1;
        let Some(cached) = self.prefixes.get_mut(&prefix) else {
            return 0;
        };
        cached.used = self.uses;
        cached.tokens
    }

    /// Stores a prefix; one that is larger than the cache is not stored.
    pub fn store(&mut self, prefix: u64, tokens: u32, blocks: u32) {
        if tokens == 0 || self.prefixes.contains_key(&prefix) {
            return;
        }
        while self.free_blocks < blocks {
            if !self.evict() {
                return;
            }
        }
        self.free_blocks -= blocks;
        self.uses += 1;
        self.prefixes.insert(prefix, CachedPrefix { tokens, blocks, used: self.uses });
        self.publish(prefix, true);
    }

    /// Evicts everything.
    pub fn clear(&mut self) {
        while self.evict() {}
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        self.events.drain(..).collect()
    }

    fn evict(&mut self) -> bool {
        let oldest = self.prefixes.iter().min_by_key(|(_, cached)| cached.used);
        let Some((&prefix, &cached)) = oldest else {
            return false;
        };
        self.prefixes.remove(&prefix);
        self.free_blocks += cached.blocks;
        self.publish(prefix, false);
        true
    }

    fn publish(&mut self, prefix: u64, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, prefix, stored });
    }
}
