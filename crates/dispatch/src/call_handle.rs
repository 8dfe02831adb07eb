//! Handle of a call that is registered with the dispatcher.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use futures_util::StreamExt;
use route::{CallEnd, CallId, RouteEvent};

use crate::{CallDispatcher, RouteCommand};

/// Handle of a registered call. Dropping it without [`Self::end`] reports that the caller left.
pub struct CallHandle {
    dispatcher: Rc<CallDispatcher>,
    call: CallId,
    commands: mpsc::UnboundedReceiver<RouteCommand>,
    open: bool,
}

impl CallHandle {
    pub(crate) fn new(
        dispatcher: Rc<CallDispatcher>,
        call: CallId,
        commands: mpsc::UnboundedReceiver<RouteCommand>,
    ) -> Self {
        Self { dispatcher, call, commands, open: true }
    }

    /// Waits for the next command.
    pub async fn next_command(&mut self) -> RouteCommand {
        match self.commands.next().await {
            Some(command) => command,
            // The sender is removed only when this handle ends, so no task can be waiting then.
            None => std::future::pending().await,
        }
    }

    /// Reports the position of the latest token of the attempt.
    pub fn report_progress(&self, index: TokenIndex) {
        self.dispatcher.handle(RouteEvent::Progress { call: self.call, index });
    }

    /// Reports that the time until the next tokens says nothing about the runner.
    pub fn hold_progress(&self) {
        self.dispatcher.handle(RouteEvent::ProgressHeld { call: self.call });
    }

    /// Reports how the attempt ended and closes the call.
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
