//! The offer of a call, or of a run, to another node: the request, and what its response means.

use std::rc::Rc;

use base::prelude::*;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use platform::{ResumeSource, forwarded_headers, forwarded_target};
use serving::{ForwardFailure, ForwardTarget, RunnerRecord};
use web::{SendFault, WebBody, WebConnection, WebError, WebExchange, full_body};

use super::forwarded_calls::{
    ANSWERED, DECLINED, FORWARD_FINGERPRINT, FORWARD_OWNER, FORWARD_PATH, FORWARD_PLAN,
    FORWARD_RESULT, RESUME_AFTER, RESUME_FROM, RESUME_LIMIT, RESUME_PATH, RESUME_RUN,
    RESUME_RUNNER, RESUME_SOURCE,
};
use super::run_trace::{RunHandle, RunTrace};
use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::metrics::OutcomeLabels;

/// Maximum time to connect to a node. Nodes are connected to over the network that carries their
/// heartbeats, so one that takes longer is better replaced by another one.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::millis(250);

/// Longest time for a node to resume a run from its copy: its caller has waited for events since the run
/// was lost. Builds that name no limit wait as long for a move.
pub(super) const RESUME_TIMEOUT: TimeSpan = TimeSpan::seconds(1);

/// Longest time for a node to move a run, which works on until its memory is copied: the longest time for
/// a copy, and time to stop the run and to go on with it.
const MOVE_TIMEOUT: TimeSpan = TimeSpan::seconds(4);

/// A run that another node is to resume.
#[derive(Debug, Clone)]
pub struct ResumeOffer {
    /// The runner that keeps a copy of the run's memory, or works on the run.
    pub runner: RunnerId,
    /// The copy; `None` if the run has to be moved from the runner.
    pub copy: Option<RunHandle>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Time for which the asking node waits.
    pub limit: TimeSpan,
    /// The runner that worked on the run, if its copy is to go on instead.
    pub source: Option<RunnerId>,
    /// Until when nodes are asked, each once only whatever is left of the run; `None` if they are asked in rounds.
    pub once_until: Option<TimePoint>,
}

impl ResumeOffer {
    /// A run whose copy the runner `backup` keeps under the id of the call.
    #[must_use]
    pub fn of_backup(call: &Call, backup: &RunnerRecord, last_event_id: Option<u64>) -> Self {
        let handle = Arc::from(call.attempt.as_str());
        let copy = Some(RunHandle { address: backup.address, handle });
        let runner = backup.runner.clone();
        Self { runner, copy, last_event_id, limit: RESUME_TIMEOUT, source: None, once_until: None }
    }

    /// The same run, on which `source` may work on: it is to be ended there.
    #[must_use]
    pub fn instead_of(self, source: &RunnerRecord) -> Self {
        Self { source: Some(source.runner.clone()), ..self }
    }

    /// A run whose memory the runner `holder` can take from `memory`.
    #[must_use]
    pub fn of_memory(
        holder: &RunnerRecord,
        memory: &ResumeSource,
        last_event_id: Option<u64>,
    ) -> Self {
        let ResumeSource { address, handle, .. } = memory.clone();
        let copy = Some(RunHandle { address, handle });
        let runner = holder.runner.clone();
        Self { runner, copy, last_event_id, limit: RESUME_TIMEOUT, source: None, once_until: None }
    }

    /// A run without a copy, on which the runner `source` works.
    #[must_use]
    pub fn of_run(source: &RunnerRecord, last_event_id: Option<u64>) -> Self {
        let limit = MOVE_TIMEOUT;
        let runner = source.runner.clone();
        Self { runner, copy: None, last_event_id, limit, source: None, once_until: None }
    }

    /// The same run after another node has stopped it, and its runner keeps its memory.
    #[must_use]
    pub fn of_stopped(self, memory: RunHandle) -> Self {
        Self { copy: Some(memory), limit: RESUME_TIMEOUT, ..self }
    }

    /// The same offer for one round, in which nodes are asked until `end`: who asks has other places to offer, too.
    #[must_use]
    pub fn once_until(self, end: TimePoint) -> Self {
        Self { once_until: Some(end), ..self }
    }

    /// The runner that is ordered to stop the run before it goes on; `None` if it goes on from a memory. What is left
    /// at the runner before is then stopped only if this node does not read it.
    #[must_use]
    pub fn runner_to_stop(&self) -> Option<&RunnerId> {
        self.copy.is_none().then_some(&self.runner)
    }

    /// Whether the run was stopped, and its memory is at the runner that worked on it.
    #[must_use]
    pub fn is_stopped(&self, call: &Call, runner: &RunnerRecord) -> bool {
        let is_kept = |memory: &RunHandle| {
            memory.address == runner.address && *memory.handle != *call.attempt.as_str()
        };
        self.copy.as_ref().is_some_and(is_kept)
    }
}

/// How an offer of a call to a node ended.
pub(super) enum OfferEnd {
    /// The node has responded to the call.
    Answered(WebExchange),
    /// The call has not run there.
    NotRun(ForwardFailure, Rc<str>),
    /// The node does not go on with the run, and says what it has left of it.
    NotResumed(RunTrace),
    /// The call may have run there.
    Unknown(Rc<str>),
}

