//! Log lines and metrics of a request: each send to a runner, and the outcome.

use std::cell::Cell;

use base::prelude::*;
use route::RunnerSummary;

use crate::call::Call;
use crate::context::NodeContext;
use crate::metrics::OutcomeLabels;

/// Maximum request log lines per second; further ones are dropped and counted.
const LINES_PER_SECOND: u32 = 300;
/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

thread_local! {
    /// The current second and the lines written in it.
    static LINES_WRITTEN: Cell<(u64, u32)> = const { Cell::new((0, 0)) };
}

/// Checks the rate limit and counts one line against it; counts the line as dropped if the
/// limit is reached.
pub fn may_log(context: &NodeContext) -> bool {
    let second = context.now().0 / SECOND_MICROS;
    let (last, written) = LINES_WRITTEN.get();
    let written = if last == second { written } else { 0 };
    if written >= LINES_PER_SECOND {
        context.metrics.lines_dropped.inc();
        return false;
    }
    LINES_WRITTEN.set((second, written + 1));
    true
}

/// Logs and counts a send of the request to a runner; `sends` is the number of earlier sends.
pub fn log_send(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerId,
    backup: Option<&RunnerId>,
    load: Option<&RunnerSummary>,
    sends: u32,
) {
    context.metrics.sends.inc();
    call.sent_at.set(Some(context.now()));
    if sends > 0 {
        context.metrics.retries.inc();
    }
    let waited = context.now().since(call.arrived);
    context.metrics.queue_time.observe(waited.as_seconds());
    if may_log(context) {
        tracing::info!(
            event = "send",
            request = %call.attempt,
            %runner,
            backup = backup.map(RunnerId::as_str),
            service = %call.service,
            runner_calls = load.map(|load| load.calls),
            runner_memory = load.and_then(|load| load.used_share),
            runner_prefill = load.map(|load| load.prefill_tokens),
            load_age_ms = load.map(|load| load.report_age.as_millis()),
            earlier_sends = sends,
            waited_ms = waited.as_millis(),
            plan = call.plan_version.0,
            runners_age_ms = context.runners_age().as_millis(),
        );
    }
}

/// Formats the parts of a prompt for a log line, separated by commas.
#[must_use]
pub fn format_parts(parts: &[PromptPart]) -> String {
    let parts: Vec<&str> = parts.iter().map(PromptPart::as_str).collect();
    parts.join(",")
}

/// Logs a send that gave no answer to forward.
pub fn log_send_failure(context: &NodeContext, call: &Call, runner: &RunnerId, reason: &str) {
    if may_log(context) {
        tracing::info!(
            event = "send_failed",
            request = %call.attempt,
            fingerprint = %call.fingerprint,
            %runner,
            service = %call.service,
            reason = reason,
        );
    }
}

/// Outcome of a request, a label in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A runner's complete answer was forwarded.
    Answered,
    /// A stream was forwarded to its end.
    Streamed,
    /// The request did not run and never will.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// A stream was interrupted.
    Interrupted,
    /// The caller closed the connection.
    CallerDisconnected,
    /// The request was rejected before it could be sent to a runner.
    Rejected,
}

impl RequestOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Interrupted => "cut",
            Self::CallerDisconnected => "caller_left",
            Self::Rejected => "rejected",
        }
    }
}

/// Outcome, reason and status of a finished request.
#[derive(Debug, Clone, Copy)]
pub struct RequestSummary {
    /// The outcome.
    pub outcome: RequestOutcome,
    /// Why the request was refused or failed; empty otherwise.
    pub reason: &'static str,
    /// HTTP status sent to the caller; 0 if none was.
    pub status: u16,
}

/// Logs and counts a finished request.
pub fn log_end(context: &NodeContext, call: &Call, summary: RequestSummary) {
    let RequestSummary { outcome, reason, status } = summary;
    if matches!(outcome, RequestOutcome::Answered | RequestOutcome::Streamed) {
        record_times(context, call);
    }
    let outcome = outcome.as_str();
    context.metrics.requests.get_or_create(&OutcomeLabels { outcome, reason }).inc();
    let total = context.now().since(call.arrived);
    context.metrics.total_time.observe(total.as_seconds());
    if may_log(context) {
        tracing::info!(
            event = "end",
            request = %call.attempt,
            route = %call.route.name,
            service = %call.service,
            outcome,
            reason,
            status,
            total_ms = total.as_millis(),
            left_ms = call.deadline.since(context.now()).as_millis(),
        );
    }
}

/// Records how long a call took that has ended well.
fn record_times(context: &NodeContext, call: &Call) {
    let (now, route) = (context.now(), &call.route.name);
    context.call_times.borrow_mut().record(now, route, now.since(call.arrived));
    if let Some(sent_at) = call.sent_at.get() {
        context.work_times.borrow_mut().record(now, route, now.since(sent_at));
    }
}

/// Logs and counts a request that was rejected before it could be sent to a runner.
pub fn log_rejection(context: &NodeContext, request: &str, reason: &'static str, status: u16) {
    let outcome = RequestOutcome::Rejected.as_str();
    context.metrics.requests.get_or_create(&OutcomeLabels { outcome, reason }).inc();
    if may_log(context) {
        let plan = context.plan_version().map(|version| version.0);
        tracing::info!(event = "end", request, outcome, reason, status, plan);
    }
}
