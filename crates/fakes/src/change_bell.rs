//! Waking every task that waits for a change of a stand-in's state.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Counts changes and wakes those who wait for the next one; clones share it.
#[derive(Clone, Default)]
pub struct ChangeBell {
    state: Rc<BellState>,
}

#[derive(Default)]
struct BellState {
    rung: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeBell {
    /// How often it was rung.
    #[must_use]
    pub fn rung(&self) -> u64 {
        self.state.rung.get()
    }

    /// Counts a change and wakes all who wait.
    pub fn ring(&self) {
        self.state.rung.set(self.rung() + 1);
        for waker in self.state.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until it has been rung more than `seen` times.
    pub async fn wait_past(&self, seen: u64) {
        poll_fn(|cx| {
            if self.rung() > seen {
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
