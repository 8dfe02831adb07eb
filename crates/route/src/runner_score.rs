//! Cost and admission check of sending a call to a runner.

use base::prelude::*;
use config::{CallPriority, ServiceKind};

use crate::{CallRecord, MemoryForecast, PrefixTable, RunnerView, ServiceView};

/// Cost of the forecast share of memory in use.
const MEMORY_COST: f64 = 1.0;
/// Cost per call that waits inside the runner.
const WAITING_COST: f64 = 0.5;
/// Cost per 1,000 prompt tokens that wait for prefill.
const PREFILL_COST: f64 = 0.3;
/// Cost reduction for a cached prefix.
const CACHED_PREFIX_BONUS: f64 = 0.3;
/// Cost of a certain memory overflow, for a service weight of 1.
const RISK_COST: f64 = 1.0;

/// Cost of a runner that takes 2.7 times as long as usual. In the replay with three speeds, 1.5
/// gives later first tokens at half of the capacity, and 0.4 four times as many late streams at 0.7.
const SPEED_COST: f64 = 0.8;
/// Cost of a pause risk of 1 to one long call.
const PAUSE_COST: f64 = 0.3;
/// Calls at the runner that count as much as one long call of one's own.
const SPEED_CALLS: f64 = 8.0;
/// A call waits for the end of a disturbance for one part in this many of its time to first token.
const PAUSE_WAIT_DIVISOR: u64 = 4;
/// Pause risk from which a runner gets no prompts.
const MAX_PAUSE_RISK: f64 = 1.0;

/// Age of a report up to which its number of waiting calls is used.
const MAX_WAITING_AGE: TimeSpan = TimeSpan::seconds(1);

/// Highest overflow probability of a runner's memory at which an urgent call is admitted.
const MAX_URGENT_RISK: f64 = 0.5;
/// Highest overflow probability at which a normal call is admitted.
const MAX_NORMAL_RISK: f64 = 0.03;
/// Highest overflow probability at which a late-tolerant call is admitted.
const MAX_LATE_TOLERANT_RISK: f64 = 0.005;

/// Returns the highest overflow probability at which a call of this priority is admitted.
fn risk_limit(priority: CallPriority) -> f64 {
    match priority {
        CallPriority::Urgent => MAX_URGENT_RISK,
        CallPriority::Normal => MAX_NORMAL_RISK,
        CallPriority::LateTolerant => MAX_LATE_TOLERANT_RISK,
    }
}

/// Longest time for which a prompt may wait at a runner, if its call is late already or its
/// prompt alone takes most of the time that is left.
const MIN_PREFILL_WAIT: TimeSpan = TimeSpan::millis(200);

/// Score of a runner for one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunnerScore {
    /// Cost of choosing the runner; lower is better.
    pub cost: f64,
    /// Probability that the runner's memory overflows if the call is sent there.
    pub risk: f64,
    /// Whether the call may be sent to the runner now.
    pub admissible: bool,
}

/// Scores `runner` for the call of `record`; `cached` tells whether it has the prompt's
/// prefix in its cache.
///
/// Where entries tell each other their forecasts, the sum of these decides. Elsewhere, for calls
/// that are not urgent, the admission check assumes that all entries which share the runner send
/// such a call at the same time. If memory does not suffice for that, an entry may send one call
/// per report, with a probability of one over the number of entries.
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
        // At the usual speed the expected time differs from the number of calls by a constant. A
        // runner that seems fast may only fail fast, and must not attract the calls.
        let cost = (calls + 1.0) * runner.speed.factor(now).max(1.0) - 1.0;
        return RunnerScore { cost, risk: 0.0, admissible: true };
    };
    let mut forecast = runner.own_forecast;
    forecast += match runner.other_forecast {
        Some(told) => told,
        None => view.other_forecast(runner.other_tokens),
    };
    let mut shared_forecast = forecast;
    forecast += record.forecast;
    shared_forecast += record.forecast.scaled(view.estimated_entries);
    let knows_others = runner.other_forecast.is_some();
    let risk = forecast.overflow_probability_during(memory, &record.forecast);
    let is_recent = now.since(runner.received_at) <= MAX_WAITING_AGE;
    let waiting = if is_recent { f64::from(runner.waiting_calls()) } else { 0.0 };
    let factor = runner.speed.factor(now);
    let prefill = runner.pending_prefill_tokens(now) as f64 / 1_000.0;
    let pause = pause_risk(view, runner, factor);
    let cost = MEMORY_COST * highest(&forecast) / memory
        + WAITING_COST * waiting
        + PREFILL_COST * prefill
        + RISK_COST * view.weights.preemptions * risk
        + speed_cost(record, runner, factor, pause)
        - if cached { CACHED_PREFIX_BONUS } else { 0.0 };
    let urgent = record.call.priority == CallPriority::Urgent;
    let limit = risk_limit(record.call.priority);
    let fits_all_entries = shared_forecast.overflow_probability(memory) <= limit;
    let won_draw = runner.sent_calls == 0 && runner.admission_draw * view.estimated_entries < 1.0;
    let throttled = runner.health.is_recovering(now) && runner.sent_calls > 0;
    let admissible = !throttled
        && (pause < MAX_PAUSE_RISK || is_urgent_by_now(now, record))
        && is_prefilled_in_time(now, record, view, runner, factor)
        && risk <= limit
        && (urgent || knows_others || waiting == 0.0 && (fits_all_entries || won_draw));
    RunnerScore { cost, risk, admissible }
}

