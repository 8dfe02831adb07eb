//! Stream calls up to the head of the answer: finding a runner that answers.

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::{Either, select};
use hyper::Response;
use hyper::body::Bytes;
use platform::copy_reply_headers;
use route::CallEnd;
use serving::{AttemptTracker, RunnerRecord, SendOutcome};
use web::{ConnectionCloser, WebResponse};

use super::stream_backup::{choose_backup, plan_backup_resume};
use super::stream_places::MOVE_PAUSE;
use super::stream_pump::{StreamParts, StreamPump};
use super::stream_relay::{forward_stream, relay_taken};
use super::stream_resume::StreamAttempts;
use super::stream_source::{StreamSource, is_event_stream, open_caller_side};
use crate::call::Call;
use crate::call_answer::{fail_call, forward_answer};
use crate::call_attempt::{
    RunnerSearch, count_request, explain_failure, may_retry, record_send, record_send_failure,
    withheld_reason,
};
use crate::call_log::{log_send, log_send_failure};
use crate::context::NodeContext;
use crate::crash_watch::record_full_answer;
use crate::forward::{ResumeOffer, RunSite, TakenResume, offer_resume};
use crate::hedged_call::{RaceEnd, SendEnd, may_hedge, race_stream};
use crate::left_run::end_left_run;
use crate::reach::{is_unreached, wait_while_unanswered};
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::run_end_watch::OpenRun;
use crate::runner_probe::probe_lost_runner;
use crate::runner_send::{SendFailure, SendPlan, read_full_answer, send_to_runner};

/// `Retry-After` if no runner accepted the request.
const REFUSED_RETRY_AFTER: TimeSpan = TimeSpan::millis(300);

/// A runner's answer to a stream call.
pub(crate) enum RunnerAnswer {
    /// A stream of events, and the response head.
    Stream(Box<StreamSource>, Response<()>),
    /// A complete answer that is not a stream.
    Full(Response<Bytes>),
}

/// Runs a stream call: tries runners until one answers or no further try is allowed.
pub async fn run_stream(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: Rc<Call>,
    closer: ConnectionCloser,
) -> WebResponse {
    let mut is_counted = false;
    let mut tracker = AttemptTracker::for_route(&call.route);
    let (mut tried, mut search) = (Vec::new(), RunnerSearch::default());
    let mut error_answer: Option<Response<Bytes>> = None;
    loop {
        if let Some(response) = forward_stream(context, router, &call, &closer).await {
            return response;
        }
        if !std::mem::replace(&mut is_counted, true) {
            count_request(context, &call.service);
        }
        let found = search.find_runner_here(context, router, &call, &tried).await;
        let Some(found) = found else { continue };
        let (mut ticket, runner) = match found {
            Ok(found) => found,
            Err(failure) => return fail_call(context, &call, &tracker, error_answer, failure),
        };
        let backup = choose_backup(context, &call, &ticket);
        let load = ticket.runner_summary(&runner.runner);
        let backup_id = backup.as_ref().map(|backup| &backup.runner);
        log_send(context, &call, &runner.runner, backup_id, load.as_ref(), tracker.sends());
        let mut plan = SendPlan::first(runner, backup);
        let mut outcome = if may_hedge(context, &call, &tracker) {
            let RaceEnd { last, failed, cancelled } =
                race_stream(context, router, &call, &tracker, (ticket, plan)).await;
            if let Some(failed) = failed {
                tried.push(failed.plan.runner.runner.clone());
                let lost = end_lost_send(context, router, &call, &mut tracker, failed);
                error_answer = lost.or(error_answer);
            }
            if let Some(runner) = cancelled {
                record_send(&call, &mut tracker, SendOutcome::Unknown);
                tried.push(runner);
            }
            (ticket, plan) = (last.ticket, last.plan);
            last.result
        } else {
            match request_or_move(context, &call, &plan).await {
                SendStep::Ended(outcome) => outcome,
                SendStep::Moved(taken) => {
                    ticket.finish(CallEnd::Cancelled);
                    return relay_taken(context, router, call, closer, taken).await;
                }
            }
        };
        if let Some(reason) = withheld_reason(&outcome) {
            search.unassign(context, router, (ticket, &plan.runner.runner), reason).await;
            continue;
        }
        tried.push(plan.runner.runner.clone());
        if let Err(failure) = &outcome {
            record_send_failure(context, router, &call, &plan.runner, failure);
            if failure.outcome == SendOutcome::Unknown
                && let Some(backup) = plan.backup
            {
                let is_cut_off = failure.is_cut_off();
                let places = (&plan.runner, backup);
                match recover_run(context, &call, places, &mut ticket, is_cut_off).await {
                    Some(RecoveredRun::Here(answer)) => outcome = Ok(answer),
                    Some(RecoveredRun::Elsewhere(taken)) => {
                        ticket.finish(CallEnd::Cancelled);
                        return relay_taken(context, router, call, closer, taken).await;
                    }
                    None => (),
                }
            }
        }
        match outcome {
            Ok(RunnerAnswer::Stream(source, head)) => {
                let attempts = StreamAttempts { tracker, tried };
                // The events of a resume by the client follow those that it has.
                let resumed_after = call.head.last_event_id.filter(|_| call.route.stream_resume);
                let pump = StreamParts { call, ticket, source: *source, attempts, resumed_after };
                return start_stream(context, router, pump, closer, head);
            }
            Ok(RunnerAnswer::Full(answer)) => {
                ticket.finish(CallEnd::Finished);
                record_full_answer(context, &call, &answer);
                if !answer.status().is_server_error() || !call.route.may_repeat() {
                    return forward_answer(context, &call, &answer);
                }
                record_send(&call, &mut tracker, SendOutcome::Failed);
                error_answer = Some(answer);
            }
            Err(failure) => {
                record_send(&call, &mut tracker, failure.outcome);
                ticket.finish(failure.end);
            }
        }
        if !may_retry(context, &call, &tracker) {
            let failure = explain_failure(router, &call, REFUSED_RETRY_AFTER);
            return fail_call(context, &call, &tracker, error_answer, failure);
        }
    }
}

