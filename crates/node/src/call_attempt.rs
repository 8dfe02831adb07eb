//! The attempts of a call: the runner of the next one, and what follows from one that failed.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use dispatch::RouteCommand;
use route::CallEnd;
use serving::{AttemptTracker, RunnerRecord, SendOutcome};

use crate::call::Call;
use crate::call_answer::CallFailure;
use crate::call_log::{log_send_failure, may_log};
use crate::context::NodeContext;
use crate::crash_watch::find_crash_refusal;
use crate::evacuation_watch::is_service_evacuated;
use crate::forward::{ServingStop, unless_unreached, unreached_failure};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::runner_gate::{check_inputs, check_send};
use crate::runner_probe::probe_lost_runner;
use crate::runner_send::SendFailure;
use crate::stop_intake::unless_too_late;

/// `Retry-After` if the assigned runner has disappeared from the list.
const RUNNER_GONE_RETRY_AFTER: TimeSpan = TimeSpan::millis(150);
/// Pause before a call asks the dispatcher again that has assigned a runner which had refused it.
const SEARCH_PAUSE: TimeSpan = TimeSpan::millis(10);
/// Reason of a refusal because every runner of the service has named a wait.
const RUNNERS_WAIT: &str = "runners_wait";
/// Reason of a refusal because every runner of the service is in an evacuated place.
const PLACE_EVACUATED: &str = "place_evacuated";

/// The search of a call for a runner: bounds how often it asks the dispatcher.
///
/// The dispatcher is told of each refusal and then assigns another runner. If it assigns one that
/// has already refused, it does not know why, and asking again at once would change nothing.
#[derive(Default)]
pub struct RunnerSearch {
    /// Runners that were assigned and did not accept the call, and until when another assignment
    /// to each of them counts as repeated.
    refused: BTreeMap<RunnerId, TimePoint>,
}

impl RunnerSearch {
    /// Waits until the dispatcher assigns a runner that accepts the request.
    ///
    /// # Errors
    /// Returns [`CallFailure`] if the dispatcher refuses the call, the assigned runner was removed,
    /// or the prompt has a part that crashes runners.
    pub async fn find_runner(
        &mut self,
        context: &NodeContext,
        router: &RouterService,
        call: &Call,
        tried: &[RunnerId],
    ) -> Result<(RouteTicket, RunnerRecord), CallFailure> {
        loop {
            if let Some(refusal) = find_crash_refusal(context, call) {
                return Err(refusal);
            }
            let (ticket, runner) = assign_runner(context, router, call, tried).await?;
            kernel::mark_step("find_runner");
            let incarnation = runner.incarnation();
            let accepts = check_send(context, &incarnation)
                .and_then(|()| check_inputs(context, call, &incarnation));
            let Err(block) = accepts else { return Ok((ticket, runner)) };
            self.unassign(context, router, (ticket, &runner.runner), block.as_str()).await;
        }
    }

    /// Like [`Self::find_runner`], but only while the call is to be served here: returns `None` if
    /// another node can take it.
    pub async fn find_runner_here(
        &mut self,
        context: &NodeContext,
        router: &RouterService,
        call: &Call,
        tried: &[RunnerId],
    ) -> Option<Result<(RouteTicket, RunnerRecord), CallFailure>> {
        let found = self.find_runner(context, router, call, tried);
        let found = unless_too_late(context, call, found);
        match unless_unreached(context, call, found).await {
            Ok(Ok(found)) => Some(found),
            Ok(Err(too_late)) => Some(Err(too_late)),
            Err(ServingStop::Forward) => None,
            Err(ServingStop::Unreached) => Some(Err(unreached_failure(context, call))),
        }
    }

    /// Takes back the assignment of a call that was not sent, since its runner accepts no
    /// requests. The dispatcher then knows that it does not, and assigns another. If it has just
    /// refused before, waits for [`SEARCH_PAUSE`].
    pub async fn unassign(
        &mut self,
        context: &NodeContext,
        router: &RouterService,
        (ticket, runner): (RouteTicket, &RunnerId),
        reason: &str,
    ) {
        ticket.finish(CallEnd::Cancelled);
        router.update_members();
        let now = context.now();
        let before = self.refused.insert(runner.clone(), now + SEARCH_PAUSE);
        if before.is_none_or(|until| until <= now) {
            return;
        }
        context.metrics.repeated_assignments.inc();
        if may_log(context) {
            tracing::warn!(event = "assignment_repeated", %runner, reason);
        }
        kernel::sleep(SEARCH_PAUSE.into()).await;
    }
}

