//! Signal for a graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// A flag that is raised once and that any number of tasks can await; clones share one flag.
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
    /// Creates a signal that is not raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal and wakes all waiting tasks.
    pub fn raise(&self) {
        self.state.raised.set(true);
        for waker in self.state.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Whether the signal was raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.state.raised.get()
    }

    /// Number of tasks that are waiting for the signal.
    #[must_use]
    pub fn waiter_count(&self) -> usize {
        self.state.wakers.borrow().len()
    }

    /// Returns a future that completes when the signal is raised.
    #[must_use]
    pub fn wait(&self) -> StopWait {
        let waiter = self.state.next_waiter.get();
        self.state.next_waiter.set(waiter + 1);
        StopWait { signal: self.clone(), waiter }
    }
}

/// Future that completes when a [`StopSignal`] is raised. Dropping it removes its waker.
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
