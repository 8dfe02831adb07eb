//! One runner as this entry sees it.

use std::collections::{BTreeSet, VecDeque};

use base::prelude::*;

use crate::CallId;

/// A change of a runner's load by this entry.
#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: TimePoint,
    calls: i32,
    tokens: i64,
}

/// What is known about a runner: its last report and what this entry did since.
#[derive(Debug)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Its failure domain.
    pub place: PlaceName,
    /// It gets no new work.
    pub leaving: bool,
    /// Its last report.
    pub report: Option<RunnerReport>,
    /// The instant that the report describes.
    pub reported: TimePoint,
    /// Calls of this entry at the runner.
    pub own: BTreeSet<CallId>,
    changes: VecDeque<LoadChange>,
}

impl RunnerView {
    /// A runner of which nothing is known yet.
    #[must_use]
    pub fn new(runner: RunnerId, place: PlaceName) -> Self {
        Self {
            runner,
            place,
            leaving: false,
            report: None,
            reported: TimePoint::default(),
            own: BTreeSet::new(),
            changes: VecDeque::new(),
        }
    }

    /// Takes a report, unless a newer one of the same incarnation was there.
    pub fn take_report(&mut self, now: TimePoint, report: RunnerReport) -> bool {
        let stale = self.report.as_ref().is_some_and(|last| {
            last.incarnation == report.incarnation && last.sequence >= report.sequence
        });
        if stale {
            return false;
        }
        self.reported = now - report.age;
        self.report = Some(report);
        while self.changes.front().is_some_and(|change| change.at <= self.reported) {
            self.changes.pop_front();
        }
        true
    }

    /// This entry sent a call of `tokens` to the runner.
    pub fn sent(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        self.own.insert(call);
        self.changes.push_back(LoadChange { at: now, calls: 1, tokens: i64::from(tokens) });
    }

    /// A call of this entry that held `tokens` is gone from the runner.
    pub fn ended(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        if self.own.remove(&call) {
            self.changes.push_back(LoadChange { at: now, calls: -1, tokens: -i64::from(tokens) });
        }
    }

    /// Reported calls, running and waiting.
    #[must_use]
    pub fn reported_calls(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.running + report.waiting)
    }

    /// Reported calls with what this entry did since.
    #[must_use]
    pub fn corrected_calls(&self) -> u32 {
        let change: i32 = self.changes.iter().map(|change| change.calls).sum();
        self.reported_calls().saturating_add_signed(change)
    }

    /// Tokens that this entry added since the report, less those that it saw freed.
    #[must_use]
    pub fn changed_tokens(&self) -> i64 {
        self.changes.iter().map(|change| change.tokens).sum()
    }

    /// Calls that this entry sent since the report.
    #[must_use]
    pub fn sent_since(&self) -> u32 {
        self.changes.iter().filter(|change| change.calls > 0).count() as u32
    }

    /// Whether the runner may get calls of `model`.
    #[must_use]
    pub fn serves(&self, model: Option<&ModelName>) -> bool {
        let Some(report) = &self.report else {
            return !self.leaving;
        };
        let loaded = |model: &ModelName| report.models.is_empty() || report.models.contains(model);
        !self.leaving && !report.leaving && model.is_none_or(loaded)
    }
}