/// Sends the call to a node and waits for the head of the response.
pub(super) async fn offer_call(
    context: &NodeContext,
    call: &Call,
    target: &ForwardTarget,
    resume: Option<&ResumeOffer>,
) -> OfferEnd {
    let unconnected = |error: &WebError| {
        OfferEnd::NotRun(ForwardFailure::Unconnected, Rc::from(error.to_string()))
    };
    let left = call.deadline.since(context.now());
    let connected = WebConnection::open(target.address, CONNECT_TIMEOUT.min(left)).await;
    let connection = match connected {
        Ok(connection) => connection,
        Err(error) => return unconnected(&error),
    };
    let left = call.deadline.since(context.now());
    let request = match build_request(context, call, left, resume) {
        Ok(request) => request,
        Err(error) => return unconnected(&error),
    };
    let limit = resume.map_or(left, |offer| offer.limit.min(left));
    match connection.send(request, limit).await {
        Ok(exchange) => classify_response(exchange),
        Err(error) if error.send_fault() == SendFault::NotSent => unconnected(&error),
        Err(error) => OfferEnd::Unknown(Rc::from(error.to_string())),
    }
}

fn build_request(
    context: &NodeContext,
    call: &Call,
    left: TimeSpan,
    resume: Option<&ResumeOffer>,
) -> Result<Request<WebBody>, WebError> {
    let fault = |source| WebError::Request { step: "forwarded call", source };
    let prefix = if resume.is_some() { RESUME_PATH } else { FORWARD_PATH };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(forwarded_target(prefix, &call.uri))
        .body(full_body(call.body.clone()))
        .map_err(fault)?;
    let mut headers = forwarded_headers(&call.headers, left);
    headers.insert(FORWARD_PLAN, HeaderValue::from(call.plan_version.0));
    headers.insert(FORWARD_FINGERPRINT, HeaderValue::from(call.fingerprint.0));
    let text = |text: String| HeaderValue::from_str(&text).map_err(|error| fault(error.into()));
    let owner = call.owner.as_ref().unwrap_or(&context.settings.vm);
    headers.insert(FORWARD_OWNER, text(owner.to_string())?);
    if let Some(ResumeOffer { runner, copy, last_event_id, limit, source, .. }) = resume {
        headers.insert(RESUME_RUNNER, text(runner.to_string())?);
        if let Some(RunHandle { address, handle }) = copy {
            headers.insert(RESUME_FROM, text(format!("{address}/{handle}"))?);
        }
        if let Some(id) = last_event_id {
            headers.insert(RESUME_AFTER, HeaderValue::from(*id));
        }
        if let Some(source) = source {
            headers.insert(RESUME_SOURCE, text(source.to_string())?);
        }
        headers.insert(RESUME_LIMIT, HeaderValue::from(limit.min(&left).as_millis()));
    }
    *request.headers_mut() = headers;
    Ok(request)
}

fn classify_response(exchange: WebExchange) -> OfferEnd {
    let status = exchange.response.status();
    let result = exchange.response.headers().get(FORWARD_RESULT).map(HeaderValue::as_bytes);
    match result {
        Some(result) if result == ANSWERED.as_bytes() => OfferEnd::Answered(exchange),
        Some(result) if result == DECLINED.as_bytes() => {
            let trace = exchange.response.headers().get(RESUME_RUN);
            if let Some(trace) = trace.and_then(RunTrace::decode) {
                return OfferEnd::NotResumed(trace);
            }
            OfferEnd::NotRun(ForwardFailure::Declined, Rc::from(format!("declined with {status}")))
        }
        // Builds that do not know the path respond so to all requests on it.
        None if status == StatusCode::NOT_FOUND => {
            OfferEnd::NotRun(ForwardFailure::Unsupported, Rc::from("path not known"))
        }
        // A server that takes fewer headers responds so before the request is handled.
        None if status == StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
            OfferEnd::NotRun(ForwardFailure::Declined, Rc::from("too many headers"))
        }
        _ => OfferEnd::Unknown(Rc::from(format!("not the response to a call: {status}"))),
    }
}

/// Logs and counts an offer of a call to a node.
pub(super) fn log_offer(
    context: &NodeContext,
    call: &Call,
    target: &ForwardTarget,
    outcome: &'static str,
    reason: &'static str,
    error: &str,
) {
    context.metrics.forwards.get_or_create(&OutcomeLabels { outcome, reason }).inc();
    if may_log(context) {
        tracing::info!(
            event = "relayed",
            request = %call.attempt,
            service = %call.service,
            node = %target.vm,
            outcome,
            reason,
            error,
            waited_ms = context.now().since(call.arrived).as_millis(),
            left_ms = call.deadline.since(context.now()).as_millis(),
        );
    }
}

pub(super) fn failure_reason(failure: ForwardFailure) -> &'static str {
    match failure {
        ForwardFailure::Unconnected => "unconnected",
        ForwardFailure::Declined => "declined",
        ForwardFailure::Unsupported => "unsupported",
    }
}
