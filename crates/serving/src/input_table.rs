//! Inputs of calls that crash runners, told apart from those that are answered.
//!
//! Load pattern: an input of some calls crashes each runner that begins to answer them: a part of
//! their prompts, or a whole request that its caller sends again. They come at any node, share their
//! caller and their other parts with harmless ones, and each ends a runner and all calls there. An
//! input under which several runners have crashed, and no answer has been seen, is blocked at all
//! nodes.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;

use crate::suspect_inputs::{BLOCK_SPAN, CRASH_SPAN, NewBlock, SuspectInputs};
use crate::{CallInput, CrashReport, InputUpdate, RunnerIncarnation, TimedInput};

/// Time after an answer in which a crash says nothing about the inputs of its call.
const SAFE_SPAN: TimeSpan = TimeSpan::seconds(30);
/// Time for which each heartbeat repeats a crash or an answer, since heartbeats may be lost.
const REPEAT_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of safe inputs.
const MAX_SAFE_INPUTS: usize = 4_096;
/// Maximum number of inputs of each kind in one update.
const MAX_UPDATE_INPUTS: usize = 256;

/// A change of what is known about an input, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InputChange {
    /// The input is to be blocked.
    Blocked {
        /// The input.
        input: CallInput,
        /// Number of crashes under it that this node knows of.
        crashes: usize,
    },
    /// The input was suspected or blocked, and has been answered.
    Cleared {
        /// The input.
        input: CallInput,
    },
}

/// A crash that this node saw itself.
#[derive(Debug)]
struct OwnCrash {
    runner: RunnerIncarnation,
    inputs: Vec<CallInput>,
    /// Until when it counts.
    until: TimePoint,
    repeat_until: TimePoint,
}

/// What this node knows about the inputs of calls.
#[derive(Debug, Default)]
pub struct InputTable {
    /// Parts that were answered; crashes before this time say nothing about them.
    safe: BTreeMap<CallInput, TimePoint>,
    suspects: SuspectInputs,
    /// Crashes that the updates of this node repeat.
    own_crashes: Vec<OwnCrash>,
    /// Safe inputs that the updates of this node repeat, and until when.
    repeated_safe: BTreeMap<CallInput, TimePoint>,
    changes: Vec<InputChange>,
    /// Blocks that this node began or ended and that the store lacks: until when they hold, or
    /// `None` for those that ended.
    unsaved: BTreeMap<CallInput, Option<TimePoint>>,
}

impl InputTable {
    /// Records that a runner answered a call with these inputs, or wrote enough of the answer. An
    /// answered request is remembered only if it was suspected: most are never sent again.
    /// Returns whether other nodes have to know.
    pub fn record_answer(&mut self, now: TimePoint, inputs: &[CallInput]) -> bool {
        let mut is_new = false;
        let is_recorded =
            |input: &&CallInput| matches!(input, CallInput::Part(_)) || self.suspects.has(input);
        let recorded: Vec<&CallInput> = inputs.iter().filter(is_recorded).collect();
        for input in recorded {
            let was_blocked = self.suspects.has_block(input);
            if self.mark_safe(input, now + SAFE_SPAN) {
                is_new |= self.repeat_safe(now, input);
                if was_blocked {
                    self.unsaved.insert(input.clone(), None);
                }
            }
        }
        is_new
    }