/// Why the call was not sent to its runner at present; `None` if the send was begun.
pub fn withheld_reason<T>(result: &Result<T, SendFailure>) -> Option<&str> {
    let failure = result.as_ref().err().filter(|failure| failure.withheld)?;
    Some(&failure.reason)
}

/// Waits until the dispatcher assigns a runner to the request.
async fn assign_runner(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tried: &[RunnerId],
) -> Result<(RouteTicket, RunnerRecord), CallFailure> {
    let mut ticket = router.open(call.route_call(tried));
    let runner = loop {
        match ticket.next_command().await {
            RouteCommand::Send { runner } => break runner,
            RouteCommand::Withdraw => (),
            RouteCommand::Refuse { reason, retry_after } => {
                let is_evacuated = reason == RefusalReason::NoRunner
                    && is_service_evacuated(context, &call.service);
                let reason = if is_evacuated { PLACE_EVACUATED } else { refusal_reason(reason) };
                return Err(CallFailure { reason, retry_after });
            }
        }
    };
    let record = context.runners.borrow().get(&runner).map(|entry| entry.record.clone());
    let gone = CallFailure { reason: "no_runner", retry_after: RUNNER_GONE_RETRY_AFTER };
    record.map(|record| (ticket, record)).ok_or(gone)
}

fn refusal_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoRunner => "no_runner",
        RefusalReason::RunnersWait => RUNNERS_WAIT,
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::TableFull => "queue_full",
        RefusalReason::DeadlinePassed => "deadline_passed",
        _ => "refused",
    }
}

/// Whether the request may be sent to another runner. A retry is charged to the retry budget
/// that the nodes share.
pub fn may_retry(context: &NodeContext, call: &Call, tracker: &AttemptTracker) -> bool {
    if !tracker.may_send() || call.deadline <= context.now() {
        return false;
    }
    tracker.sends() == 0 || may_repeat(context, call)
}

/// Whether the retry budget allows another send of the request, which is charged to it.
pub fn may_repeat(context: &NodeContext, call: &Call) -> bool {
    let nodes = context.peers.borrow().fleet_size();
    let allowed =
        context.retry_budget.borrow_mut().try_acquire(context.now(), &call.service, nodes);
    if !allowed {
        context.metrics.retries_denied.inc();
    }
    allowed
}

/// Counts a request that this node serves. One that is forwarded counts at the other node only:
/// the sums over all nodes bound retries and hedges.
pub fn count_request(context: &NodeContext, service: &ServiceName) {
    let now = context.now();
    context.retry_budget.borrow_mut().record_request(now, service);
    context.hedge_limit.borrow_mut().record_request(now, service);
}

/// Records the outcome of a send, after which the call may not be forwarded if it may have run.
pub fn record_send(call: &Call, tracker: &mut AttemptTracker, outcome: SendOutcome) {
    tracker.record_send(outcome);
    call.forwards.borrow_mut().record_send(outcome);
}

/// Logs a failed send, marks the runner as leaving if the failure says so, and finds out whether
/// it has crashed.
pub fn record_send_failure(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Rc<Call>,
    runner: &RunnerRecord,
    failure: &SendFailure,
) {
    log_send_failure(context, call, &runner.runner, &failure.reason);
    if failure.runner_gone {
        router.mark_leaving(&runner.incarnation(), "reply");
    }
    if failure.outcome == SendOutcome::Unknown {
        probe_lost_runner(context, call, runner, failure.loss);
    }
}

/// Why a call is given up after its sends, and when its caller may come back: after
/// `retry_after`, unless every runner waits for longer.
pub fn explain_failure(router: &RouterService, call: &Call, retry_after: TimeSpan) -> CallFailure {
    match router.wait_retry_after(call) {
        Some(wait) => CallFailure { reason: RUNNERS_WAIT, retry_after: wait.max(retry_after) },
        None => CallFailure { reason: "runners_failed", retry_after },
    }
}
