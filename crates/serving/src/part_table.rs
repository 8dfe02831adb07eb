//! Parts of prompts that crash runners, told apart from those that are answered.
//!
//! Load pattern: a part of some prompts crashes each runner that begins to answer them. Such
//! requests come at any node, share their caller and their other parts with sound ones, and
//! each takes a runner and all that runs there. A part under which several runners have
//! crashed, and no answer has been seen, is blocked at all nodes.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{CrashReport, PartNews, RunnerIncarnation, TimedPart};

/// Number of runners that have to crash under a part before it is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Time from the last of these crashes until the block: other nodes may have seen an answer.
const CONFIRM_SPAN: TimeSpan = TimeSpan::millis(300);
/// Time after an answer in which a crash says nothing about the parts of its prompt.
const SOUND_SPAN: TimeSpan = TimeSpan::seconds(30);
/// Time for which a crash counts.
const CRASH_SPAN: TimeSpan = TimeSpan::seconds(300);
/// Time for which a part is blocked after its last crash.
const BLOCK_SPAN: TimeSpan = TimeSpan::seconds(600);
/// Difference up to which two ends of one block count as the same: a time that is told again
/// and again grows by the delay of each message.
const SAME_END_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Time for which other nodes are told of a crash or an answer: many heartbeats.
const TELL_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of sound parts, and of suspected ones, in the table.
const MAX_PARTS: usize = 4_096;
/// Maximum number of parts of each kind that one message tells.
const MAX_TOLD_PARTS: usize = 256;

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

/// When a part is blocked.
#[derive(Debug, Clone, Copy)]
struct PartBlock {
    from: TimePoint,
    until: TimePoint,
}

/// A part under which runners crashed and no answer was seen.
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

    fn is_blocked(&self, now: TimePoint) -> bool {
        self.block.is_some_and(|block| block.from <= now && now < block.until)
    }

    fn is_over(&self, now: TimePoint) -> bool {
        self.crashes.is_empty() && self.block.is_none_or(|block| block.until <= now)
    }
}

/// A crash that this node saw itself.
#[derive(Debug)]
struct SeenCrash {
    runner: RunnerIncarnation,
    parts: Vec<PromptPart>,
    /// Until when it counts.
    until: TimePoint,
    told_until: TimePoint,
}

/// What this node knows about the parts of prompts.
#[derive(Debug, Default)]
pub struct PartTable {
    /// Parts that were answered; crashes before this time say nothing about them.
    sound: BTreeMap<PromptPart, TimePoint>,
    suspects: BTreeMap<PromptPart, SuspectPart>,
    seen: Vec<SeenCrash>,
    /// Sound parts that other nodes are told of, and until when.
    told_sound: BTreeMap<PromptPart, TimePoint>,
    changes: Vec<PartChange>,
    /// Blocks that began or ended by what this node saw, to be written to the store: until when
    /// they hold, or `None` for those that ended.
    unstored: BTreeMap<PromptPart, Option<TimePoint>>,
}

impl PartTable {
    /// Records that a runner answered a prompt with these parts, or has survived its beginning.
    /// Returns whether other nodes have to know.
    pub fn record_answer(&mut self, now: TimePoint, parts: &[PromptPart]) -> bool {
        let mut was_suspect = false;
        for part in parts {
            let was_blocked = self.block_end(part).is_some();
            if self.clear(part, now + SOUND_SPAN) {
                was_suspect |= self.tell_sound(now, part);
                if was_blocked {
                    self.unstored.insert(part.clone(), None);
                }
            }
        }
        was_suspect
    }

