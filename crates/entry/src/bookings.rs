//! The service that binds the booking decisions to sockets.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use booking::{
    BookingAction, BookingCall, BookingCoordinator, BookingEvent, BookingFault, BookingKey,
    BookingLimits, BookingReply, HomeAddress, HomeTag, SendNumber, StoredAnswer, TagClaim,
    TicketId,
};
use config::CallPriority;
use dispatch::RouteCommand;
use futures_channel::oneshot;
use peers::{ForwardedCall, PeerReply, PeerRequest};
use route::CallEnd;
use web::SendFault;

use crate::context::EntryContext;
use crate::plain::{PlainCall, TargetAnswer, says_leaving, send_to_runner};
use crate::router::RouterService;

/// Name of the service in the kernel.
pub const BOOKINGS: &str = "bookings";
/// Pause between two ticks of the coordinator.
pub(crate) const TICK: TimeSpan = TimeSpan::millis(10);
/// How long past the caller's deadline a target's answer is still kept for retries.
const LATE_ANSWER_TIME: TimeSpan = TimeSpan::seconds(60);
/// Targets asked at most for one booking, each after the one before said "not run".
const MAX_TARGETS: u32 = 3;

/// The bookings of one entry.
pub struct BookingService {
    pub(crate) context: Rc<EntryContext>,
    router: Rc<RouterService>,
    pub(crate) coordinator: RefCell<BookingCoordinator>,
    waiters: RefCell<BTreeMap<TicketId, oneshot::Sender<BookingReply>>>,
    next_ticket: Cell<u64>,
    this: Weak<Self>,
}

impl BookingService {
    /// A service with an empty table.
    #[must_use]
    pub fn new(context: &Rc<EntryContext>, router: &Rc<RouterService>) -> Rc<Self> {
        let limits = BookingLimits {
            max_entries: context.settings.bookings_limit,
            ..BookingLimits::default()
        };
        let coordinator =
            BookingCoordinator::new(context.incarnation, context.settings.peer, limits);
        Rc::new_cyclic(|this| Self {
            context: Rc::clone(context),
            router: Rc::clone(router),
            coordinator: RefCell::new(coordinator),
            waiters: RefCell::default(),
            next_ticket: Cell::new(1),
            this: this.clone(),
        })
    }

    /// A signed tag for a lookup; none once the process is stopping.
    #[must_use]
    pub fn issue_tag(&self, workspace: &WorkspaceId) -> Option<String> {
        if self.context.stop.is_raised() {
            return None;
        }
        let tag = self.coordinator.borrow_mut().issue_tag(self.context.now(), workspace);
        Some(tag.encode(&self.context.keys))
    }

    /// The signed text of a tag.
    #[must_use]
    pub fn sign_tag(&self, tag: &HomeTag) -> String {
        tag.encode(&self.context.keys)
    }

    /// Serves a booking to its reply.
    pub async fn serve(&self, call: BookingCall) -> BookingReply {
        let ticket = TicketId(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let guard = WaiterGuard { service: self.this.clone(), ticket };
        self.tell(BookingEvent::Request { ticket, call });
        let reply = receiver.await;
        drop(guard);
        // The sender is dropped unused only when the process ends.
        reply.unwrap_or_else(|_| BookingReply::unknown())
    }

    /// Serves a booking that another entry passed on.
    pub async fn serve_forwarded(&self, call: ForwardedCall) -> BookingReply {
        let not_run_status = {
            let fleet = self.context.fleet.borrow();
            let service = fleet.service(&call.service);
            let rule = service.and_then(|service| service.call(&call.method, &call.path));
            rule.map_or(0, |rule| rule.not_run_status)
        };
        let call = BookingCall {
            workspace: call.workspace,
            service: call.service,
            key: call.key,
            tag: TagClaim::verify(&self.context.keys, Some(&call.tag)),
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            body: call.body,
            deadline: self.context.now() + call.remaining,
            not_run_status,
            forwarded: true,
        };
        self.serve(call).await
    }

    pub(crate) fn tell(&self, event: BookingEvent) {
        let actions = self.coordinator.borrow_mut().handle(self.context.now(), event);
        for action in actions {
            self.act(action);
        }
    }

    pub(crate) fn act(&self, action: BookingAction) {
        let Some(service) = self.this.upgrade() else { return };
        match action {
            BookingAction::Reply { ticket, reply } => {
                if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                    // A caller that has left needs no reply.
                    let _ = waiter.send(reply);
                }
            }
            BookingAction::Send { key, send, call } => {
                kernel::spawn(async move { service.send(key, send, call).await }).detach();
            }
            BookingAction::Forward { ticket, home, call } => {
                kernel::spawn(async move { service.forward(ticket, home, call).await }).detach();
            }
            BookingAction::SendHandover { adopter, handover } => {
                kernel::spawn(async move { service.hand_over(adopter, &handover).await }).detach();
            }
            BookingAction::AnswerHandover { .. } => (),
        }
    }

