//! A call's place at the desk.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use route::{CallEnd, CallId, RouteEvent};

use crate::{CallDispatcher, RouteCommand};

/// A call's place at the desk; dropped without an end, the caller has left.
pub struct CallHandle {
    dispatcher: Rc<CallDispatcher>,
    call: CallId,
    orders: mpsc::UnboundedReceiver<RouteCommand>,
    open: bool,
}

impl CallHandle {
    pub(crate) fn new(
        dispatcher: Rc<CallDispatcher>,
        call: CallId,
        orders: mpsc::UnboundedReceiver<RouteCommand>,
    ) -> Self {
        Self { dispatcher, call, orders, open: true }
    }

    /// Waits for what to do next.
    pub async fn next_command(&mut self) -> RouteCommand {
        match self.orders.next().await {
            Some(order) => order,
            // The sender is dropped only by `end`, after which nobody waits.
            None => std::future::pending().await,
        }
    }

    /// Tells the desk how far the attempt has come.
    pub fn report_progress(&self, index: TokenIndex) {
        self.dispatcher.handle(RouteEvent::Progress { call: self.call, index });
    }

    /// Tells the desk how the attempt ended.
    pub fn end(mut self, end: CallEnd) {
        self.open = false;
        self.dispatcher.close(self.call, end);
    }
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        if self.open {
            self.dispatcher.close(self.call, CallEnd::Cancelled);
        }
    }
}
