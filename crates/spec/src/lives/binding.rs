//! What the broken variants do in place of the actions.

use base::prelude::*;
use life::{LifeInput, LifeStep, OfferedPlace, StepOutcome};
use serving::OrderAnswer;

use super::LifeVariant;
use super::runner::{LostRun, RunnerPower, WorldRunner};
use super::world::{LENGTH, LifeWorld, OpenOp};

/// Time of a step after which some variants act.
const EARLY_LIMIT: TimeSpan = TimeSpan::millis(200);
/// Time that one variant waits after a confirmed stop before it asks the next runner, in steps.
const SEND_WAIT_TICKS: u8 = 10;
/// Silence after which one variant closes a source.
const SILENCE_LIMIT: TimeSpan = TimeSpan::seconds(1);
/// Time of an order after which one variant gives it up: that of a late answer here, shorter than any real limit.
const ORDER_LIMIT: TimeSpan = TimeSpan::millis(600);

impl LifeWorld {
    /// Whether the source is closed as the step begins.
    pub(super) fn closes_source_with(&self, step: &LifeStep) -> bool {
        let is_closing = match step {
            LifeStep::Connect(_) => self.is_variant(LifeVariant::ClosedBeforeConnect),
            LifeStep::Send(_) => self.is_variant(LifeVariant::ClosedBeforeTaken),
            _ => false,
        };
        is_closing && self.reading.is_some()
    }

    /// Whether the step is not taken.
    pub(super) fn drops_step(&mut self, step: &LifeStep) -> bool {
        if !matches!(step, LifeStep::Offer(OfferedPlace::SourceRun, ..)) {
            return false;
        }
        let is_repeated = self.is_move_asked;
        self.is_move_asked = true;
        let keeps_copy = self.runners[1].has_memory || self.runners[1].power == RunnerPower::Off;
        is_repeated && self.is_variant(LifeVariant::MovedOnce)
            || keeps_copy && self.is_variant(LifeVariant::CopyBeforeMove)
    }

    /// Closes the source, and says that it was lost.
    pub(super) fn lose_source(&mut self) {
        self.close_source(false);
        self.give(&LifeInput::SourceLost, 0);
    }

    /// Whether the step is refused: memory that a stopped run has left is found by the answer to the order.
    pub(super) fn refuses_step(&self, step: &LifeStep) -> bool {
        *step == LifeStep::Return && self.is_variant(LifeVariant::UnansweredTakenForRefused)
    }

    /// Events of the run that were read, up to this one. The variant takes those that are read after a confirmed
    /// stop for ones that were made after it, and frees the copy.
    pub(super) fn total_events(&mut self, event: u8) -> u64 {
        let is_late = self.confirmed_stops > 0 && self.is_variant(LifeVariant::LateTakenForGoingOn);
        if is_late {
            self.runners[1].has_memory = false;
        }
        u64::from(if is_late { LENGTH + 1 } else { event })
    }

    /// Takes an order that is not answered in time for refused, and frees the copy.
    fn give_up_order(&mut self) {
        let is_late = self.life.wait(self.now()).is_some_and(|wait| wait >= ORDER_LIMIT);
        let mut orders = self.ops.iter().filter(|op| op.step == LifeStep::Order);
        let Some(number) = orders.next().map(|op| op.number).filter(|_| is_late) else { return };
        self.ops.retain(|op| op.number != number);
        self.runners[1].has_memory = false;
        let refused = StepOutcome::Ordered(OrderAnswer::Refused);
        self.give(&LifeInput::StepEnded(number, refused), 0);
    }

    /// Closes a request to go on with a stopped run whose answer is not read in time, and takes it for refused.
    fn give_up_head(&mut self) {
        let is_late = self.life.wait(self.now()).is_some_and(|wait| wait >= EARLY_LIMIT);
        let is_head = |op: &&OpenOp| matches!(op.step, LifeStep::Send(_) | LifeStep::Return);
        let number = self.ops.iter().find(is_head).map(|op| op.number);
        let Some(number) = number.filter(|_| is_late && self.reading.is_none()) else { return };
        self.close_step(number);
        self.give(&LifeInput::StepEnded(number, StepOutcome::Refused), 0);
    }

    /// Steps for which a request to go on with a stopped run is not sent yet.
    pub(super) fn delayed(&self, step: &LifeStep) -> Option<u8> {
        let is_delayed = self.is_variant(LifeVariant::SentAfterWait) && self.confirmed_at.is_some();
        (is_delayed && matches!(step, LifeStep::Send(_))).then_some(SEND_WAIT_TICKS)
    }

    /// Frees all memory of a run that was stopped at a runner.
    pub(super) fn free_memory(&mut self, number: usize) {
        self.runners.iter_mut().for_each(|runner| runner.has_memory = false);
        self.runners[number].lost = LostRun::GivenUp;
    }

    /// Closes a source that has been silent for long, if no runner has anything of the run.
    fn close_silent(&mut self) {
        let is_unsaved = |runner: &WorldRunner| runner.run.is_none() && !runner.has_memory;
        let is_lost = self.runners.iter().all(is_unsaved);
        if self.reading.is_some() && is_lost && self.life.silence(self.now()) >= SILENCE_LIMIT {
            self.lose_source();
        }
    }

    /// What is done early for a step that has not been answered.
    pub(super) fn act_early(&mut self) {
        if self.is_variant(LifeVariant::SilentSourceClosed) {
            self.close_silent();
        }
        if self.is_variant(LifeVariant::UnansweredTakenForRefused) {
            self.give_up_order();
        }
        if self.is_variant(LifeVariant::LateHeadTakenForRefused) {
            self.give_up_head();
        }
        let is_late = self.life.wait(self.now()).is_some_and(|wait| wait >= EARLY_LIMIT);
        let mut sends = self.ops.iter().filter(|op| matches!(op.step, LifeStep::Send(_)));
        let Some(number) = sends.next().map(|op| op.number).filter(|_| is_late) else { return };
        if self.is_variant(LifeVariant::ClosedBeforeAnswer) && self.reading.is_some() {
            self.lose_source();
        }
        if self.is_variant(LifeVariant::SilentTakenForUsed) && self.reading.is_none() {
            self.ops.retain(|op| op.number != number);
            self.give(&LifeInput::StepEnded(number, StepOutcome::Refused), 0);
        }
    }
}
