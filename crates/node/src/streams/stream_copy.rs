//! Copying a stream's memory to another runner, while the run continues or after an order has stopped it.
//!
//! Load pattern: all runs of a runner leave it together and share its link. Most of the memory is copied
//! while the run continues, so that little is left for the time in which it stands still.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use base::prelude::*;
use life::{OrderOrigin, StopOrders};
use platform::{AttemptId, KvCopy, PlatformError, StoppedRun};
use serving::RunnerRecord;

use crate::call::Call;
use crate::call_log::may_log;
use crate::context::NodeContext;
use crate::ordered_runs::{OrderOutcome, OrderRecord};
use crate::run_copies::{copy_between_runners, free_copy, stop_at_runner};

/// Timeout for copying the memory of a run; runs that leave together share the link.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
/// Status of a call about a run while an earlier one is in progress.
pub(super) const IN_PROGRESS: u16 = 409;
/// Timeout for freeing a copy.
const FREE_LIMIT: TimeSpan = TimeSpan::millis(1_000);

/// A copy of a run's memory at another runner; freed when dropped, unless kept.
pub struct RunCopy {
    /// Handle under which the target runner finds the copy, and the source the memory of a stopped run.
    pub handle: Arc<str>,
    /// Events that the run had made when it was copied or stopped, if the source tells.
    pub events: Option<u64>,
    /// Whether the target has the copy; if not, only the source has the memory.
    pub is_copied: bool,
    guard: CopyGuard,
}

impl RunCopy {
    /// The copy that `run` describes, of the run at `source`.
    fn new(call: CopyCall, run: StoppedRun) -> Self {
        let StoppedRun { handle, events, is_copied } = run;
        let guard = CopyGuard { call, handle: Some(handle.clone()) };
        Self { handle, events, is_copied, guard }
    }

    /// Keeps the copy for the run that has resumed from it.
    pub fn keep(mut self) {
        self.guard.handle = None;
    }
}

/// What a runner is asked about a run, for the log.
#[derive(Clone)]
struct CopyCall {
    context: Rc<NodeContext>,
    attempt: AttemptId,
    source: SocketAddr,
    /// Whether the run is to stop.
    is_stop: bool,
    begun: TimePoint,
}

impl CopyCall {
    fn new(
        context: Rc<NodeContext>,
        attempt: AttemptId,
        source: SocketAddr,
        is_stop: bool,
    ) -> Self {
        let begun = context.now();
        Self { context, attempt, source, is_stop, begun }
    }

    /// The same call, sent now.
    fn begin(self) -> Self {
        Self { begun: self.context.now(), ..self }
    }

    /// Logs that the run has been copied or stopped.
    fn log_done(&self, events: Option<u64>) {
        let event = if self.is_stop { "run_stopped" } else { "run_copied" };
        let copy_ms = self.context.now().since(self.begun).as_millis();
        tracing::info!(event, request = %self.attempt, copy_ms, events);
    }

    /// Logs that the runner does not have the run. It does not say why: this node can if it has had the run
    /// stopped by an `earlier` order.
    fn log_failure(&self, error: &PlatformError, earlier: Option<OrderRecord>) {
        if !error.is_not_found() || !may_log(&self.context) {
            return;
        }
        let now = self.context.now();
        tracing::info!(
            event = "run_not_found",
            request = %self.attempt,
            source = %self.source,
            is_stop = self.is_stop,
            ordered_ms = earlier.map(|order| now.since(order.given_at).as_millis()),
            ordered_at = earlier.map(|order| order.source.to_string()),
            order = earlier.map(|order| order.outcome.as_str()),
        );
    }

    /// Logs `event`, which tells what became of the call or of the memory that it has left.
    fn log_rest(&self, event: &'static str) {
        if !may_log(&self.context) {
            return;
        }
        let age_ms = self.context.now().since(self.begun).as_millis();
        let (source, is_stop) = (self.source, self.is_stop);
        tracing::info!(event, request = %self.attempt, %source, is_stop, age_ms);
    }
}

/// A copy in progress. Dropped before its end, it completes in a task of its own, which frees the
/// copy: its handle is known only then.
pub struct CopyTask {
    call: CopyCall,
    future: Option<CopyFuture>,
    has_begun: bool,
}

type CopyFuture = Pin<Box<dyn Future<Output = platform::Result<RunCopy>>>>;

