//! Parts of prompts under which runners crashed, and which of them are blocked.
//!
//! Load pattern: one crash takes several calls, and fails many calls of all nodes where runners crash
//! for other reasons, so that most suspected parts have nothing to do with it.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::RunnerIncarnation;

/// Number of runners that have to crash under a part before it is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Time from the last of these crashes until the block: other nodes may have seen an answer.
const CONFIRM_SPAN: TimeSpan = TimeSpan::millis(300);
/// Time for which a crash counts.
pub const CRASH_SPAN: TimeSpan = TimeSpan::seconds(300);
/// Time for which a part is blocked after its last crash.
pub const BLOCK_SPAN: TimeSpan = TimeSpan::seconds(600);
/// Difference up to which two ends of one block count as the same. A remaining time that nodes
/// pass on to each other grows by the delay of each message.
const SAME_END_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 4_096;

/// When a part is blocked.
#[derive(Debug, Clone, Copy)]
struct PartBlock {
    from: TimePoint,
    until: TimePoint,
}

/// A part under which runners crashed.
#[derive(Debug, Default)]
struct SuspectPart {
    /// The runners that crashed under it, and until when each crash counts.
    crashes: BTreeMap<RunnerIncarnation, TimePoint>,
    block: Option<PartBlock>,
}

impl SuspectPart {
    /// Whether all crashes under it happened before `time`.
    fn crashed_before(&self, time: TimePoint) -> bool {
        let counted = self.crashes.values().all(|until| *until < time + CRASH_SPAN);
        counted && self.block.is_none_or(|block| block.until < time + BLOCK_SPAN)
    }

    /// Until when the newest of its crashes counts.
    fn last_until(&self) -> TimePoint {
        self.crashes.values().max().copied().unwrap_or_default()
    }

    fn is_over(&self, now: TimePoint) -> bool {
        self.crashes.is_empty() && self.block.is_none_or(|block| block.until <= now)
    }
}

/// A part that has just been blocked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewBlock {
    /// The part.
    pub part: PromptPart,
    /// Number of crashes under it that this node knows of.
    pub crashes: usize,
    /// End of the block.
    pub until: TimePoint,
}

/// All suspected parts.
#[derive(Debug, Default)]
pub struct SuspectParts {
    parts: BTreeMap<PromptPart, SuspectPart>,
    /// Runners that crashed under a blocked part, and that part. Their crashes count against no
    /// other part while it is blocked.
    explained: BTreeMap<RunnerIncarnation, PromptPart>,
}

impl SuspectParts {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// When the block of a part ends; `None` if the part is not blocked now.
    #[must_use]
    pub fn blocked_until(&self, now: TimePoint, part: &PromptPart) -> Option<TimePoint> {
        let block = self.parts.get(part)?.block?;
        (block.from <= now && now < block.until).then_some(block.until)
    }

    /// All blocked parts with the ends of their blocks, those whose block is about to begin
    /// included.
    pub fn blocks(&self) -> impl Iterator<Item = (&PromptPart, TimePoint)> {
        self.parts.iter().filter_map(|(part, suspect)| Some((part, suspect.block?.until)))
    }

    /// Whether a part is blocked, or about to be.
    #[must_use]
    pub fn has_block(&self, part: &PromptPart) -> bool {
        self.parts.get(part).is_some_and(|suspect| suspect.block.is_some())
    }