/// Records the send that has lost a race. Returns the error that its runner has answered with.
fn end_lost_send(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    call: &Rc<Call>,
    tracker: &mut AttemptTracker,
    SendEnd { ticket, plan, result }: SendEnd<RunnerAnswer>,
) -> Option<Response<Bytes>> {
    match result {
        Ok(RunnerAnswer::Full(answer)) => {
            ticket.finish(CallEnd::Finished);
            record_full_answer(context, call, &answer);
            record_send(call, tracker, SendOutcome::Failed);
            return Some(answer);
        }
        // A stream wins its race.
        Ok(RunnerAnswer::Stream(..)) => ticket.finish(CallEnd::Cancelled),
        Err(failure) => {
            record_send_failure(context, router, call, &plan.runner, &failure);
            record_send(call, tracker, failure.outcome);
            ticket.finish(failure.end);
        }
    }
    None
}

/// How the first send of a stream ended.
enum SendStep {
    /// The runner has answered, or failed.
    Ended(Result<RunnerAnswer, SendFailure>),
    /// Another node has moved the run away from a runner whose answer does not reach this one.
    Moved(TakenResume),
}

/// Sends the call like [`request_answer`]. If this node is cut off from the runner, and no copy of the run is kept, the
/// answer is waited for while other nodes are asked to move the run.
async fn request_or_move(context: &Rc<NodeContext>, call: &Rc<Call>, plan: &SendPlan) -> SendStep {
    if !plan.moves_unanswered(call) {
        return SendStep::Ended(request_answer(context, call, plan).await);
    }
    let sending = Box::pin(request_answer(context, call, plan));
    let moving = Box::pin(move_unanswered(context, call, &plan.runner));
    match select(sending, moving).await {
        Either::Left((outcome, _)) => SendStep::Ended(outcome),
        Either::Right((taken, _)) => SendStep::Moved(taken),
    }
}

