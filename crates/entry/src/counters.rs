//! What the entry counts.

use base::prelude::*;
use kernel::MetricCounters;

/// Prefix of the names of all metrics.
pub const METRIC_PREFIX: &str = "yard.entry";

/// Counts the outcome of a call, and its reason if it was refused.
pub fn count_outcome(
    counters: &MetricCounters,
    outcome: CallOutcome,
    reason: Option<RefusalReason>,
) {
    counters.count(match outcome {
        CallOutcome::Done => "call.done",
        CallOutcome::NotRun => "call.not_run",
        CallOutcome::Unknown => "call.unknown",
        CallOutcome::Incomplete => "call.incomplete",
    });
    if let Some(reason) = reason {
        counters.count_tagged("refused", "reason", &reason.to_string());
    }
}