    /// Records that a runner crashed while it was about to answer a prompt with these parts.
    /// Returns whether other nodes have to know.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        parts: &[PromptPart],
    ) -> bool {
        let suspected = parts.iter().filter(|part| !self.is_sound_at(part, now));
        let parts: Vec<PromptPart> = suspected.take(MAX_TOLD_PARTS).cloned().collect();
        if parts.is_empty() {
            return false;
        }
        let until = now + CRASH_SPAN;
        if let Some(part) = self.add_crash(now, until, runner, &parts) {
            let block_end = self.block_end(&part);
            self.unstored.insert(part, block_end);
        }
        let told_until = now + TELL_SPAN;
        self.seen.push(SeenCrash { runner: runner.clone(), parts, until, told_until });
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
        parts.iter().find_map(|part| {
            let suspect = self.suspects.get(part).filter(|suspect| suspect.is_blocked(now))?;
            Some((part, suspect.block?.until))
        })
    }

    /// What other nodes are to know.
    #[must_use]
    pub fn news(&self, now: TimePoint) -> PartNews {
        let mut told_parts = 0;
        let fits = |crash: &&SeenCrash| {
            told_parts += crash.parts.len();
            told_parts <= MAX_TOLD_PARTS
        };
        let report = |crash: &SeenCrash| CrashReport {
            runner: crash.runner.clone(),
            parts: crash.parts.clone(),
            left: crash.until.since(now),
        };
        let recent = self.seen.iter().rev().filter(|crash| now < crash.told_until);
        let block =
            |(part, suspect): (&PromptPart, &SuspectPart)| timed(now, part, suspect.block?.until);
        let sound = |(part, told_until): (&PromptPart, &TimePoint)| {
            let until = self.sound.get(part).filter(|_| now < *told_until)?;
            timed(now, part, *until)
        };
        PartNews {
            crashes: recent.take_while(fits).map(report).collect(),
            blocked: self.suspects.iter().filter_map(block).take(MAX_TOLD_PARTS).collect(),
            sound: self.told_sound.iter().filter_map(sound).take(MAX_TOLD_PARTS).collect(),
        }
    }

    /// Takes what another node tells. Returns whether that node lacks an answer that this one
    /// saw.
    pub fn apply_news(&mut self, now: TimePoint, news: &PartNews) -> bool {
        for sound in &news.sound {
            self.clear(&sound.part, now + sound.left);
        }
        let mut is_contested = false;
        for crash in &news.crashes {
            let until = now + crash.left;
            let (sound, suspects): (Vec<PromptPart>, Vec<PromptPart>) = crash
                .parts
                .iter()
                .cloned()
                .partition(|part| self.is_sound_at(part, until - CRASH_SPAN));
            for part in &sound {
                is_contested |= self.tell_sound(now, part);
            }
            self.add_crash(now, until, &crash.runner, &suspects);
        }
        for blocked in &news.blocked {
            let until = now + blocked.left;
            if self.is_sound_at(&blocked.part, until - BLOCK_SPAN) {
                is_contested |= self.tell_sound(now, &blocked.part);
            } else {
                self.take_block(now, until, &blocked.part);
            }
        }
        is_contested
    }

    /// Takes over a block that was read from the store.
    pub fn load_block(&mut self, now: TimePoint, until: TimePoint, part: &PromptPart) {
        let until = until.min(now + BLOCK_SPAN);
        if now < until && !self.is_sound_at(part, now) {
            self.take_block(now, until, part);
        }
    }

    /// The blocks that began or ended by what this node saw since the last call: the part, and
    /// until when it is blocked, or `None` if the block has ended.
    pub fn take_unstored(&mut self) -> BTreeMap<PromptPart, Option<TimePoint>> {
        std::mem::take(&mut self.unstored)
    }

    /// Keeps what could not be written to the store, unless there is something newer.
    pub fn return_unstored(&mut self, part: PromptPart, until: Option<TimePoint>) {
        self.unstored.entry(part).or_insert(until);
    }

    fn block_end(&self, part: &PromptPart) -> Option<TimePoint> {
        Some(self.suspects.get(part)?.block?.until)
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: TimePoint) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|_, until| now < *until);
        }
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
        self.seen.retain(|crash| now < crash.told_until);
        self.told_sound.retain(|_, told_until| now < *told_until);
        self.sound.retain(|_, until| now < *until + TELL_SPAN);
    }

    /// Whether an answer was seen by which a crash at `time` says nothing about the part.
    fn is_sound_at(&self, part: &PromptPart, time: TimePoint) -> bool {
        self.sound.get(part).is_some_and(|until| time < *until)
    }

    /// Records an answer by which crashes before `until` say nothing about the part. Returns
    /// whether the part was suspected because of such crashes only.
    fn clear(&mut self, part: &PromptPart, until: TimePoint) -> bool {
        if self.sound.len() >= MAX_PARTS && !self.sound.contains_key(part) {
            drop_oldest(&mut self.sound);
        }
        let sound_until = self.sound.entry(part.clone()).or_insert(until);
        *sound_until = until.max(*sound_until);
        let is_cleared =
            self.suspects.get(part).is_some_and(|suspect| suspect.crashed_before(until));
        if is_cleared {
            self.suspects.remove(part);
            self.changes.push(PartChange::Cleared { part: part.clone() });
        }
        is_cleared
    }

    /// Has other nodes told that a part is sound. Returns whether they were not told before.
    fn tell_sound(&mut self, now: TimePoint, part: &PromptPart) -> bool {
        self.told_sound.insert(part.clone(), now + TELL_SPAN).is_none()
    }

    /// Counts a crash, which counts until `until`, against the parts of a prompt, unless a part that
    /// is blocked explains it. Returns the part that is blocked because of it.
    fn add_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        parts: &[PromptPart],
    ) -> Option<PromptPart> {
        if self.is_explained(until, runner, parts) {
            self.forget_crash(runner);
            return None;
        }
        // The last part is the most specific one: if all crashes so far have several parts in
        // common, it is blocked alone, and the others only if crashes go on without it.
        for part in parts.iter().rev() {
            if self.count_crash(now, until, runner, part) {
                let explained: Vec<RunnerIncarnation> =
                    self.suspects[part].crashes.keys().cloned().collect();
                for runner in &explained {
                    self.forget_crash(runner);
                }
                return Some(part.clone());
            }
        }
        None
    }

    /// Whether a blocked part explains a crash: it is one of `parts`, or of another prompt at that
    /// runner. If it is one of `parts`, its block is prolonged.
    fn is_explained(
        &mut self,
        until: TimePoint,
        runner: &RunnerIncarnation,
        parts: &[PromptPart],
    ) -> bool {
        for part in parts {
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            let Some(block) = &mut suspect.block else { continue };
            block.until = block.until.max(until - CRASH_SPAN + BLOCK_SPAN);
            suspect.crashes.entry(runner.clone()).or_insert(until);
            return true;
        }
        let blocked = self.suspects.values().filter(|suspect| suspect.block.is_some());
        blocked.into_iter().any(|suspect| suspect.crashes.contains_key(runner))
    }

    /// Counts a crash against no part but those that are blocked.
    fn forget_crash(&mut self, runner: &RunnerIncarnation) {
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.block.is_none()) {
            suspect.crashes.remove(runner);
        }
    }

    /// Counts a crash against one part. Returns whether the part is blocked because of it.
    fn count_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        part: &PromptPart,
    ) -> bool {
        let Some(suspect) = self.suspect(part) else { return false };
        suspect.crashes.entry(runner.clone()).or_insert(until);
        let crashes = suspect.crashes.values().filter(|until| now < **until).count();
        if crashes < CRASHES_TO_BLOCK {
            return false;
        }
        let last_until = suspect.crashes.values().max().copied().unwrap_or(until);
        let block_until = last_until - CRASH_SPAN + BLOCK_SPAN;
        suspect.block = Some(PartBlock { from: now + CONFIRM_SPAN, until: block_until });
        self.changes.push(PartChange::Blocked { part: part.clone(), crashes });
        true
    }

    /// Takes over the block of another node.
    fn take_block(&mut self, now: TimePoint, until: TimePoint, part: &PromptPart) {
        let Some(suspect) = self.suspect(part) else { return };
        if let Some(block) = &mut suspect.block {
            if until > block.until + SAME_END_SPAN {
                block.until = until;
            }
        } else {
            suspect.block = Some(PartBlock { from: now, until });
            let crashes = suspect.crashes.len();
            self.changes.push(PartChange::Blocked { part: part.clone(), crashes });
        }
    }

    /// The entry of a suspected part; `None` if the table is full.
    fn suspect(&mut self, part: &PromptPart) -> Option<&mut SuspectPart> {
        if self.suspects.len() >= MAX_PARTS && !self.suspects.contains_key(part) {
            return None;
        }
        Some(self.suspects.entry(part.clone()).or_default())
    }
}

/// A part with the time that is left until `until`; `None` if it has passed.
fn timed(now: TimePoint, part: &PromptPart, until: TimePoint) -> Option<TimedPart> {
    (now < until).then(|| TimedPart { part: part.clone(), left: until.since(now) })
}

/// Drops the part whose last answer is the oldest.
fn drop_oldest(sound: &mut BTreeMap<PromptPart, TimePoint>) {
    let oldest = sound.iter().min_by_key(|(_, until)| **until).map(|(part, _)| part.clone());
    if let Some(part) = oldest {
        sound.remove(&part);
    }
}
