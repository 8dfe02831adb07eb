//! Handling of callers' requests: limits, routing and authorization, then the runners.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::RequestContent;
use base::prelude::*;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, StatusCode};
use platform::{CallHead, normalize_request};
use serving::{CallInput, ForwardState, RouteKind, RouteRule, ServingPlan};
use web::{ConnectionCloser, WebError, WebRequest, WebResponse, discard_body, read_bounded};

use crate::call::Call;
use crate::call_answer::CallRejection;
use crate::call_log::log_rejection;
use crate::context::NodeContext;
use crate::forward::{FORWARD_FINGERPRINT, FORWARD_OWNER, ResumeOffer, ResumeRefusal, resume_run};
use crate::plain_call::run_plain;
use crate::router::RouterService;
use crate::stop_intake::{check_intake, unless_stopped};
use crate::streams::run_stream;

/// `Retry-After` of a node that has no configuration yet, or no connection left, or no memory for the
/// body.
const NOT_READY_RETRY_AFTER: TimeSpan = TimeSpan::millis(300);

/// Largest rest of the body of a rejected request that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Time for that rest to arrive.
const DISCARD_TIME: TimeSpan = TimeSpan::seconds(2);

/// Maximum number of headers of a caller's request; a request of another node has a few more.
const MAX_CALLER_HEADERS: usize = 100;

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallSource {
    /// A caller.
    Caller,
    /// Another node, which forwarded it.
    Node,
}

/// Marks the response to a request that was rejected before it could be sent to a runner, with the
/// reason.
#[derive(Debug, Clone, Copy)]
pub struct Rejected(pub &'static str);

/// Handles one request of a caller.
pub async fn answer_caller(
    context: Rc<NodeContext>,
    router: Rc<RouterService>,
    request: WebRequest,
) -> WebResponse {
    answer_call(&context, &router, request, CallSource::Caller).await
}

/// Handles one request of a caller, which arrived from `source`.
pub async fn answer_call(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    request: WebRequest,
    source: CallSource,
) -> WebResponse {
    let _guard = context.track_request();
    let closer = ConnectionCloser::from_request(&request);
    let arrived = context.now();
    let head = CallHead::decode(request.headers());
    let id = head.attempt.clone();
    let (parts, mut body) = request.into_parts();
    let mut response = match match_call(context, parts, &mut body, head, arrived, source).await {
        Ok(call) if call.route.kind == RouteKind::Stream => {
            let call = Rc::new(call);
            let _open = context.headless_streams.open(&call);
            // On the heap: requests of other kinds would take its size as well.
            Box::pin(run_stream(context, router, call, closer)).await
        }
        Ok(call) => {
            let call = Rc::new(call);
            let _open = context.open_calls.open(&call);
            let serving = Box::pin(run_plain(context, router, &call, closer));
            unless_stopped(context, &call, serving).await
        }
        Err(rejection) => {
            let id = id.as_ref().map_or("", |id| id.as_str());
            log_rejection(context, id, rejection.reason, rejection.status.as_u16());
            discard_rest(body);
            let mut response = rejection.reply();
            response.extensions_mut().insert(Rejected(rejection.reason));
            response
        }
    };
    if context.stop.is_raised() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Rejects a request of a caller for which there is no connection left.
pub fn refuse_connection(context: &NodeContext) -> WebResponse {
    let rejection = CallRejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "connections_full",
        retry_after: Some(NOT_READY_RETRY_AFTER),
    };
    log_rejection(context, "", rejection.reason, rejection.status.as_u16());
    rejection.reply()
}

/// Resumes the run of a call that another node has lost.
///
/// # Errors
/// Returns the reason if the run cannot be resumed here.
pub async fn resume_call(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    request: WebRequest,
    offer: ResumeOffer,
) -> Result<WebResponse, ResumeRefusal> {
    let closer = ConnectionCloser::from_request(&request);
    let (arrived, head) = (context.now(), CallHead::decode(request.headers()));
    let (parts, mut body) = request.into_parts();
    let call = match match_call(context, parts, &mut body, head, arrived, CallSource::Node).await {
        Ok(call) => call,
        Err(rejection) => {
            discard_rest(body);
            return Err(rejection.reason.into());
        }
    };
    resume_run(context, router, Rc::new(call), closer, offer).await
}

/// Reads the rest of the body of a request that was rejected, so that its sender sees the response.
pub fn discard_rest(body: Incoming) {
    discard_body(body, MAX_DISCARDED_BYTES, DISCARD_TIME);
}

/// Matches a request against the active configuration and reads its body.
async fn match_call(
    context: &Rc<NodeContext>,
    mut parts: Parts,
    body: &mut Incoming,
    head: CallHead,
    arrived: TimePoint,
    source: CallSource,
) -> Result<Call, CallRejection> {
    let plan = context.plan().ok_or(CallRejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "not_ready",
        retry_after: Some(NOT_READY_RETRY_AFTER),
    })?;
    let sent_fingerprint = find_fingerprint(&parts.headers, source);
    let owner = find_owner(&parts.headers, source);
    normalize_request(&mut parts.uri, &mut parts.headers);
    if source == CallSource::Caller && parts.headers.len() > MAX_CALLER_HEADERS {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(CallRejection::new(status, "too_many_headers"));
    }
    let route = find_route(&plan, &parts)?;
    let tenant = match (&plan.keys, route.is_public) {
        (None, _) | (_, true) => None,
        (Some(_), false) => {
            let found = head.api_key.as_ref().and_then(|key| plan.find_tenant(key));
            Some(found.ok_or(CallRejection::new(StatusCode::UNAUTHORIZED, "unauthorized"))?)
        }
    };
    let timeout = head.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = arrived + timeout;
    check_intake(context, &route, deadline)?;
    let attempt =
        head.attempt.clone().ok_or(CallRejection::new(StatusCode::BAD_REQUEST, "no_attempt_id"))?;
    let service = route
        .pick_service(rand::random())
        .ok_or(CallRejection::new(StatusCode::NOT_FOUND, "no_service"))?
        .clone();
    let engine = plan.services.get(&service).and_then(|service| service.engine.as_ref());
    let expected = usize::try_from(body.size_hint().upper().unwrap_or(u64::MAX));
    let expected = expected.unwrap_or(usize::MAX).min(plan.limits.max_body_bytes);
    let reservation = context.reserve_body(expected).ok_or(CallRejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason: "memory_full",
        retry_after: Some(NOT_READY_RETRY_AFTER),
    })?;
    let reading = read_bounded("request", body, plan.limits.max_body_bytes);
    // A body that never ends would keep its memory and its connection.
    let body = compio::time::timeout(timeout.into(), reading)
        .await
        .map_err(|_| CallRejection::new(StatusCode::REQUEST_TIMEOUT, "body_late"))?
        .map_err(|error| body_rejection(&error))?;
    // The stop may have begun while the body arrived.
    check_intake(context, &route, deadline)?;
    let hashed = RequestContent {
        host: request_host(&parts.headers),
        path: parts.uri.path_and_query().map_or("", PathAndQuery::as_str),
        workspace: tenant.map(|tenant| &tenant.workspace),
        body: &body,
    };
    let fingerprint = hashed.fingerprint();
    if sent_fingerprint.is_some_and(|sent| sent != fingerprint) {
        return Err(CallRejection::new(StatusCode::SERVICE_UNAVAILABLE, "request_changed"));
    }
    Ok(Call {
        attempt,
        fingerprint,
        plan_version: plan.version,
        tokens_per_event: engine.map(|engine| engine.event_tokens),
        supports_moves: engine.is_some_and(|engine| engine.supports_moves),
        supports_backups: engine.is_some_and(|engine| engine.supports_backups),
        workspace: tenant.map(|tenant| tenant.workspace.clone()),
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
        route,
        service,
        inputs: call_inputs(&head, fingerprint),
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        owner,
        forwards: RefCell::new(ForwardState::new(source == CallSource::Node)),
        _reservation: reservation,
        arrived,
        run_place: RefCell::default(),
        stop_orders: Rc::default(),
        asked_runners: RefCell::default(),
        open_sends: RefCell::default(),
        sent_at: Cell::default(),
        deadline,
    })
}

