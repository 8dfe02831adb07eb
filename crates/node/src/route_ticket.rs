//! Handle of a call that is queued for a runner or assigned to one.

use std::rc::Rc;

use base::prelude::*;
use dispatch::{CallHandle, RouteCommand};
use kernel::StopSignal;
use route::{CallEnd, CallId, RunnerSummary};

use crate::router::RouterService;

/// Removes the call from the router's table when dropped.
struct CallGuard {
    router: Rc<RouterService>,
    id: CallId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.router.calls.borrow_mut().remove(&self.id);
    }
}

/// Handle of a call in the call dispatcher and in the router's table.
pub struct RouteTicket {
    /// `None` once the end of the attempt was reported.
    handle: Option<CallHandle>,
    guard: CallGuard,
    leaving: StopSignal,
}

impl RouteTicket {
    /// The handle of a call that `router` has registered under `id`.
    pub(crate) fn new(
        router: Rc<RouterService>,
        id: CallId,
        handle: CallHandle,
        leaving: StopSignal,
    ) -> Self {
        Self { handle: Some(handle), guard: CallGuard { router, id }, leaving }
    }

    /// Waits for the next command of the dispatcher.
    pub async fn next_command(&mut self) -> RouteCommand {
        match &mut self.handle {
            Some(handle) => handle.next_command().await,
            None => std::future::pending().await,
        }
    }

    /// The dispatcher's view of a runner's load, for the log.
    #[must_use]
    pub fn runner_summary(&self, runner: &RunnerId) -> Option<RunnerSummary> {
        self.guard.router.dispatcher.state().runner_summary(runner)
    }

    /// Records that `produced` tokens have been generated in total.
    pub fn record_progress(&self, prompt: TokenCount, produced: u32) {
        let router = &self.guard.router;
        if let Some(call) = router.calls.borrow_mut().get_mut(&self.guard.id) {
            if !call.started {
                call.started = true;
                router.request_heartbeat();
            }
            call.tokens = prompt.0.saturating_add(produced);
        }
        if let Some(handle) = &self.handle {
            handle.report_progress(TokenIndex(produced.saturating_sub(1)));
        }
    }

    /// Records that the time until the next tokens says nothing about the runner.
    pub fn hold_progress(&self) {
        if let Some(handle) = &self.handle {
            handle.hold_progress();
        }
    }

    /// Signal that is raised when the call's runner announces that it leaves.
    #[must_use]
    pub fn leaving(&self) -> StopSignal {
        self.leaving.clone()
    }

    /// The runner that the call is assigned to; during a move, the one that it moves to.
    #[must_use]
    pub fn assigned_runner(&self) -> Option<RunnerId> {
        self.guard.router.calls.borrow().get(&self.guard.id)?.runner.clone()
    }

    /// Assigns the call to another runner; `None` if no other is available.
    pub fn relocate(&mut self) -> Option<RunnerId> {
        let now = self.guard.router.context.now();
        let runner = self.guard.router.dispatcher.state_mut().relocate(now, self.guard.id)?;
        self.set_runner(runner.clone());
        self.guard.router.request_heartbeat();
        Some(runner)
    }

    /// Assigns the call to the runner that keeps a copy of its memory.
    pub fn relocate_to(&mut self, runner: &RunnerId) {
        let now = self.guard.router.context.now();
        self.guard.router.dispatcher.state_mut().relocate_to(now, self.guard.id, runner);
        self.set_runner(runner.clone());
    }

    fn set_runner(&mut self, runner: RunnerId) {
        self.leaving = StopSignal::new();
        if let Some(call) = self.guard.router.calls.borrow_mut().get_mut(&self.guard.id) {
            call.runner = Some(runner);
            call.backup = None;
            call.leaving = self.leaving.clone();
        }
    }

    /// Chooses a runner to keep a copy of the call's memory and counts the copy in its load.
    pub fn choose_backup(&self) -> Option<RunnerId> {
        let now = self.guard.router.context.now();
        let backup = self.guard.router.dispatcher.state().choose_backup(now, self.guard.id);
        if let Some(call) = self.guard.router.calls.borrow_mut().get_mut(&self.guard.id) {
            call.backup.clone_from(&backup);
        }
        backup
    }

    /// Reports to the dispatcher how the attempt ended.
    pub fn finish(mut self, end: CallEnd) {
        self.end(end);
    }

    /// Like [`Self::finish`]; the call takes no place at its runner from then on.
    pub fn end(&mut self, end: CallEnd) {
        if let Some(handle) = self.handle.take() {
            handle.end(end);
            self.guard.router.calls.borrow_mut().remove(&self.guard.id);
        }
    }
}