    async fn send(&self, key: BookingKey, send: SendNumber, call: BookingCall) {
        self.context.counters.count("booking.sent");
        let event = match self.send_to_target(&call).await {
            Ok(answer) => {
                let body = Arc::from(&answer.body[..]);
                let answer =
                    StoredAnswer { status: answer.status, content_type: answer.content_type, body };
                BookingEvent::Answered { key, send, answer }
            }
            Err(fault) => BookingEvent::Failed { key, send, fault },
        };
        self.tell(event);
    }

    /// Writes the booking to one target; to a further one only after a target said by its
    /// published status that it did not run it, or when no byte was written.
    async fn send_to_target(&self, call: &BookingCall) -> Result<TargetAnswer, BookingFault> {
        let plain = self.plain_call(call)?;
        let mut refused = None;
        let mut tried = Vec::new();
        for _ in 0..MAX_TARGETS {
            let mut handle = self.router.open(plain.route_call(&tried));
            let runner = match handle.next_command().await {
                RouteCommand::Send { runner } => runner,
                RouteCommand::Withdraw => continue,
                RouteCommand::Refuse { reason, retry_after } => {
                    handle.end(CallEnd::Refused);
                    return Err(BookingFault::NotSent { reason, retry_after: Some(retry_after) });
                }
            };
            match send_to_runner(&self.context, &plain, &runner).await {
                Ok(answer) if answer.status == call.not_run_status => {
                    handle.end(CallEnd::Refused);
                    if says_leaving(&answer.body) {
                        self.router.note_leaving(&runner);
                    }
                    refused = Some(answer);
                }
                Ok(answer) => {
                    handle.end(CallEnd::Finished);
                    return Ok(answer);
                }
                Err(error) => {
                    handle.end(CallEnd::Failed);
                    if error.send_fault() == SendFault::MaybeSent {
                        return Err(BookingFault::MaybeSent);
                    }
                }
            }
            tried.push(runner);
        }
        refused.ok_or(BookingFault::NotSent {
            reason: RefusalReason::NoRunner,
            retry_after: Some(TimeSpan::seconds(1)),
        })
    }

    fn plain_call(&self, call: &BookingCall) -> Result<PlainCall, BookingFault> {
        let fault = BookingFault::NotSent { reason: RefusalReason::BadRequest, retry_after: None };
        let method = call.method.parse().map_err(|_| fault)?;
        let priority = {
            let fleet = self.context.fleet.borrow();
            let rule = fleet.service(&call.service).and_then(|s| s.workspace(&call.workspace));
            rule.map_or(CallPriority::Normal, |rule| rule.priority)
        };
        Ok(PlainCall {
            workspace: call.workspace.clone(),
            service: call.service.clone(),
            priority,
            method,
            path: call.path.clone(),
            content_type: call.content_type.clone(),
            body: call.body.clone().into(),
            key: Some(call.key.clone()),
            deadline: call.deadline,
            answer_until: call.deadline + LATE_ANSWER_TIME,
        })
    }

    async fn forward(&self, ticket: TicketId, home: HomeAddress, call: BookingCall) {
        self.context.counters.count("booking.forwarded");
        let TagClaim::Verified(tag) = &call.tag else {
            return self.tell(BookingEvent::ForwardFailed { ticket });
        };
        let remaining = call.deadline.since(self.context.now());
        let request = PeerRequest::Call(ForwardedCall {
            workspace: call.workspace,
            service: call.service,
            tag: Arc::from(tag.encode(&self.context.keys)),
            key: call.key,
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            body: call.body,
            remaining,
        });
        let event = match self.context.peers.call(home.peer, request, remaining).await {
            Ok(PeerReply::Call(reply)) => BookingEvent::ForwardAnswered { ticket, reply },
            Ok(_) => BookingEvent::ForwardFailed { ticket },
            Err(error) => {
                tracing::debug!(%error, step = "forward booking", peer = %home.peer, "failed");
                BookingEvent::ForwardFailed { ticket }
            }
        };
        self.tell(event);
    }

    /// Gives the coordinator the time until the process ends.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            kernel::sleep(TICK.into()).await;
            self.send_counters();
            let due = self.coordinator.borrow().next_tick();
            if due.is_some_and(|due| due <= self.context.now()) {
                self.tell(BookingEvent::Tick);
            }
        }
    }

    fn send_counters(&self) {
        let counts = self.coordinator.borrow_mut().take_counters();
        self.context.counters.add("booking.repeated", counts.joined);
    }

    /// The coordinator's state, for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let coordinator = self.coordinator.borrow();
        serde_json::json!({
            "phase": format!("{:?}", coordinator.phase()).split_whitespace().next(),
            "entries": coordinator.entries(),
            "entries_limit": self.context.settings.bookings_limit,
            "in_flight": coordinator.in_flight(),
            "waiting": self.waiters.borrow().len(),
        })
    }
}

/// Tells the coordinator when a waiting caller leaves.
struct WaiterGuard {
    service: Weak<BookingService>,
    ticket: TicketId,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let Some(service) = self.service.upgrade() else { return };
        if service.waiters.borrow_mut().remove(&self.ticket).is_some() {
            service.tell(BookingEvent::CallerLeft { ticket: self.ticket });
        }
    }
}
