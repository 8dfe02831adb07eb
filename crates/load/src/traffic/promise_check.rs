//! Promises to callers, and where they were broken.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;

/// Most violations that are kept as examples.
const MAX_EXAMPLES: usize = 10;

/// How a promise was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A token came again.
    TokenRepeated,
    /// A token was left out.
    TokenSkipped,
    /// A token of another generation of the same prompt.
    GenerationMixed,
    /// An answer to another request.
    ForeignAnswer,
    /// An answer that was called done, and is not whole.
    AnswerShort,
    /// A refusal as not run after a part of the answer.
    NotRunAfterTokens,
    /// A booking ran more than once.
    BookingRepeated,
    /// A booking that was called done did not run.
    BookingLost,
    /// A booking that was called not run did run.
    BookingRanRefused,
    /// An answer that is not of the documented shape.
    Malformed,
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// How.
    pub kind: ViolationKind,
    /// The call and what was seen.
    pub detail: String,
}

/// All broken promises of a load; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PromiseCheck {
    state: Rc<RefCell<CheckState>>,
}

#[derive(Debug, Default)]
struct CheckState {
    counts: BTreeMap<ViolationKind, u64>,
    examples: Vec<Violation>,
}

impl PromiseCheck {
    /// Records a broken promise.
    pub fn add(&self, violation: Violation) {
        let mut state = self.state.borrow_mut();
        *state.counts.entry(violation.kind).or_default() += 1;
        if state.examples.len() < MAX_EXAMPLES {
            state.examples.push(violation);
        }
    }

    /// Number of violations by kind.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<ViolationKind, u64> {
        self.state.borrow().counts.clone()
    }

    /// The first violations.
    #[must_use]
    pub fn examples(&self) -> Vec<Violation> {
        self.state.borrow().examples.clone()
    }
}

impl Violation {
    /// A violation of `kind`.
    #[must_use]
    pub fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }
}