/// Has other nodes move a run whose runner answers them, and not this node, until one has.
async fn move_unanswered(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    runner: &RunnerRecord,
) -> TakenResume {
    loop {
        wait_while_unanswered(context, runner, false).await;
        let offer = ResumeOffer::of_run(runner, None).once_until(call.deadline);
        if let Some(taken) = offer_resume(context, call, &offer, None, &Cell::default()).await {
            return taken;
        }
        kernel::sleep(MOVE_PAUSE.into()).await;
    }
}

/// Sends the call and reads the head of a stream, or the whole of any other answer.
pub(crate) async fn request_answer(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    plan: &SendPlan,
) -> Result<RunnerAnswer, SendFailure> {
    let left = call.deadline.since(context.now());
    let run = OpenRun::new(context, call, &plan.runner);
    let sent = send_to_runner(context, call, plan, left).await;
    run.finish();
    let exchange = sent?;
    if !is_event_stream(&exchange.response) {
        let left = call.deadline.since(context.now());
        return read_full_answer(exchange, left).await.map(RunnerAnswer::Full);
    }
    let mut head = Response::new(());
    *head.status_mut() = exchange.response.status();
    *head.headers_mut() = copy_reply_headers(exchange.response.headers());
    Ok(RunnerAnswer::Stream(Box::new(StreamSource::new(plan, exchange)), head))
}

/// A run that goes on after its first runner failed without an answer.
enum RecoveredRun {
    /// The answer of the runner that keeps a copy.
    Here(RunnerAnswer),
    /// The node that reaches this runner, and its response.
    Elsewhere(TakenResume),
}

/// Resumes the call at the runner that keeps a copy, after the `first` runner failed without
/// an answer. If the copy has not arrived there, that runner refuses and runs nothing. If this node is
/// cut off from the first runner, another node then moves the run from there.
async fn recover_run(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    (first, backup): (&RunnerRecord, RunnerRecord),
    ticket: &mut RouteTicket,
    is_cut_off: bool,
) -> Option<RecoveredRun> {
    if let Some(recovered) = resume_copy(context, call, (first, backup), ticket).await {
        return Some(recovered);
    }
    if !is_cut_off || !call.supports_moves {
        return None;
    }
    let offer = ResumeOffer::of_run(first, None);
    let taken = offer_resume(context, call, &offer, None, &Cell::default()).await?;
    Some(RecoveredRun::Elsewhere(taken))
}

/// Resumes the call from its copy, here or through another node.
async fn resume_copy(
    context: &Rc<NodeContext>,
    call: &Rc<Call>,
    (first, backup): (&RunnerRecord, RunnerRecord),
    ticket: &mut RouteTicket,
) -> Option<RecoveredRun> {
    if is_unreached(context, &backup) {
        let offer = ResumeOffer::of_backup(call, &backup, None).instead_of(first);
        let taken = offer_resume(context, call, &offer, None, &Cell::default()).await?;
        return Some(RecoveredRun::Elsewhere(taken));
    }
    let plan = plan_backup_resume(context, call, ticket, backup);
    match request_answer(context, call, &plan).await {
        Ok(answer) => {
            end_left_run(context, call, first);
            Some(RecoveredRun::Here(answer))
        }
        Err(failure) => {
            log_send_failure(context, call, &plan.runner.runner, &failure.reason);
            if failure.outcome == SendOutcome::Unknown {
                probe_lost_runner(context, call, &plan.runner, failure.loss);
            }
            None
        }
    }
}

/// Starts the task that relays the stream, and builds the response that it feeds.
pub(crate) fn start_stream(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    parts: StreamParts,
    closer: ConnectionCloser,
    mut head: Response<()>,
) -> WebResponse {
    if parts.call.forwards.borrow().is_forwarded() {
        RunSite::of_source(&parts.source).write(head.headers_mut());
    }
    let waited = context.now().since(parts.call.arrived);
    context.metrics.first_byte_time.observe(waited.as_seconds());
    let (caller, body) = open_caller_side(closer);
    kernel::spawn(StreamPump::new(context, router, parts, caller).run()).detach();
    head.map(|()| body)
}
