//! When the run of a silent source goes on elsewhere, and when it is ordered to stop at the runner that it has left.
//!
//! Load pattern: runners are silent for a moment, go on with requests whose connections have closed, or are read over
//! connections that hang. That a connection was closed ends no run.

use base::prelude::*;

/// Longest silence of a sound runner that is to be borne.
const SOUND_SILENCE: TimeSpan = TimeSpan::seconds(1);
/// Time in which the node that has the caller reads the run where it goes on. Two runners may not work on one request
/// for longer than 400 ms.
const CALLER_TIME: TimeSpan = TimeSpan::millis(200);

/// What the node that has the caller of a run does with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerView {
    /// It is this node, which has left the runner.
    Own,
    /// It says that it has left the runner.
    HasLeft,
    /// It says that it may still read the runner, or has not answered.
    MayRead,
}

/// What is known of a run that goes on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeftRunFacts {
    /// What the node that has the caller does.
    pub caller: CallerView,
    /// This node reads the run where it goes on.
    pub is_read_here: bool,
    /// Time since the run has gone on there.
    pub left_for: TimeSpan,
}

/// What follows for a run that goes on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeftRunDecision {
    /// The runner that it has left is ordered to stop it.
    Order,
    /// The node that has the caller is asked again.
    Ask,
    /// It is left to that node, which goes on without this one.
    Leave,
}

/// Decides whether a run is ordered to stop at the runner that it has left. A node that has the caller and reads the
/// runner before has closed its connection to this one; one that does not answer in time cannot read either.
#[must_use]
pub fn decide_left_run(facts: LeftRunFacts) -> LeftRunDecision {
    match facts.caller {
        CallerView::Own | CallerView::HasLeft => LeftRunDecision::Order,
        CallerView::MayRead if !facts.is_read_here => LeftRunDecision::Leave,
        CallerView::MayRead if facts.left_for >= CALLER_TIME => LeftRunDecision::Order,
        CallerView::MayRead => LeftRunDecision::Ask,
    }
}

/// Whether the run of a source that has been silent for so long goes on elsewhere. A sound runner goes on, and gets the
/// order that waits for it, before two have worked on the run for `overlap`. One that answers other nodes is not silent.
#[must_use]
pub fn leaves_silent_source(silence: TimeSpan, answers_others: bool, overlap: TimeSpan) -> bool {
    answers_others || silence + overlap >= SOUND_SILENCE
}
