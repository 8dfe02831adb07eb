//! Limits that runners name in their answers, in requests a second from all nodes together.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::RunnerIncarnation;

/// Time for which the last word of a runner on its limit holds.
const WORD_SPAN: TimeSpan = TimeSpan::seconds(60);

/// The last word of a runner on its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitWord {
    /// The start of the runner that said it.
    pub runner: RunnerIncarnation,
    /// The limit; `None` if the runner has none any more.
    pub limit: Option<RequestRate>,
    /// Until when the word holds.
    pub until: TimePoint,
}

/// The limits of all runners at this node.
#[derive(Debug, Default)]
pub struct LimitTable {
    words: BTreeMap<RunnerId, LimitWord>,
}

impl LimitTable {
    /// Records the limit that a runner named in an answer, or that it named none. Returns whether
    /// that changes its limit.
    pub fn record(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        limit: Option<RequestRate>,
    ) -> bool {
        let word = LimitWord { runner: runner.clone(), limit, until: now + WORD_SPAN };
        let known = self.words.get(&runner.runner);
        if known.is_some_and(|known| known.runner.started_unix_ms > runner.started_unix_ms) {
            return false;
        }
        let known_limit = known.filter(|known| known.runner == *runner && now < known.until);
        let changed = known_limit.and_then(|known| known.limit) != limit;
        if changed || known.is_some() {
            self.words.insert(runner.runner.clone(), word);
        }
        changed
    }

    /// Drops words that no longer hold.
    pub fn prune(&mut self, now: TimePoint) {
        self.words.retain(|_, word| now < word.until);
    }
}