    /// Records that a runner crashed while it was about to answer a call with these inputs.
    /// Returns whether other nodes have to know.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        runner: &RunnerIncarnation,
        inputs: &[CallInput],
    ) -> bool {
        let suspected = inputs.iter().filter(|input| !self.is_safe_at(input, now));
        let inputs: Vec<CallInput> = suspected.take(MAX_UPDATE_INPUTS).cloned().collect();
        if inputs.is_empty() {
            return false;
        }
        let until = now + CRASH_SPAN;
        if let Some(block) = self.suspects.add_crash(now, until, runner, &inputs) {
            self.unsaved.insert(block.input.clone(), Some(block.until));
            self.note_block(block);
        }
        let repeat_until = now + REPEAT_SPAN;
        self.own_crashes.push(OwnCrash { runner: runner.clone(), inputs, until, repeat_until });
        true
    }

    /// The first of `inputs` that is blocked, and when that ends.
    #[must_use]
    pub fn find_blocked<'a>(
        &self,
        now: TimePoint,
        inputs: &'a [CallInput],
    ) -> Option<(&'a CallInput, TimePoint)> {
        if self.suspects.is_empty() {
            return None;
        }
        let blocked = |input| Some((input, self.suspects.blocked_until(now, input)?));
        inputs.iter().find_map(blocked)
    }

    /// What other nodes are to know.
    #[must_use]
    pub fn update(&self, now: TimePoint) -> InputUpdate {
        let mut crash_inputs = 0;
        let fits = |crash: &&OwnCrash| {
            crash_inputs += crash.inputs.len();
            crash_inputs <= MAX_UPDATE_INPUTS
        };
        let report = |crash: &OwnCrash| CrashReport {
            runner: crash.runner.clone(),
            inputs: crash.inputs.clone(),
            left: crash.until.since(now),
        };
        let recent = self.own_crashes.iter().rev().filter(|crash| now < crash.repeat_until);
        let blocked = self.suspects.blocks().filter_map(|(input, until)| timed(now, input, until));
        let safe = |(input, repeat_until): (&CallInput, &TimePoint)| {
            let until = self.safe.get(input).filter(|_| now < *repeat_until)?;
            timed(now, input, *until)
        };
        InputUpdate {
            crashes: recent.take_while(fits).map(report).collect(),
            blocked: blocked.take(MAX_UPDATE_INPUTS).collect(),
            safe: self.repeated_safe.iter().filter_map(safe).take(MAX_UPDATE_INPUTS).collect(),
        }
    }

    /// Applies the update of another node. Returns whether that node lacks an answer that this
    /// one saw.
    pub fn apply_update(&mut self, now: TimePoint, update: &InputUpdate) -> bool {
        for safe in &update.safe {
            self.mark_safe(&safe.input, now + safe.left);
        }
        let mut lacks_answer = false;
        for crash in &update.crashes {
            lacks_answer |= self.apply_crash(now, crash);
        }
        for blocked in &update.blocked {
            let until = now + blocked.left;
            if self.is_safe_at(&blocked.input, until - BLOCK_SPAN) {
                lacks_answer |= self.repeat_safe(now, &blocked.input);
            } else if let Some(block) = self.suspects.take_block(now, until, &blocked.input) {
                self.note_block(block);
            }
        }
        lacks_answer
    }

    /// Counts a crash that another node saw against the inputs that are not known to be safe.
    /// Returns whether that node does not know of one that is.
    fn apply_crash(&mut self, now: TimePoint, crash: &CrashReport) -> bool {
        let until = now + crash.left;
        let is_safe = |input: &CallInput| self.is_safe_at(input, until - CRASH_SPAN);
        let (safe, suspected): (Vec<CallInput>, Vec<CallInput>) =
            crash.inputs.iter().cloned().partition(is_safe);
        let mut lacks_answer = false;
        for input in &safe {
            lacks_answer |= self.repeat_safe(now, input);
        }
        if let Some(block) = self.suspects.add_crash(now, until, &crash.runner, &suspected) {
            self.note_block(block);
        }
        lacks_answer
    }

    /// Takes over a block that was read from the store.
    pub fn load_block(&mut self, now: TimePoint, until: TimePoint, input: &CallInput) {
        let until = until.min(now + BLOCK_SPAN);
        if until <= now || self.is_safe_at(input, now) {
            return;
        }
        if let Some(block) = self.suspects.take_block(now, until, input) {
            self.note_block(block);
        }
    }

    /// Has the blocks of this node saved that are not among the `stored` inputs, and the records of
    /// those cleared that were answered.
    pub fn compare_stored(&mut self, now: TimePoint, stored: &BTreeSet<CallInput>) {
        let blocks = self.suspects.blocks();
        let lacking = blocks.filter(|(input, until)| now < *until && !stored.contains(*input));
        for (input, until) in lacking {
            self.unsaved.entry(input.clone()).or_insert(Some(until));
        }
        for input in stored {
            if self.is_safe_at(input, now) {
                self.unsaved.entry(input.clone()).or_insert(None);
            }
        }
    }

    /// The blocks that this node began or ended since the last call: the input, and until when it
    /// is blocked, or `None` if the block has ended.
    pub fn take_unsaved(&mut self) -> BTreeMap<CallInput, Option<TimePoint>> {
        std::mem::take(&mut self.unsaved)
    }

    /// Returns a block that could not be saved, unless there is a newer one of its input.
    pub fn return_unsaved(&mut self, input: CallInput, until: Option<TimePoint>) {
        self.unsaved.entry(input).or_insert(until);
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<InputChange> {
        std::mem::take(&mut self.changes)
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: TimePoint) {
        self.suspects.prune(now);
        self.own_crashes.retain(|crash| now < crash.repeat_until);
        self.repeated_safe.retain(|_, repeat_until| now < *repeat_until);
        self.safe.retain(|_, until| now < *until + REPEAT_SPAN);
    }

    /// Whether an answer was seen by which a crash at `time` says nothing about the input.
    fn is_safe_at(&self, input: &CallInput, time: TimePoint) -> bool {
        self.safe.get(input).is_some_and(|until| time < *until)
    }

    /// Records an answer by which crashes before `until` say nothing about the input. Returns
    /// whether the input was suspected because of such crashes only.
    fn mark_safe(&mut self, input: &CallInput, until: TimePoint) -> bool {
        if self.safe.len() >= MAX_SAFE_INPUTS && !self.safe.contains_key(input) {
            drop_oldest(&mut self.safe);
        }
        let safe_until = self.safe.entry(input.clone()).or_insert(until);
        *safe_until = until.max(*safe_until);
        let is_cleared = self.suspects.remove_if_before(until, input);
        if is_cleared {
            self.changes.push(InputChange::Cleared { input: input.clone() });
        }
        is_cleared
    }

    /// Has the updates of this node say that an input is safe. Returns whether they did not before.
    fn repeat_safe(&mut self, now: TimePoint, input: &CallInput) -> bool {
        self.repeated_safe.insert(input.clone(), now + REPEAT_SPAN).is_none()
    }

    fn note_block(&mut self, block: NewBlock) {
        let NewBlock { input, crashes, .. } = block;
        self.changes.push(InputChange::Blocked { input, crashes });
    }
}

/// An input with the time that is left until `until`; `None` if it has passed.
fn timed(now: TimePoint, input: &CallInput, until: TimePoint) -> Option<TimedInput> {
    (now < until).then(|| TimedInput { input: input.clone(), left: until.since(now) })
}

/// Drops the input whose last answer is the oldest.
fn drop_oldest(safe: &mut BTreeMap<CallInput, TimePoint>) {
    let oldest = safe.iter().min_by_key(|(_, until)| **until).map(|(input, _)| input.clone());
    if let Some(input) = oldest {
        safe.remove(&input);
    }
}
