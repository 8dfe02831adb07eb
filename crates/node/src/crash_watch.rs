//! Watches under which inputs of calls runners crash, and refuses calls with such inputs.

use base::prelude::*;
use hyper::Response;
use hyper::body::Bytes;
use serving::{CallInput, InputChange, InputUpdate, RunnerRecord};

use crate::call::Call;
use crate::call_answer::CallFailure;
use crate::call_log::{format_parts, may_log};
use crate::context::NodeContext;

/// Time for which a runner has to write an answer until a later crash says nothing about its
/// prompt.
pub const PROOF_SPAN: TimeSpan = TimeSpan::millis(500);
/// Reason of a refusal because of a part of the prompt.
const PART_CRASHES_RUNNERS: &str = "part_crashes_runners";
/// Reason of a refusal because of the request as a whole.
const REQUEST_CRASHES_RUNNERS: &str = "request_crashes_runners";

/// The refusal of a call with an input that crashes runners; `None` if it has none.
#[must_use]
pub fn find_crash_refusal(context: &NodeContext, call: &Call) -> Option<CallFailure> {
    let now = context.now();
    let inputs = context.inputs.borrow();
    let (input, until) = inputs.find_blocked(now, &call.inputs)?;
    let reason = match input {
        CallInput::Part(_) => PART_CRASHES_RUNNERS,
        CallInput::Request(_) => REQUEST_CRASHES_RUNNERS,
    };
    Some(CallFailure { reason, retry_after: until.since(now) })
}

/// The first input of the call that crashes runners.
#[must_use]
pub fn find_blocked_input<'a>(context: &NodeContext, call: &'a Call) -> Option<&'a CallInput> {
    let inputs = context.inputs.borrow();
    inputs.find_blocked(context.now(), &call.inputs).map(|(input, _)| input)
}

/// Records a complete answer of a runner, unless it is an error: that says nothing about the
/// prompt, which may not have been read.
pub fn record_full_answer(context: &NodeContext, call: &Call, answer: &Response<Bytes>) {
    if answer.status().is_success() {
        record_answer(context, call);
    }
}

/// Records that a runner answered the call, or has written its answer for [`PROOF_SPAN`].
pub fn record_answer(context: &NodeContext, call: &Call) {
    let is_news = context.inputs.borrow_mut().record_answer(context.now(), &call.inputs);
    log_block_changes(context, "answer");
    if is_news {
        context.signal_runner_change();
    }
}

/// Records that `runner` crashed while it was about to answer the call.
pub fn record_crash(context: &NodeContext, call: &Call, runner: &RunnerRecord) {
    context.metrics.runner_crashes.inc();
    if may_log(context) {
        tracing::info!(
            event = "runner_crashed",
            request = %call.attempt,
            fingerprint = %call.fingerprint,
            runner = %runner.runner,
            parts = format_parts(&call.head.shared_parts),
        );
    }
    let incarnation = runner.incarnation();
    let is_news =
        context.inputs.borrow_mut().record_crash(context.now(), &incarnation, &call.inputs);
    log_block_changes(context, "crash");
    if is_news {
        context.signal_runner_change();
    }
}

/// Takes what another node knows about inputs of calls.
pub fn apply_input_update(context: &NodeContext, update: &InputUpdate) {
    let lacks_answer = context.inputs.borrow_mut().apply_update(context.now(), update);
    log_block_changes(context, "node");
    if lacks_answer {
        context.signal_runner_change();
    }
}

/// Logs what has changed in the table of inputs, and has it written to the store. `source` is what
/// the change is due to.
pub fn log_block_changes(context: &NodeContext, source: &str) {
    for change in context.inputs.borrow_mut().take_changes() {
        match change {
            InputChange::Blocked { input, crashes } => {
                context.metrics.parts_blocked.inc();
                log_block(&input, crashes, source);
            }
            InputChange::Cleared { input } => log_clearing(&input, source),
        }
        context.signal_block_change();
    }
}

fn log_block(input: &CallInput, crashes: usize, source: &str) {
    match input {
        CallInput::Part(part) => {
            tracing::warn!(event = "part_blocked", %part, crashes, source);
        }
        CallInput::Request(fingerprint) => {
            tracing::warn!(event = "request_blocked", %fingerprint, crashes, source);
        }
    }
}

fn log_clearing(input: &CallInput, source: &str) {
    match input {
        CallInput::Part(part) => tracing::info!(event = "part_cleared", %part, source),
        CallInput::Request(fingerprint) => {
            tracing::info!(event = "request_cleared", %fingerprint, source);
        }
    }
}
