//! The task of one generation: it binds the relay to the router, an engine and a caller.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use base::{AttemptNumber, prelude::*};
use compio::runtime::JoinHandle;
use config::CallPriority;
use dispatch::{CallHandle, RouteCommand};
use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt, select_biased};
use kernel::StopSignal;
use relay::{EndCause, ReadNumber, RelayAction, RelayEnd, RelayEvent, StreamCursor, TokenRelay};
use route::{CallEnd, RouteCall};
use serde_json::json;

use crate::context::EntryContext;
use crate::counters::count_outcome;
use crate::delivery::CallerDelivery;
use crate::engine_reader::{ReadPlan, ReadReport, ReadStart, cancel_attempt, read_engine};
use crate::router::RouterService;

/// Reports of a reading that may wait for the task.
const REPORT_CAPACITY: usize = 64;

/// What a generation asks for.
#[derive(Debug, Clone)]
pub struct GenerationCall {
    /// The generation.
    pub generation: GenerationId,
    /// Whose call it is.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The prompt; empty for a stream that was resumed from a cursor.
    pub prompt: Arc<str>,
    /// Priority on the engine and in the queue.
    pub priority: CallPriority,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Limit of the output.
    pub max_tokens: TokenCount,
    /// Tokens go to the caller as they come.
    pub streamed: bool,
    /// Engines continue from a given prefix.
    pub continues: bool,
    /// When the caller has no more use for the answer.
    pub deadline: TimePoint,
}

impl GenerationCall {
    fn route_call(&self, produced: u32, tried: &[RunnerId]) -> RouteCall {
        RouteCall {
            id: route::CallId(0),
            service: self.service.clone(),
            model: Some(self.model.clone()),
            workspace: self.workspace.clone(),
            priority: self.priority,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            length_hint: None,
            prefix_hash: base::prompt_prefix_hash(&self.prompt),
            first_token_target: None,
            deadline: self.deadline,
            streamed: self.streamed,
            movable: self.continues,
            produced_tokens: TokenCount(produced),
            tried_runners: tried.to_vec(),
        }
    }

    fn engine_body(&self, attempt: AttemptNumber, prefix: &[Arc<str>]) -> Rc<[u8]> {
        let priority = match self.priority {
            CallPriority::Urgent => 0,
            CallPriority::Normal => 1,
            CallPriority::LateTolerant => 2,
        };
        let body = json!({
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "priority": priority,
            "generation": self.generation.to_string(),
            "attempt": attempt,
            "prefix": prefix,
        });
        Rc::from(body.to_string().into_bytes())
    }
}

/// Something that the task has to act on.
enum TaskInput {
    Report(ReadReport),
    Order(RouteCommand),
    Tick,
    CallerLeft,
}

/// The state of the task.
pub struct GenerationTask {
    context: Rc<EntryContext>,
    router: Rc<RouterService>,
    call: GenerationCall,
    relay: TokenRelay,
    handle: Option<CallHandle>,
    delivery: CallerDelivery,
    left: StopSignal,
    reports: (mpsc::Sender<ReadReport>, mpsc::Receiver<ReadReport>),
    /// Dropping the handle ends the reading.
    reading: Option<JoinHandle<()>>,
    runner: Option<RunnerId>,
    /// Runners that refused or lost earlier attempts.
    tried: Vec<RunnerId>,
    /// How the present attempt ended, as far as the router needs to know.
    attempt_end: CallEnd,
}

