//! A caller's request after it was read and matched against the configuration.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::prelude::*;
use config::CallPriority;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Uri};
use life::StopOrders;
use platform::{AttemptId, CallHead};
use route::{CallId, RouteCall};
use serving::{CallInput, ForwardState, PlanVersion, RouteRule};

use crate::memory_pool::MemoryReservation;

/// A request that can be sent to a runner.
pub struct Call {
    /// Id under which runners recognise repeated sends of the request.
    pub attempt: AttemptId,
    /// What the caller's repeats of the request have in common.
    pub fingerprint: RequestFingerprint,
    /// The matched route.
    pub route: Rc<RouteRule>,
    /// Version of the configuration that the request was matched against.
    pub plan_version: PlanVersion,
    /// The service chosen from the route's targets.
    pub service: ServiceName,
    /// Tokens in one stream event; `None` for plain services.
    pub tokens_per_event: Option<u32>,
    /// Whether the service's engines can move running generations.
    pub supports_moves: bool,
    /// Whether the service's engines can keep copies of generations that run elsewhere.
    pub supports_backups: bool,
    /// Workspace of the caller's key; `None` on public routes or without configured keys.
    pub workspace: Option<WorkspaceId>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// What of the call may crash runners; the most specific input is the last one.
    pub inputs: Vec<CallInput>,
    /// Decoded platform headers.
    pub head: CallHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received, with the host, and without those that only nodes send.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The node that has its caller; `None` if that is this one, or one of a build that does not say so.
    pub owner: Option<VmId>,
    /// Whether the call may be forwarded to another node.
    pub forwards: RefCell<ForwardState>,
    /// Memory reserved for the body.
    pub _reservation: MemoryReservation,
    /// When the request arrived.
    pub arrived: TimePoint,
    /// Where its run goes on, if it is a stream.
    pub run_place: RefCell<RunPlace>,
    /// Orders to stop its runs that may have been followed, if it is a stream.
    pub stop_orders: Rc<RefCell<StopOrders>>,
    /// Runners that were sent its run and have not answered, if it is a stream.
    pub asked_runners: RefCell<Vec<RunnerId>>,
    /// Runners at which sends are under way, if it is a plain call.
    pub open_sends: RefCell<Vec<RunnerId>>,
    /// When the request was last sent to a runner; `None` until it is.
    pub sent_at: Cell<Option<TimePoint>>,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: TimePoint,
}

/// Where the run of a stream goes on, as far as this node knows.
#[derive(Debug, Default)]
pub enum RunPlace {
    /// No stream of the call is relayed.
    #[default]
    Nowhere,
    /// At a runner that this node reads.
    Runner(RunnerId),
    /// At a runner that another node reads; `None` if it is not known which.
    OtherNode(Option<VmId>),
}

impl RunPlace {
    /// Whether the run may go on at `runner`.
    #[must_use]
    pub fn may_be_at(&self, runner: &RunnerId) -> bool {
        match self {
            Self::Nowhere => false,
            Self::Runner(current) => current == runner,
            Self::OtherNode(_) => true,
        }
    }
}

/// Workspace name that the call dispatcher uses for requests without a workspace.
const PUBLIC_WORKSPACE: &str = "public";

/// Minimum expected output, in tokens, for a backup copy. Shorter generations finish within
/// the notice period of a leaving runner, so a copy is not worth its transfer.
const MIN_BACKUP_TOKENS: u32 = 64;

impl Call {
    /// Whether a second runner is to keep a copy of the call's memory.
    #[must_use]
    pub fn wants_backup(&self) -> bool {
        let expected = self.head.output_hint.unwrap_or(self.head.max_output_tokens);
        self.supports_backups && expected.0 >= MIN_BACKUP_TOKENS
    }

    /// Input of the call dispatcher for this call; runners outside `tried` are preferred.
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
            length_hint: self.head.output_hint,
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

/// Maps a numeric priority to the call dispatcher's priority class.
fn route_priority(priority: u8) -> CallPriority {
    match priority {
        0 => CallPriority::Urgent,
        1 => CallPriority::Normal,
        _ => CallPriority::LateTolerant,
    }
}
