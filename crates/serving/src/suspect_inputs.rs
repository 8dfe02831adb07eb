//! Inputs of calls under which runners crashed, and which of them are blocked.
//!
//! Load pattern: one crash takes several calls, and fails many calls of all nodes where runners crash
//! for other reasons, so that most suspected inputs have nothing to do with it.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::{CallInput, RunnerIncarnation};

/// Number of runners that have to crash under an input before it is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Time from the last of these crashes until the block: other nodes may have seen an answer.
const CONFIRM_SPAN: TimeSpan = TimeSpan::millis(300);
/// Time for which a crash counts.
pub const CRASH_SPAN: TimeSpan = TimeSpan::seconds(300);
/// Time for which an input is blocked after its last crash.
pub const BLOCK_SPAN: TimeSpan = TimeSpan::seconds(600);
/// Difference up to which two ends of one block count as the same. A remaining time that nodes
/// pass on to each other grows by the delay of each message.
const SAME_END_SPAN: TimeSpan = TimeSpan::seconds(10);
/// Maximum number of suspected inputs.
const MAX_SUSPECTS: usize = 4_096;

/// When an input is blocked.
#[derive(Debug, Clone, Copy)]
struct InputBlock {
    from: TimePoint,
    until: TimePoint,
}

/// An input under which runners crashed.
#[derive(Debug, Default)]
struct SuspectInput {
    /// The runners that crashed under it, and until when each crash counts.
    crashes: BTreeMap<RunnerIncarnation, TimePoint>,
    block: Option<InputBlock>,
}

impl SuspectInput {
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

/// An input that has just been blocked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewBlock {
    /// The input.
    pub input: CallInput,
    /// Number of crashes under it that this node knows of.
    pub crashes: usize,
    /// End of the block.
    pub until: TimePoint,
}

/// All suspected inputs.
#[derive(Debug, Default)]
pub struct SuspectInputs {
    inputs: BTreeMap<CallInput, SuspectInput>,
    /// Runners that crashed under a blocked input, and that input. Their crashes count against no
    /// other input while it is blocked.
    explained: BTreeMap<RunnerIncarnation, CallInput>,
}

