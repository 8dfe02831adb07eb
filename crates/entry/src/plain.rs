//! Calls of plain services that may be repeated: `/v1/services/SERVICE/PATH`.

use std::rc::Rc;

use base::prelude::*;
use config::{CallPriority, CallRule};
use dispatch::{CallHandle, RouteCommand};
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use route::{CallEnd, CallId, RouteCall};
use web::{SendFault, WebBody, WebError, WebResponse, full_body, send_once};

use crate::context::EntryContext;
use crate::refusal::CallRefusal;
use crate::router::RouterService;

/// Most attempts at one call.
const MAX_ATTEMPTS: u32 = 4;
/// Time for a connection to a target.
const CONNECT_TIME: TimeSpan = TimeSpan::millis(500);
/// Longest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call of a plain service, read in full.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Whose call it is.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceName,
    /// Priority by the workspace's rule.
    pub priority: CallPriority,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path within the service, with its query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The caller's deadline.
    pub deadline: TimePoint,
    /// Until when the target's answer is waited for; past the caller's deadline where a
    /// late answer is kept.
    pub answer_until: TimePoint,
}

impl PlainCall {
    /// The call as the router takes it, after attempts at the runners of `tried`.
    #[must_use]
    pub fn route_call(&self, tried: &[RunnerId]) -> RouteCall {
        RouteCall {
            id: CallId(0),
            service: self.service.clone(),
            model: None,
            workspace: self.workspace.clone(),
            priority: self.priority,
            prompt_tokens: TokenCount(0),
            max_tokens: TokenCount(0),
            length_hint: None,
            prefix_hash: 0,
            first_token_target: None,
            deadline: self.deadline,
            streamed: false,
            movable: false,
            produced_tokens: TokenCount(0),
            tried_runners: tried.to_vec(),
        }
    }

    /// The request as it is sent to a target.
    ///
    /// # Errors
    /// A path that is no URI.
    pub fn request(&self) -> Result<Request<WebBody>, WebError> {
        let mut builder = Request::builder().method(self.method.clone()).uri(&*self.path);
        if !self.content_type.is_empty() {
            builder = builder.header(CONTENT_TYPE, &*self.content_type);
        }
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key.as_str());
        }
        builder
            .body(full_body(self.body.clone()))
            .map_err(|source| WebError::Request { step: "target request", source })
    }
}

/// A target's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Bytes,
}

/// Sends `call` once to `runner` and reads the whole answer.
///
/// # Errors
/// [`WebError::send_fault`] says whether the target may have run it.
pub async fn send_to_runner(
    context: &EntryContext,
    call: &PlainCall,
    runner: &RunnerId,
) -> Result<TargetAnswer, WebError> {
    let address = context.fleet.borrow().runner_address(runner);
    let peer = address.ok_or_else(|| WebError::Connect {
        peer: ([0, 0, 0, 0], 0).into(),
        source: std::io::Error::new(std::io::ErrorKind::NotFound, format!("{runner} is gone")),
    })?;
    let request = call.request()?;
    let left = call.answer_until.since(context.now());
    let response = send_once(peer, request, CONNECT_TIME, left).await?;
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = Arc::from(content_type.unwrap_or(""));
    let body = web::read_bounded("target answer", response.into_body(), MAX_ANSWER_BYTES);
    let left = call.answer_until.since(context.now());
    let body = compio::time::timeout(left.into(), body)
        .await
        .map_err(|_| WebError::Deadline { step: "target answer", peer })??;
    Ok(TargetAnswer { status, content_type, body })
}

/// Serves a call that may be repeated.
///
/// # Errors
/// A refusal, with its outcome.
pub async fn serve_plain(
    context: &EntryContext,
    router: &Rc<RouterService>,
    call: &PlainCall,
    rule: &CallRule,
) -> Result<WebResponse, CallRefusal> {
    let mut maybe_ran = false;
    let mut tried = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let mut handle = router.open(call.route_call(&tried));
        let runner = match handle.next_command().await {
            RouteCommand::Send { runner } => runner,
            RouteCommand::Withdraw => continue,
            RouteCommand::Refuse { reason, retry_after } => {
                handle.end(CallEnd::Refused);
                return Err(with_claim(CallRefusal::by_desk(reason, retry_after), maybe_ran));
            }
        };
        context.counters.count("attempt.started");
        let outcome = send_to_runner(context, call, &runner).await;
        if let Some(answer) = finish_attempt(router, handle, rule, &runner, outcome, &mut maybe_ran)
        {
            return Ok(answer_caller(answer));
        }
        context.counters.count("attempt.failed");
        tried.push(runner);
    }
    let refusal = CallRefusal::by_desk(RefusalReason::NoRunner, TimeSpan::seconds(1));
    Err(with_claim(refusal, maybe_ran))
}

fn finish_attempt(
    router: &Rc<RouterService>,
    handle: CallHandle,
    rule: &CallRule,
    runner: &RunnerId,
    outcome: Result<TargetAnswer, WebError>,
    maybe_ran: &mut bool,
) -> Option<TargetAnswer> {
    match outcome {
        Ok(answer) if answer.status == rule.not_run_status => {
            handle.end(CallEnd::Refused);
            if says_leaving(&answer.body) {
                router.note_leaving(runner);
            }
            None
        }
        Ok(answer) => {
            handle.end(CallEnd::Finished);
            Some(answer)
        }
        Err(error) => {
            *maybe_ran |= error.send_fault() == SendFault::MaybeSent;
            handle.end(CallEnd::Failed);
            None
        }
    }
}

/// Whether a target's refusal says that it is leaving.
#[must_use]
pub fn says_leaving(body: &[u8]) -> bool {
    let value: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    value.is_some_and(|value| value["leaving"] == true)
}

/// "Not run" is a claim on the call, not on its last attempt.
fn with_claim(mut refusal: CallRefusal, maybe_ran: bool) -> CallRefusal {
    if maybe_ran {
        refusal.outcome = CallOutcome::Unknown;
    }
    refusal
}

/// Passes a target's answer on.
pub fn answer_caller(answer: TargetAnswer) -> WebResponse {
    let mut response = WebResponse::new(full_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = answer.content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
