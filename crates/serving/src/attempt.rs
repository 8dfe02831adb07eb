//! Tracks the send attempts of one request and derives its final status.
//!
//! No other code decides between "not run" and "unknown".

use crate::{RouteKind, RouteRule};

/// Result of sending a request to a runner once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SendOutcome {
    /// Sending failed before any byte of the request left this node.
    NotSent,
    /// The runner answered that it did not execute the request.
    Refused,
    /// The runner answered with an error of its own; the request may have been executed.
    Failed,
    /// The request was sent but no usable answer arrived, so it may have been executed.
    Unknown,
}

/// Status reported for a request that ends without an answer from a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FinalStatus {
    /// No runner executed the request, and none will.
    NotRun,
    /// A runner may have executed the request.
    Unknown,
}

/// Counts the send attempts of one request and decides whether another is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptTracker {
    kind: RouteKind,
    max_attempts: u32,
    /// Attempts that sent the request to a runner.
    sends: u32,
    /// Sends after which the request may have been executed.
    possible_runs: u32,
    /// Attempts that failed before any byte left this node.
    failed_connections: u32,
}

/// Failed connections before a request is abandoned. A refused connection returns at once,
/// so without this limit a request would retry in a tight loop until its deadline.
const MAX_FAILED_CONNECTIONS: u32 = 6;
/// Sends allowed beyond `max_attempts`, because runners may refuse a request without
/// executing it. Each refusal costs a round trip and part of the shared retry budget.
const MAX_REFUSALS: u32 = 3;

impl AttemptTracker {
    /// Creates a tracker for a request that has not been sent. `max_attempts` is at least 1.
    #[must_use]
    pub fn new(kind: RouteKind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts: max_attempts.max(1),
            sends: 0,
            possible_runs: 0,
            failed_connections: 0,
        }
    }

    /// Creates a tracker for a request on `route` that has not been sent.
    #[must_use]
    pub fn for_route(route: &RouteRule) -> Self {
        let kind = if route.may_repeat() { RouteKind::Idempotent } else { route.kind };
        Self::new(kind, route.max_attempts)
    }

    /// Records the outcome of one send.
    pub fn record_send(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.failed_connections += 1,
            SendOutcome::Refused => self.sends += 1,
            SendOutcome::Failed | SendOutcome::Unknown => {
                self.sends += 1;
                self.possible_runs += 1;
            }
        }
    }

    /// Number of attempts that sent the request to a runner.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may be sent to another runner.
    #[must_use]
    pub fn may_send(&self) -> bool {
        let can_repeat = self.kind == RouteKind::Idempotent || self.possible_runs == 0;
        let within_limits = self.sends < self.max_attempts + MAX_REFUSALS
            && self.failed_connections < MAX_FAILED_CONNECTIONS;
        can_repeat && within_limits && self.possible_runs < self.max_attempts
    }

    /// Status to report if the request ends now without an answer.
    #[must_use]
    pub fn final_status(&self) -> FinalStatus {
        if self.possible_runs == 0 { FinalStatus::NotRun } else { FinalStatus::Unknown }
    }
}
