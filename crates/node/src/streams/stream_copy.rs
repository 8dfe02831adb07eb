//! Copying a running stream's memory to another runner.
//!
//! The memory is mostly copied while the run continues. The target runner then prefills the tokens
//! that were generated during the copy: engines prefill far faster than they generate, and a
//! second copy would queue behind those of all other runs that leave the runner.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use base::prelude::*;
use platform::{AttemptId, CopiedRun};

use crate::context::NodeContext;
use crate::runner_gate::{copy_between_runners, free_copy};

/// Timeout for copying the memory of a run; runs that leave together share the link.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
/// Timeout for freeing a copy.
const FREE_LIMIT: TimeSpan = TimeSpan::millis(1_000);

/// A copy of a run's memory at another runner; freed when dropped, unless kept.
pub struct RunCopy {
    /// Handle under which the target runner finds the copy.
    pub handle: Arc<str>,
    guard: CopyGuard,
}

impl RunCopy {
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
    /// Copies the memory of the run of `attempt` from `source` to `target`.
    /// Gives an error if the source refuses the copy or does not answer in time.
    #[must_use]
    pub fn new(
        context: Rc<NodeContext>,
        attempt: AttemptId,
        source: SocketAddr,
        target: SocketAddr,
        run: CopiedRun,
    ) -> Self {
        let future = Box::pin(copy_run(context, attempt, source, target, run));
        Self { future: Some(future), has_begun: false }
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
            kernel::spawn(async move { drop(future.await) }).detach();
        }
    }
}

async fn copy_run(
    context: Rc<NodeContext>,
    attempt: AttemptId,
    source: SocketAddr,
    target: SocketAddr,
    run: CopiedRun,
) -> platform::Result<RunCopy> {
    let begun = context.now();
    let copy = copy_between_runners(&context, &attempt, source, target, run, COPY_LIMIT).await?;
    let handle = Some(copy.handle.clone());
    let guard = CopyGuard { context: Rc::clone(&context), source, handle };
    tracing::info!(
        event = "run_copied",
        request = %attempt,
        copy_ms = context.now().since(begun).as_millis(),
        events = copy.events,
    );
    Ok(RunCopy { handle: copy.handle, guard })
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
        kernel::spawn(async move {
            if let Err(error) = free_copy(&context, source, &handle, FREE_LIMIT).await {
                tracing::info!(event = "copy_not_freed", %source, %error);
            }
        })
        .detach();
    }
}
