//! Prompt prefixes cached at each runner. The cache events may be late, duplicated or lost,
//! so the table is approximate.

use std::collections::{BTreeMap, BTreeSet};

use base::CacheEvent;

/// Maximum number of prefixes kept per runner.
const MAX_PREFIXES: usize = 4_096;

/// Cached prefixes of one runner.
#[derive(Debug, Default)]
struct RunnerPrefixes {
    stored: BTreeSet<u64>,
    next_sequence: u64,
}

/// Cached prefixes of all runners, keyed by index in the scheduler's runner list.
#[derive(Debug, Default)]
pub struct PrefixTable {
    runners: BTreeMap<usize, RunnerPrefixes>,
    gaps: u64,
}

impl PrefixTable {
    /// Applies a cache event of a runner; duplicate and out-of-order events are dropped.
    pub fn apply(&mut self, slot: usize, event: &CacheEvent) {
        let prefixes = self.runners.entry(slot).or_default();
        if event.sequence < prefixes.next_sequence {
            return;
        }
        if event.sequence > prefixes.next_sequence && prefixes.next_sequence > 0 {
            self.gaps += 1;
        }
        prefixes.next_sequence = event.sequence + 1;
        if !event.stored {
            prefixes.stored.remove(&event.prefix);
        } else if prefixes.stored.len() < MAX_PREFIXES {
            prefixes.stored.insert(event.prefix);
        }
    }

    /// Removes all prefixes of a runner, for example after its restart.
    pub fn remove_runner(&mut self, slot: usize) {
        self.runners.remove(&slot);
    }

    /// Returns whether the runner is believed to have the prefix cached.
    #[must_use]
    pub fn contains(&self, slot: usize, prefix: u64) -> bool {
        self.runners.get(&slot).is_some_and(|prefixes| prefixes.stored.contains(&prefix))
    }

    /// Returns the number of sequence gaps seen in the events so far.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}
