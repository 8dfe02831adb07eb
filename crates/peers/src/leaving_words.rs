//! The runners' starts that were said to leave: a word is never taken back.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::LeavingWord;

/// Starts of one runner that are remembered.
const MAX_STARTS: usize = 8;
/// Stands for the start of a runner that has not reported yet.
const UNKNOWN_START: u64 = 0;

struct KnownWord {
    incarnation: u64,
    change: u64,
}

/// Leaving words by runner.
#[derive(Default)]
pub(crate) struct LeavingWords {
    words: BTreeMap<RunnerId, Vec<KnownWord>>,
}

impl LeavingWords {
    /// Whether this start of `runner` was said to leave.
    pub(crate) fn has(&self, runner: &RunnerId, incarnation: u64) -> bool {
        self.words.get(runner).is_some_and(|words| {
            let applies =
                |word: &KnownWord| [incarnation, UNKNOWN_START].contains(&word.incarnation);
            words.iter().any(applies)
        })
    }

    /// Notes a word as change number `change`; false if it was known.
    pub(crate) fn add(&mut self, word: LeavingWord, change: u64) -> bool {
        let words = self.words.entry(word.runner).or_default();
        if words.iter().any(|known| known.incarnation == word.incarnation) {
            return false;
        }
        if words.len() >= MAX_STARTS {
            words.remove(0);
        }
        words.push(KnownWord { incarnation: word.incarnation, change });
        true
    }

    /// Gives a word that was said before the runner's first report its start.
    pub(crate) fn bind(&mut self, runner: &RunnerId, incarnation: u64, change: u64) {
        let unbound = self
            .words
            .get_mut(runner)
            .and_then(|words| words.iter_mut().find(|word| word.incarnation == UNKNOWN_START));
        if let Some(word) = unbound {
            *word = KnownWord { incarnation, change };
        }
    }

    /// Words after change number `change` whose start is known.
    pub(crate) fn since(&self, change: u64) -> Vec<LeavingWord> {
        let mut since = Vec::new();
        for (runner, words) in &self.words {
            for word in words {
                if word.change > change && word.incarnation != UNKNOWN_START {
                    let incarnation = word.incarnation;
                    since.push(LeavingWord { runner: runner.clone(), incarnation });
                }
            }
        }
        since
    }

    /// Forgets all words of a runner.
    pub(crate) fn forget(&mut self, runner: &RunnerId) {
        self.words.remove(runner);
    }
}
