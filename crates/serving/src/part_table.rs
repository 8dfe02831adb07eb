//! Parts of prompts that crash runners, told apart from those that are answered.
//!
//! Load pattern: a part of some prompts crashes each runner that begins to answer them. Such
//! requests come at any node, share their caller and their other parts with harmless ones, and
//! each ends a runner and all calls there. A part under which several runners have crashed,
//! and no answer has been seen, is blocked at all nodes.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::suspect_parts::{BLOCK_SPAN, CRASH_SPAN, NewBlock, SuspectParts};
use crate::{CrashReport, PartUpdate, RunnerIncarnation, TimedPart};

/// Time after an answer in which a crash says nothing about the parts of its prompt.
const SAFE_SPAN: TimeSpan = TimeSpan::seconds(30);
/// Time for which each heartbeat repeats a crash or an answer, since heartbeats may be lost.
const REPEAT_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of safe parts.
const MAX_SAFE_PARTS: usize = 4_096;
/// Maximum number of parts of each kind in one update.
const MAX_UPDATE_PARTS: usize = 256;

/// A change of what is known about a part, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// The part is to be blocked.
    Blocked {
        /// The part.
        part: PromptPart,
        /// Number of crashes under it that this node knows of.
        crashes: usize,
    },
    /// The part was suspected or blocked, and has been answered.
    Cleared {
        /// The part.
        part: PromptPart,
    },
}

/// A crash that this node saw itself.
#[derive(Debug)]
struct OwnCrash {
    runner: RunnerIncarnation,
    parts: Vec<PromptPart>,
    /// Until when it counts.
    until: TimePoint,
    repeat_until: TimePoint,
}

/// What this node knows about the parts of prompts.
#[derive(Debug, Default)]
pub struct PartTable {
    /// Parts that were answered; crashes before this time say nothing about them.
    safe: BTreeMap<PromptPart, TimePoint>,
    suspects: SuspectParts,
    /// Crashes that the updates of this node repeat.
    own_crashes: Vec<OwnCrash>,
    /// Safe parts that the updates of this node repeat, and until when.
    repeated_safe: BTreeMap<PromptPart, TimePoint>,
    changes: Vec<PartChange>,
    /// Blocks that this node began or ended and that the store lacks: until when they hold, or
    /// `None` for those that ended.
    unsaved: BTreeMap<PromptPart, Option<TimePoint>>,
}

impl PartTable {
    /// Records that a runner answered a prompt with these parts, or wrote enough of the answer.
    /// Returns whether other nodes have to know.
    pub fn record_answer(&mut self, now: TimePoint, parts: &[PromptPart]) -> bool {
        let mut is_new = false;
        for part in parts {
            let was_blocked = self.suspects.has_block(part);
            if self.mark_safe(part, now + SAFE_SPAN) {
                is_new |= self.repeat_safe(now, part);
                if was_blocked {
                    self.unsaved.insert(part.clone(), None);
                }
            }
        }
        is_new
    }

