//! What is known of one request's runs, and which final status follows from it.
//!
//! This is the only place that decides between "not run" and "unknown".

use crate::RouteKind;

/// What came of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendOutcome {
    /// No byte of the request left this node.
    NotSent,
    /// The runner said that it did not run the request.
    Refused,
    /// The runner answered with a failure of its own.
    Failed,
    /// The request was sent and no usable answer came: it may have run.
    Unknown,
}

/// The status of a request that ends without a runner's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FinalStatus {
    /// It did not run and never will.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
}

/// The runs of one request so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptTracker {
    kind: RouteKind,
    max_attempts: u32,
    sends: u32,
    runs: u32,
    /// Sends of which no byte left this node.
    unsent: u32,
}

/// Connections that may fail before the request is given up: each refused one takes no
/// time, so that a request would otherwise try on without pause until its deadline.
const MAX_UNSENT: u32 = 6;
/// Sends that runners may refuse before the request is given up; each one costs a round
/// trip and a part of the shared retry budget.
const MAX_REFUSALS: u32 = 3;

impl AttemptTracker {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(kind: RouteKind, max_attempts: u32) -> Self {
        Self { kind, max_attempts: max_attempts.max(1), sends: 0, runs: 0, unsent: 0 }
    }

    /// Notes how a send ended.
    pub fn record_send(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.unsent += 1,
            SendOutcome::Refused => self.sends += 1,
            SendOutcome::Failed | SendOutcome::Unknown => {
                self.sends += 1;
                self.runs += 1;
            }
        }
    }

    /// Sends that reached a runner.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may go to a further runner.
    #[must_use]
    pub fn may_send(&self) -> bool {
        let repeatable = self.kind == RouteKind::Idempotent || self.runs == 0;
        let patient = self.sends < self.max_attempts + MAX_REFUSALS && self.unsent < MAX_UNSENT;
        repeatable && patient && self.runs < self.max_attempts
    }

    /// The status if the request ends now.
    #[must_use]
    pub fn final_status(&self) -> FinalStatus {
        if self.runs == 0 { FinalStatus::NotRun } else { FinalStatus::Unknown }
    }
}
