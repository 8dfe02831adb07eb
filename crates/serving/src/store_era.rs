//! Eras of the platform's store, and which of its answers may be used.
//!
//! Load pattern: in a drill the store is away for a moment and comes back from a copy some
//! seconds old. It has lost the newest records and gives their offsets out again, so that an
//! offset means something only together with its era.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// A position up to which a topic of the store was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreCursor {
    /// Era that the offset belongs to.
    pub era: StoreEra,
    /// Offset at which later changes begin.
    pub offset: LogOffset,
}

/// What may be done with an answer of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerUse {
    /// It is current and continues what was read before.
    Apply(StoreEra),
    /// It does not continue what was read before: the topic must be listed again.
    ListAgain,
    /// It was given in an older era.
    Discard,
}

/// The newest era of the store that a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct EraView {
    newest: StoreEra,
    risen_at: Option<TimePoint>,
}

impl EraView {
    /// The newest era.
    #[must_use]
    pub fn newest(&self) -> StoreEra {
        self.newest
    }

    /// Records an era named by the store or by another node. Returns the one before if the era
    /// is higher.
    pub fn observe(&mut self, now: TimePoint, era: StoreEra) -> Option<StoreEra> {
        if era <= self.newest {
            return None;
        }
        self.risen_at = Some(now);
        Some(std::mem::replace(&mut self.newest, era))
    }

    /// Whether something asked for at `asked_at` may belong to an older era.
    #[must_use]
    pub fn may_be_older(&self, asked_at: TimePoint) -> bool {
        self.risen_at.is_some_and(|risen_at| asked_at <= risen_at)
    }

    /// Judges an answer to a read from `cursor`, or to a listing if that is `None`. `asked_in` is
    /// the newest era at the time of the request and holds for an answer that names none.
    #[must_use]
    pub fn judge(
        &self,
        cursor: Option<StoreCursor>,
        asked_in: StoreEra,
        answered: Option<StoreEra>,
    ) -> AnswerUse {
        let era = answered.unwrap_or(asked_in);
        match cursor {
            Some(cursor) if cursor.era != era || era < self.newest => AnswerUse::ListAgain,
            None if era < self.newest => AnswerUse::Discard,
            _ => AnswerUse::Apply(era),
        }
    }
}