    /// Records that a runner crashed while it was about to answer a prompt with these parts.
    /// Returns whether other nodes have to know.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        parts: &[PromptPart],
    ) -> bool {
        let suspected = parts.iter().filter(|part| !self.is_safe_at(part, now));
        let parts: Vec<PromptPart> = suspected.take(MAX_UPDATE_PARTS).cloned().collect();
        if parts.is_empty() {
            return false;
        }
        let until = now + CRASH_SPAN;
        if let Some(block) = self.suspects.add_crash(now, until, runner, &parts) {
            self.unsaved.insert(block.part.clone(), Some(block.until));
            self.note_block(block);
        }
        let repeat_until = now + REPEAT_SPAN;
        self.own_crashes.push(OwnCrash { runner: runner.clone(), parts, until, repeat_until });
        true
    }

    /// The first of `parts` that is blocked, and when that ends.
    #[must_use]
    pub fn find_blocked<'a>(
        &self,
        now: TimePoint,
        parts: &'a [PromptPart],
    ) -> Option<(&'a PromptPart, TimePoint)> {
        if self.suspects.is_empty() {
            return None;
        }
        let blocked = |part| Some((part, self.suspects.blocked_until(now, part)?));
        parts.iter().find_map(blocked)
    }

    /// What other nodes are to know.
    #[must_use]
    pub fn update(&self, now: TimePoint) -> PartUpdate {
        let mut crash_parts = 0;
        let fits = |crash: &&OwnCrash| {
            crash_parts += crash.parts.len();
            crash_parts <= MAX_UPDATE_PARTS
        };
        let report = |crash: &OwnCrash| CrashReport {
            runner: crash.runner.clone(),
            parts: crash.parts.clone(),
            left: crash.until.since(now),
        };
        let recent = self.own_crashes.iter().rev().filter(|crash| now < crash.repeat_until);
        let blocked = self.suspects.blocks().filter_map(|(part, until)| timed(now, part, until));
        let safe = |(part, repeat_until): (&PromptPart, &TimePoint)| {
            let until = self.safe.get(part).filter(|_| now < *repeat_until)?;
            timed(now, part, *until)
        };
        PartUpdate {
            crashes: recent.take_while(fits).map(report).collect(),
            blocked: blocked.take(MAX_UPDATE_PARTS).collect(),
            safe: self.repeated_safe.iter().filter_map(safe).take(MAX_UPDATE_PARTS).collect(),
        }
    }

    /// Applies the update of another node. Returns whether that node lacks an answer that this
    /// one saw.
    pub fn apply_update(&mut self, now: TimePoint, update: &PartUpdate) -> bool {
        for safe in &update.safe {
            self.mark_safe(&safe.part, now + safe.left);
        }
        let mut lacks_answer = false;
        for crash in &update.crashes {
            lacks_answer |= self.apply_crash(now, crash);
        }
        for blocked in &update.blocked {
            let until = now + blocked.left;
            if self.is_safe_at(&blocked.part, until - BLOCK_SPAN) {
                lacks_answer |= self.repeat_safe(now, &blocked.part);
            } else if let Some(block) = self.suspects.take_block(now, until, &blocked.part) {
                self.note_block(block);
            }
        }
        lacks_answer
    }

    /// Counts a crash that another node saw against the parts that are not known to be safe.
    /// Returns whether that node does not know of one that is.
    fn apply_crash(&mut self, now: TimePoint, crash: &CrashReport) -> bool {
        let until = now + crash.left;
        let is_safe = |part: &PromptPart| self.is_safe_at(part, until - CRASH_SPAN);
        let (safe, suspected): (Vec<PromptPart>, Vec<PromptPart>) =
            crash.parts.iter().cloned().partition(is_safe);
        let mut lacks_answer = false;
        for part in &safe {
            lacks_answer |= self.repeat_safe(now, part);
        }
        if let Some(block) = self.suspects.add_crash(now, until, &crash.runner, &suspected) {
            self.note_block(block);
        }
        lacks_answer
    }

    /// Takes over a block that was read from the store.
    pub fn load_block(&mut self, now: TimePoint, until: TimePoint, part: &PromptPart) {
        let until = until.min(now + BLOCK_SPAN);
        if until <= now || self.is_safe_at(part, now) {
            return;
        }
        if let Some(block) = self.suspects.take_block(now, until, part) {
            self.note_block(block);
        }
    }

    /// Has the blocks of this node saved that are not among the `stored` parts, and the records of
    /// those cleared that were answered.
    pub fn compare_stored(&mut self, now: TimePoint, stored: &BTreeSet<PromptPart>) {
        let blocks = self.suspects.blocks();
        let lacking = blocks.filter(|(part, until)| now < *until && !stored.contains(*part));
        for (part, until) in lacking {
            self.unsaved.entry(part.clone()).or_insert(Some(until));
        }
        for part in stored {
            if self.is_safe_at(part, now) {
                self.unsaved.entry(part.clone()).or_insert(None);
            }
        }
    }

    /// The blocks that this node began or ended since the last call: the part, and until when it
    /// is blocked, or `None` if the block has ended.
    pub fn take_unsaved(&mut self) -> BTreeMap<PromptPart, Option<TimePoint>> {
        std::mem::take(&mut self.unsaved)
    }

    /// Returns a block that could not be saved, unless there is a newer one of its part.
    pub fn return_unsaved(&mut self, part: PromptPart, until: Option<TimePoint>) {
        self.unsaved.entry(part).or_insert(until);
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: TimePoint) {
        self.suspects.prune(now);
        self.own_crashes.retain(|crash| now < crash.repeat_until);
        self.repeated_safe.retain(|_, repeat_until| now < *repeat_until);
        self.safe.retain(|_, until| now < *until + REPEAT_SPAN);
    }

    /// Whether an answer was seen by which a crash at `time` says nothing about the part.
    fn is_safe_at(&self, part: &PromptPart, time: TimePoint) -> bool {
        self.safe.get(part).is_some_and(|until| time < *until)
    }

    /// Records an answer by which crashes before `until` say nothing about the part. Returns
    /// whether the part was suspected because of such crashes only.
    fn mark_safe(&mut self, part: &PromptPart, until: TimePoint) -> bool {
        if self.safe.len() >= MAX_SAFE_PARTS && !self.safe.contains_key(part) {
            drop_oldest(&mut self.safe);
        }
        let safe_until = self.safe.entry(part.clone()).or_insert(until);
        *safe_until = until.max(*safe_until);
        let is_cleared = self.suspects.remove_if_before(until, part);
        if is_cleared {
            self.changes.push(PartChange::Cleared { part: part.clone() });
        }
        is_cleared
    }

    /// Has the updates of this node say that a part is safe. Returns whether they did not before.
    fn repeat_safe(&mut self, now: TimePoint, part: &PromptPart) -> bool {
        self.repeated_safe.insert(part.clone(), now + REPEAT_SPAN).is_none()
    }

    fn note_block(&mut self, block: NewBlock) {
        let NewBlock { part, crashes, .. } = block;
        self.changes.push(PartChange::Blocked { part, crashes });
    }
}

/// A part with the time that is left until `until`; `None` if it has passed.
fn timed(now: TimePoint, part: &PromptPart, until: TimePoint) -> Option<TimedPart> {
    (now < until).then(|| TimedPart { part: part.clone(), left: until.since(now) })
}

/// Drops the part whose last answer is the oldest.
fn drop_oldest(safe: &mut BTreeMap<PromptPart, TimePoint>) {
    let oldest = safe.iter().min_by_key(|(_, until)| **until).map(|(part, _)| part.clone());
    if let Some(part) = oldest {
        safe.remove(&part);
    }
}
