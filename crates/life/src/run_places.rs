//! The places of a run that its source was ordered to stop, and when its memory may be freed.
//!
//! Load pattern: the next runner is silent, full or gone, and the source is cut off from this node. What the order
//! has left is the only thing that the run can go on from, so it is kept until the run goes on for certain.

use serving::SendOutcome;

/// Times that a place may refuse a run before it counts as gone: it may have no room at the moment.
const MAX_REFUSALS: u32 = 3;

/// A memory that a stopped run can go on from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunMemory {
    /// At the next runner, copied before the order.
    Copy,
    /// At the next runner, copied by the order.
    Rest,
    /// At the source, which has stopped the run. It has the handle of [`RunMemory::Rest`].
    Source,
}

impl RunMemory {
    /// All of them, in the order in which this node asks for them.
    pub const ALL: [Self; 3] = [Self::Copy, Self::Rest, Self::Source];

    /// A memory at the other runner.
    #[must_use]
    pub fn other_runner(self) -> Self {
        if self == Self::Source { Self::Rest } else { Self::Source }
    }
}

/// What an order to stop a run has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderLeft {
    /// It is not known yet: the order is not answered, or its answer is lost.
    Open,
    /// The source has stopped the run; whether the next runner has the rest of its memory.
    Memory {
        /// Whether the copy is complete.
        is_copied: bool,
    },
    /// Nothing: the order was refused, or the source does not have the run.
    Nothing,
}

/// What is known of one memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum MemoryState {
    /// It is there; its runner has refused it so many times.
    Kept(u32),
    /// A request that was not answered may have used it.
    MaybeUsed,
    /// There is none, or not any more.
    Gone,
}

impl MemoryState {
    fn is_kept(self) -> bool {
        matches!(self, Self::Kept(_))
    }
}

/// A place that another node is asked to go on from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeftPlace {
    /// The run at the next runner, which may have taken it and answers another node.
    NextRun,
    /// The memory at the source.
    SourceMemory,
    /// The memory at the next runner.
    NextMemory(RunMemory),
    /// The run at the source: it has returned there and gave no answer, or the order is not answered.
    SourceRun,
}

impl LeftPlace {
    /// Name of the place, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NextRun => "next_run",
            Self::SourceMemory => "source_memory",
            Self::NextMemory(_) => "next_memory",
            Self::SourceRun => "source_run",
        }
    }
}

/// What decides which places are left, beside what is known of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeftFacts {
    /// The source may still get requests: it has not left, and its notice is not over.
    pub may_return: bool,
    /// The next runner may still get requests.
    pub may_ask_next: bool,
    /// The next runner answers another node.
    pub next_answers: bool,
}

/// What allows to free the memory of a stopped run that was not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FreeFacts {
    /// Another place has delivered an event of the run.
    pub has_event: bool,
    /// The stream has ended: it is whole, its caller has gone, or its deadline has passed.
    pub is_over: bool,
}

/// Whether the memory of a stopped run may be freed. That its places have not gone on so far is no reason.
#[must_use]
pub fn may_free_memory(facts: FreeFacts) -> bool {
    facts.has_event || facts.is_over
}

/// The places of one stopped run. Each memory is used once; a runner that may have taken the run is not asked again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RunPlaces {
    copy: MemoryState,
    /// Under the one handle of the order, at the source and maybe at the next runner.
    kept: MemoryState,
    left: OrderLeft,
    next_may_run: bool,
    source_may_run: bool,
}

impl RunPlaces {
    /// A run that was ordered to stop, whose next runner has a copy from before if `has_copy`.
    #[must_use]
    pub fn new(has_copy: bool) -> Self {
        Self {
            copy: if has_copy { MemoryState::Kept(0) } else { MemoryState::Gone },
            kept: MemoryState::Gone,
            left: OrderLeft::Open,
            next_may_run: false,
            source_may_run: false,
        }
    }

    /// Records what the order has left.
    pub fn note_order(&mut self, left: OrderLeft) {
        self.left = left;
        if matches!(left, OrderLeft::Memory { .. }) {
            self.kept = MemoryState::Kept(0);
        }
    }

