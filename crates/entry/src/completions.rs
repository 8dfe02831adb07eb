//! Generations: `POST /v1/completions` and the resumption of streams.

use std::rc::Rc;

use base::prelude::*;
use config::{CallPriority, ConfigPlan};
use kernel::StopSignal;
use relay::{RelayLimits, RelaySettings, StreamCursor, TokenRelay};
use serde::Deserialize;

use crate::api::MAX_DEADLINE;
use crate::callers::authorize;
use crate::context::EntryContext;
use crate::delivery::{CallerDelivery, CallerHead};
use crate::generation::{GenerationCall, GenerationTask};
use crate::refusal::CallRefusal;
use crate::router::RouterService;

/// Limit of the output of a call that names none.
const DEFAULT_MAX_TOKENS: u32 = 16_384;
/// Highest limit of the output.
const MAX_MAX_TOKENS: u32 = 131_072;
/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: usize = 4;
/// Deadline of a call that names none, and that is not late-tolerant.
const DEFAULT_DEADLINE: TimeSpan = TimeSpan::seconds(300);
/// Deadline of a resumed stream.
const RESUMED_DEADLINE: TimeSpan = TimeSpan::seconds(900);

/// The body of a call; fields of other serving systems are ignored.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: ModelName,
    prompt: Arc<str>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    priority: Option<CallPriority>,
    deadline_ms: Option<u64>,
    /// The caller's own count of its prompt, if it has one.
    prompt_tokens: Option<u32>,
}

/// Starts generations.
pub struct CompletionService {
    context: Rc<EntryContext>,
    router: Rc<RouterService>,
}

impl CompletionService {
    /// A service that routes by `router`.
    #[must_use]
    pub fn new(context: &Rc<EntryContext>, router: &Rc<RouterService>) -> Rc<Self> {
        Rc::new(Self { context: Rc::clone(context), router: Rc::clone(router) })
    }

    /// Starts a generation and waits for the head of its answer.
    ///
    /// # Errors
    /// The refusal that the answer consists of.
    pub async fn start(
        &self,
        plan: &ConfigPlan,
        workspace: &WorkspaceId,
        body: &[u8],
    ) -> CallerHead {
        let body: CompletionBody = serde_json::from_slice(body).map_err(|error| {
            CallRefusal::bad_request(format!("the body is not usable: {error}"))
        })?;
        let call = self.read_call(plan, workspace, &body)?;
        let relay = TokenRelay::new(relay_settings(&call, true));
        let left = StopSignal::new();
        let (delivery, head) = CallerDelivery::new(self.context.now(), &left);
        let task = GenerationTask::new(&self.context, &self.router, call, relay, delivery, left);
        kernel::spawn(task.run()).detach();
        head.head().await
    }

    /// Goes on with a stream after the token that the cursor names.
    ///
    /// # Errors
    /// A refusal for a cursor that is forged, malformed or another workspace's, or the
    /// stream's early end.
    pub async fn resume(&self, workspace: &WorkspaceId, cursor: &str) -> CallerHead {
        let cursor =
            StreamCursor::decode(&self.context.keys, workspace, cursor).map_err(|error| {
                CallRefusal::bad_request(format!("the cursor is not usable: {error}"))
            })?;
        let now = self.context.now();
        let call = GenerationCall {
            generation: cursor.generation,
            workspace: workspace.clone(),
            service: cursor.service.clone(),
            model: cursor.model.clone(),
            prompt: Arc::from(""),
            priority: CallPriority::Normal,
            prompt_tokens: TokenCount(0),
            max_tokens: TokenCount(0),
            streamed: true,
            continues: false,
            deadline: now + RESUMED_DEADLINE,
        };
        let settings = relay_settings(&call, false);
        let (relay, actions) = TokenRelay::from_cursor(now, settings, &cursor);
        let left = StopSignal::new();
        let (delivery, head) = CallerDelivery::new(now, &left);
        let task = GenerationTask::new(&self.context, &self.router, call, relay, delivery, left);
        kernel::spawn(task.run_resumed(actions)).detach();
        head.head().await
    }

    fn read_call(
        &self,
        plan: &ConfigPlan,
        workspace: &WorkspaceId,
        body: &CompletionBody,
    ) -> Result<GenerationCall, CallRefusal> {
        let not_found = || CallRefusal::not_found("no such model");
        let service = plan.service_of_model(&body.model).ok_or_else(not_found)?;
        let rule = authorize(service, workspace)?;
        let model = service.file.models.iter().find(|rule| rule.name == body.model);
        let model = model.ok_or_else(not_found)?;
        let priority = body.priority.unwrap_or(rule.priority);
        let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_MAX_TOKENS {
            let message = format!("max_tokens has to be from 1 to {MAX_MAX_TOKENS}");
            return Err(CallRefusal::bad_request(message));
        }
        let deadline =
            body.deadline_ms.map_or_else(|| default_deadline(priority), TimeSpan::millis);
        let prompt_tokens = body.prompt.len().div_ceil(BYTES_PER_TOKEN);
        let prompt_tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        Ok(GenerationCall {
            generation: GenerationId(rand::random()),
            workspace: workspace.clone(),
            service: service.file.service.clone(),
            model: body.model.clone(),
            prompt: Arc::clone(&body.prompt),
            priority,
            prompt_tokens: TokenCount(body.prompt_tokens.unwrap_or(prompt_tokens)),
            max_tokens: TokenCount(max_tokens),
            streamed: body.stream,
            continues: model.continues_from_prefix,
            deadline: self.context.now() + deadline.min(MAX_DEADLINE),
        })
    }
}

fn relay_settings(call: &GenerationCall, has_prompt: bool) -> RelaySettings {
    RelaySettings {
        generation: call.generation,
        streamed: call.streamed,
        continues_from_prefix: call.continues,
        has_prompt,
        deadline: call.deadline,
        detached_deadline: None,
        limits: RelayLimits::default(),
    }
}

fn default_deadline(priority: CallPriority) -> TimeSpan {
    match priority {
        CallPriority::LateTolerant => MAX_DEADLINE,
        _ => DEFAULT_DEADLINE,
    }
}
