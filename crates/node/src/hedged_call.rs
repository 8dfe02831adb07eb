//! Second sends of slow requests: the race between the two, and what is known when one is
//! considered.
//!
//! Load pattern: a runner stalls for some hundred milliseconds while others of its service have
//! room. The first whole response wins; the other connection is closed at once, so that no runner
//! works for nobody.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use dispatch::RouteCommand;
use futures_util::{FutureExt, select_biased};
use hyper::Response;
use hyper::body::Bytes;
use route::CallEnd;
use serving::{
    AttemptTracker, HedgeDenial, HedgeRequest, HedgeTarget, RunnerIncarnation, RunnerRecord,
    SendOutcome,
};

use crate::answer_rest::read_runner_answer;
use crate::call::Call;
use crate::call_log::{log_send, may_log};
use crate::context::NodeContext;
use crate::metrics::{HedgeLabels, WithheldLabels};
use crate::reach::wait_while_unanswered;
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::run_end_watch::OpenRun;
use crate::runner_gate::find_block;
use crate::runner_send::{SendFailure, SendPlan, send_to_runner, unless_stopped};
use crate::streams::{RunnerAnswer, request_answer};

/// Pause until a send whose runner is cut off from this node looks again whether another one may win.
const OTHER_SEND_PAUSE: TimeSpan = TimeSpan::millis(50);

/// A send whose runner is not known to be cut off from this node; counted as long as it lives.
struct ReachedSend<'a>(&'a Cell<usize>);

impl<'a> ReachedSend<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for ReachedSend<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A send that has ended, and its place at the runner.
pub(crate) struct SendEnd<T> {
    /// The place of the call at the runner.
    pub(crate) ticket: RouteTicket,
    /// The send.
    pub(crate) plan: SendPlan,
    /// Its outcome.
    pub(crate) result: Result<T, SendFailure>,
}

/// How a race has ended.
pub(crate) struct RaceEnd<T> {
    /// The send that won, or the last one that failed.
    pub(crate) last: SendEnd<T>,
    /// The send that failed before.
    pub(crate) failed: Option<SendEnd<T>>,
    /// The runner of a send that was cancelled since the other one won; it may have run the call.
    pub(crate) cancelled: Option<RunnerId>,
}

/// Whether the call may have a second send while its first one is in progress.
pub(crate) fn may_hedge(context: &NodeContext, call: &Call, tracker: &AttemptTracker) -> bool {
    context.hedge_limit.borrow().is_on() && call.route.may_repeat() && tracker.sends() == 0
}

/// Sends a plain call; like [`race`].
pub(crate) async fn race_plain(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tracker: &AttemptTracker,
    first: (RouteTicket, SendPlan),
) -> RaceEnd<Response<Bytes>> {
    let wins = |answer: &Response<Bytes>| !answer.status().is_server_error();
    let send = async |plan: SendPlan| {
        let exchange =
            send_to_runner(context, call, &plan, call.deadline.since(context.now())).await?;
        read_runner_answer(context, call, &plan.runner, exchange).await
    };
    race(context, router, call, tracker, first, wins, send).await
}

/// Sends a stream and waits for its first event, or until this node is cut off from the runners of all
/// sends; like [`race`].
pub(crate) async fn race_stream(
    context: &Rc<NodeContext>,
    router: &RouterService,
    call: &Rc<Call>,
    tracker: &AttemptTracker,
    first: (RouteTicket, SendPlan),
) -> RaceEnd<RunnerAnswer> {
    let wins = |answer: &RunnerAnswer| match answer {
        RunnerAnswer::Stream(..) => true,
        RunnerAnswer::Full(answer) => !answer.status().is_server_error(),
    };
    let reached = Cell::new(0);
    let send = async |plan: SendPlan| {
        let reached_send = ReachedSend::new(&reached);
        let mut answer = request_answer(context, call, &plan).await?;
        if let RunnerAnswer::Stream(source, _) = &mut answer {
            let left = call.deadline.since(context.now());
            let run = OpenRun::new(context, call, &plan.runner);
            let first_event = Box::pin(source.read_first_event(left));
            let cut_off = Box::pin(async {
                wait_while_unanswered(context, &plan.runner, true).await;
                drop(reached_send);
                while reached.get() > 0 {
                    kernel::sleep(OTHER_SEND_PAUSE.into()).await;
                }
            });
            // A stream whose runner is cut off from this node is looked after like any that is silent,
            // unless another send may still win.
            if let Some(read) = unless_stopped(first_event, cut_off).await {
                read?;
            }
            run.finish();
        }
        Ok(answer)
    };
    race(context, router, call, tracker, first, wins, send).await
}

