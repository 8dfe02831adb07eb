//! Moving a running stream's memory to another runner.
//!
//! The memory is copied while the run goes on; then the run stops and what it made
//! meanwhile is copied too. Only after that does another runner go on with it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use platform::{AttemptId, MoveAnswer, drop_copy, move_run};

use crate::context::NodeContext;

/// Time for the copy of a whole run; a link is shared by the runs that leave together.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
/// Time for the copy of what was made meanwhile.
const REST_LIMIT: TimeSpan = TimeSpan::millis(1_000);

/// A move in progress.
pub struct StreamMove {
    /// The run.
    pub attempt: AttemptId,
    /// The runner that has it.
    pub source: SocketAddr,
    /// The runner that it goes to.
    pub target: SocketAddr,
    /// Until then the copies of other runs have the link.
    pub stop_at: TimePoint,
    /// Gives the time.
    pub context: Rc<NodeContext>,
    /// Set before the run is told to stop.
    pub stopping: Rc<Cell<bool>>,
}

impl StreamMove {
    /// Copies the run's memory and stops the run.
    ///
    /// # Errors
    /// What the source answered; after [`Self::stopping`] is set, the run may have stopped.
    pub async fn run(self) -> platform::Result<MoveAnswer> {
        let begun = self.context.now();
        let whole = move_run(self.source, &self.attempt, self.target, false, COPY_LIMIT).await?;
        let copy = CopyGuard { source: self.source, handle: Some(whole.handle) };
        let copied = self.context.now();
        let wait = self.stop_at.since(self.context.now());
        kernel::sleep(wait.into()).await;
        self.stopping.set(true);
        let stopping = self.context.now();
        let answer = move_run(self.source, &self.attempt, self.target, true, REST_LIMIT).await?;
        copy.keep();
        tracing::info!(
            event = "run_copied",
            request = %self.attempt,
            copy_ms = copied.since(begun).as_millis(),
            rest_ms = self.context.now().since(stopping).as_millis(),
            events = answer.events,
        );
        Ok(answer)
    }
}

/// A copy that nobody has gone on from: dropped, it is freed at both ends, since it would
/// hold memory for seconds.
struct CopyGuard {
    source: SocketAddr,
    handle: Option<Arc<str>>,
}

impl CopyGuard {
    /// Leaves the copy to the run that goes on from it.
    fn keep(mut self) {
        self.handle = None;
    }
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let source = self.source;
        kernel::spawn(async move {
            if let Err(error) = drop_copy(source, &handle, REST_LIMIT).await {
                tracing::info!(event = "copy_not_freed", %source, %error);
            }
        })
        .detach();
    }
}