    /// Counts a crash, which counts until `until`, against the parts of a prompt, unless a blocked
    /// part explains it. Returns the part that is blocked because of it.
    pub fn add_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        parts: &[PromptPart],
    ) -> Option<NewBlock> {
        if let Some(blocked) = parts.iter().find(|part| self.has_block(part)) {
            self.add_explained_crash(until, runner, blocked);
            return None;
        }
        if self.is_explained(runner) {
            return None;
        }
        // The last part is the most specific one: if all crashes so far have several parts in
        // common, it is blocked alone, and the others only if crashes go on without it.
        parts.iter().rev().find_map(|part| self.count_crash(now, until, runner, part))
    }

    /// Counts a crash against a blocked part, and prolongs its block.
    fn add_explained_crash(
        &mut self,
        until: TimePoint,
        runner: &RunnerIncarnation,
        part: &PromptPart,
    ) {
        let Some(suspect) = self.parts.get_mut(part) else { return };
        suspect.crashes.entry(runner.clone()).or_insert(until);
        if let Some(block) = &mut suspect.block {
            block.until = block.until.max(until - CRASH_SPAN + BLOCK_SPAN);
        }
        self.explain(runner, part);
    }

    /// Whether the runner crashed under a part that is still blocked.
    fn is_explained(&self, runner: &RunnerIncarnation) -> bool {
        self.explained.get(runner).is_some_and(|part| self.has_block(part))
    }

    /// Records that a blocked part explains the crash of a runner, and takes the crash off all
    /// others.
    fn explain(&mut self, runner: &RunnerIncarnation, part: &PromptPart) {
        if self.explained.insert(runner.clone(), part.clone()).as_ref() == Some(part) {
            return;
        }
        for suspect in self.parts.values_mut().filter(|suspect| suspect.block.is_none()) {
            suspect.crashes.remove(runner);
        }
    }

    /// Counts a crash against one part. Returns its block if that begins because of it.
    fn count_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        part: &PromptPart,
    ) -> Option<NewBlock> {
        let suspect = self.entry(part);
        suspect.crashes.entry(runner.clone()).or_insert(until);
        let crashes = suspect.crashes.values().filter(|until| now < **until).count();
        if crashes < CRASHES_TO_BLOCK {
            return None;
        }
        let until = suspect.last_until() - CRASH_SPAN + BLOCK_SPAN;
        suspect.block = Some(PartBlock { from: now + CONFIRM_SPAN, until });
        let runners: Vec<RunnerIncarnation> = suspect.crashes.keys().cloned().collect();
        for runner in &runners {
            self.explain(runner, part);
        }
        Some(NewBlock { part: part.clone(), crashes, until })
    }

    /// Takes over the block of another node or of the store. Returns it if the part was not
    /// blocked before.
    pub fn take_block(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        part: &PromptPart,
    ) -> Option<NewBlock> {
        let suspect = self.entry(part);
        if let Some(block) = &mut suspect.block {
            if until > block.until + SAME_END_SPAN {
                block.until = until;
            }
            return None;
        }
        suspect.block = Some(PartBlock { from: now, until });
        let crashes = suspect.crashes.len();
        Some(NewBlock { part: part.clone(), crashes, until })
    }

    /// Removes a part if all crashes under it happened before `time`. Returns whether it was
    /// suspected until then.
    pub fn remove_if_before(&mut self, time: TimePoint, part: &PromptPart) -> bool {
        let is_before = self.parts.get(part).is_some_and(|suspect| suspect.crashed_before(time));
        is_before && self.parts.remove(part).is_some()
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: TimePoint) {
        for suspect in self.parts.values_mut() {
            suspect.crashes.retain(|_, until| now < *until);
        }
        self.parts.retain(|_, suspect| !suspect.is_over(now));
        let parts = &self.parts;
        self.explained.retain(|runner, part| {
            parts.get(part).is_some_and(|suspect| suspect.crashes.contains_key(runner))
        });
    }

    /// The entry of a part, new if there is none.
    fn entry(&mut self, part: &PromptPart) -> &mut SuspectPart {
        if self.parts.len() >= MAX_SUSPECTS && !self.parts.contains_key(part) {
            self.make_room();
        }
        self.parts.entry(part.clone()).or_default()
    }

    /// Drops the older half of the parts that are not blocked: a part that crashes runners is
    /// among the newer ones again with its next crash.
    fn make_room(&mut self) {
        let unblocked = self.parts.values().filter(|suspect| suspect.block.is_none());
        let mut ends: Vec<TimePoint> = unblocked.map(SuspectPart::last_until).collect();
        ends.sort_unstable();
        let Some(middle) = ends.get(ends.len() / 2).copied() else { return };
        let mut spare = ends.len() / 2 + 1;
        self.parts.retain(|_, suspect| {
            let is_dropped = suspect.block.is_none() && suspect.last_until() <= middle && spare > 0;
            spare -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