impl CopyTask {
    /// Copies the memory of the run of `attempt`, which continues, from `source` to `target`.
    /// Gives an error if the source refuses the copy or does not answer in time.
    #[must_use]
    pub fn copy(
        context: Rc<NodeContext>,
        attempt: AttemptId,
        source: SocketAddr,
        target: SocketAddr,
    ) -> Self {
        let call = CopyCall::new(context, attempt, source, false);
        let done = call.clone();
        Self::new(call, async move {
            let done = done.begin();
            let CopyCall { context, attempt, source, .. } = &done;
            let copied = copy_between_runners(context, attempt, *source, target, COPY_LIMIT).await;
            let earlier = context.ordered_runs.borrow().find(attempt);
            let copy = copied.inspect_err(|error| done.log_failure(error, earlier))?;
            done.log_done(copy.events);
            let KvCopy { handle, events } = copy;
            Ok(RunCopy::new(done, StoppedRun { handle, events, is_copied: true }))
        })
    }

    /// Orders `source` to stop the run of `attempt`, and then to copy its memory to `target`. Gives an
    /// error if the source has not stopped it, or if that is not known.
    #[must_use]
    pub fn stop(
        context: &Rc<NodeContext>,
        call: &Call,
        source: &RunnerRecord,
        target: SocketAddr,
    ) -> Self {
        Self::stop_within(context, call, source, target, COPY_LIMIT)
    }

    /// The same, which waits for `limit` for the answer.
    #[must_use]
    pub fn stop_within(
        context: &Rc<NodeContext>,
        call: &Call,
        source: &RunnerRecord,
        target: SocketAddr,
        limit: TimeSpan,
    ) -> Self {
        let (context, attempt) = (Rc::clone(context), call.attempt.clone());
        let (orders, runner) = (Rc::clone(&call.stop_orders), source.runner.clone());
        let call = CopyCall::new(context, attempt, source.address, true);
        let done = call.clone();
        Self::new(call, async move {
            let known_at = done.context.now() + limit;
            orders.borrow_mut().note_order(&runner, OrderOrigin::ThisNode, known_at);
            let done = done.begin();
            let CopyCall { context, attempt, source, .. } = &done;
            let earlier = context.ordered_runs.borrow_mut().begin(done.begun, attempt, *source);
            let stopped = stop_at_runner(context, attempt, *source, target, limit).await;
            let outcome =
                if stopped.is_ok() { OrderOutcome::Stopped } else { OrderOutcome::Failed };
            context.ordered_runs.borrow_mut().end(attempt, outcome);
            let now = context.now();
            note_outcome(&mut orders.borrow_mut(), &runner, stopped.as_ref().err(), now);
            let run = stopped.inspect_err(|error| done.log_failure(error, earlier))?;
            done.log_done(run.events);
            Ok(RunCopy::new(done, run))
        })
    }

    fn new(
        call: CopyCall,
        future: impl Future<Output = platform::Result<RunCopy>> + 'static,
    ) -> Self {
        Self { call, future: Some(Box::pin(future)), has_begun: false }
    }
}

/// Records what an order of this node has brought about; it may still be followed if that is not known.
fn note_outcome(
    orders: &mut StopOrders,
    runner: &RunnerId,
    error: Option<&PlatformError>,
    now: TimePoint,
) {
    let origin = &OrderOrigin::ThisNode;
    match error {
        None => orders.note_followed(runner, origin),
        Some(error) if error.is_outcome_unknown() || error.status() == Some(IN_PROGRESS) => (),
        Some(_) => orders.note_not_followed(runner, origin, now),
    }
}

impl Future for CopyTask {
    type Output = platform::Result<RunCopy>;

    fn poll(mut self: Pin<&mut Self>, waker: &mut Context<'_>) -> Poll<Self::Output> {
        self.has_begun = true;
        let Some(future) = &mut self.future else { return Poll::Pending };
        let polled = future.as_mut().poll(waker);
        if polled.is_ready() {
            self.future = None;
        }
        polled
    }
}

impl Drop for CopyTask {
    fn drop(&mut self) {
        if let Some(future) = self.future.take().filter(|_| self.has_begun) {
            self.call.log_rest("copy_dropped");
            kernel::spawn_rest(async move { drop(future.await) });
        }
    }
}

/// Frees an unused copy at both runners when dropped; otherwise it would occupy memory for
/// seconds.
struct CopyGuard {
    call: CopyCall,
    handle: Option<Arc<str>>,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        self.call.log_rest("copy_freed");
        let CopyCall { context, source, .. } = self.call.clone();
        kernel::spawn_rest(async move {
            if let Err(error) = free_copy(&context, source, &handle, FREE_LIMIT).await {
                tracing::info!(event = "copy_not_freed", %source, %error);
            }
        });
    }
}
