//! Sending a request to one runner, on a separate connection per send.

use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use compio::time::timeout;
use futures_util::future::{Either, select};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use platform::{ReplyKind, ResumeSource, RunnerHead, RunnerNotice, classify_reply, runner_headers};
use route::CallEnd;
use serving::{RunnerLoss, RunnerRecord, SendOutcome};
use web::{SendFault, WebConnection, WebError, WebExchange, full_body};

use crate::call::Call;
use crate::context::NodeContext;
use crate::forward::{ServingStop, unless_lost};
use crate::reach::{
    record_runner_answer, record_runner_failure, wait_while_connecting, wait_while_unanswered,
};
use crate::runner_gate::{SendBlock, SendPurpose, begin_send, check_inputs};
use crate::runner_notices::{record_not_brittle, record_notice, record_unlimited};

/// Maximum time to connect. A runner whose connection backlog is full drops the first
/// packet, which TCP sends again only after a second.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::millis(400);

/// Reason of a send that failed since its runner is not reached.
const RUNNER_UNREACHED: &str = "runner_unreached";

/// A send that gave no answer to forward.
#[derive(Debug, Clone)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub outcome: SendOutcome,
    /// How the attempt ended, as reported to the dispatcher.
    pub end: CallEnd,
    /// How the runner was lost, if the outcome is unknown.
    pub loss: RunnerLoss,
    /// Whether the address now belongs to another runner.
    pub runner_gone: bool,
    /// Whether the request was not sent because the runner accepts none at present.
    pub withheld: bool,
    /// Reason, for the log.
    pub reason: Rc<str>,
}

impl SendFailure {
    /// The runner's stream ended before its first event, or has none in time.
    pub(crate) fn stream_lost(reason: &str, loss: RunnerLoss) -> Self {
        Self {
            outcome: SendOutcome::Unknown,
            end: CallEnd::Failed,
            loss,
            runner_gone: false,
            withheld: false,
            reason: Rc::from(reason),
        }
    }

    /// The runner is not reached any more, and has not answered.
    pub(crate) fn unreached() -> Self {
        let loss = RunnerLoss::NoAnswer;
        Self { end: CallEnd::Cancelled, ..Self::stream_lost(RUNNER_UNREACHED, loss) }
    }

    /// Whether this node is cut off from the runner, which may have taken the request.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.outcome == SendOutcome::Unknown && *self.reason == *RUNNER_UNREACHED
    }

    /// The request is not sent to this runner at present, which says nothing about its health.
    pub(crate) fn withheld(reason: &str) -> Self {
        Self {
            outcome: SendOutcome::NotSent,
            end: CallEnd::Cancelled,
            loss: RunnerLoss::NoAnswer,
            runner_gone: false,
            withheld: true,
            reason: Rc::from(reason),
        }
    }
}

/// Target runner of a send, and the state that the request resumes from.
#[derive(Debug, Clone)]
pub struct SendPlan {
    /// The runner that the request is sent to.
    pub runner: RunnerRecord,
    /// Memory of an earlier part of the run to resume from.
    pub resume: Option<ResumeSource>,
    /// Id of the last event that was forwarded, for a run that resumes without that memory.
    pub last_event_id: Option<u64>,
    /// The runner that is to keep a copy of the run's memory.
    pub backup: Option<RunnerRecord>,
    /// What the runner gets the request for.
    pub purpose: SendPurpose,
}

impl SendPlan {
    /// A send that starts a new run.
    #[must_use]
    pub fn first(runner: RunnerRecord, backup: Option<RunnerRecord>) -> Self {
        Self { runner, resume: None, last_event_id: None, backup, purpose: SendPurpose::NewWork }
    }

    /// A send that resumes a run from `resume`; the last event that was forwarded is filled in when it
    /// is sent.
    #[must_use]
    pub fn resume(
        runner: RunnerRecord,
        resume: ResumeSource,
        backup: Option<RunnerRecord>,
    ) -> Self {
        Self { resume: Some(resume), ..Self::first(runner, backup) }
    }

    /// Whether the answer is waited for although this node is cut off from the runner: the run can go on nowhere else
    /// but where another node moves it.
    #[must_use]
    pub fn moves_unanswered(&self, call: &Call) -> bool {
        call.tokens_per_event.is_some() && call.supports_moves && !self.may_go_on(call)
    }

    /// Whether the run may go on elsewhere if this node is cut off from the runner.
    fn may_go_on(&self, call: &Call) -> bool {
        self.backup.is_some() || self.resume.is_some() || call.route.stream_resume
    }
}

