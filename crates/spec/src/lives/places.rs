//! Places of a run: those that are left, and those that it could have had.

use life::{LifeInput, LifeStep};

use super::LifeVariant;
use super::runner::{LostRun, RunnerPower, WorldRunner};
use super::world::{LifeWorld, OpState, OpenOp, WorldReading, runner_id};

/// Time from a confirmed stop to the request to the next runner, in steps.
const MAX_SEND_TICKS: u8 = 2;

impl LifeWorld {
    /// The second runner announces its leave. It takes no new work from then on.
    pub(super) fn announce_next_leave(&mut self) {
        let next = &self.runners[1];
        let is_taking = next.has_memory && next.answers_here();
        let is_begun = |op: &OpenOp| {
            matches!(op.step, LifeStep::Send(_) | LifeStep::Connect(_))
                && op.state != OpState::Delayed
        };
        let is_late = self.confirmed_at.is_some_and(|at| self.tick - at >= MAX_SEND_TICKS);
        if is_late && is_taking && !self.ops.iter().any(is_begun) {
            self.runners[0].lost = LostRun::Missed;
        }
        self.runners[1].has_memory = false;
        self.give(&LifeInput::RunnerLeaves(runner_id(1)), 0);
    }

    /// Whether a place could have given the rest of the stream: a run that works, memory of it, or a run that
    /// this node gave up before another place was certain, at a runner that is up and that this node
    /// or the other one reaches; or a run at a runner that has left, for which there was a place.
    pub(super) fn has_place(&self) -> bool {
        let is_reached = |runner: &WorldRunner| !runner.is_cut_off || self.is_node_up;
        let is_up = |runner: &WorldRunner| runner.power == RunnerPower::On && is_reached(runner);
        let has_place = |runner: &WorldRunner| is_up(runner) && runner.has_place(self.is_node_up);
        let has_any = |runner: &WorldRunner| runner.lost == LostRun::Missed || has_place(runner);
        self.carries_end() || self.runners.iter().any(has_any)
    }

    /// Whether a run at a runner that is off now could have gone on elsewhere: a node reached the runner,
    /// the other one was up, and no step that is never answered was waited for.
    pub(super) fn is_missed(&self, number: usize) -> bool {
        let runner = &self.runners[number];
        let is_waiting = self.ops.iter().any(|op| op.state == OpState::Lost);
        let is_excused = is_waiting && !self.is_variant(LifeVariant::UnansweredMove);
        // A run that comes through another node is moved by that one, which is not part of this world.
        let is_read = |reading: WorldReading| reading.runner == number && !reading.is_through_node;
        let is_reached =
            |runner: &WorldRunner| runner.answers_here() || self.is_node_up && runner.answers();
        self.reading.is_some_and(is_read)
            && runner.run.is_some()
            && self.runners.iter().all(is_reached)
            && self.runners[1].leaves_in == 0
            && !is_excused
    }
}