impl GenerationTask {
    /// A task for a new call or for a stream to resume.
    #[must_use]
    pub fn new(
        context: &Rc<EntryContext>,
        router: &Rc<RouterService>,
        call: GenerationCall,
        relay: TokenRelay,
        delivery: CallerDelivery,
        left: StopSignal,
    ) -> Self {
        Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            call,
            relay,
            handle: None,
            delivery,
            left,
            reports: mpsc::channel(REPORT_CAPACITY),
            reading: None,
            runner: None,
            tried: Vec::new(),
            attempt_end: CallEnd::Failed,
        }
    }

    /// Runs a new call to its end.
    pub async fn run(mut self) {
        let _guard = self.context.count_call();
        self.context.counters.count("call.started");
        self.handle = Some(self.router.open(self.call.route_call(0, &[])));
        self.work().await;
    }

    /// Runs a resumed stream to its end.
    pub async fn run_resumed(mut self, actions: Vec<RelayAction>) {
        let _guard = self.context.count_call();
        self.context.counters.count("stream.resumed");
        if self.act(actions).await {
            self.work().await;
        }
    }

    async fn work(&mut self) {
        loop {
            let input = self.next_input().await;
            let before = self.relay.next_index();
            let actions = self.take(input);
            if self.relay.next_index() > before
                && let Some(handle) = &self.handle
            {
                handle.report_progress(before);
            }
            if !self.act(actions).await {
                return;
            }
        }
    }

    async fn next_input(&mut self) -> TaskInput {
        let now = self.context.now();
        let sleep =
            kernel::sleep(self.relay.next_tick().since(now).min(TimeSpan::seconds(3_600)).into());
        let handle = &mut self.handle;
        let order = async {
            match handle {
                Some(handle) => handle.next_command().await,
                None => std::future::pending().await,
            }
        };
        let (mut sleep, mut order) = (pin!(sleep.fuse()), pin!(order.fuse()));
        let mut left = pin!(self.left.wait().fuse());
        select_biased! {
            () = left => TaskInput::CallerLeft,
            order = order => TaskInput::Order(order),
            report = self.reports.1.next() => match report {
                Some(report) => TaskInput::Report(report),
                // This task holds a sender itself.
                None => TaskInput::Tick,
            },
            () = sleep => TaskInput::Tick,
        }
    }

    fn take(&mut self, input: TaskInput) -> Vec<RelayAction> {
        let event = match input {
            TaskInput::Tick => RelayEvent::Tick,
            TaskInput::CallerLeft => RelayEvent::CallerLeft,
            TaskInput::Report(ReadReport::Leaving) => {
                if let Some(runner) = &self.runner {
                    self.router.note_leaving(runner);
                }
                return Vec::new();
            }
            TaskInput::Report(ReadReport::Relay(event)) => event,
            TaskInput::Order(RouteCommand::Send { runner }) => RelayEvent::Placed { runner },
            TaskInput::Order(RouteCommand::Refuse { reason, retry_after }) => {
                RelayEvent::RouteRefused { reason, retry_after: Some(retry_after) }
            }
            TaskInput::Order(RouteCommand::Withdraw) => return self.withdraw(),
        };
        self.attempt_end = match &event {
            RelayEvent::Refused { .. } | RelayEvent::RouteRefused { .. } => CallEnd::Refused,
            RelayEvent::CallerLeft => CallEnd::Cancelled,
            _ => CallEnd::Failed,
        };
        let placed = match &event {
            RelayEvent::Placed { runner } => Some(runner.clone()),
            _ => None,
        };
        let actions = self.relay.handle(self.context.now(), event);
        if let Some(runner) = placed {
            self.post(&runner);
        }
        actions
    }

    fn withdraw(&mut self) -> Vec<RelayAction> {
        let actions = self.relay.handle(self.context.now(), RelayEvent::Withdraw);
        if actions.is_empty() {
            // The relay cannot move without losing a token: it stays, and the router has
            // to forget its claim on the queue.
            if let Some(handle) = self.handle.take() {
                handle.end(CallEnd::Cancelled);
            }
        } else {
            self.context.counters.count("attempt.withdrawn");
        }
        actions
    }

    fn post(&mut self, runner: &RunnerId) {
        self.context.counters.count("attempt.started");
        let body = self.call.engine_body(self.relay.attempt(), self.relay.prefix());
        self.read(runner, self.relay.attempt(), self.relay.read_number(), ReadStart::Post(body));
    }

    fn read(
        &mut self,
        runner: &RunnerId,
        attempt: AttemptNumber,
        read: ReadNumber,
        start: ReadStart,
    ) {
        self.runner = Some(runner.clone());
        let generation = self.call.generation;
        let Some(peer) = self.address(runner) else {
            self.reading = None;
            let gone = ReadReport::Relay(RelayEvent::RunnerLost { attempt });
            // The channel has room: the reading that filled it has ended.
            let _ = self.reports.0.clone().try_send(gone);
            return;
        };
        let plan = ReadPlan { peer, generation, attempt, read, start };
        self.reading = Some(kernel::spawn(read_engine(plan, self.reports.0.clone())));
    }

    fn address(&self, runner: &RunnerId) -> Option<SocketAddr> {
        self.context.fleet.borrow().runner_address(runner)
    }

    /// Carries actions out; false once the call has ended.
    async fn act(&mut self, actions: Vec<RelayAction>) -> bool {
        for action in actions {
            match action {
                RelayAction::Deliver { index, text } => self.deliver(index, &text).await,
                RelayAction::Resume { runner, attempt, read, from } => {
                    self.read(&runner, attempt, read, ReadStart::Resume(from));
                }
                RelayAction::Retry { prefix, queued, .. } => self.restart(prefix.len(), queued),
                RelayAction::CancelAttempt { runner, attempt } => self.cancel(&runner, attempt),
                RelayAction::Finish(end) => {
                    self.finish(end).await;
                    return false;
                }
            }
        }
        true
    }

    async fn deliver(&mut self, index: TokenIndex, text: &Arc<str>) {
        let Some(runner) = &self.runner else { return };
        let cursor = StreamCursor {
            workspace: self.call.workspace.clone(),
            service: self.call.service.clone(),
            model: self.call.model.clone(),
            runner: runner.clone(),
            generation: self.call.generation,
            attempt: self.relay.attempt(),
            index,
        };
        let cursor = cursor.encode(&self.context.keys);
        let limit = self.call.deadline.since(self.context.now());
        let write = pin!(self.delivery.token(&self.context, cursor, index, text));
        let timer = pin!(kernel::sleep(limit.into()));
        // A caller that does not read until the deadline holds up nobody but itself.
        if let Either::Right(_) = select(write, timer).await {
            self.left.raise();
        }
    }

    fn restart(&mut self, produced: usize, queued: bool) {
        self.reading = None;
        if queued {
            return;
        }
        self.context.counters.count("attempt.failed");
        self.tried.extend(self.runner.take());
        if let Some(handle) = self.handle.take() {
            handle.end(self.attempt_end);
        }
        let produced = u32::try_from(produced).unwrap_or(u32::MAX);
        self.handle = Some(self.router.open(self.call.route_call(produced, &self.tried)));
    }

    fn cancel(&mut self, runner: &RunnerId, attempt: AttemptNumber) {
        self.reading = None;
        let Some(peer) = self.address(runner) else { return };
        kernel::spawn(cancel_attempt(peer, self.call.generation, attempt)).detach();
    }

    async fn finish(&mut self, end: RelayEnd) {
        self.reading = None;
        if let Some(handle) = self.handle.take() {
            handle.end(match end.cause {
                EndCause::Complete => CallEnd::Finished,
                EndCause::Refused(_) => CallEnd::Refused,
                EndCause::CallerLeft | EndCause::DeadlinePassed | EndCause::TooLarge => {
                    CallEnd::Cancelled
                }
                EndCause::RunnerLost => CallEnd::Failed,
            });
        }
        let counts = self.relay.take_counters();
        let dropped = counts.duplicates + counts.crossed + counts.gaps;
        self.context.counters.add("token.dropped", dropped);
        self.context.counters.add("token.delivered", counts.accepted);
        let reason = match end.cause {
            EndCause::Refused(reason) => Some(reason),
            _ => None,
        };
        count_outcome(&self.context.counters, end.outcome, reason);
        self.delivery.end(end).await;
    }
}
