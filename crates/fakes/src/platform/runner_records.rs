//! What a runner has seen and done, for the tests that ask it afterwards.

use std::time::Instant;

use super::runner_fake::RunnerFake;
use super::runner_request::RunnerRequest;

/// A request that came, and what the runner did.
#[derive(Debug, Clone)]
pub struct RunnerVisit {
    /// The request.
    pub request: RunnerRequest,
    /// It was run.
    pub ran: bool,
    /// When it came.
    pub at: Instant,
}

impl RunnerFake {
    /// Requests of callers so far.
    #[must_use]
    pub fn visits(&self) -> Vec<RunnerVisit> {
        self.state().visits.borrow().clone()
    }

    /// When moves from here were asked for.
    #[must_use]
    pub fn moves(&self) -> Vec<Instant> {
        self.state().moves.borrow().clone()
    }

    /// Handles of copies that were to be freed here.
    #[must_use]
    pub fn releases(&self) -> Vec<String> {
        self.state().releases.borrow().clone()
    }

    /// When connections were closed from outside while it worked on a plain call, or was silent.
    #[must_use]
    pub fn abandoned(&self) -> Vec<Instant> {
        self.state().abandoned.borrow().clone()
    }

    /// Requests that it ran.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.state().visits.borrow().iter().filter(|visit| visit.ran).count()
    }

    /// Streams that are at work.
    #[must_use]
    pub fn working(&self) -> usize {
        self.state().working.get()
    }

    /// The most requests that it got in a second while cold.
    #[must_use]
    pub fn most_cold_requests(&self) -> usize {
        self.state().most_cold.get()
    }

    /// Whether it has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.state().crashed.is_raised()
    }
}
