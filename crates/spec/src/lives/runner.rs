//! Runners of the world, and what they have of the run.

use life::StepNumber;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RunnerPower {
    On,
    Off,
}

/// Who reads a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RunReader {
    /// The stream, or the step that has started the run.
    Step(StepNumber),
    /// Nobody: the connection is closed, which the runner notices once it is reached.
    Closed,
}

/// What a runner does with orders to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum OrderHabit {
    Follows,
    /// It confirms them and goes on, also with runs whose connections are closed.
    Ignores,
}

/// A run that the stream has lost through its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum LostRun {
    None,
    /// The node has closed it before another place was certain.
    GivenUp,
    /// Its runner has left with it, though it could have gone on elsewhere; or it was stopped, and not sent to the
    /// next runner while that took it.
    Missed,
}

/// How far the run of the stream is, wherever it works.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum RunStage {
    Working,
    /// It has ended whole: no runner keeps memory of it.
    Ended,
}

/// A run at a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WorldRun {
    pub(super) made: u8,
    pub(super) reader: RunReader,
    pub(super) is_through_node: bool,
    /// It was taken, and makes nothing.
    pub(super) is_hung: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WorldRunner {
    pub(super) power: RunnerPower,
    /// Steps for which it is still silent to this node, and to all.
    pub(super) silent_here: u8,
    pub(super) silent_to_all: u8,
    pub(super) is_cut_off: bool,
    /// Steps until it has left; 0 if it does not leave.
    pub(super) leaves_in: u8,
    pub(super) run: Option<WorldRun>,
    /// Memory of the run, copied here or left by an order.
    pub(super) has_memory: bool,
    pub(super) lost: LostRun,
    /// The other node is to stop the run here.
    pub(super) is_end_ordered: bool,
    /// What it does with orders to stop a run.
    pub(super) habit: OrderHabit,
    /// Events that the run had made at the last order to stop it; `None` if there was no run.
    pub(super) made_at_order: Option<u8>,
}

impl WorldRunner {
    pub(super) fn new() -> Self {
        Self {
            power: RunnerPower::On,
            silent_here: 0,
            silent_to_all: 0,
            is_cut_off: false,
            leaves_in: 0,
            run: None,
            has_memory: false,
            lost: LostRun::None,
            is_end_ordered: false,
            habit: OrderHabit::Follows,
            made_at_order: None,
        }
    }

    /// Stops the run as ordered and keeps its memory, unless it ignores orders.
    pub(super) fn follow_order(&mut self) {
        self.made_at_order = self.run.map(|run| run.made);
        if self.habit == OrderHabit::Follows {
            self.has_memory |= self.run.take().is_some();
        }
    }

    pub(super) fn switch_off(&mut self) {
        let is_missed = self.lost == LostRun::Missed;
        let lost = if is_missed { LostRun::Missed } else { LostRun::None };
        let is_cut_off = self.is_cut_off;
        *self = Self { power: RunnerPower::Off, is_cut_off, lost, ..Self::new() };
    }

    /// Whether it takes no copies: the second runner leaves.
    pub(super) fn refuses_copies(&self, number: usize) -> bool {
        number == 1 && self.leaves_in > 0
    }

    /// Whether it answers a node that it is not silent to.
    pub(super) fn answers(&self) -> bool {
        self.power == RunnerPower::On && self.silent_to_all == 0
    }

    pub(super) fn answers_here(&self) -> bool {
        self.answers() && self.silent_here == 0 && !self.is_cut_off
    }

    /// Whether it has something of the run to go on with. A run that a lost node reads ends as soon as the
    /// runner notices.
    pub(super) fn has_place(&self, is_node_up: bool) -> bool {
        let is_read =
            |run: WorldRun| run.reader != RunReader::Closed && (is_node_up || !run.is_through_node);
        self.run.is_some_and(|run| !run.is_hung && is_read(run))
            || self.has_memory
            || self.lost == LostRun::GivenUp
    }
}
