//! Decides where a run goes on whose next runner has got it and does not answer.
//!
//! Load pattern: a node is cut off from several runners at once, or runners fall silent for a moment. The
//! source of a stream is read until the next runner has answered, and a wait for one that this
//! node does not reach ends as soon as another node gets its answers, or those of the source.

use base::prelude::*;

/// Where a runner answers a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPlace {
    /// At this node.
    Here,
    /// Not here, but at this other node.
    OtherNode(VmId),
    /// Nowhere that was asked: it may only be silent for a moment.
    Nowhere,
}

impl AnswerPlace {
    /// Name of the place, for logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::OtherNode(_) => "other_node",
            Self::Nowhere => "nowhere",
        }
    }
}

/// What a silent source of a stream means if the next runner has not answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverlapRule {
    /// The source is kept, and the next runner given up.
    KeepSource,
    /// A source from which nothing has come meanwhile, and which counts as not reached, does not limit the
    /// wait. It is read on: a next runner that is up may still refuse.
    LeaveSilentSource,
}

/// The source of a stream, since the next runner got the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceState {
    /// It is read no more.
    Ended,
    /// Nothing has come from it.
    Silent,
    /// Something has.
    Active,
}

/// What is known while the next runner does not answer.
#[derive(Debug, Clone)]
pub struct WaitFacts {
    /// The source.
    pub source: SourceState,
    /// What becomes of it.
    pub rule: OverlapRule,
    /// Whether two runners have had the run for as long as they may both work on it.
    pub is_overlap_over: bool,
    /// Where the next runner has answered since it got the run; `None` if that is not known yet.
    pub answered: Option<AnswerPlace>,
    /// Where the source has answered since the last answer of the next runner; `None` if it was not asked,
    /// or if no other node can move the run from there.
    pub source_answered: Option<AnswerPlace>,
}

/// What to do while the next runner does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// Wait on, with what is open.
    Wait,
    /// Have the silent source work no longer beside the next runner, where a message for that exists; it is
    /// read on, and is a place until the next runner has answered.
    LeaveSource,
    /// Close the connection to the next runner, and go on with the source.
    LeaveNext,
    /// The same, and go on through another node.
    LeaveThisNode,
    /// Close the connection to the next runner, and have another node move the run away from the source.
    MoveSource,
}

/// Decides what to do while the next runner does not answer.
#[must_use]
pub fn decide_wait(facts: &WaitFacts) -> WaitDecision {
    let is_kept = facts.rule == OverlapRule::KeepSource;
    match facts.source {
        SourceState::Active => keep_source(facts),
        SourceState::Silent if is_kept => keep_source(facts),
        SourceState::Silent | SourceState::Ended => follow_answers(facts),
    }
}

/// A source that works, or may, goes on alone if the next runner does not answer in time.
fn keep_source(facts: &WaitFacts) -> WaitDecision {
    if facts.is_overlap_over { WaitDecision::LeaveNext } else { WaitDecision::Wait }
}

/// Whether the source is to be asked where it answers: nothing comes from it, and nobody gets an answer
/// of the next runner.
#[must_use]
pub fn asks_source(facts: &WaitFacts) -> bool {
    let is_left = facts.rule == OverlapRule::LeaveSilentSource;
    let is_silent = is_left && facts.source == SourceState::Silent;
    let is_next_silent = facts.answered == Some(AnswerPlace::Nowhere);
    is_silent && is_next_silent && facts.source_answered.is_none()
}

/// Without a word from the source, what the next runner answers decides. If that answers nobody, the run
/// moves from a source that answers another node. If the source does not either, the next runner is waited
/// for beside it: as far as is known, none of them works.
fn follow_answers(facts: &WaitFacts) -> WaitDecision {
    match &facts.answered {
        Some(AnswerPlace::OtherNode(_)) => WaitDecision::LeaveThisNode,
        Some(AnswerPlace::Here) if facts.source == SourceState::Silent && facts.is_overlap_over => {
            WaitDecision::LeaveSource
        }
        Some(AnswerPlace::Nowhere) if facts.source == SourceState::Silent => {
            match facts.source_answered {
                Some(AnswerPlace::OtherNode(_)) => WaitDecision::MoveSource,
                _ => WaitDecision::Wait,
            }
        }
        _ => WaitDecision::Wait,
    }
}

/// Other nodes that get answers of the runners of a run which are silent to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceNodes {
    /// A node that the runner with the copy answers.
    pub copy: Option<VmId>,
    /// A node that the source answers.
    pub source: Option<VmId>,
}

/// Where a run goes on whose source and copy are at runners that are silent to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SilentPlace {
    /// From its copy, through this node before others.
    Copy(Option<VmId>),
    /// From its source, where this node has it moved.
    Source(VmId),
}

/// Chooses where such a run goes on: from its copy, which needs no order to the source, unless nobody gets
/// an answer of the runner with the copy, and the run `may_move` from a source that answers.
#[must_use]
pub fn choose_silent_place(nodes: PlaceNodes, may_move: bool) -> SilentPlace {
    match nodes {
        PlaceNodes { copy: None, source: Some(node) } if may_move => SilentPlace::Source(node),
        PlaceNodes { copy, .. } => SilentPlace::Copy(copy),
    }
}

/// A place, reached through another node, where a run may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodePlace {
    /// The run at its next runner, if that has taken it; it is stopped there and moved.
    NextRun,
    /// The memory that the next runner can take, if it has not taken the run.
    NextMemory,
    /// The run at its source; it is stopped there and moved.
    SourceRun,
}

/// Which places of a run may be left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceFacts {
    /// The next runner may have taken the run, and moves runs.
    pub next_may_run: bool,
    /// The next runner has not refused the memory.
    pub has_memory: bool,
    /// What is left at the source.
    pub source: SourceRun,
}

/// The run at the source of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceRun {
    /// The source moves no runs, or a node was asked to move this one.
    NotMoved,
    /// The source may still have it.
    MayRun,
    /// The source works on it as far as is known: another node reads it.
    Works,
}

/// The places to try, in order. A run that the next runner may have taken is stopped before anything else
/// goes on, and so is one that works at its source; otherwise the source is last, since it has the oldest
/// state of the run.
#[must_use]
pub fn list_node_places(facts: PlaceFacts) -> Vec<NodePlace> {
    let memory = (NodePlace::NextMemory, facts.has_memory);
    let source = (NodePlace::SourceRun, facts.source != SourceRun::NotMoved);
    let works = facts.source == SourceRun::Works;
    let [second, third] = if works { [source, memory] } else { [memory, source] };
    let places = [(NodePlace::NextRun, facts.next_may_run), second, third];
    places.into_iter().filter(|(_, is_open)| *is_open).map(|(place, _)| place).collect()
}
