//! Copying a stream's memory to another runner, while the run continues or after an order has stopped it.
//!
//! Load pattern: all runs of a runner leave it together and share its link. Most of the memory is copied
//! while the run continues, so that little is left for the time in which it stands still.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use base::prelude::*;
use platform::{AttemptId, KvCopy, StoppedRun};

use crate::context::NodeContext;
use crate::run_copies::{copy_between_runners, free_copy, stop_at_runner};

/// Timeout for copying the memory of a run; runs that leave together share the link.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
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
    fn new(context: Rc<NodeContext>, source: SocketAddr, run: StoppedRun) -> Self {
        let StoppedRun { handle, events, is_copied } = run;
        let guard = CopyGuard { context, source, handle: Some(handle.clone()) };
        Self { handle, events, is_copied, guard }
    }

    /// Keeps the copy for the run that has resumed from it.
    pub fn keep(mut self) {
        self.guard.handle = None;
    }
}

/// A copy in progress. Dropped before its end, it completes in a task of its own, which frees the
/// copy: its handle is known only then.
pub struct CopyTask {
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
        Self::new(async move {
            let begun = context.now();
            let limit = COPY_LIMIT;
            let copy = copy_between_runners(&context, &attempt, source, target, limit).await?;
            log_copy("run_copied", &context, &attempt, begun, copy.events);
            let KvCopy { handle, events } = copy;
            Ok(RunCopy::new(context, source, StoppedRun { handle, events, is_copied: true }))
        })
    }

    /// Orders `source` to stop the run of `attempt`, and then to copy its memory to `target`. Gives an
    /// error if the source has not stopped it, or if that is not known.
    #[must_use]
    pub fn stop(
        context: Rc<NodeContext>,
        attempt: AttemptId,
        source: SocketAddr,
        target: SocketAddr,
    ) -> Self {
        Self::new(async move {
            let begun = context.now();
            let run = stop_at_runner(&context, &attempt, source, target, COPY_LIMIT).await?;
            log_copy("run_stopped", &context, &attempt, begun, run.events);
            Ok(RunCopy::new(context, source, run))
        })
    }

    fn new(future: impl Future<Output = platform::Result<RunCopy>> + 'static) -> Self {
        Self { future: Some(Box::pin(future)), has_begun: false }
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
            kernel::spawn_rest(async move { drop(future.await) });
        }
    }
}

fn log_copy(
    event: &'static str,
    context: &NodeContext,
    attempt: &AttemptId,
    begun: TimePoint,
    events: Option<u64>,
) {
    let copy_ms = context.now().since(begun).as_millis();
    tracing::info!(event, request = %attempt, copy_ms, events);
}

/// Frees an unused copy at both runners when dropped; otherwise it would occupy memory for
/// seconds.
struct CopyGuard {
    context: Rc<NodeContext>,
    source: SocketAddr,
    handle: Option<Arc<str>>,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let (context, source) = (Rc::clone(&self.context), self.source);
        kernel::spawn_rest(async move {
            if let Err(error) = free_copy(&context, source, &handle, FREE_LIMIT).await {
                tracing::info!(event = "copy_not_freed", %source, %error);
            }
        });
    }
}
