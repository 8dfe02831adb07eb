//! Calls that another node forwards to this one because it reaches no runner of their service.
//!
//! They are authorized, routed and counted like calls of callers, and never forwarded again. A
//! node that cannot serve a call at present declines it at once: the call has then not run.

use std::rc::Rc;

use base::prelude::*;
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use platform::restored_target;
use serving::PlanVersion;
use web::{WebRequest, WebResponse, text_reply};

use super::offer::{RESUME_TIMEOUT, ResumeOffer};
use super::run_trace::RunHandle;
use crate::call_answer::{CallRejection, Unreached};
use crate::caller_server::{CallSource, Rejected, answer_call, discard_rest, resume_call};
use crate::context::NodeContext;
use crate::metrics::OutcomeLabels;
use crate::router::RouterService;

/// Path of forwarded calls; the path of the call follows it.
pub const FORWARD_PATH: &str = "/forward/";
/// Path of calls whose run this node is to resume; the path of the call follows it. Builds that cannot
/// do so do not know the path.
pub const RESUME_PATH: &str = "/resume/";
/// Id of the runner that keeps a copy of the run's memory, or works on the run.
pub const RESUME_RUNNER: HeaderName = HeaderName::from_static("x-yard-resume-runner");
/// The copy: the runner's address, a slash and the handle. Missing if the run has to be moved from the
/// runner.
pub const RESUME_FROM: HeaderName = HeaderName::from_static("x-yard-resume-from");
/// Id of the last event that the caller has; missing if it has none.
pub const RESUME_AFTER: HeaderName = HeaderName::from_static("x-yard-resume-after");
/// Id of the runner that worked on the run before its copy goes on; missing if it is not known, or has
/// stopped the run.
pub const RESUME_SOURCE: HeaderName = HeaderName::from_static("x-yard-resume-source");
/// Time for which the asking node waits, in milliseconds; [`RESUME_TIMEOUT`] if missing.
pub const RESUME_LIMIT: HeaderName = HeaderName::from_static("x-yard-resume-limit");
/// What is left of a run that the receiving node does not go on with: `works`, `ordered` (to stop, without
/// an answer so far), or where its memory is, as in [`RESUME_FROM`]. Missing if the node does not know.
pub const RESUME_RUN: HeaderName = HeaderName::from_static("x-yard-resume-run");
/// Version of the configuration that the forwarding node matched the call against.
pub const FORWARD_PLAN: HeaderName = HeaderName::from_static("x-yard-forward-plan");
/// Fingerprint of the call at the forwarding node. The receiving node declines a call that has another
/// one there.
pub const FORWARD_FINGERPRINT: HeaderName = HeaderName::from_static("x-yard-forward-fingerprint");
/// Id of the machine whose node has the call's caller, and so decides where its run goes on; missing in requests of
/// builds that do not say so.
pub const FORWARD_OWNER: HeaderName = HeaderName::from_static("x-yard-forward-owner");
/// What the receiving node did with the call. Without it, the response is not that of a node
/// which accepts forwarded calls.
pub const FORWARD_RESULT: HeaderName = HeaderName::from_static("x-yard-forward-result");
/// Value of [`FORWARD_RESULT`] for the response to the call.
pub const ANSWERED: &str = "answered";
/// Value of [`FORWARD_RESULT`] if this node cannot serve the call, which has not run.
pub const DECLINED: &str = "declined";

/// Outcome of a run that was resumed, in metrics.
const RESUMED: &str = "resumed";

/// `Retry-After` of a declined call; the forwarding node does not wait, it tries another node.
const DECLINED_RETRY_AFTER: TimeSpan = TimeSpan::millis(300);

