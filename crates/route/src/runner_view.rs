//! State of one runner as known to this entry.

use std::collections::{BTreeSet, VecDeque};

use base::prelude::*;

use crate::{CallId, MemoryForecast, RateLimiter, RunnerHealth, RunnerRamp, RunnerSpeed};

/// Change of a runner's load caused by this entry.
#[derive(Debug, Clone, Copy)]
struct LoadChange {
    at: TimePoint,
    calls: i32,
    tokens: i64,
}

/// Last report of a runner, and the load changes that this entry caused since.
#[derive(Debug)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Service that the runner serves.
    pub service: Option<ServiceName>,
    /// Failure domain of the runner.
    pub place: PlaceName,
    /// The runner is draining and gets no new calls.
    pub leaving: bool,
    /// Last report, if any arrived.
    pub report: Option<RunnerReport>,
    /// Time of the state that the last report describes.
    pub reported_at: TimePoint,
    /// When the last report arrived.
    pub received_at: TimePoint,
    /// Outlier ejection state.
    pub health: RunnerHealth,
    /// Calls of this entry at the runner.
    pub own_calls: BTreeSet<CallId>,
    /// Memory forecast of this entry's calls at the runner.
    pub own_forecast: MemoryForecast,
    /// Tokens held by calls of other entries when the runner reported.
    pub other_tokens: f64,
    /// Uniform random number drawn at each report. It decides which entries may use the
    /// memory that is left if it does not suffice for a call of every entry.
    pub admission_draw: f64,
    /// Whether the runner waits, or has just done so and gets few calls.
    pub ramp: RunnerRamp,
    /// How long work takes there, relative to the usual runner of its service.
    pub speed: RunnerSpeed,
    /// This entry's share of the rate that the runner takes.
    pub limiter: RateLimiter,
    /// Number of calls sent since the last report arrived.
    pub sent_calls: u32,
    /// Prompt tokens that wait for prefill over all entries, with the time of that figure.
    pub pending_prefill: Option<(TimePoint, u64)>,
    /// Memory that calls and copies of other entries need, if these entries tell it.
    pub other_forecast: Option<MemoryForecast>,
    /// When the memory forecast was last computed.
    pub forecast_at: TimePoint,
    changes: VecDeque<LoadChange>,
    changed_calls: i32,
    freed_tokens: u64,
}

/// Time for which a prompt is assumed to wait for prefill after its call was sent, if no
/// figure over all entries is available.
const ASSUMED_PREFILL_TIME: TimeSpan = TimeSpan::millis(150);

/// Maximum number of changes kept individually; older ones remain only in the sums.
const MAX_CHANGES: usize = 1_024;

impl RunnerView {
    /// Creates the state of a runner that has not reported yet.
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
            ramp: RunnerRamp::default(),
            speed: RunnerSpeed::default(),
            limiter: RateLimiter::default(),
            sent_calls: 0,
            pending_prefill: None,
            other_forecast: None,
            forecast_at: TimePoint::default(),
            changes: VecDeque::new(),
            changed_calls: 0,
            freed_tokens: 0,
        }
    }

    /// Applies a report, unless it is not newer than the last one of the same incarnation;
    /// returns whether it was applied.
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

    /// Clears the reported state, for example when the runner has left the service.
    pub fn clear_report(&mut self) {
        self.report = None;
        self.other_tokens = 0.0;
        self.other_forecast = None;
        self.health = RunnerHealth::default();
        self.ramp = RunnerRamp::default();
        self.speed = RunnerSpeed::default();
        self.limiter = RateLimiter::default();
    }

    /// Returns whether the runner accepts a call now: it does not wait, and is not at its limit.
    #[must_use]
    pub fn admits(&self, now: TimePoint) -> bool {
        self.ramp.admits(now) && self.limiter.admits(now)
    }

    /// When the runner's wait ends and its rate allows a call; `None` if that is now.
    #[must_use]
    pub fn next_call_at(&self, now: TimePoint) -> Option<TimePoint> {
        self.ramp.wait_end(now).max(self.limiter.next_call_at(now))
    }

    /// Returns the runner incarnation that sent the last report.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    /// Records that this entry sent a call of `tokens` to the runner.
    pub fn record_sent(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        self.own_calls.insert(call);
        self.ramp.record_sent(call);
        self.limiter.record_sent(now);
        self.sent_calls += 1;
        self.push_change(LoadChange { at: now, calls: 1, tokens: i64::from(tokens) });
    }

    /// Records that a call of this entry that held `tokens` has left the runner.
    pub fn record_ended(&mut self, now: TimePoint, call: CallId, tokens: u32) {
        self.ramp.record_ended(call);
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
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the number of reported calls, running and waiting.
    #[must_use]
    pub fn reported_calls(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.running + report.waiting)
    }

    /// Returns the number of reported calls, corrected by the calls that this entry sent
    /// and saw end since.
    #[must_use]
    pub fn corrected_calls(&self) -> u32 {
        self.reported_calls().saturating_add_signed(self.changed_calls)
    }

    /// Returns the tokens freed by calls of this entry since the report.
    #[must_use]
    pub fn freed_tokens(&self) -> u64 {
        self.freed_tokens
    }

    /// Returns the tokens of the calls that this entry sent after `since`.
    #[must_use]
    pub fn sent_tokens(&self, since: TimePoint) -> u64 {
        let newest = self.changes.iter().rev().take_while(|change| change.at > since);
        let sent = newest.filter(|change| change.tokens > 0);
        sent.map(|change| change.tokens.unsigned_abs()).sum()
    }

    /// Estimates the prompt tokens that wait for prefill: the last figure over all entries
    /// plus what this entry sent since, or else what this entry sent recently.
    #[must_use]
    pub fn pending_prefill_tokens(&self, now: TimePoint) -> u64 {
        match self.pending_prefill {
            Some((at, tokens)) => tokens + self.sent_tokens(at),
            None => self.sent_tokens(now - ASSUMED_PREFILL_TIME),
        }
    }

    /// Returns the runner's memory capacity in tokens; none if it was not reported.
    #[must_use]
    pub fn memory_tokens(&self) -> Option<f64> {
        let report = self.report.as_ref()?;
        let tokens = f64::from(report.total_blocks.0) * f64::from(report.block_tokens);
        (tokens > 0.0).then_some(tokens)
    }

    /// Returns the tokens held in the runner's memory when it reported.
    #[must_use]
    pub fn used_tokens(&self) -> f64 {
        let used = |r: &RunnerReport| f64::from(r.used_blocks.0) * f64::from(r.block_tokens);
        self.report.as_ref().map_or(0.0, used)
    }

    /// Returns the number of calls that waited inside the runner when it reported.
    #[must_use]
    pub fn waiting_calls(&self) -> u32 {
        self.report.as_ref().map_or(0, |report| report.waiting)
    }

    /// Returns whether the runner can get calls of `model`: it is not draining and has
    /// loaded the model. A report without models does not restrict them.
    #[must_use]
    pub fn can_serve(&self, model: Option<&ModelName>) -> bool {
        let Some(report) = &self.report else {
            return !self.leaving;
        };
        let loaded = |model: &ModelName| report.models.is_empty() || report.models.contains(model);
        !self.leaving && !report.leaving && model.is_none_or(loaded)
    }
}