/// Sends a call to the runner of `first`, and to a second one if that takes longer than nearly all
/// of its kind. The first response that `wins` ends the race, and closes the other connection.
async fn race<T>(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tracker: &AttemptTracker,
    first: (RouteTicket, SendPlan),
    wins: impl Fn(&T) -> bool,
    send: impl AsyncFn(SendPlan) -> Result<T, SendFailure>,
) -> RaceEnd<T> {
    let (ticket, plan) = first;
    let sent_at = context.now();
    let share = context.hedge_limit.borrow().share();
    let delay = context.hedge_timer.borrow_mut().delay(sent_at, &call.route.name, share);
    let mut first_send = pin!(send(plan.clone()).fuse());
    let early = match delay {
        None => Some(first_send.as_mut().await),
        Some(delay) => {
            let mut slow = pin!(kernel::sleep(delay.into()).fuse());
            select_biased! {
                result = first_send => Some(result),
                () = slow => None,
            }
        }
    };
    if let Some(result) = early {
        record_pace(context, &plan.runner, false);
        record_time(context, call, sent_at, result.is_ok());
        return RaceEnd { last: SendEnd { ticket, plan, result }, failed: None, cancelled: None };
    }
    record_pace(context, &plan.runner, true);
    let (second_ticket, second_plan) = match open_hedge(context, router, call, tracker, &plan) {
        Ok(opened) => opened,
        Err(denial) => {
            note_denial(context, call, &plan.runner, denial);
            let result = first_send.await;
            record_time(context, call, sent_at, result.is_ok());
            return RaceEnd {
                last: SendEnd { ticket, plan, result },
                failed: None,
                cancelled: None,
            };
        }
    };
    let mut second_send = pin!(send(second_plan.clone()).fuse());
    let first_ended = select_biased! {
        result = first_send => Ok(result),
        result = second_send => Err(result),
    };
    let has_won = |result: &Result<T, SendFailure>| result.as_ref().is_ok_and(&wins);
    match first_ended {
        Ok(result) => {
            record_time(context, call, sent_at, result.is_ok());
            let first = SendEnd { ticket, plan, result };
            if has_won(&first.result) {
                second_ticket.finish(CallEnd::Cancelled);
                note_end(context, call, &second_plan.runner, "cancelled");
                let cancelled = Some(second_plan.runner.runner);
                return RaceEnd { last: first, failed: None, cancelled };
            }
            let result = second_send.await;
            if result.as_ref().is_err_and(|failure| failure.withheld) {
                second_ticket.finish(CallEnd::Cancelled);
                return RaceEnd { last: first, failed: None, cancelled: None };
            }
            let second = SendEnd { ticket: second_ticket, plan: second_plan, result };
            let outcome = if has_won(&second.result) { "won" } else { "failed" };
            note_end(context, call, &second.plan.runner, outcome);
            RaceEnd { last: second, failed: Some(first), cancelled: None }
        }
        Err(result) => {
            if has_won(&result) {
                // The first send would have taken longer than this.
                record_time(context, call, sent_at, true);
                ticket.finish(CallEnd::Cancelled);
                note_end(context, call, &second_plan.runner, "won");
                let last = SendEnd { ticket: second_ticket, plan: second_plan, result };
                return RaceEnd { last, failed: None, cancelled: Some(plan.runner.runner) };
            }
            let withheld = result.as_ref().is_err_and(|failure| failure.withheld);
            let second = SendEnd { ticket: second_ticket, plan: second_plan, result };
            let failed = if withheld {
                second.ticket.finish(CallEnd::Cancelled);
                None
            } else {
                note_end(context, call, &second.plan.runner, "failed");
                Some(second)
            };
            let result = first_send.await;
            record_time(context, call, sent_at, result.is_ok());
            RaceEnd { last: SendEnd { ticket, plan, result }, failed, cancelled: None }
        }
    }
}

/// Takes a place at a second runner, and the hedge's part of the share and of the retry budget.
fn open_hedge(
    context: &NodeContext,
    router: &RouterService,
    call: &Call,
    tracker: &AttemptTracker,
    first: &SendPlan,
) -> Result<(RouteTicket, SendPlan), HedgeDenial> {
    let now = context.now();
    let mut with_first = tracker.clone();
    let open = call.open_sends.borrow().len().max(1);
    for _ in 0..open {
        with_first.record_send(SendOutcome::Unknown);
    }
    let request = HedgeRequest {
        may_send: with_first.may_send(),
        whole_time: call.deadline.since(call.arrived),
        time_left: call.deadline.since(now),
        calls_wait: calls_wait(context, router, &call.service),
        runners_restricted: has_restricted_runner(context, &call.service),
    };
    request.check()?;
    context.hedge_limit.borrow().check(now, &call.service)?;
    let tried = unwanted_runners(context, call, first);
    let mut ticket = router.open(call.route_call(&tried));
    // A call that is not assigned at once would wait for a runner.
    let command = ticket.next_command().now_or_never();
    let Some(RouteCommand::Send { runner: assigned }) = command else {
        return Err(HedgeDenial::CallsWait);
    };
    let known = context.runners.borrow().get(&assigned).map(|entry| entry.record.clone());
    let runner = known.ok_or(HedgeDenial::NoOtherRunner)?;
    let load = ticket.runner_summary(&assigned);
    let timer = context.hedge_timer.borrow();
    let target = HedgeTarget {
        is_first: assigned == first.runner.runner,
        is_same_place: runner.place == first.runner.place,
        is_place_slow: timer.is_place_slow(&runner.place),
        is_slow: timer.is_runner_slow(&assigned),
        is_ejected: load.as_ref().is_some_and(|load| load.ejected_for > TimeSpan::default()),
        calls: load.as_ref().map_or(0, |load| load.calls),
        slots: runner.slots,
        prompt_tokens: u64::from(call.head.prompt_tokens.0),
        waiting_tokens: load.as_ref().map_or(0, |load| {
            load.prefill_tokens.saturating_sub(u64::from(call.head.prompt_tokens.0))
        }),
    };
    target.check()?;
    if find_block(context, &runner.incarnation()).is_some() {
        return Err(HedgeDenial::NoOtherRunner);
    }
    let nodes = context.peers.borrow().fleet_size();
    if !context.retry_budget.borrow_mut().try_acquire_hedge(now, &call.service, nodes) {
        return Err(HedgeDenial::BudgetSpent);
    }
    context.hedge_limit.borrow_mut().record_hedge(now, &call.service);
    let mut open = call.open_sends.borrow_mut();
    if !open.is_empty() {
        open.push(assigned.clone());
    }
    log_send(context, call, &assigned, None, load.as_ref(), with_first.sends());
    count_hedge(context, "sent");
    if may_log(context) {
        tracing::info!(
            event = "hedge_sent",
            request = %call.attempt,
            from = %first.runner.runner,
            to = %assigned,
            waited_ms = now.since(call.arrived).as_millis(),
        );
    }
    Ok((ticket, SendPlan::first(runner, None)))
}

