//! Serializable summary of the scheduler's state, for the state dump.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Serialize;

use crate::{CallId, PolicyName};

/// Counters since the process started.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RouteCounters {
    /// Attempts that arrived, including further attempts of the same call.
    pub arrived: u64,
    /// Attempts sent to runners.
    pub sent: u64,
    /// Calls refused by the scheduler.
    pub refused: u64,
    /// Attempts that completed.
    pub finished: u64,
    /// Attempts that failed or were refused by their runner.
    pub failed: u64,
    /// Sequence gaps in the cache events.
    pub cache_gaps: u64,
}

/// Summary of one runner.
#[derive(Debug, Clone, Serialize)]
pub struct RunnerSummary {
    /// Calls at the runner, corrected by the calls that this entry sent and saw end since
    /// the last report.
    pub calls: u32,
    /// Calls of this entry at the runner.
    pub own_calls: usize,
    /// Share of the runner's memory in use, as reported; none if it reports no memory.
    pub used_share: Option<f64>,
    /// Estimated prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Age of the state that the last report describes.
    pub report_age: TimeSpan,
    /// The runner is draining and gets no new calls.
    pub leaving: bool,
    /// Remaining time of its ejection; zero if it is not ejected.
    pub ejected_for: TimeSpan,
}

/// A scheduling decision and the figures behind it.
#[derive(Debug, Clone, Serialize)]
pub struct RouteDecision {
    /// When it was made.
    pub at: TimePoint,
    /// The call.
    pub call: CallId,
    /// Chosen runner; none for a refusal.
    pub runner: Option<RunnerId>,
    /// Time that the call waited in this entry.
    pub waited: TimeSpan,
    /// Probability that the runner's memory overflows.
    pub risk: f64,
    /// Cost of the chosen runner, without the noise added in the choice.
    pub cost: f64,
    /// Reason of a refusal.
    pub refusal: Option<RefusalReason>,
}

/// Summary of the scheduler's state.
#[derive(Debug, Clone, Serialize)]
pub struct RouteSummary {
    /// Load-balancing policy in use.
    pub policy: PolicyName,
    /// Counters since the process started.
    pub counters: RouteCounters,
    /// Calls at runners.
    pub running: usize,
    /// Number of waiting calls by `service/model`.
    pub waiting: BTreeMap<String, usize>,
    /// Number of groups of length estimates.
    pub length_groups: usize,
    /// Runners by name.
    pub runners: BTreeMap<RunnerId, RunnerSummary>,
    /// Recent decisions, newest last.
    pub decisions: Vec<RouteDecision>,
}
