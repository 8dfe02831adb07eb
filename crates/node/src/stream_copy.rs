//! Moving a running stream's memory to another runner.
//!
//! The memory is copied while the run goes on. The other runner then reads what the run
//! made meanwhile: engines read a prompt far faster than they make tokens, and a second
//! copy would wait behind those of all runs that leave the runner.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use platform::{AttemptId, copy_kv_cache, release_kv_copy};

use crate::context::NodeContext;

/// Time for the copy of a whole run; a link is shared by the runs that leave together.
const COPY_LIMIT: TimeSpan = TimeSpan::millis(2_500);
/// Time to free a copy.
const FREE_LIMIT: TimeSpan = TimeSpan::millis(1_000);

/// A run's memory at another runner.
pub struct RunCopy {
    /// What the runner that goes on names it by.
    pub handle: Arc<str>,
    guard: CopyGuard,
}

impl RunCopy {
    /// Leaves the copy to the run that goes on from it.
    pub fn keep(mut self) {
        self.guard.handle = None;
    }
}

/// Copies the memory of the run of `attempt` from `source` to `target`, while it goes on.
///
/// # Errors
/// What the source answered, or that it did not.
pub async fn copy_run(
    context: Rc<NodeContext>,
    attempt: AttemptId,
    source: SocketAddr,
    target: SocketAddr,
) -> platform::Result<RunCopy> {
    let begun = context.now();
    let copy = copy_kv_cache(source, &attempt, target, COPY_LIMIT).await?;
    let guard = CopyGuard { source, handle: Some(copy.handle.clone()) };
    tracing::info!(
        event = "run_copied",
        request = %attempt,
        copy_ms = context.now().since(begun).as_millis(),
        events = copy.events,
    );
    Ok(RunCopy { handle: copy.handle, guard })
}

/// A copy that nobody has gone on from: dropped, it is freed at both ends, since it would
/// hold memory for seconds.
struct CopyGuard {
    source: SocketAddr,
    handle: Option<Arc<str>>,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let source = self.source;
        kernel::spawn(async move {
            if let Err(error) = release_kv_copy(source, &handle, FREE_LIMIT).await {
                tracing::info!(event = "copy_not_freed", %source, %error);
            }
        })
        .detach();
    }
}
