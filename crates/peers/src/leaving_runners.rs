//! The incarnations of runners that are known to be leaving; a mark is never removed.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::LeavingRunner;

/// Incarnations of one runner that are remembered.
const MAX_INCARNATIONS: usize = 8;
/// Stands for the incarnation of a runner that has not reported yet.
const UNKNOWN_INCARNATION: u64 = 0;

struct LeavingMark {
    incarnation: u64,
    change: u64,
}

/// Leaving marks by runner.
#[derive(Default)]
pub(crate) struct LeavingRunners {
    marks: BTreeMap<RunnerId, Vec<LeavingMark>>,
}

impl LeavingRunners {
    /// Whether this incarnation of `runner` is marked; a mark without a known incarnation
    /// applies to any.
    pub(crate) fn contains(&self, runner: &RunnerId, incarnation: u64) -> bool {
        self.marks.get(runner).is_some_and(|marks| {
            let applies =
                |mark: &LeavingMark| [incarnation, UNKNOWN_INCARNATION].contains(&mark.incarnation);
            marks.iter().any(applies)
        })
    }

    /// Adds a mark as change number `change`; false if there was one.
    pub(crate) fn insert(&mut self, leaving: LeavingRunner, change: u64) -> bool {
        let LeavingRunner { runner, incarnation } = leaving;
        let marks = self.marks.entry(runner).or_default();
        if marks.iter().any(|mark| mark.incarnation == incarnation) {
            return false;
        }
        if marks.len() >= MAX_INCARNATIONS {
            marks.remove(0);
        }
        marks.push(LeavingMark { incarnation, change });
        true
    }

    /// Binds a mark from before the runner's first report to the incarnation reported.
    pub(crate) fn bind(&mut self, runner: &RunnerId, incarnation: u64, change: u64) {
        let unbound = self.marks.get_mut(runner).and_then(|marks| {
            marks.iter_mut().find(|mark| mark.incarnation == UNKNOWN_INCARNATION)
        });
        if let Some(mark) = unbound {
            *mark = LeavingMark { incarnation, change };
        }
    }

    /// Marks after change number `change` whose incarnation is known.
    pub(crate) fn since(&self, change: u64) -> Vec<LeavingRunner> {
        let mut since = Vec::new();
        for (runner, marks) in &self.marks {
            for mark in marks {
                if mark.change > change && mark.incarnation != UNKNOWN_INCARNATION {
                    let (runner, incarnation) = (runner.clone(), mark.incarnation);
                    since.push(LeavingRunner { runner, incarnation });
                }
            }
        }
        since
    }

    /// Removes all marks of a runner that is no longer listed.
    pub(crate) fn remove(&mut self, runner: &RunnerId) {
        self.marks.remove(runner);
    }
}
