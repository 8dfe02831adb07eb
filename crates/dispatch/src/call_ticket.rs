//! A call's place at the desk.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use route::{CallEnd, CallId, RouteEvent};

use crate::{CallDesk, RouteOrder};

/// A call's place at the desk; dropped without an end, the caller has left.
pub struct CallTicket {
    desk: Rc<CallDesk>,
    call: CallId,
    orders: mpsc::UnboundedReceiver<RouteOrder>,
    open: bool,
}

impl CallTicket {
    pub(crate) fn new(
        desk: Rc<CallDesk>,
        call: CallId,
        orders: mpsc::UnboundedReceiver<RouteOrder>,
    ) -> Self {
        Self { desk, call, orders, open: true }
    }

    /// Waits for what to do next.
    pub async fn order(&mut self) -> RouteOrder {
        match self.orders.next().await {
            Some(order) => order,
            // The sender is dropped only by `end`, after which nobody waits.
            None => std::future::pending().await,
        }
    }

    /// Tells the desk how far the attempt has come.
    pub fn progress(&self, index: TokenIndex) {
        self.desk.tell(RouteEvent::Progress { call: self.call, index });
    }

    /// Tells the desk how the attempt ended.
    pub fn end(mut self, end: CallEnd) {
        self.open = false;
        self.desk.close(self.call, end);
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        if self.open {
            self.desk.close(self.call, CallEnd::Cancelled);
        }
    }
}
