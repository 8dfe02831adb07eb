//! Notifies waiting tasks of changes of the fleet's state.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts changes; tasks wait for the next one.
#[derive(Default)]
pub struct ChangeNotifier {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl ChangeNotifier {
    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Changes so far. A task reads it before it checks the state, and passes it to
    /// [`ChangeNotifier::wait`], so that it misses no change in between.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Waits until there were more than `seen` changes.
    pub async fn wait(&self, seen: u64) {
        poll_fn(|cx| {
            if self.count.get() > seen {
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
