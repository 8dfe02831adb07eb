//! Learns how runners end runs whose connection has closed, and ends those that they go on with.
//!
//! Load pattern: callers leave long streams before their end. Most runners drop such a run; one that
//! does not would work on it for nobody.

use std::rc::Rc;

use base::prelude::*;
use platform::{RunnerReply, read_report};
use serving::{EndHabit, RunnerIncarnation, RunnerRecord};

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::left_run::end_unanswered_run;
use crate::metrics::WithheldLabels;
use crate::run_owner::may_be_of_owner;
use crate::runner_gate::{SendBlock, find_block, find_own_block};
use crate::runner_notices::record_notice;
use crate::streams::CopyTask;

/// Time from the close of a connection until the runner's report shows what became of its run.
const REPORT_LAG: TimeSpan = TimeSpan::millis(800);
/// Timeout for reading a runner's report.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::millis(500);
/// Number of times that the report of a silent runner is asked for. A runner that is silent for longer is
/// not sound.
const MAX_REPORTS: u32 = 6;

/// Records what a runner was seen to do with the run of `call`, which it was to end.
pub fn record_habit(context: &NodeContext, call: &Call, runner: &RunnerRecord, habit: EndHabit) {
    if !context.run_ends.borrow_mut().record(&runner.incarnation(), habit) {
        return;
    }
    let reason = habit.as_str();
    context.metrics.end_habits.get_or_create(&WithheldLabels { reason }).inc();
    if may_log(context) {
        let request = &call.attempt;
        tracing::info!(event = "run_not_ended", %request, runner = %runner.runner, habit = reason);
    }
}

/// Looks after the run of a stream whose connection was closed before its end: a runner that goes on with
/// it is ordered to stop.
pub fn watch_closed_run(context: &Rc<NodeContext>, call: &Rc<Call>, runner: &RunnerRecord) {
    if !call.supports_moves {
        return;
    }
    let incarnation = runner.incarnation();
    let habit = context.run_ends.borrow().habit(&incarnation);
    let asks = context.run_ends.borrow_mut().begin_question(context.now(), &incarnation);
    if !asks && habit != Some(EndHabit::IgnoresClose) {
        return;
    }
    let (context, call, runner) = (Rc::clone(context), Rc::clone(call), runner.clone());
    kernel::spawn_rest(async move {
        let goes_on = !asks || is_in_report(&context, &call, &runner, &incarnation).await;
        // The run may have come back to the runner meanwhile.
        if !goes_on || call.run_place.borrow().may_be_at(&runner.runner) {
            return;
        }
        if may_be_of_owner(&context, &call, &runner).await {
            leave_to_owner(&context, &call, &runner);
            return;
        }
        if asks {
            record_habit(&context, &call, &runner, EndHabit::IgnoresClose);
        }
        order_stop(&context, &call, &runner).await;
    });
}

/// Counts a run that is not ordered to stop, since the node that has its caller may go on with it.
pub fn leave_to_owner(context: &NodeContext, call: &Call, runner: &RunnerRecord) {
    count_order(context, "other_node");
    if may_log(context) {
        let (request, runner) = (&call.attempt, &runner.runner);
        let owner = call.owner.as_ref().map(VmId::as_str);
        tracing::info!(event = "run_left_to_node", %request, %runner, owner);
    }
}

/// A run whose request is being sent or answered. If it is dropped, its connection closes.
pub struct OpenRun<'a> {
    context: &'a Rc<NodeContext>,
    call: &'a Rc<Call>,
    runner: &'a RunnerRecord,
    is_answered: bool,
}

impl<'a> OpenRun<'a> {
    /// A run of `call` at `runner`.
    #[must_use]
    pub fn new(context: &'a Rc<NodeContext>, call: &'a Rc<Call>, runner: &'a RunnerRecord) -> Self {
        call.asked_runners.borrow_mut().push(runner.runner.clone());
        Self { context, call, runner, is_answered: false }
    }

