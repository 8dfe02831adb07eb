//! Feeds events to the routing state and delivers its decisions to the tasks of the calls.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use futures_channel::mpsc;
use kernel::MonotonicClock;
use route::{CallEnd, CallId, RouteAction, RouteCall, RouteEvent, RouteScheduler, RouteSettings};

use crate::CallHandle;

/// What the task of a call has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteCommand {
    /// Send the request to this runner.
    Send {
        /// Target runner.
        runner: RunnerId,
    },
    /// Refuse the call: report to the caller that it was not run.
    Refuse {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: TimeSpan,
    },
    /// Cancel the attempt on its runner and wait for the next command.
    Withdraw,
}

type SendHook = Box<dyn Fn(CallId, &RunnerId)>;

/// Routing state of one process, with a command channel to the task of each open call.
pub struct CallDispatcher {
    clock: MonotonicClock,
    state: RefCell<RouteScheduler>,
    /// Senders of the command channels of all open calls.
    commands: RefCell<BTreeMap<CallId, mpsc::UnboundedSender<RouteCommand>>>,
    next_call_id: Cell<u64>,
    on_send: SendHook,
    this: Weak<Self>,
}

impl CallDispatcher {
    /// Creates a dispatcher without calls. `on_send` is invoked whenever a call is assigned to a
    /// runner, before the task of the call receives the command.
    #[must_use]
    pub fn new(
        settings: RouteSettings,
        clock: MonotonicClock,
        on_send: impl Fn(CallId, &RunnerId) + 'static,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            clock,
            state: RefCell::new(RouteScheduler::new(settings)),
            commands: RefCell::default(),
            next_call_id: Cell::new(1),
            on_send: Box::new(on_send),
            this: this.clone(),
        })
    }

    /// Returns a new call id, unique within this dispatcher.
    pub fn next_call_id(&self) -> CallId {
        let id = CallId(self.next_call_id.get());
        self.next_call_id.set(id.0 + 1);
        id
    }

    /// Registers a call, whose id must be from [`Self::next_call_id`], and requests a runner
    /// for it.
    ///
    /// # Panics
    /// Never: the dispatcher lives as long as the process.
    pub fn open(&self, call: RouteCall) -> CallHandle {
        let id = call.id;
        let (sender, commands) = mpsc::unbounded();
        self.commands.borrow_mut().insert(id, sender);
        self.handle(RouteEvent::Arrive(call));
        let dispatcher = self.this.upgrade().expect("the dispatcher outlives its calls");
        CallHandle::new(dispatcher, id, commands)
    }

    /// Applies an event and delivers the resulting commands.
    pub fn handle(&self, event: RouteEvent) {
        self.handle_all([event]);
    }

    /// Applies events that describe one state together, then delivers the resulting commands.
    pub fn handle_all(&self, events: impl IntoIterator<Item = RouteEvent>) {
        let actions = self.state.borrow_mut().handle_all(self.clock.now(), events);
        for action in actions {
            self.deliver(action);
        }
    }

    fn deliver(&self, action: RouteAction) {
        let (call, command) = match action {
            RouteAction::Send { call, runner, .. } => {
                (self.on_send)(call, &runner);
                (call, RouteCommand::Send { runner })
            }
            RouteAction::Refuse { call, reason, retry_after } => {
                (call, RouteCommand::Refuse { reason, retry_after })
            }
            RouteAction::Withdraw { call, .. } => (call, RouteCommand::Withdraw),
        };
        if let Some(sender) = self.commands.borrow().get(&call) {
            // Cannot fail: dropping the handle, which owns the receiver, also removes the sender.
            let _ = sender.unbounded_send(command);
        }
    }

    /// Number of calls that are queued or on a runner.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.commands.borrow().len()
    }

    /// The routing state, for reading.
    #[must_use]
    pub fn state(&self) -> Ref<'_, RouteScheduler> {
        self.state.borrow()
    }

    /// The routing state, for operations that produce no commands.
    #[must_use]
    pub fn state_mut(&self) -> RefMut<'_, RouteScheduler> {
        self.state.borrow_mut()
    }

    /// Removes a call and reports how its attempt ended.
    pub(crate) fn close(&self, call: CallId, end: CallEnd) {
        self.commands.borrow_mut().remove(&call);
        self.handle(RouteEvent::Ended { call, end });
    }
}
