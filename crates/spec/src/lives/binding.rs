//! What the broken variants do in place of the actions.

use base::prelude::*;
use life::{LifeInput, LifeStep, OfferedPlace, StepOutcome};

use super::LifeVariant;
use super::world::{LifeWorld, RunnerPower};

/// Time of a step after which two variants act.
const EARLY_LIMIT: TimeSpan = TimeSpan::millis(200);

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

    /// What is done early for a step that has not been answered.
    pub(super) fn act_early(&mut self) {
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