    /// The request was answered, or has failed.
    pub fn finish(mut self) {
        self.is_answered = true;
    }

    /// The run goes on elsewhere: it is ordered to stop here, where it may have begun.
    pub fn leave(self) {
        end_unanswered_run(self.context, self.call, self.runner);
        self.finish();
    }
}

impl Drop for OpenRun<'_> {
    fn drop(&mut self) {
        let mut asked = self.call.asked_runners.borrow_mut();
        if let Some(own) = asked.iter().position(|runner| *runner == self.runner.runner) {
            asked.swap_remove(own);
        }
        drop(asked);
        if !self.is_answered {
            watch_closed_run(self.context, self.call, self.runner);
        }
    }
}

/// Whether the runner's report names the run some time after its connection was closed. A runner that does
/// not answer is asked again, as long as it is in the list.
async fn is_in_report(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    incarnation: &RunnerIncarnation,
) -> bool {
    for _ in 0..MAX_REPORTS {
        kernel::sleep(REPORT_LAG.into()).await;
        let is_known = context.runners.borrow().get(&runner.runner).is_some_and(|entry| {
            entry.removed_at.is_none() && entry.record.incarnation() == *incarnation
        });
        if !is_known || find_own_block(context, incarnation) == Some(SendBlock::Waiting) {
            return false;
        }
        let RunnerReply { notice, result } = read_report(runner.address, REPORT_TIMEOUT).await;
        if let Some(notice) = notice {
            record_notice(context, incarnation, &notice);
        }
        match result {
            Ok(status) => {
                let runs = status.runs.unwrap_or_default();
                return runs.iter().any(|run| **run == *call.attempt.as_str());
            }
            Err(error) if error.status().is_some() => return false,
            Err(_) => (),
        }
    }
    let reason = "unanswered";
    count_order(context, reason);
    if may_log(context) {
        let (request, runner) = (&call.attempt, &runner.runner);
        tracing::info!(event = "run_not_stopped", %request, %runner, error = reason);
    }
    false
}

/// How an order to stop a run that goes on elsewhere, or that nobody wants, has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    Stopped,
    /// The runner does not have the run: it has ended, or has not begun.
    NotFound,
    /// The run may work on.
    NotStopped,
}

impl StopOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::NotFound => "not_found",
            Self::NotStopped => "not_stopped",
        }
    }
}

/// Orders a runner to stop a run. Its memory is freed: nobody wants the rest of the run there.
pub async fn order_stop(
    context: &Rc<NodeContext>,
    call: &Call,
    runner: &RunnerRecord,
) -> StopOutcome {
    let Some(target) = find_other_runner(context, runner) else {
        count_order(context, "no_target");
        return StopOutcome::NotStopped;
    };
    let stopped = CopyTask::stop(context, call, runner, target.address).await;
    let outcome = match &stopped {
        Ok(_) => StopOutcome::Stopped,
        Err(error) if error.is_not_found() => StopOutcome::NotFound,
        Err(_) => StopOutcome::NotStopped,
    };
    count_order(context, outcome.as_str());
    if let Err(error) = &stopped
        && outcome == StopOutcome::NotStopped
        && may_log(context)
    {
        let (request, runner) = (&call.attempt, &runner.runner);
        tracing::info!(event = "run_not_stopped", %request, %runner, %error);
    }
    outcome
}

/// Counts what became of an order to stop a run, or why none was given.
pub fn count_order(context: &NodeContext, reason: &'static str) {
    context.metrics.stop_orders.get_or_create(&WithheldLabels { reason }).inc();
}

/// A runner that the order to stop can name as the one that the run moves to.
fn find_other_runner(context: &NodeContext, runner: &RunnerRecord) -> Option<RunnerRecord> {
    let runners = context.runners.borrow();
    let records = runners.entries().map(|entry| &entry.record);
    let others = records.filter(|record| {
        record.service == runner.service
            && record.runner != runner.runner
            && find_block(context, &record.incarnation()).is_none()
    });
    others.min_by_key(|record| record.place != runner.place).cloned()
}
