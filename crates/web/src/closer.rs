//! Closing a connection immediately, without an answer or in the middle of one.

use std::future::{pending, poll_fn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

use futures_util::task::AtomicWaker;

use crate::{WebRequest, WebResponse};

/// Closes the connection that a request arrived on. Clones close the same connection.
///
/// It is stored in the request's extensions, which require `Send`; hence the atomics in a
/// single-threaded program.
#[derive(Clone, Default)]
pub struct ConnectionCloser {
    state: Arc<CloserState>,
}

#[derive(Default)]
struct CloserState {
    closed: AtomicBool,
    waker: AtomicWaker,
}

impl ConnectionCloser {
    /// The closer of the connection that `request` arrived on.
    ///
    /// A request that no [`WebServer`](crate::WebServer) received gets a closer without effect.
    #[must_use]
    pub fn from_request(request: &WebRequest) -> Self {
        request.extensions().get::<Self>().cloned().unwrap_or_default()
    }

    /// Closes the connection; data not yet written is lost.
    pub fn close(&self) {
        self.state.closed.store(true, Ordering::Relaxed);
        self.state.waker.wake();
    }

    /// Closes the connection instead of answering. Never returns: the handler's future is
    /// dropped with the connection.
    pub async fn close_unanswered(&self) -> WebResponse {
        self.close();
        pending().await
    }

    /// Waits until the connection is to be closed. Only one task may wait at a time, since
    /// only the last waker is kept.
    pub(crate) async fn wait(&self) {
        poll_fn(|cx| {
            self.state.waker.register(cx.waker());
            if self.state.closed.load(Ordering::Relaxed) { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
}