/// Returns whether the prompts that wait at the runner leave the call time to produce its first
/// token by its target.
fn is_prefilled_in_time(
    now: TimePoint,
    record: &CallRecord,
    view: &ServiceView,
    runner: &RunnerView,
    factor: f64,
) -> bool {
    let has_started = record.call.produced_tokens.0 > 0;
    let Some(target) = record.call.first_token_target.filter(|_| !has_started) else {
        return true;
    };
    let slowed = |tokens: u64| TimeSpan((view.prefill_time(tokens).0 as f64 * factor) as u64);
    let own = slowed(u64::from(record.context_tokens()));
    let wait = slowed(runner.pending_prefill_tokens(now));
    wait <= target.since(now + own).max(MIN_PREFILL_WAIT)
}

/// Returns how far a pause that few exceed would be beyond the bound of the service's streams,
/// from 0 to 1, if the runner began to prefill a prompt now. It is 0 at usual speed, so that a
/// service whose runners do not differ is scheduled by its load alone.
fn pause_risk(view: &ServiceView, runner: &RunnerView, factor: f64) -> f64 {
    if factor <= 1.0 {
        return 0.0;
    }
    let share = view.pauses.bound_share(factor, runner.corrected_calls());
    let unsteady = view.pauses.unsteadiness();
    share.map_or(0.0, |share| {
        let excess = share * unsteady - 1.0;
        // One that is expected to pass the bound without a disturbance gets no prompt.
        if share >= 1.0 { 1.0 } else { excess.clamp(0.0, MAX_PAUSE_RISK / 2.0) }
    })
}

/// Returns whether so much of the time to the first token has passed that the call takes a runner
/// whose pauses are expected to be long, since it would soon be late itself.
fn is_urgent_by_now(now: TimePoint, record: &CallRecord) -> bool {
    let arrived = record.arrived_at;
    let target = record.call.first_token_target;
    target
        .is_some_and(|target| now.since(arrived).0 >= target.since(arrived).0 / PAUSE_WAIT_DIVISOR)
}

/// Returns the cost of the runner's speed: all that the call does there takes longer, and pauses
/// beyond the bound concern the call, the more the longer it runs, and the calls that run there.
fn speed_cost(record: &CallRecord, runner: &RunnerView, factor: f64, pause: f64) -> f64 {
    if (factor - 1.0).abs() < f64::EPSILON {
        return 0.0;
    }
    let own = record.forecast.mean[2] / record.forecast.mean[0].max(1.0);
    let beside = f64::from(runner.corrected_calls()) / SPEED_CALLS;
    SPEED_COST * factor.ln() + PAUSE_COST * pause * (own.min(1.0) + beside.min(1.0))
}

/// Returns the highest expected memory use over all horizons.
fn highest(forecast: &MemoryForecast) -> f64 {
    forecast.mean.iter().copied().fold(0.0, f64::max)
}

/// Returns whether the prefix of a call is believed to be cached at a runner.
#[must_use]
pub fn is_cached(prefixes: &PrefixTable, slot: usize, record: &CallRecord) -> bool {
    prefixes.contains(slot, record.call.prefix_hash)
}
