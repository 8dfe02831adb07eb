//! The places where a run may go on, what is known of them, and the steps that lead there.

use base::prelude::*;
use serving::{AnswerPlace, NodePlace};

/// Where a runner was last seen to answer: [`AnswerPlace`] as a part of a state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum SeenPlace {
    /// At this node.
    Here,
    /// Not here, but at this other node.
    OtherNode(VmId),
    /// Nowhere that was asked.
    Nowhere,
}

impl From<&SeenPlace> for AnswerPlace {
    fn from(place: &SeenPlace) -> Self {
        match place {
            SeenPlace::Here => Self::Here,
            SeenPlace::OtherNode(node) => Self::OtherNode(node.clone()),
            SeenPlace::Nowhere => Self::Nowhere,
        }
    }
}

/// A place that is offered to another node: [`NodePlace`] as a part of a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OfferedPlace {
    /// The run at its next runner.
    NextRun,
    /// The memory at the next runner.
    NextMemory,
    /// The run at its source, or its memory if it was stopped.
    SourceRun,
}

impl From<NodePlace> for OfferedPlace {
    fn from(place: NodePlace) -> Self {
        match place {
            NodePlace::NextRun => Self::NextRun,
            NodePlace::NextMemory => Self::NextMemory,
            NodePlace::SourceRun => Self::SourceRun,
        }
    }
}

/// Number of a step of one stream. What a step returns is matched by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct StepNumber(pub u32);

/// A step on the way to another place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LifeStep {
    /// Copy the memory of the run, which goes on, to this runner.
    Copy(RunnerId),
    /// Connect to this runner.
    Connect(RunnerId),
    /// Have the source stop the run and keep its memory.
    Order,
    /// Ask this runner to go on from the memory that it has.
    Send(RunnerId),
    /// Ask the source to go on with the run that it has stopped.
    Return,
    /// Offer a place at a runner to another node.
    Offer(OfferedPlace, RunnerId, VmId),
}

/// Where a runner was seen, and when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RunnerSighting {
    pub(crate) place: SeenPlace,
    pub(crate) at: TimePoint,
}

/// Whether a memory is there for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum MemoryTrust {
    Certain,
    /// A request that was not answered may have used it, or the order that leaves it was not confirmed.
    Doubtful,
}

/// What is known of the runner of a place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RunnerView {
    pub(crate) runner: RunnerId,
    /// Where it was last seen.
    pub(crate) sighting: Option<RunnerSighting>,
    /// When a question that is under way counts as unanswered.
    pub(crate) question_due: Option<TimePoint>,
    /// A run may work on there, whose connection this node has closed.
    pub(crate) is_left: bool,
    /// It has announced that it leaves, or asked for a wait.
    pub(crate) is_leaving: bool,
    /// It has the memory of the run, and has not refused to go on from it.
    pub(crate) has_memory: bool,
    /// Whether that is certain.
    pub(crate) trust: MemoryTrust,
}

/// Time in which a question is answered.
const QUESTION_LIMIT: TimeSpan = TimeSpan::millis(500);
/// Pause until a runner is asked again.
const QUESTION_PAUSE: TimeSpan = TimeSpan::millis(250);
/// Age up to which an answer counts: more than the time of a pause and a question.
const MAX_SIGHTING_AGE: TimeSpan = TimeSpan::seconds(1);

impl RunnerView {
    pub(crate) fn new(runner: RunnerId) -> Self {
        Self {
            runner,
            sighting: None,
            question_due: None,
            is_left: false,
            is_leaving: false,
            has_memory: false,
            trust: MemoryTrust::Certain,
        }
    }

    /// Records that this node has closed the connection to a run there. An answer from before does not show
    /// that the runner has noticed it.
    pub(crate) fn leave_run(&mut self) {
        self.is_left = true;
        self.question_due = None;
        self.sighting.take_if(|sighting| sighting.place == SeenPlace::Here);
    }

    /// Whether memory is there for sure, at a runner that has answered a node since `start`.
    pub(crate) fn is_sure_place(&self, start: TimePoint, now: TimePoint) -> bool {
        let answered = self.seen_since(start, now);
        let answers = answered.is_some_and(|place| *place != SeenPlace::Nowhere);
        self.has_memory && self.trust == MemoryTrust::Certain && answers
    }

    /// Where the runner answers, if it was asked since `start` and lately enough.
    pub(crate) fn seen_since(&self, start: TimePoint, now: TimePoint) -> Option<&SeenPlace> {
        let sighting = self.sighting.as_ref()?;
        let is_fresh = sighting.at >= start && now.since(sighting.at) < MAX_SIGHTING_AGE;
        is_fresh.then_some(&sighting.place)
    }

    /// When the runner is to be asked; `None` while a question is under way.
    pub(crate) fn ask_due(&self) -> Option<TimePoint> {
        let last = self.sighting.as_ref().map(|sighting| sighting.at + QUESTION_PAUSE);
        self.question_due.is_none().then(|| last.unwrap_or_default())
    }

    /// When what is known of the runner no longer counts.
    pub(crate) fn expiry(&self) -> Option<TimePoint> {
        self.sighting.as_ref().map(|sighting| sighting.at + MAX_SIGHTING_AGE)
    }

    /// Records that a question is under way.
    pub(crate) fn begin_question(&mut self, now: TimePoint) {
        self.question_due = Some(now + QUESTION_LIMIT);
    }

    /// Records an answer.
    pub(crate) fn note(&mut self, place: SeenPlace, now: TimePoint) {
        self.question_due = None;
        self.sighting = Some(RunnerSighting { place, at: now });
    }

    /// Counts a question that was not answered in time as answered by nobody.
    pub(crate) fn end_question(&mut self, now: TimePoint) {
        if self.question_due.is_some_and(|due| now >= due) {
            self.note(SeenPlace::Nowhere, now);
        }
    }
}