/// Sends `call` according to `plan` and waits at most `limit` for the head of the answer.
///
/// Whether the runner accepts requests is checked before the connection is opened and once
/// more before anything is sent on it.
///
/// # Errors
/// Returns [`SendFailure`] if there is no answer to forward.
pub async fn send_to_runner(
    context: &NodeContext,
    call: &Call,
    plan: &SendPlan,
    limit: TimeSpan,
) -> Result<WebExchange, SendFailure> {
    // On the heap: the futures of calls hold several of these, and one that is passed on counts twice.
    let connect = Box::pin(connect_to_runner(context, call, &plan.runner, plan.purpose));
    let connected = Box::pin(unless_lost(context, call, connect)).await;
    let connection = connected.map_err(|stop| {
        // A call that waits no longer counts as a failed connection: those are limited, while a
        // call that is withheld is assigned again at once.
        let withheld = stop == ServingStop::Forward;
        SendFailure { withheld, ..SendFailure::withheld("runners_unreached") }
    })??;
    Box::pin(send_connected(context, call, plan, connection, limit)).await
}

/// Connects to a runner; nothing is sent yet.
///
/// # Errors
/// Returns [`SendFailure`] with [`SendOutcome::NotSent`] if it cannot be reached in time.
pub async fn connect_to_runner(
    context: &NodeContext,
    call: &Call,
    runner: &RunnerRecord,
    purpose: SendPurpose,
) -> Result<WebConnection, SendFailure> {
    purpose.check(context, &runner.incarnation()).map_err(withheld)?;
    let left = call.deadline.since(context.now());
    let opening = Box::pin(WebConnection::open(runner.address, CONNECT_TIMEOUT.min(left)));
    let connected = unless_stopped(opening, wait_while_connecting(context, runner)).await;
    let connected = connected.ok_or_else(|| SendFailure::withheld(RUNNER_UNREACHED))?;
    connected.map_err(|error| {
        // A call whose time is over says nothing about the runner.
        if left >= CONNECT_TIMEOUT || !matches!(error, WebError::ConnectDeadline { .. }) {
            record_runner_failure(context, runner);
        }
        send_failure(&error)
    })
}

/// Sends `call` on a connection to the runner of `plan`; like [`send_to_runner`] from there on.
///
/// # Errors
/// Returns [`SendFailure`] if there is no answer to forward.
pub async fn send_connected(
    context: &NodeContext,
    call: &Call,
    plan: &SendPlan,
    connection: WebConnection,
    limit: TimeSpan,
) -> Result<WebExchange, SendFailure> {
    let runner = &plan.runner;
    let incarnation = runner.incarnation();
    check_inputs(context, call, &incarnation).map_err(withheld)?;
    let left = call.deadline.since(context.now());
    let head = RunnerHead {
        remaining: left,
        runner: &runner.runner,
        workspace: call.workspace.as_ref(),
        priority: call.priority,
        resume: plan.resume.as_ref(),
        last_event_id: plan.last_event_id,
        backup: plan.backup.as_ref().map(|backup| backup.address),
    };
    let request = build_request(call, &head).map_err(|error| not_sent(&error))?;
    let pending = begin_send(context, &incarnation, plan.purpose).map_err(withheld)?;
    let sending = Box::pin(connection.send(request, limit.min(left)));
    let unanswered = async {
        if plan.moves_unanswered(call) {
            return std::future::pending().await;
        }
        wait_while_unanswered(context, runner, plan.may_go_on(call)).await;
    };
    let Some(sent) = unless_stopped(sending, unanswered).await else {
        pending.finish(true);
        return Err(SendFailure::unreached());
    };
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(error) => {
            let failure = send_failure(&error);
            pending.finish(failure.outcome == SendOutcome::Unknown);
            record_runner_failure(context, runner);
            return Err(failure);
        }
    };
    record_runner_answer(context, runner);
    let (status, headers) = (exchange.response.status(), exchange.response.headers());
    let kind = classify_reply(status, headers, &call.attempt);
    pending.finish(kind == ReplyKind::NotRun);
    if platform::is_from_runner(headers, &runner.runner) {
        let notice = RunnerNotice::decode(status, headers);
        record_notice(context, &incarnation, &notice);
        // An error may come from a part of the runner that knows nothing of its limit.
        if notice.names_no_limit() && kind == ReplyKind::Answer && status.is_success() {
            record_unlimited(context, &incarnation);
        }
        if notice.names_not_brittle() && kind == ReplyKind::Answer && status.is_success() {
            record_not_brittle(context, &incarnation);
        }
    }
    check_reply(call, exchange)
}

