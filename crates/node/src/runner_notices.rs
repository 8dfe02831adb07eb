//! Records what runners state about themselves in their answers, and what other nodes know of it.

use base::prelude::*;
use platform::RunnerNotice;
use serving::{
    BrittleChange, BrittleUpdate, ColdSource, ColdUpdate, LimitChange, LimitUpdate,
    MAX_RUNNER_WAIT, RunnerIncarnation,
};

use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::limit_share::cold_plan;
use crate::runner_gate::mark_leaving;
use crate::speed_share::record_speed_figure;

/// Records what this start of a runner stated about itself in an answer.
pub fn record_notice(context: &NodeContext, runner: &RunnerIncarnation, notice: &RunnerNotice) {
    if notice.leaving && mark_leaving(context, runner, "answer") {
        context.signal_runner_change();
    }
    if let Some(rate) = notice.limit {
        record_limit(context, runner, Some(rate));
    }
    if let Some(left) = notice.cold {
        record_cold(context, runner, left, ColdSource::Answer);
    }
    if let Some(count) = notice.brittle {
        record_brittle(context, runner, Some(count));
    }
    if let Some(span) = notice.retry_after {
        begin_wait(context, runner, span);
    }
    if let Some(factor) = notice.speed {
        record_speed_figure(context, &runner.runner, factor);
    }
    if let Some(header) = notice.unknown_value
        && may_log(context)
    {
        tracing::info!(event = "header_ignored", runner = %runner.runner, header);
    }
}

/// Records that this start of a runner served a call and named no limit.
pub fn record_unlimited(context: &NodeContext, runner: &RunnerIncarnation) {
    record_limit(context, runner, None);
}

/// Records that this start of a runner stays cold for `left`, unless its service has no cold
/// runners.
pub fn record_cold(
    context: &NodeContext,
    runner: &RunnerIncarnation,
    left: TimeSpan,
    source: ColdSource,
) {
    let service =
        context.runners.borrow().get(&runner.runner).map(|entry| entry.record.service.clone());
    let has_cold = service.is_some_and(|service| cold_plan(context, &service).is_some());
    // The list of runners may be read before the configuration.
    if !has_cold && context.plan().is_some() {
        return;
    }
    let is_new = context.cold.borrow_mut().record(context.now(), runner, left, source);
    if is_new {
        log_cold(context, runner, left, source);
        context.signal_runner_change();
    }
}

/// Takes what another node knows about cold runners. Returns whether anything has changed.
pub fn apply_cold_update(context: &NodeContext, update: ColdUpdate) -> bool {
    let reports = context.cold.borrow_mut().apply_update(context.now(), update);
    for report in &reports {
        log_cold(context, &report.runner, report.left, ColdSource::Node);
    }
    !reports.is_empty()
}

fn log_cold(context: &NodeContext, runner: &RunnerIncarnation, left: TimeSpan, source: ColdSource) {
    context.metrics.cold_runners.inc();
    if may_log(context) {
        let (left_ms, source) = (left.as_millis(), source.as_str());
        tracing::info!(event = "runner_cold", runner = %runner.runner, left_ms, source);
    }
}

/// Records that this start of a runner served a call and did not state that it is brittle.
pub fn record_not_brittle(context: &NodeContext, runner: &RunnerIncarnation) {
    record_brittle(context, runner, None);
}

fn record_brittle(context: &NodeContext, runner: &RunnerIncarnation, limit: Option<u32>) {
    let change = context.brittle.borrow_mut().record(context.now(), runner, limit);
    if let Some(change) = change {
        log_brittle(context, &change, "answer");
        context.signal_runner_change();
    }
}

/// Takes what another node knows about brittle runners. Returns whether anything has changed.
pub fn apply_brittle_update(context: &NodeContext, vm: &VmId, update: BrittleUpdate) -> bool {
    let changes = context.brittle.borrow_mut().apply_update(context.now(), vm, update);
    for change in &changes {
        log_brittle(context, change, "node");
    }
    !changes.is_empty()
}

fn log_brittle(context: &NodeContext, change: &BrittleChange, source: &str) {
    context.metrics.brittle_runners.inc();
    if !may_log(context) {
        return;
    }
    let runner = &change.runner;
    if let Some(rejections) = change.limit {
        tracing::info!(event = "runner_brittle", %runner, rejections, source);
    } else {
        tracing::info!(event = "runner_sturdy", %runner, source);
    }
}

fn record_limit(context: &NodeContext, runner: &RunnerIncarnation, limit: Option<RequestRate>) {
    let change = context.limits.borrow_mut().record(context.now(), runner, limit);
    if let Some(change) = change {
        log_limit(context, &change, "answer");
        context.signal_runner_change();
    }
}

/// Takes what another node knows about limits of runners. Returns whether one has changed.
pub fn apply_limit_update(context: &NodeContext, vm: &VmId, update: LimitUpdate) -> bool {
    let changes = context.limits.borrow_mut().apply_update(context.now(), vm, update);
    for change in &changes {
        log_limit(context, change, "node");
    }
    !changes.is_empty()
}

fn log_limit(context: &NodeContext, change: &LimitChange, source: &str) {
    context.metrics.runner_limits.inc();
    if !may_log(context) {
        return;
    }
    let runner = &change.runner;
    if let Some(rate) = change.limit {
        tracing::info!(event = "limit_named", %runner, rate = rate.0, source);
    } else {
        tracing::info!(event = "limit_ended", %runner, source);
    }
}

/// Records that this start of a runner wants no requests for `span`.
fn begin_wait(context: &NodeContext, runner: &RunnerIncarnation, span: TimeSpan) {
    if !context.waits.borrow_mut().record(context.now(), runner, span) {
        return;
    }
    context.metrics.runner_waits.inc();
    context.signal_runner_change();
    let (seconds, limit) = (span.as_seconds(), MAX_RUNNER_WAIT.as_seconds());
    if may_log(context) {
        tracing::info!(event = "wait_begun", runner = %runner.runner, seconds, limit);
    }
}
