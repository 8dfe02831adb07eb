//! The signal to stop gracefully.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

use futures_util::future::{Either, select};

use crate::{KernelError, Result};

/// Number of SIGTERM.
const SIGTERM: i32 = 15;
/// Number of SIGINT.
const SIGINT: i32 = 2;

/// A flag that is raised once, and that many tasks can await; clones share it.
#[derive(Clone, Default)]
pub struct StopSignal {
    state: Rc<StopState>,
}

#[derive(Default)]
struct StopState {
    raised: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl StopSignal {
    /// A signal not yet raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal and wakes all who wait for it.
    pub fn raise(&self) {
        self.state.raised.set(true);
        for waker in self.state.wakers.take() {
            waker.wake();
        }
    }

    /// Whether it is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.state.raised.get()
    }

    /// Waits until it is raised.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.is_raised() {
                return Poll::Ready(());
            }
            let mut wakers = self.state.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// [`KernelError::Signal`].
pub async fn wait_for_signals() -> Result<()> {
    let terminate = Box::pin(compio::signal::unix::signal(SIGTERM));
    let interrupt = Box::pin(compio::signal::unix::signal(SIGINT));
    let outcome = match select(terminate, interrupt).await {
        Either::Left((outcome, _)) | Either::Right((outcome, _)) => outcome,
    };
    outcome.map_err(KernelError::Signal)
}