/// The output of `future`; `None` if `stop` ends first.
pub(crate) async fn unless_stopped<T>(
    future: impl Future<Output = T>,
    stop: impl Future<Output = ()>,
) -> Option<T> {
    match select(pin!(future), pin!(stop)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(((), _)) => None,
    }
}

fn withheld(block: SendBlock) -> SendFailure {
    SendFailure::withheld(block.as_str())
}

fn send_failure(error: &WebError) -> SendFailure {
    match error.send_fault() {
        SendFault::NotSent => not_sent(error),
        SendFault::MaybeSent => outcome_unknown(error),
    }
}

fn build_request(call: &Call, head: &RunnerHead<'_>) -> Result<Request<web::WebBody>, WebError> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(full_body(call.body.clone()))
        .map_err(|source| WebError::Request { step: "request to a runner", source })?;
    *request.headers_mut() = runner_headers(&call.headers, head);
    debug_assert!(request.headers().contains_key(HOST), "routes are found by the host");
    Ok(request)
}

fn check_reply(call: &Call, exchange: WebExchange) -> Result<WebExchange, SendFailure> {
    let status = exchange.response.status();
    match classify_reply(status, exchange.response.headers(), &call.attempt) {
        ReplyKind::Answer if !means_not_run(status) => Ok(exchange),
        ReplyKind::NotRun => Err(SendFailure {
            outcome: SendOutcome::Refused,
            end: CallEnd::Refused,
            loss: RunnerLoss::NoAnswer,
            runner_gone: false,
            withheld: false,
            reason: Rc::from(format!("refused with {status}")),
        }),
        ReplyKind::WrongRunner => Err(SendFailure {
            outcome: SendOutcome::Refused,
            end: CallEnd::Refused,
            loss: RunnerLoss::NoAnswer,
            runner_gone: true,
            withheld: false,
            reason: Rc::from("the address belongs to another runner"),
        }),
        kind => Err(SendFailure {
            outcome: SendOutcome::Unknown,
            end: CallEnd::Failed,
            loss: RunnerLoss::NoAnswer,
            runner_gone: false,
            withheld: false,
            reason: Rc::from(format!("{kind:?} with {status}")),
        }),
    }
}

/// Whether callers take the status as a promise that the request did not run. An answer with
/// such a status that lacks the header confirming it is not forwarded.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn not_sent(error: &WebError) -> SendFailure {
    SendFailure {
        outcome: SendOutcome::NotSent,
        end: CallEnd::Failed,
        loss: RunnerLoss::NoAnswer,
        runner_gone: false,
        withheld: false,
        reason: Rc::from(error.to_string()),
    }
}

fn outcome_unknown(error: &WebError) -> SendFailure {
    let is_end = error.is_connection_end();
    let loss = if is_end { RunnerLoss::ConnectionEnded } else { RunnerLoss::NoAnswer };
    SendFailure { outcome: SendOutcome::Unknown, loss, ..not_sent(error) }
}

/// Reads the whole body of an answer within `limit`.
///
/// # Errors
/// Returns [`SendFailure`] if the body is incomplete, too long or late, or if the budget has no room
/// for it.
pub async fn read_full_answer(
    exchange: WebExchange,
    limit: TimeSpan,
) -> Result<hyper::Response<hyper::body::Bytes>, SendFailure> {
    read_parts(exchange, limit, || ()).await
}

/// Like [`read_full_answer`]; calls `note` for each part that has come.
///
/// # Errors
/// Same as [`read_full_answer`].
pub async fn read_parts(
    exchange: WebExchange,
    limit: TimeSpan,
    note: impl FnMut(),
) -> Result<hyper::Response<hyper::body::Bytes>, SendFailure> {
    /// Maximum size of an answer that is read completely, in bytes.
    const MAX_ANSWER_BYTES: usize = 8 << 20;
    let WebExchange { response, connection } = exchange;
    let (parts, body) = response.into_parts();
    let read = web::read_whole_noting("answer of a runner", body, MAX_ANSWER_BYTES, note);
    let bytes = match timeout(limit.into(), read).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(error)) => return Err(outcome_unknown(&error)),
        Err(_) => {
            let reason = Rc::from("timed out reading the answer");
            return Err(SendFailure {
                outcome: SendOutcome::Unknown,
                end: CallEnd::Failed,
                loss: RunnerLoss::NoAnswer,
                runner_gone: false,
                withheld: false,
                reason,
            });
        }
    };
    drop(connection);
    Ok(hyper::Response::from_parts(parts, bytes))
}
