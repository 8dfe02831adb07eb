//! One request of a caller, read and matched against the configuration.

use std::rc::Rc;

use base::prelude::*;
use config::CallPriority;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use platform::{AttemptId, CallHead};
use route::{CallId, RouteCall};
use serving::{PlanVersion, RouteRule};

use crate::context::BodyReservation;

/// A request that may go to a runner.
pub struct Call {
    /// Its id.
    pub attempt: AttemptId,
    /// Its route.
    pub route: Rc<RouteRule>,
    /// Version of the configuration that it was matched against.
    pub plan_version: PlanVersion,
    /// The service that serves it.
    pub service: ServiceName,
    /// Tokens in one event; none for plain services.
    pub tokens_per_event: Option<u32>,
    /// The service's engines can move running generations.
    pub supports_moves: bool,
    /// The service's engines can keep copies of generations that run elsewhere.
    pub supports_backups: bool,
    /// Whose it is; none on public routes.
    pub workspace: Option<WorkspaceId>,
    /// Its rank, 0 is the most urgent.
    pub priority: u8,
    /// What its headers say.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers as they came.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Memory that the body takes.
    pub _reservation: BodyReservation,
    /// When it arrived.
    pub arrived: TimePoint,
    /// When its caller has no more use for it, or its route's timeout is reached.
    pub deadline: TimePoint,
}

/// Workspace of requests on public routes.
const PUBLIC_WORKSPACE: &str = "public";

/// Expected output from which a copy is worth its transfer: shorter generations end
/// within the notice that a leaving runner gives.
const MIN_BACKUP_TOKENS: u32 = 64;

impl Call {
    /// Whether a second runner should keep a copy of the call's memory.
    #[must_use]
    pub fn wants_backup(&self) -> bool {
        let expected = self.head.output_hint.unwrap_or(self.head.max_output_tokens);
        self.supports_backups && expected.0 >= MIN_BACKUP_TOKENS
    }

    /// The call as the call dispatcher sees it.
    #[must_use]
    pub fn route_call(&self, tried: &[RunnerId]) -> RouteCall {
        let public = || PUBLIC_WORKSPACE.parse().unwrap_or_else(|_| unreachable!("a valid name"));
        RouteCall {
            id: CallId(0),
            service: self.service.clone(),
            model: self.head.model.clone(),
            workspace: self.workspace.clone().unwrap_or_else(public),
            priority: route_priority(self.priority),
            prompt_tokens: self.head.prompt_tokens,
            max_tokens: self.head.max_output_tokens,
            prefix_hash: 0,
            first_token_target: Some(self.arrived + self.route.target_latency),
            deadline: self.deadline,
            streamed: self.tokens_per_event.is_some(),
            movable: self.supports_moves,
            produced_tokens: TokenCount::default(),
            tried_runners: tried.to_vec(),
        }
    }
}

/// The dispatcher's priority for a rank.
fn route_priority(priority: u8) -> CallPriority {
    match priority {
        0 => CallPriority::Urgent,
        1 => CallPriority::Normal,
        _ => CallPriority::LateTolerant,
    }
}