/// Handles one call that another node forwards.
pub async fn answer_forwarded(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    request: WebRequest,
) -> WebResponse {
    // Counted from the beginning, so that a planned stop waits for the call.
    let _guard = context.track_request();
    if let Some(reason) = find_obstacle(context, required_plan(&request)) {
        discard_rest(request.into_body());
        return decline(context, reason);
    }
    let Some(request) = restore_request(request) else {
        return text_reply(StatusCode::BAD_REQUEST, "not a forwarded call");
    };
    let response = answer_call(context, router, request, CallSource::Node).await;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // This status is used only for calls that have not run. Another node may take the call
        // if this one can't, while a refusal for load is the caller's.
        let rejected = response.extensions().get::<Rejected>().map(|Rejected(reason)| *reason);
        let is_unreached = response.extensions().get::<Unreached>().is_some();
        let obstacle = find_obstacle(context, None)
            .or(rejected)
            .or(is_unreached.then_some("runners_unreached"));
        if let Some(reason) = obstacle {
            return decline(context, reason);
        }
    }
    count(context, ANSWERED, "");
    mark(response, ANSWERED)
}

/// Resumes the run of a call that another node has lost.
pub async fn answer_resumed(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    request: WebRequest,
) -> WebResponse {
    let _guard = context.track_request();
    if let Some(reason) = find_obstacle(context, required_plan(&request)) {
        discard_rest(request.into_body());
        return decline(context, reason);
    }
    let Some((offer, request)) = restore_resume(request) else {
        return text_reply(StatusCode::BAD_REQUEST, "not a run to resume");
    };
    match resume_call(context, router, request, offer).await {
        Ok(response) => {
            count(context, RESUMED, "");
            mark(response, ANSWERED)
        }
        Err(refusal) => {
            let mut response = decline(context, refusal.reason);
            if let Some(trace) = refusal.trace.and_then(|trace| trace.encode()) {
                response.headers_mut().insert(RESUME_RUN, trace);
            }
            response
        }
    }
}

/// The copy that the run is resumed from, and the request as it arrived at the forwarding node.
fn restore_resume(request: WebRequest) -> Option<(ResumeOffer, WebRequest)> {
    let read = |name: HeaderName| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (runner, from, after) = (read(RESUME_RUNNER)?, read(RESUME_FROM), read(RESUME_AFTER));
    let copy = match from {
        Some(from) => Some(RunHandle::decode(&from)?),
        None => None,
    };
    let last_event_id = match after {
        Some(after) => Some(after.parse().ok()?),
        None => None,
    };
    let limit = match read(RESUME_LIMIT) {
        Some(limit) => TimeSpan::millis(limit.parse::<u32>().ok()?.into()),
        None => RESUME_TIMEOUT,
    };
    let source = match read(RESUME_SOURCE) {
        Some(source) => Some(source.parse().ok()?),
        None => None,
    };
    let runner = runner.parse().ok()?;
    let offer = ResumeOffer { runner, copy, last_event_id, limit, source, once_until: None };
    Some((offer, restore_path(request, RESUME_PATH)?))
}

/// Why this node can serve no forwarded call at present; `None` if it can.
fn find_obstacle(context: &NodeContext, required: Option<PlanVersion>) -> Option<&'static str> {
    if context.stop.is_raised() {
        Some("stopping")
    } else if !context.is_ready() {
        Some("not_ready")
    } else if context.reach.borrow().is_all_lost() {
        Some("runners_unreached")
    } else if context.plan_version() < required {
        Some("older_plan")
    } else {
        None
    }
}

fn required_plan(request: &WebRequest) -> Option<PlanVersion> {
    request.headers().get(FORWARD_PLAN)?.to_str().ok()?.parse().ok()
}

/// The request as it arrived at the forwarding node.
fn restore_request(request: WebRequest) -> Option<WebRequest> {
    restore_path(request, FORWARD_PATH)
}

fn restore_path(mut request: WebRequest, prefix: &str) -> Option<WebRequest> {
    *request.uri_mut() = restored_target(prefix, request.uri())?;
    Some(request)
}

fn decline(context: &NodeContext, reason: &'static str) -> WebResponse {
    count(context, DECLINED, reason);
    let rejection = CallRejection {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(DECLINED_RETRY_AFTER),
    };
    mark(rejection.reply(), DECLINED)
}

fn mark(mut response: WebResponse, result: &'static str) -> WebResponse {
    response.headers_mut().insert(FORWARD_RESULT, HeaderValue::from_static(result));
    response
}

fn count(context: &NodeContext, outcome: &'static str, reason: &'static str) {
    context.metrics.forwarded_calls.get_or_create(&OutcomeLabels { outcome, reason }).inc();
}
