//! The signal to stop gracefully.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

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
    next_waiter: Cell<u64>,
    wakers: RefCell<BTreeMap<u64, Waker>>,
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
        for waker in self.state.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Whether it is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.state.raised.get()
    }

    /// Tasks that wait for it now.
    #[must_use]
    pub fn waiter_count(&self) -> usize {
        self.state.wakers.borrow().len()
    }

    /// Waits until it is raised.
    #[must_use]
    pub fn wait(&self) -> StopWait {
        let waiter = self.state.next_waiter.get();
        self.state.next_waiter.set(waiter + 1);
        StopWait { signal: self.clone(), waiter }
    }
}

/// Waits for a [`StopSignal`]; dropped, it leaves nothing behind.
pub struct StopWait {
    signal: StopSignal,
    waiter: u64,
}

impl Future for StopWait {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.signal.is_raised() {
            return Poll::Ready(());
        }
        let mut wakers = self.signal.state.wakers.borrow_mut();
        wakers.insert(self.waiter, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for StopWait {
    fn drop(&mut self) {
        self.signal.state.wakers.borrow_mut().remove(&self.waiter);
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
