//! Wakes all who wait for a change of the fleet's state.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts changes; tasks wait for the next one.
#[derive(Default)]
pub struct ChangeBell {
    rings: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeBell {
    /// Wakes all waiting tasks.
    pub fn ring(&self) {
        self.rings.set(self.rings.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// How often it has rung.
    #[must_use]
    pub fn rings(&self) -> u64 {
        self.rings.get()
    }

    /// Waits until it has rung more than `seen` times.
    pub async fn wait(&self, seen: u64) {
        poll_fn(|cx| {
            if self.rings.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
