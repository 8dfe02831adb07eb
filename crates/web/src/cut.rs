//! Closing a connection at once, without an answer or the rest of one.

use std::future::{pending, poll_fn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

use futures_util::task::AtomicWaker;

use crate::{WebRequest, WebResponse};

/// Closes the connection of the request that it was taken from; clones share it.
///
/// It rides in the request's extensions, which ask for `Send`.
#[derive(Clone, Default)]
pub struct ConnectionCut {
    state: Arc<CutState>,
}

#[derive(Default)]
struct CutState {
    raised: AtomicBool,
    waker: AtomicWaker,
}

impl ConnectionCut {
    /// The cut of the connection that `request` came on.
    #[must_use]
    pub fn of(request: &WebRequest) -> Self {
        request.extensions().get::<Self>().cloned().unwrap_or_default()
    }

    /// Closes the connection; whatever was not yet written is lost.
    pub fn raise(&self) {
        self.state.raised.store(true, Ordering::Relaxed);
        self.state.waker.wake();
    }

    /// Closes the connection in place of an answer: the handler ends here.
    pub async fn close(&self) -> WebResponse {
        self.raise();
        pending().await
    }

    /// Waits until it is raised; one task at a time.
    pub(crate) async fn wait(&self) {
        poll_fn(|cx| {
            self.state.waker.register(cx.waker());
            if self.state.raised.load(Ordering::Relaxed) { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
}
