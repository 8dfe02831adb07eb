//! Ends the run of a stream at a runner that the stream has left for another one.
//!
//! Load pattern: a silent runner goes on, or the connection that was closed to it hangs, and it works on beside the
//! next one. That a connection was closed ends no run: each run that was left is ordered to stop, by the node that
//! has sent it on.

use std::rc::Rc;

use base::prelude::*;
use life::{CallerView, LeftRunDecision, LeftRunFacts, decide_left_run};
use serving::RunnerRecord;

use crate::call::{Call, RunPlace};
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::run_end_watch::{StopOutcome, count_order, leave_to_owner, order_stop};
use crate::run_owner::is_left_by_owner;

/// Pause until that node is asked again.
const OWNER_PAUSE: TimeSpan = TimeSpan::millis(25);
/// Pause until an order is given again that may not have arrived; each further one is twice as long.
const ORDER_PAUSE: TimeSpan = TimeSpan::millis(200);
/// Time in which a runner begins a run that it was sent.
const BEGIN_TIME: TimeSpan = TimeSpan::millis(1_500);
/// Time for which orders are given. A runner that answers none for longer is not sound.
pub const ORDER_TIME: TimeSpan = TimeSpan::seconds(6);

/// A run that goes on at another runner, and may still be at work where it was.
struct LeftRun {
    context: Rc<NodeContext>,
    call: Rc<Call>,
    /// The runner that it has left.
    runner: RunnerRecord,
    left_at: TimePoint,
    /// Until when it may begin there, although the runner does not have it.
    begins_until: TimePoint,
}

/// Has a run stopped at `runner`, since its stream goes on at another one.
pub fn end_left_run(context: &Rc<NodeContext>, call: &Rc<Call>, runner: &RunnerRecord) {
    begin_end(context, call, runner, context.now());
}

/// The same of a run that `runner` was sent and has not answered: it may begin it late.
pub fn end_unanswered_run(context: &Rc<NodeContext>, call: &Rc<Call>, runner: &RunnerRecord) {
    begin_end(context, call, runner, context.now() + BEGIN_TIME);
}

fn begin_end(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    runner: &RunnerRecord,
    begins_until: TimePoint,
) {
    if !call.supports_moves {
        return;
    }
    let (context, call, runner) = (Rc::clone(context), Rc::clone(call), runner.clone());
    let left_at = context.now();
    let left = LeftRun { context, call, runner, left_at, begins_until };
    kernel::spawn_rest(left.end());
}

impl LeftRun {
    /// Orders the runner to stop the run until that is known to have ended there.
    async fn end(self) {
        if !self.is_left_for_certain().await {
            leave_to_owner(&self.context, &self.call, &self.runner);
            return;
        }
        let order_end = self.left_at + ORDER_TIME;
        let (mut orders, mut pause) = (0, ORDER_PAUSE);
        let outcome = loop {
            if let Some(reason) = self.find_end() {
                break reason;
            }
            orders += 1;
            let outcome = order_stop(&self.context, &self.call, &self.runner).await;
            let now = self.context.now();
            match outcome {
                StopOutcome::Stopped => break "ended",
                StopOutcome::NotFound if now >= self.begins_until => break "ended",
                StopOutcome::NotStopped if now >= order_end => {
                    count_order(&self.context, "unanswered");
                    break "unanswered";
                }
                StopOutcome::NotFound | StopOutcome::NotStopped => (),
            }
            kernel::sleep(pause.into()).await;
            if outcome == StopOutcome::NotStopped {
                pause = TimeSpan(pause.0 * 2);
            }
        };
        self.log_end(outcome, orders);
    }

    /// Whether the runner is to be ordered: the node that has the caller is asked until that is decided.
    async fn is_left_for_certain(&self) -> bool {
        loop {
            let caller = self.ask_caller().await;
            // The next runner may have begun as it was sent the run.
            let begun = self.call.sent_at.get().unwrap_or(self.left_at);
            let left_for = self.context.now().since(begun);
            let facts = LeftRunFacts { caller, is_read_here: !self.is_over(), left_for };
            match decide_left_run(facts) {
                LeftRunDecision::Order => return true,
                LeftRunDecision::Leave => return false,
                LeftRunDecision::Ask => kernel::sleep(OWNER_PAUSE.into()).await,
            }
        }
    }

    async fn ask_caller(&self) -> CallerView {
        if self.call.owner.is_none() {
            return CallerView::Own;
        }
        let is_left = is_left_by_owner(&self.context, &self.call, &self.runner).await;
        if is_left { CallerView::HasLeft } else { CallerView::MayRead }
    }

    /// Whether this node reads the run no longer.
    fn is_over(&self) -> bool {
        matches!(*self.call.run_place.borrow(), RunPlace::Nowhere)
    }

    /// Why no order is given; `None` if one is.
    fn find_end(&self) -> Option<&'static str> {
        let incarnation = self.runner.incarnation();
        let is_known =
            self.context.runners.borrow().get(&self.runner.runner).is_some_and(|entry| {
                entry.removed_at.is_none() && entry.record.incarnation() == incarnation
            });
        if !is_known {
            Some("runner_gone")
        } else if self.is_back() {
            Some("returned")
        } else if self.call.owner.is_some() && self.is_over() {
            // The node that has the caller goes on with the run without this one, maybe at this runner.
            Some("other_node")
        } else if !self.context.run_ends.borrow().follows_orders(&incarnation) {
            Some("ignores_order")
        } else {
            None
        }
    }

    /// Whether the run may go on at the runner again, or that was sent it again.
    fn is_back(&self) -> bool {
        let runner = &self.runner.runner;
        let is_asked = self.call.asked_runners.borrow().contains(runner);
        is_asked || self.call.run_place.borrow().may_be_at(runner)
    }

    fn log_end(&self, outcome: &'static str, orders: u32) {
        if !may_log(&self.context) {
            return;
        }
        tracing::info!(
            event = "left_run",
            request = %self.call.attempt,
            runner = %self.runner.runner,
            outcome,
            orders,
            left_ms = self.context.now().since(self.left_at).as_millis(),
        );
    }
}
