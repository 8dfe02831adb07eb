//! The memory of runs, as runners copy it between each other.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is kept of one run.
#[derive(Debug, Clone, Default)]
struct RunMemory {
    /// Events that it made.
    events: u64,
    /// It has a copy on another runner.
    backed_up: bool,
    /// It ended by itself.
    ended: bool,
}

/// All runs of all runners of one test; clones share it.
#[derive(Debug, Clone, Default)]
pub struct StreamMemory {
    runs: Rc<RefCell<BTreeMap<String, RunMemory>>>,
    handles: Rc<RefCell<BTreeMap<String, String>>>,
    next_handle: Rc<Cell<u64>>,
}

impl StreamMemory {
    /// A run began, or goes on.
    pub fn begin(&self, attempt: &str, backed_up: bool) {
        let mut runs = self.runs.borrow_mut();
        let run = runs.entry(attempt.to_owned()).or_default();
        run.backed_up = backed_up;
    }

    /// A run made an event.
    pub fn note_event(&self, attempt: &str) {
        if let Some(run) = self.runs.borrow_mut().get_mut(attempt) {
            run.events += 1;
        }
    }

    /// A run ended by itself; the copy under its id is gone with it.
    pub fn end(&self, attempt: &str) {
        if let Some(run) = self.runs.borrow_mut().get_mut(attempt) {
            run.ended = true;
            run.backed_up = false;
        }
    }

    /// Events that a run has made; 0 if it has not begun.
    #[must_use]
    pub fn events(&self, attempt: &str) -> u64 {
        self.runs.borrow().get(attempt).map_or(0, |run| run.events)
    }

    /// Copies a run, which goes on. Gives the handle and the events made, or none if no
    /// such run goes on.
    #[must_use]
    pub fn copy(&self, attempt: &str) -> Option<(String, u64)> {
        let events = self.runs.borrow().get(attempt).filter(|run| !run.ended)?.events;
        let handle = format!("h{}", self.next_handle.get());
        self.next_handle.set(self.next_handle.get() + 1);
        self.handles.borrow_mut().insert(handle.clone(), attempt.to_owned());
        Some((handle, events))
    }

    /// Uses a handle, or the copy under the attempt's own id, once.
    #[must_use]
    pub fn take(&self, handle: &str, attempt: &str) -> bool {
        if handle == attempt {
            let mut runs = self.runs.borrow_mut();
            let run = runs.get_mut(attempt);
            return run.is_some_and(|run| std::mem::take(&mut run.backed_up));
        }
        self.handles.borrow_mut().remove(handle).as_deref() == Some(attempt)
    }

    /// Frees a copy that is not used yet; whether there was one.
    #[must_use]
    pub fn free(&self, handle: &str) -> bool {
        self.handles.borrow_mut().remove(handle).is_some()
    }
}