/// The runner of the first send, those that are slow themselves, and those of its place if that is
/// slow as a whole. The dispatcher chooses one of them only if there is no other.
fn unwanted_runners(context: &NodeContext, call: &Call, first: &SendPlan) -> Vec<RunnerId> {
    let (runners, timer) = (context.runners.borrow(), context.hedge_timer.borrow());
    let open = call.open_sends.borrow();
    let is_place_slow = timer.is_place_slow(&first.runner.place);
    let records = runners.entries().map(|entry| &entry.record);
    let unwanted = records.filter(|record| {
        record.service == call.service
            && (record.runner == first.runner.runner
                || open.contains(&record.runner)
                || timer.is_runner_slow(&record.runner)
                || is_place_slow && record.place == first.runner.place)
    });
    unwanted.map(|record| record.runner.clone()).collect()
}

/// Whether calls of a service wait for a runner, here or at other nodes.
fn calls_wait(context: &NodeContext, router: &RouterService, service: &ServiceName) -> bool {
    router.waiting_services().contains(service)
        || context.peer_loads.borrow().waiting_nodes(service) > 0
}

/// Whether a runner of a service has named a wait or a limit that still holds, or is cold or
/// brittle.
fn has_restricted_runner(context: &NodeContext, service: &ServiceName) -> bool {
    let (now, waits, limits) = (context.now(), context.waits.borrow(), context.limits.borrow());
    let (cold, brittle) = (context.cold.borrow(), context.brittle.borrow());
    if waits.is_empty() && limits.is_empty() && cold.is_empty() && brittle.is_empty() {
        return false;
    }
    let is_restricted = |runner: &RunnerIncarnation| {
        waits.end(now, runner).is_some()
            || limits.limit(now, runner).is_some()
            || cold.end(now, runner).is_some()
            || brittle.limit(now, runner).is_some()
    };
    let runners = context.runners.borrow();
    let mut records = runners.entries().map(|entry| &entry.record);
    records.any(|record| record.service == *service && is_restricted(&record.incarnation()))
}

fn record_pace(context: &NodeContext, runner: &RunnerRecord, slow: bool) {
    context.hedge_timer.borrow_mut().record_pace(&runner.runner, &runner.place, slow);
}

/// Records the time that the first send took, if that says something about its kind.
fn record_time(context: &NodeContext, call: &Call, sent_at: TimePoint, counts: bool) {
    if counts {
        let now = context.now();
        let time = now.since(sent_at);
        context.hedge_timer.borrow_mut().record_time(now, &call.route.name, time);
    }
}

fn count_hedge(context: &NodeContext, outcome: &'static str) {
    context.metrics.hedges.get_or_create(&HedgeLabels { outcome }).inc();
}

/// Counts and logs how a hedge ended.
fn note_end(context: &NodeContext, call: &Call, runner: &RunnerRecord, outcome: &'static str) {
    count_hedge(context, outcome);
    if may_log(context) {
        let waited_ms = context.now().since(call.arrived).as_millis();
        let (request, runner) = (&call.attempt, &runner.runner);
        tracing::info!(event = "hedge_ended", %request, %runner, outcome, waited_ms);
    }
}

/// Counts and logs a slow request that gets no second send.
fn note_denial(context: &NodeContext, call: &Call, runner: &RunnerRecord, denial: HedgeDenial) {
    let reason = denial.as_str();
    context.metrics.hedges_denied.get_or_create(&WithheldLabels { reason }).inc();
    if may_log(context) {
        let (request, runner) = (&call.attempt, &runner.runner);
        tracing::info!(event = "hedge_denied", %request, %runner, reason);
    }
}
