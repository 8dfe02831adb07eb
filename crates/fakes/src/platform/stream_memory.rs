//! The memory of runs, as runners copy it between each other.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use kernel::StopSignal;

/// A runner, by the first of its addresses.
pub type RunnerPlace = SocketAddr;

/// The memory behind a handle.
#[derive(Debug, Clone)]
struct KeptMemory {
    attempt: String,
    /// The runner that was asked to copy it.
    source: RunnerPlace,
    /// The runners that have it: the one that holds the copy, and a source that stopped.
    places: Vec<RunnerPlace>,
}

/// What is kept of one run.
#[derive(Debug, Clone, Default)]
struct RunMemory {
    /// Events that it made.
    events: u64,
    /// The runner that has a copy under its id.
    backup: Option<RunnerPlace>,
    /// It ended by itself.
    ended: bool,
}

/// All runs of all runners of one test; clones share it.
#[derive(Clone, Default)]
pub struct StreamMemory {
    runs: Rc<RefCell<BTreeMap<String, RunMemory>>>,
    handles: Rc<RefCell<BTreeMap<String, KeptMemory>>>,
    /// All runners; a signal is raised when the runner crashes.
    runners: Rc<RefCell<BTreeMap<RunnerPlace, StopSignal>>>,
    /// Further addresses of runners.
    links: Rc<RefCell<BTreeMap<SocketAddr, RunnerPlace>>>,
    next_handle: Rc<Cell<u64>>,
}

impl StreamMemory {
    /// A runner starts, and ends when `crashed` is raised.
    pub fn add_runner(&self, place: RunnerPlace, crashed: StopSignal) {
        self.runners.borrow_mut().insert(place, crashed);
    }

    /// Whether a runner is there that has not crashed.
    #[must_use]
    pub fn is_up(&self, place: &RunnerPlace) -> bool {
        self.runners.borrow().get(place).is_some_and(|crashed| !crashed.is_raised())
    }

    /// `address` is a link to the runner at `runner`.
    pub fn add_link(&self, address: SocketAddr, runner: RunnerPlace) {
        self.links.borrow_mut().insert(address, runner);
    }

    /// The runner at an address, or behind a link there.
    #[must_use]
    pub fn find_place(&self, address: &str) -> Option<RunnerPlace> {
        let address = address.parse().ok()?;
        Some(self.links.borrow().get(&address).copied().unwrap_or(address))
    }

    /// A run began, or goes on; `backup` is the address of the runner that gets a copy under its id.
    pub fn begin(&self, attempt: &str, backup: Option<&str>) {
        let backup = backup.and_then(|address| self.find_place(address));
        let mut runs = self.runs.borrow_mut();
        let run = runs.entry(attempt.to_owned()).or_default();
        run.backup = backup;
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
            run.backup = None;
        }
    }

    /// Events that a run has made; 0 if it has not begun.
    #[must_use]
    pub fn events(&self, attempt: &str) -> u64 {
        self.runs.borrow().get(attempt).map_or(0, |run| run.events)
    }

    /// Keeps the memory of a run of `source` at `places`. Gives the handle and the events made, or none if
    /// no such run goes on.
    #[must_use]
    pub fn copy(
        &self,
        attempt: &str,
        source: RunnerPlace,
        places: Vec<RunnerPlace>,
    ) -> Option<(String, u64)> {
        let events = self.runs.borrow().get(attempt).filter(|run| !run.ended)?.events;
        let handle = format!("h{}", self.next_handle.get());
        self.next_handle.set(self.next_handle.get() + 1);
        let kept = KeptMemory { attempt: attempt.to_owned(), source, places };
        self.handles.borrow_mut().insert(handle.clone(), kept);
        Some((handle, events))
    }

    /// Uses a handle, or the copy under the attempt's own id, once, at the runner `at`. It is named by `from`:
    /// the address of its source, or of the runner with the copy, and the handle.
    #[must_use]
    pub fn take(&self, from: &str, attempt: &str, at: RunnerPlace) -> bool {
        let Some((address, handle)) = from.rsplit_once('/') else { return false };
        let named = self.find_place(address);
        if handle == attempt {
            let mut runs = self.runs.borrow_mut();
            let run = runs.get_mut(attempt).filter(|run| named == Some(at) && run.backup == named);
            return run.is_some_and(|run| run.backup.take().is_some());
        }
        let mut handles = self.handles.borrow_mut();
        let is_there = handles.get(handle).is_some_and(|kept| {
            kept.attempt == attempt && named == Some(kept.source) && kept.places.contains(&at)
        });
        is_there && handles.remove(handle).is_some()
    }

    /// Frees the memory behind a handle that is not used yet at the runner `at`, or at both ends if that is
    /// its source; whether there was any.
    #[must_use]
    pub fn free(&self, handle: &str, at: RunnerPlace) -> bool {
        let mut handles = self.handles.borrow_mut();
        let Some(kept) = handles.get_mut(handle) else { return false };
        if kept.source == at {
            return handles.remove(handle).is_some();
        }
        let count = kept.places.len();
        kept.places.retain(|place| *place != at);
        let is_freed = kept.places.len() < count;
        if kept.places.is_empty() {
            handles.remove(handle);
        }
        is_freed
    }
}
