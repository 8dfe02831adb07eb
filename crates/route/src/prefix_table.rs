//! Which runner has which prompt prefix cached, as far as late and lossy events tell.

use std::collections::{BTreeMap, BTreeSet};

use base::CacheEvent;

/// Prefixes kept for each runner.
const PREFIX_LIMIT: usize = 4_096;

/// The prefixes of one runner.
#[derive(Debug, Default)]
struct RunnerPrefixes {
    stored: BTreeSet<u64>,
    next: u64,
}

/// Cached prefixes of all runners, by their position in the scheduler's list.
#[derive(Debug, Default)]
pub struct PrefixTable {
    runners: BTreeMap<usize, RunnerPrefixes>,
    gaps: u64,
}

impl PrefixTable {
    /// Takes an event of a runner; events that come twice or too late are dropped.
    pub fn apply(&mut self, slot: usize, event: &CacheEvent) {
        let prefixes = self.runners.entry(slot).or_default();
        if event.sequence < prefixes.next {
            return;
        }
        if event.sequence > prefixes.next && prefixes.next > 0 {
            self.gaps += 1;
        }
        prefixes.next = event.sequence + 1;
        if !event.stored {
            prefixes.stored.remove(&event.prefix);
        } else if prefixes.stored.len() < PREFIX_LIMIT {
            prefixes.stored.insert(event.prefix);
        }
    }

    /// Forgets a runner, as after its restart.
    pub fn remove_runner(&mut self, slot: usize) {
        self.runners.remove(&slot);
    }

    /// Whether the runner seems to have the prefix.
    #[must_use]
    pub fn contains(&self, slot: usize, prefix: u64) -> bool {
        self.runners.get(&slot).is_some_and(|prefixes| prefixes.stored.contains(&prefix))
    }

    /// Gaps in the events so far.
    #[must_use]
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}
