//! A routing desk with the calls that wait for its orders.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use base::prelude::*;
use futures_channel::mpsc;
use kernel::MonotonicClock;
use route::{CallEnd, CallId, RouteAction, RouteCall, RouteEvent, RouteScheduler, RouteSettings};

use crate::CallHandle;

/// What a call has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteCommand {
    /// Go to this runner.
    Send {
        /// The target.
        runner: RunnerId,
    },
    /// Tell the caller that its call was not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: TimeSpan,
    },
    /// Cancel on the runner, and wait for the next order.
    Withdraw,
}

type SendHook = Box<dyn Fn(CallId, &RunnerId)>;

/// The desk of one process.
pub struct CallDispatcher {
    clock: MonotonicClock,
    desk: RefCell<RouteScheduler>,
    orders: RefCell<BTreeMap<CallId, mpsc::UnboundedSender<RouteCommand>>>,
    next_call: Cell<u64>,
    on_send: SendHook,
    this: Weak<Self>,
}

impl CallDispatcher {
    /// An empty desk; `on_send` is called with each call that gets a runner, before the
    /// call's task learns of it.
    #[must_use]
    pub fn new(
        settings: RouteSettings,
        clock: MonotonicClock,
        on_send: impl Fn(CallId, &RunnerId) + 'static,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            clock,
            desk: RefCell::new(RouteScheduler::new(settings)),
            orders: RefCell::default(),
            next_call: Cell::new(1),
            on_send: Box::new(on_send),
            this: this.clone(),
        })
    }

    /// A number for a further call.
    pub fn next_call_id(&self) -> CallId {
        let id = CallId(self.next_call.get());
        self.next_call.set(id.0 + 1);
        id
    }

    /// Asks for a runner for a call, whose number is from [`Self::next_call_id`].
    ///
    /// # Panics
    /// Never: the desk lives as long as its process.
    pub fn open(&self, call: RouteCall) -> CallHandle {
        let id = call.id;
        let (sender, orders) = mpsc::unbounded();
        self.orders.borrow_mut().insert(id, sender);
        self.handle(RouteEvent::Arrive(call));
        let dispatcher = self.this.upgrade().expect("the desk outlives its calls");
        CallHandle::new(dispatcher, id, orders)
    }

    /// Gives the desk an event and passes its actions on.
    pub fn handle(&self, event: RouteEvent) {
        self.handle_all([event]);
    }

    /// Tells the desk events that describe one state.
    pub fn handle_all(&self, events: impl IntoIterator<Item = RouteEvent>) {
        let actions = self.desk.borrow_mut().handle_all(self.clock.now(), events);
        for action in actions {
            self.pass_on(action);
        }
    }

    fn pass_on(&self, action: RouteAction) {
        let (call, order) = match action {
            RouteAction::Send { call, runner, .. } => {
                (self.on_send)(call, &runner);
                (call, RouteCommand::Send { runner })
            }
            RouteAction::Refuse { call, reason, retry_after } => {
                (call, RouteCommand::Refuse { reason, retry_after })
            }
            RouteAction::Withdraw { call, .. } => (call, RouteCommand::Withdraw),
        };
        if let Some(sender) = self.orders.borrow().get(&call) {
            // The receiver ends only with its ticket, which takes the sender away.
            let _ = sender.unbounded_send(order);
        }
    }

    /// Calls that are at the desk or at a runner.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.orders.borrow().len()
    }

    /// The desk itself, to look at.
    #[must_use]
    pub fn state(&self) -> Ref<'_, RouteScheduler> {
        self.desk.borrow()
    }

    /// The desk itself, for what gives no orders.
    #[must_use]
    pub fn state_mut(&self) -> RefMut<'_, RouteScheduler> {
        self.desk.borrow_mut()
    }

    pub(crate) fn close(&self, call: CallId, end: CallEnd) {
        self.orders.borrow_mut().remove(&call);
        self.handle(RouteEvent::Ended { call, end });
    }
}
