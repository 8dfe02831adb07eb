//! The callers' interface: paths, and what is common to all calls.

use std::rc::Rc;

use base::prelude::*;
use booking::{BookingCall, BookingReply, TagClaim};
use config::ConfigPlan;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use serde_json::json;
use web::{WebError, WebRequest, WebResponse, json_reply, read_bounded};

use crate::bookings::BookingService;
use crate::callers::{authenticate, authorize, bearer};
use crate::completions::CompletionService;
use crate::context::EntryContext;
use crate::counters::count_outcome;
use crate::lookup::{LOOKUP_TIME, choose_entries};
use crate::plain::{PlainCall, TargetAnswer, answer_caller, serve_plain};
use crate::refusal::CallRefusal;
use crate::router::RouterService;

/// Header with the caller's home tag.
pub const HOME_TAG_HEADER: &str = "x-yard-home";
/// Header with the time in milliseconds after which the caller has no use for the answer.
const DEADLINE_HEADER: &str = "x-yard-deadline-ms";
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Deadline of a call that names none.
const DEFAULT_DEADLINE: TimeSpan = TimeSpan::seconds(30);
/// Latest deadline that is accepted.
pub const MAX_DEADLINE: TimeSpan = TimeSpan::seconds(3_600);
/// Latest deadline of a booking, so that its key can be remembered past it.
const MAX_BOOKING_DEADLINE: TimeSpan = TimeSpan::seconds(120);
/// Time in which a caller has to send its body.
const BODY_TIME: TimeSpan = TimeSpan::seconds(10);
/// Start of the paths of plain services.
const SERVICES_PATH: &str = "/v1/services/";

type CallResult = Result<WebResponse, CallRefusal>;

/// The services that the interface leads to.
#[derive(Clone)]
pub struct CallerApi {
    context: Rc<EntryContext>,
    router: Rc<RouterService>,
    bookings: Rc<BookingService>,
    completions: Rc<CompletionService>,
}

impl CallerApi {
    /// An interface to these services.
    #[must_use]
    pub fn new(
        context: Rc<EntryContext>,
        router: Rc<RouterService>,
        bookings: Rc<BookingService>,
        completions: Rc<CompletionService>,
    ) -> Self {
        Self { context, router, bookings, completions }
    }

    /// Serves one request.
    pub async fn serve(self, request: WebRequest) -> WebResponse {
        let _guard = self.context.count_call();
        match self.dispatch(request).await {
            Ok(response) => response,
            Err(refusal) => {
                count_outcome(&self.context.counters, refusal.outcome, Some(refusal.reason));
                refusal.reply()
            }
        }
    }

