//! The scheduler's state, for the dump.

use std::collections::BTreeMap;

use base::prelude::*;
use serde::Serialize;

use crate::{CallId, PolicyName};

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RouteCounters {
    /// Calls that arrived.
    pub arrived: u64,
    /// Attempts sent to runners.
    pub sent: u64,
    /// Calls refused.
    pub refused: u64,
    /// Attempts that ended whole.
    pub finished: u64,
    /// Attempts that failed or that a runner refused.
    pub failed: u64,
    /// Gaps in cache events.
    pub cache_gaps: u64,
}

/// What the scheduler thinks of one runner.
#[derive(Debug, Clone, Serialize)]
pub struct RunnerSummary {
    /// Calls inside the runner, corrected by what this entry did since its report.
    pub calls: u32,
    /// Calls of this entry.
    pub own_calls: usize,
    /// Share of its memory in use, as reported; none if it has no memory to report.
    pub used_share: Option<f64>,
    /// Prompt tokens that seem to wait for prefill.
    pub prefill_tokens: u64,
    /// Age of the state that its report describes.
    pub report_age: TimeSpan,
    /// It gets no new work.
    pub leaving: bool,
    /// It is ejected for this long.
    pub ejected_for: TimeSpan,
}

/// Why a runner was chosen.
#[derive(Debug, Clone, Serialize)]
pub struct RouteDecision {
    /// When.
    pub at: TimePoint,
    /// The call.
    pub call: CallId,
    /// The runner; none for a refusal.
    pub runner: Option<RunnerId>,
    /// Time that the call had waited.
    pub waited: TimeSpan,
    /// Chance that the runner's memory is exceeded.
    pub risk: f64,
    /// Cost of the runner; the others had higher ones.
    pub cost: f64,
    /// Reason of a refusal.
    pub refusal: Option<RefusalReason>,
}

/// The scheduler's state.
#[derive(Debug, Clone, Serialize)]
pub struct RouteSummary {
    /// The rule in use.
    pub policy: PolicyName,
    /// Counters.
    pub counters: RouteCounters,
    /// Calls at runners.
    pub running: usize,
    /// Calls that wait here, by service and model.
    pub waiting: BTreeMap<String, usize>,
    /// Groups of length estimates.
    pub length_groups: usize,
    /// Runners by name.
    pub runners: BTreeMap<RunnerId, RunnerSummary>,
    /// The last decisions, the newest last.
    pub decisions: Vec<RouteDecision>,
}
