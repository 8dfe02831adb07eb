//! One runner as this entry sees it.

use std::collections::{BTreeSet, VecDeque};

use base::prelude::*;

use crate::{CallId, MemoryForecast, RunnerHealth};

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
    /// The service that it serves.
    pub service: Option<ServiceName>,
    /// Its failure domain.
    pub place: PlaceName,
    /// It gets no new work.
    pub leaving: bool,
    /// Its last report.
    pub report: Option<RunnerReport>,
    /// The instant that the report describes.
    pub reported_at: TimePoint,
    /// When that report arrived.
    pub received_at: TimePoint,
    /// Whether it works as the others do.
    pub health: RunnerHealth,
    /// Calls of this entry at the runner.
    pub own_calls: BTreeSet<CallId>,
    /// Forecast of this entry's calls at the runner.
    pub own_forecast: MemoryForecast,
    /// Tokens that calls of other entries held when the runner reported.
    pub other_tokens: f64,
    /// Uniform number drawn at the last report: it decides which entries may fill what
    /// little room the report shows.
    pub admission_draw: f64,
    /// Calls sent since the last report arrived.
    pub sent_calls: u32,
    /// Prompt tokens that wait for prefill, over all entries, and when that was told.
    pub pending_prefill: Option<(TimePoint, u64)>,
    /// When the forecast was last computed.
    pub forecast_at: TimePoint,
    changes: VecDeque<LoadChange>,
    changed_calls: i32,
    freed_tokens: u64,
}

/// Time for which a prompt that was just sent is taken to occupy the runner when nobody
/// tells.
const PREFILL_SPAN: TimeSpan = TimeSpan::millis(150);

/// Changes kept one by one; older ones are only counted.
const CHANGE_LIMIT: usize = 1_024;

impl RunnerView {
    /// A runner of which nothing is known yet.
    #[must_use]
    pub fn new(runner: RunnerId, place: PlaceName) -> Self {
        Self {
            runner,
            service: None,
            place,
            leaving: false,
            report: None,
            reported_at: TimePoint::default(),
            received_at: TimePoint::default(),
            health: RunnerHealth::default(),
            own_calls: BTreeSet::new(),
            own_forecast: MemoryForecast::default(),
            other_tokens: 0.0,
            admission_draw: 1.0,
            sent_calls: 0,
            pending_prefill: None,
            forecast_at: TimePoint::default(),
            changes: VecDeque::new(),
            changed_calls: 0,
            freed_tokens: 0,
        }
    }

    /// Takes a report, unless a newer one of the same incarnation was there.
    pub fn apply_report(&mut self, now: TimePoint, report: RunnerReport) -> bool {
        let stale = self.report.as_ref().is_some_and(|last| {
            last.incarnation == report.incarnation && last.sequence >= report.sequence
        });
        if stale {
            return false;
        }
        self.reported_at = now - report.age;
        self.received_at = now;
        self.report = Some(report);
        self.sent_calls = 0;
        while self.changes.front().is_some_and(|change| change.at <= self.reported_at) {
            self.changes.pop_front();
        }
        self.changed_calls = self.changes.iter().map(|change| change.calls).sum();
        let freed = self.changes.iter().filter(|change| change.tokens < 0);
        self.freed_tokens = freed.map(|change| change.tokens.unsigned_abs()).sum();
        true
    }

    /// Forgets what the runner reported, as when it left the list.
    pub fn clear_report(&mut self) {
        self.report = None;
        self.other_tokens = 0.0;
        self.health = RunnerHealth::default();
    }

    /// The runner's start that the last report is from.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    /// This entry sent a call of `tokens` to the runner.
    pub fn record_sent(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        self.own_calls.insert(call);
        self.sent_calls += 1;
        self.push_change(LoadChange { at: now, calls: 1, tokens: i64::from(tokens) });
    }

    /// A call of this entry that held `tokens` is gone from the runner.
    pub fn record_ended(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        if self.own_calls.remove(&call) {
            self.push_change(LoadChange { at: now, calls: -1, tokens: -i64::from(tokens) });
        }
    }

    fn push_change(&mut self, change: LoadChange) {
        self.changed_calls += change.calls;
        if change.tokens < 0 {
            self.freed_tokens += change.tokens.unsigned_abs();
        }
        self.changes.push_back(change);
        if self.changes.len() > CHANGE_LIMIT {
            self.changes.pop_front();
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
        self.reported_calls().saturating_add_signed(self.changed_calls)
    }

    /// Tokens that this entry saw freed since the report.
    #[must_use]
    pub fn freed_tokens(&self) -> u64 {
        self.freed_tokens
    }

    /// Tokens of the calls that this entry sent after `since`.
    #[must_use]
    pub fn sent_tokens(&self, since: TimePoint) -> u64 {
        let newest = self.changes.iter().rev().take_while(|change| change.at > since);
        let sent = newest.filter(|change| change.tokens > 0);
        sent.map(|change| change.tokens.unsigned_abs()).sum()
    }

    /// Prompt tokens that seem to wait for prefill: as told, with what was sent since, or
    /// what this entry sent lately.
    #[must_use]
    pub fn pending_prefill_tokens(&self, now: TimePoint) -> u64 {
        match self.pending_prefill {
            Some((told, tokens)) => tokens + self.sent_tokens(told),
            None => self.sent_tokens(now - PREFILL_SPAN),
        }
    }

    /// Tokens that fit into the runner's memory; none if it did not say.
    #[must_use]
    pub fn memory_tokens(&self) -> Option<f64> {
        let report = self.report.as_ref()?;
        let tokens = f64::from(report.total_blocks.0) * f64::from(report.block_tokens);
        (tokens > 0.0).then_some(tokens)
    }

    /// Tokens held in the runner's memory when it reported.
    #[must_use]
    pub fn used_tokens(&self) -> f64 {
        let used = |r: &RunnerReport| f64::from(r.used_blocks.0) * f64::from(r.block_tokens);
        self.report.as_ref().map_or(0.0, used)
    }

    /// Calls that waited inside the runner when it reported.
    #[must_use]
    pub fn waiting_calls(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.waiting)
    }

    /// Whether the runner may get calls of `model`.
    #[must_use]
    pub fn can_serve(&self, model: Option<&ModelName>) -> bool {
        let Some(report) = &self.report else {
            return !self.leaving;
        };
        let loaded = |model: &ModelName| report.models.is_empty() || report.models.contains(model);
        !self.leaving && !report.leaving && model.is_none_or(loaded)
    }
}