    async fn dispatch(&self, request: WebRequest) -> CallResult {
        let path = request.uri().path().to_owned();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/v1/status") => Ok(json_reply(StatusCode::OK, &self.status())),
            ("GET", "/v1/dump") => self.dump(request.headers()),
            ("GET", "/v1/addresses") => self.addresses(request.headers()),
            ("POST", "/v1/completions") => {
                let (plan, workspace) = self.caller(request.headers())?;
                check_json(request.headers())?;
                let body = self.read_body(request).await?;
                self.completions.start(&plan, &workspace, &body).await
            }
            ("GET", "/v1/completions/resume") => {
                let (_, workspace) = self.caller(request.headers())?;
                let cursor = header_text(request.headers(), "last-event-id")?;
                let cursor = cursor.ok_or_else(|| CallRefusal::bad_request("no Last-Event-ID"))?;
                self.completions.resume(&workspace, &cursor).await
            }
            _ if path.starts_with(SERVICES_PATH) => {
                let may_have_run = names_booking(request.headers());
                let answer = self.plain(request).await;
                answer.map_err(|refusal| refusal.of_booking(may_have_run))
            }
            _ => Err(CallRefusal::not_found("no such path")),
        }
    }

    fn caller(&self, headers: &HeaderMap) -> Result<(Arc<ConfigPlan>, WorkspaceId), CallRefusal> {
        let plan = self.context.fleet.borrow().plan.clone();
        let plan = plan.ok_or_else(CallRefusal::not_ready)?;
        let workspace = authenticate(&plan, headers)?;
        Ok((plan, workspace))
    }

    fn addresses(&self, headers: &HeaderMap) -> CallResult {
        let (plan, workspace) = self.caller(headers)?;
        let fleet = self.context.fleet.borrow();
        let mut entries = fleet.entries.clone();
        entries.retain(|entry| !plan.drained_vms.contains(&entry.vm));
        // A machine that is cut off alone must not bring more callers to itself, and one
        // that stops has already left the others' answers.
        if fleet.cut_off || self.context.stop.is_raised() {
            entries.retain(|entry| entry.status.incarnation != self.context.incarnation);
        }
        let caller = format!("{workspace}/{}/{}", self.context.incarnation, self.context.now());
        let chosen = choose_entries(&entries, &caller);
        if chosen.is_empty() {
            return Err(CallRefusal::not_ready());
        }
        let addresses: Vec<_> = chosen.iter().map(|entry| entry.status.address).collect();
        Ok(json_reply(
            StatusCode::OK,
            &json!({
                "addresses": addresses,
                "home_tag": self.bookings.issue_tag(&workspace),
                "expires_in_ms": LOOKUP_TIME.as_millis(),
            }),
        ))
    }

    async fn plain(&self, request: WebRequest) -> CallResult {
        let (plan, workspace) = self.caller(request.headers())?;
        let whole = request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned();
        let rest = whole.strip_prefix(SERVICES_PATH).unwrap_or_default();
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let name: ServiceName =
            name.parse().map_err(|error| CallRefusal::bad_request(format!("{error}")))?;
        let not_found = || CallRefusal::not_found("no such service or call");
        let service = plan.services.get(&name).ok_or_else(not_found)?;
        let priority = authorize(service, &workspace)?.priority;
        let path_only = path.split('?').next().unwrap_or(path);
        let rule = service.call(request.method().as_str(), path_only).ok_or_else(not_found)?;
        let limit = if rule.repeatable { MAX_DEADLINE } else { MAX_BOOKING_DEADLINE };
        let deadline = self.context.now() + read_deadline(request.headers(), limit)?;
        let key = read_key(request.headers())?;
        let tag = header_text(request.headers(), HOME_TAG_HEADER)?;
        let content_type = header_text(request.headers(), "content-type")?;
        let method = request.method().clone();
        let call = PlainCall {
            workspace,
            service: name,
            priority,
            method,
            path: Arc::from(path),
            content_type: content_type.unwrap_or_else(|| Arc::from("")),
            key,
            deadline,
            answer_until: deadline,
            body: self.read_body(request).await?,
        };
        self.context.counters.count("call.started");
        if rule.repeatable {
            let response = serve_plain(&self.context, &self.router, &call, rule).await?;
            count_outcome(&self.context.counters, CallOutcome::Done, None);
            return Ok(response);
        }
        self.book(call, tag.as_deref(), rule.not_run_status).await
    }

    async fn book(&self, call: PlainCall, tag: Option<&str>, not_run_status: u16) -> CallResult {
        let Some(key) = call.key else {
            return Err(CallRefusal::bad_request("this call needs an Idempotency-Key header"));
        };
        let booking = BookingCall {
            workspace: call.workspace.clone(),
            service: call.service,
            key,
            tag: TagClaim::verify(&self.context.keys, tag),
            method: Arc::from(call.method.as_str()),
            path: call.path,
            content_type: call.content_type,
            body: call.body.to_vec(),
            deadline: call.deadline,
            not_run_status,
            forwarded: false,
        };
        let reply = self.bookings.serve(booking).await;
        count_outcome(&self.context.counters, reply.outcome, reply.reason);
        Ok(self.booking_response(&reply))
    }

    fn booking_response(&self, reply: &BookingReply) -> WebResponse {
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if reply.outcome == CallOutcome::Done {
            return answer_caller(TargetAnswer {
                status: reply.status,
                content_type: reply.content_type.clone(),
                body: reply.body.to_vec().into(),
            });
        }
        let refusal = CallRefusal {
            status,
            outcome: reply.outcome,
            reason: reply.reason.unwrap_or(RefusalReason::AnswerLost),
            message: booking_message(reply.outcome).to_owned(),
            come_back: reply.retry_after,
        };
        let mut response = refusal.reply();
        let tag = reply.tag.as_ref().map(|tag| self.bookings.sign_tag(tag));
        if let Some(value) = tag.and_then(|tag| HeaderValue::from_str(&tag).ok()) {
            response.headers_mut().insert(HOME_TAG_HEADER, value);
        }
        response
    }

    async fn read_body(&self, request: WebRequest) -> Result<Bytes, CallRefusal> {
        let limit = usize::try_from(self.context.settings.max_body_bytes).unwrap_or(usize::MAX);
        let read = read_bounded("caller's body", request.into_body(), limit);
        match compio::time::timeout(BODY_TIME.into(), read).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(WebError::TooLong { limit, .. })) => Err(CallRefusal::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                RefusalReason::BadRequest,
                format!("the body is longer than {limit} bytes"),
            )),
            Ok(Err(error)) => Err(CallRefusal::bad_request(error.to_string())),
            Err(_) => Err(CallRefusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                RefusalReason::BadRequest,
                "the body did not arrive in time",
            )),
        }
    }

    fn status(&self) -> serde_json::Value {
        let fleet = self.context.fleet.borrow();
        let leaving = fleet.runners.values().filter(|record| fleet.is_leaving(record)).count();
        json!({
            "vm": self.context.settings.common.vm,
            "place": self.context.settings.common.place,
            "incarnation": self.context.incarnation.to_string(),
            "config_offset": fleet.config_in_force(),
            "unusable_files": fleet.plan.as_ref().map(|plan| &plan.unusable),
            "leaving": self.context.stop.is_raised(),
            "cut_off": fleet.cut_off,
            "view_age_ms": self.context.now().since(fleet.updated).as_millis(),
            "entries": fleet.entries.len(),
            "runners": fleet.runners.len(),
            "runners_leaving": leaving,
            "calls": self.context.calls(),
            "crowded": self.router.crowded(),
        })
    }

    fn dump(&self, headers: &HeaderMap) -> CallResult {
        let token = bearer(headers).ok_or_else(|| CallRefusal::unauthorized("no token"))?;
        let hash = config::hash_key(token);
        if !self.context.settings.operator_tokens.iter().any(|known| **known == *hash) {
            return Err(CallRefusal::unauthorized("not an operator token"));
        }
        Ok(json_reply(StatusCode::OK, &self.context.registry.dump()))
    }
}

