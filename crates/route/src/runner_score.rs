//! How good a runner is for a call: lower is better.

use base::prelude::*;
use config::{CallPriority, ServiceKind};

use crate::{CallRecord, MemoryForecast, PrefixTable, RunnerView, ServiceView};

/// Weight of the share of memory that is forecast to be in use.
const MEMORY_COST: f64 = 1.0;
/// Weight of a call that waits inside the runner.
const WAITING_COST: f64 = 0.5;
/// Weight of a prompt that is being prefilled, for each 1,000 tokens.
const PREFILL_COST: f64 = 0.3;
/// What a cached prefix is worth.
const PREFIX_GAIN: f64 = 0.3;
/// Weight of the chance that memory is exceeded, at weights of 1.
const RISK_COST: f64 = 1.0;

/// Age of a report up to which its count of waiting calls is believed.
const WAITING_SPAN: TimeSpan = TimeSpan::seconds(1);

/// Highest chance of exceeding a runner's memory that an urgent call may bring about.
const URGENT_RISK: f64 = 0.5;
/// The same for a normal call.
const NORMAL_RISK: f64 = 0.03;
/// The same for a late-tolerant call.
const LATE_RISK: f64 = 0.005;

/// Chance of exceeding a runner's memory that a call of this priority may bring about.
fn risk_limit(priority: CallPriority) -> f64 {
    match priority {
        CallPriority::Urgent => URGENT_RISK,
        CallPriority::Normal => NORMAL_RISK,
        CallPriority::LateTolerant => LATE_RISK,
    }
}

/// A runner's score for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerScore {
    /// Lower is better.
    pub cost: f64,
    /// Chance that the runner's memory is exceeded.
    pub risk: f64,
    /// The call may be sent there now.
    pub admissible: bool,
}

/// Scores `runner` for `record`.
#[must_use]
pub fn score(
    now: TimePoint,
    record: &CallRecord,
    view: &ServiceView,
    runner: &RunnerView,
    cached: bool,
) -> RunnerScore {
    let calls = f64::from(runner.corrected_calls());
    let Some(memory) = runner.memory_tokens().filter(|_| view.kind == ServiceKind::Model) else {
        return RunnerScore { cost: calls, risk: 0.0, admissible: true };
    };
    let mut forecast = runner.own_forecast;
    forecast += view.other_forecast(runner.other_tokens);
    let mut crowded = forecast;
    forecast += record.forecast;
    crowded += record.forecast.scaled(view.estimated_entries);
    let risk = forecast.overflow_probability(memory);
    let reported = now.since(runner.received_at) <= WAITING_SPAN;
    let waiting = if reported { f64::from(runner.waiting_calls()) } else { 0.0 };
    let prefill = runner.pending_prefill_tokens(now) as f64 / 1_000.0;
    let cost = MEMORY_COST * highest(&forecast) / memory
        + WAITING_COST * waiting
        + PREFILL_COST * prefill
        + RISK_COST * view.weights.preemptions * risk
        - if cached { PREFIX_GAIN } else { 0.0 };
    let urgent = record.call.priority == CallPriority::Urgent;
    let limit = risk_limit(record.call.priority);
    let roomy = crowded.overflow_probability(memory) <= limit;
    let allowed = runner.sent_calls == 0 && runner.admission_draw * view.estimated_entries < 1.0;
    let held = runner.health.is_recovering(now) && runner.sent_calls > 0;
    let admissible = !held && risk <= limit && (urgent || waiting == 0.0 && (roomy || allowed));
    RunnerScore { cost, risk, admissible }
}

fn highest(forecast: &MemoryForecast) -> f64 {
    forecast.mean.iter().copied().fold(0.0, f64::max)
}

/// Whether the prefix of a call seems to be cached at a runner.
#[must_use]
pub fn is_cached(prefixes: &PrefixTable, slot: usize, record: &CallRecord) -> bool {
    prefixes.contains(slot, record.call.prefix_hash)
}