impl SuspectInputs {
    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.inputs.is_empty()
    }

    /// Whether runners have crashed under an input.
    #[must_use]
    pub fn has(&self, input: &CallInput) -> bool {
        self.inputs.contains_key(input)
    }

    /// When the block of an input ends; `None` if the input is not blocked now.
    #[must_use]
    pub fn blocked_until(&self, now: TimePoint, input: &CallInput) -> Option<TimePoint> {
        let block = self.inputs.get(input)?.block?;
        (block.from <= now && now < block.until).then_some(block.until)
    }

    /// All blocked inputs with the ends of their blocks, those whose block is about to begin
    /// included.
    pub fn blocks(&self) -> impl Iterator<Item = (&CallInput, TimePoint)> {
        self.inputs.iter().filter_map(|(input, suspect)| Some((input, suspect.block?.until)))
    }

    /// Whether an input is blocked, or about to be.
    #[must_use]
    pub fn has_block(&self, input: &CallInput) -> bool {
        self.inputs.get(input).is_some_and(|suspect| suspect.block.is_some())
    }

    /// Counts a crash, which counts until `until`, against the inputs of a call, unless a blocked
    /// input explains it. Returns the input that is blocked because of it.
    pub fn add_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        inputs: &[CallInput],
    ) -> Option<NewBlock> {
        if let Some(blocked) = inputs.iter().find(|input| self.has_block(input)) {
            self.add_explained_crash(until, runner, blocked);
            return None;
        }
        if self.is_explained(runner) {
            return None;
        }
        // The last input is the most specific one: if all crashes so far have several inputs in
        // common, it is blocked alone, and the others only if crashes go on without it.
        inputs.iter().rev().find_map(|input| self.count_crash(now, until, runner, input))
    }

    /// Counts a crash against a blocked input, and prolongs its block.
    fn add_explained_crash(
        &mut self,
        until: TimePoint,
        runner: &RunnerIncarnation,
        input: &CallInput,
    ) {
        let Some(suspect) = self.inputs.get_mut(input) else { return };
        suspect.crashes.entry(runner.clone()).or_insert(until);
        if let Some(block) = &mut suspect.block {
            block.until = block.until.max(until - CRASH_SPAN + BLOCK_SPAN);
        }
        self.explain(runner, input);
    }

    /// Whether the runner crashed under an input that is still blocked.
    fn is_explained(&self, runner: &RunnerIncarnation) -> bool {
        self.explained.get(runner).is_some_and(|input| self.has_block(input))
    }

    /// Records that a blocked input explains the crash of a runner, and takes the crash off all
    /// others.
    fn explain(&mut self, runner: &RunnerIncarnation, input: &CallInput) {
        if self.explained.insert(runner.clone(), input.clone()).as_ref() == Some(input) {
            return;
        }
        for suspect in self.inputs.values_mut().filter(|suspect| suspect.block.is_none()) {
            suspect.crashes.remove(runner);
        }
    }

    /// Counts a crash against one input. Returns its block if that begins because of it.
    fn count_crash(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        runner: &RunnerIncarnation,
        input: &CallInput,
    ) -> Option<NewBlock> {
        let suspect = self.entry(input);
        suspect.crashes.entry(runner.clone()).or_insert(until);
        let crashes = suspect.crashes.values().filter(|until| now < **until).count();
        if crashes < CRASHES_TO_BLOCK {
            return None;
        }
        let until = suspect.last_until() - CRASH_SPAN + BLOCK_SPAN;
        suspect.block = Some(InputBlock { from: now + CONFIRM_SPAN, until });
        let runners: Vec<RunnerIncarnation> = suspect.crashes.keys().cloned().collect();
        for runner in &runners {
            self.explain(runner, input);
        }
        Some(NewBlock { input: input.clone(), crashes, until })
    }

    /// Takes over the block of another node or of the store. Returns it if the input was not
    /// blocked before.
    pub fn take_block(
        &mut self,
        now: TimePoint,
        until: TimePoint,
        input: &CallInput,
    ) -> Option<NewBlock> {
        let suspect = self.entry(input);
        if let Some(block) = &mut suspect.block {
            if until > block.until + SAME_END_SPAN {
                block.until = until;
            }
            return None;
        }
        suspect.block = Some(InputBlock { from: now, until });
        let crashes = suspect.crashes.len();
        Some(NewBlock { input: input.clone(), crashes, until })
    }

    /// Removes an input if all crashes under it happened before `time`. Returns whether it was
    /// suspected until then.
    pub fn remove_if_before(&mut self, time: TimePoint, input: &CallInput) -> bool {
        let is_before = self.inputs.get(input).is_some_and(|suspect| suspect.crashed_before(time));
        is_before && self.inputs.remove(input).is_some()
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: TimePoint) {
        for suspect in self.inputs.values_mut() {
            suspect.crashes.retain(|_, until| now < *until);
        }
        self.inputs.retain(|_, suspect| !suspect.is_over(now));
        let inputs = &self.inputs;
        self.explained.retain(|runner, input| {
            inputs.get(input).is_some_and(|suspect| suspect.crashes.contains_key(runner))
        });
    }

    /// The entry of an input, new if there is none.
    fn entry(&mut self, input: &CallInput) -> &mut SuspectInput {
        if self.inputs.len() >= MAX_SUSPECTS && !self.inputs.contains_key(input) {
            self.make_room();
        }
        self.inputs.entry(input.clone()).or_default()
    }

    /// Drops the older half of the inputs that are not blocked: an input that crashes runners is
    /// among the newer ones again with its next crash.
    fn make_room(&mut self) {
        let unblocked = self.inputs.values().filter(|suspect| suspect.block.is_none());
        let mut ends: Vec<TimePoint> = unblocked.map(SuspectInput::last_until).collect();
        ends.sort_unstable();
        let Some(middle) = ends.get(ends.len() / 2).copied() else { return };
        let mut spare = ends.len() / 2 + 1;
        self.inputs.retain(|_, suspect| {
            let is_dropped = suspect.block.is_none() && suspect.last_until() <= middle && spare > 0;
            spare -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