    /// Whether a node can ask for the run to go on from `memory` now.
    #[must_use]
    pub fn is_open_at(&self, memory: RunMemory, facts: LeftFacts) -> bool {
        let may_ask_next = facts.may_ask_next && !self.next_may_run;
        match memory {
            RunMemory::Copy => self.copy.is_kept() && may_ask_next,
            RunMemory::Rest => self.has_rest() && may_ask_next,
            RunMemory::Source => self.kept.is_kept() && facts.may_return && !self.source_may_run,
        }
    }

    /// Whether the run can go on at another runner than that of `memory`.
    #[must_use]
    pub fn has_other(&self, memory: RunMemory, facts: LeftFacts) -> bool {
        let is_other = |other: &RunMemory| {
            (*other == RunMemory::Source) != (memory == RunMemory::Source)
                && self.is_open_at(*other, facts)
        };
        RunMemory::ALL.iter().any(is_other)
    }

    /// Records that a request to go on from `memory` was not answered with the run.
    pub fn note_failure(&mut self, memory: RunMemory, outcome: SendOutcome) {
        if outcome == SendOutcome::Unknown {
            match memory {
                RunMemory::Copy | RunMemory::Rest => self.next_may_run = true,
                RunMemory::Source => self.source_may_run = true,
            }
        }
        let state = self.state(memory);
        *state = match (*state, outcome) {
            (_, SendOutcome::Unknown) => MemoryState::MaybeUsed,
            (kept, SendOutcome::NotSent) => kept,
            (MemoryState::Kept(refusals), _) if refusals + 1 < MAX_REFUSALS => {
                MemoryState::Kept(refusals + 1)
            }
            _ => MemoryState::Gone,
        };
    }

    /// Records that the run goes on from `memory`.
    pub fn note_use(&mut self, memory: RunMemory) {
        *self.state(memory) = MemoryState::Gone;
    }

    /// Whether the memory that the order has left is still unused, as far as is known.
    #[must_use]
    pub fn has_kept(&self) -> bool {
        self.kept.is_kept()
    }

    /// Whether the copy of before the order is still unused, as far as is known.
    #[must_use]
    pub fn has_copy(&self) -> bool {
        self.copy.is_kept()
    }

    /// Whether the next runner may have taken the run, and gave no answer.
    #[must_use]
    pub fn next_may_run(&self) -> bool {
        self.next_may_run
    }

    /// The places to offer to other nodes, in order. A run that may be at work, at a runner that another node can
    /// stop it at, goes first; then the memory; a run that is not known to work is last. A memory that may be used is
    /// offered, too: its runner refuses if it is.
    #[must_use]
    pub fn list_offers(&self, facts: LeftFacts) -> Vec<LeftPlace> {
        let [copy, kept] = [self.copy, self.kept].map(|state| state != MemoryState::Gone);
        let has_rest = kept && self.left == OrderLeft::Memory { is_copied: true };
        let places = [
            (LeftPlace::NextRun, self.next_may_run && facts.next_answers),
            (LeftPlace::SourceMemory, kept && facts.may_return),
            (LeftPlace::NextMemory(RunMemory::Rest), has_rest && facts.may_ask_next),
            (LeftPlace::NextMemory(RunMemory::Copy), copy && facts.may_ask_next),
            (LeftPlace::SourceRun, self.source_may_run || self.left == OrderLeft::Open),
        ];
        places.into_iter().filter(|(_, is_open)| *is_open).map(|(place, _)| place).collect()
    }

    /// Whether any place may still give the run, now or later.
    #[must_use]
    pub fn is_left(&self, facts: LeftFacts) -> bool {
        let next = facts.may_ask_next && (self.copy.is_kept() || self.has_rest());
        let source = facts.may_return && self.kept.is_kept();
        let is_open = self.left == OrderLeft::Open;
        next || source || is_open || self.next_may_run || self.source_may_run
    }

    fn has_rest(&self) -> bool {
        self.kept.is_kept() && self.left == OrderLeft::Memory { is_copied: true }
    }

    fn state(&mut self, memory: RunMemory) -> &mut MemoryState {
        match memory {
            RunMemory::Copy => &mut self.copy,
            RunMemory::Rest | RunMemory::Source => &mut self.kept,
        }
    }
}