fn booking_message(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::NotRun => "the booking was not run",
        _ => "the booking was sent at most once; whether it ran is not known",
    }
}

fn check_json(headers: &HeaderMap) -> Result<(), CallRefusal> {
    let content_type = header_text(headers, "content-type")?;
    if content_type.is_some_and(|text| text.to_ascii_lowercase().starts_with("application/json")) {
        return Ok(());
    }
    Err(CallRefusal::not_run(
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        RefusalReason::BadRequest,
        "the content type has to be application/json",
    ))
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<Arc<str>>, CallRefusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text =
        value.to_str().map_err(|_| CallRefusal::bad_request(format!("bad header {name}")))?;
    Ok(Some(Arc::from(text)))
}

/// Whether a request may be the retry of a booking that its home has sent.
fn names_booking(headers: &HeaderMap) -> bool {
    headers.contains_key(HOME_TAG_HEADER) && headers.contains_key(KEY_HEADER)
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, CallRefusal> {
    let Some(text) = header_text(headers, KEY_HEADER)? else { return Ok(None) };
    text.parse().map(Some).map_err(|error| CallRefusal::bad_request(format!("{error}")))
}

fn read_deadline(headers: &HeaderMap, limit: TimeSpan) -> Result<TimeSpan, CallRefusal> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else { return Ok(DEFAULT_DEADLINE) };
    let millis: u64 = text.parse().map_err(|_| {
        CallRefusal::bad_request(format!("{DEADLINE_HEADER} has to be a number of milliseconds"))
    })?;
    Ok(TimeSpan::millis(millis).min(limit))
}