/// The fingerprint that the request had at the node that passed it on; `None` if it came from a caller,
/// or from a build that does not send it.
fn find_fingerprint(headers: &HeaderMap, source: CallSource) -> Option<RequestFingerprint> {
    let text = headers.get(FORWARD_FINGERPRINT).filter(|_| source == CallSource::Node)?;
    text.to_str().ok()?.parse().ok().map(RequestFingerprint)
}

/// The node that has the caller of a request from another node.
fn find_owner(headers: &HeaderMap, source: CallSource) -> Option<VmId> {
    let text = headers.get(FORWARD_OWNER).filter(|_| source == CallSource::Node)?;
    text.to_str().ok()?.parse().ok()
}

fn find_route(plan: &ServingPlan, parts: &Parts) -> Result<Rc<RouteRule>, CallRejection> {
    let route = plan.find_route(request_host(&parts.headers), parts.uri.path());
    route.cloned().ok_or(CallRejection::new(StatusCode::NOT_FOUND, "no_route"))
}

/// The host that a request is addressed to; empty if it names none.
fn request_host(headers: &HeaderMap) -> &str {
    headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// What of a call may crash runners: the shared parts of its prompt, and the request itself.
fn call_inputs(head: &CallHead, fingerprint: RequestFingerprint) -> Vec<CallInput> {
    let parts = head.shared_parts.iter().cloned().map(CallInput::Part);
    parts.chain([CallInput::Request(fingerprint)]).collect()
}

fn body_rejection(error: &WebError) -> CallRejection {
    match error {
        WebError::TooLong { .. } => {
            CallRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long")
        }
        _ => CallRejection::new(StatusCode::BAD_REQUEST, "body_incomplete"),
    }
}
