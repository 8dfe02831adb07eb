//! The calls that are under way: from the plain ones a stopping node sees that calls have become slower, and
//! the streams are those that the end of its process cuts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use serving::RouteRule;

use crate::call::Call;

/// Calls under way, of one kind.
#[derive(Default)]
pub struct OpenCalls {
    calls: Rc<RefCell<BTreeMap<u64, Rc<Call>>>>,
    next_key: Cell<u64>,
}

impl OpenCalls {
    /// Counts a call as under way until the returned guard is dropped, or has ended it.
    pub fn open(&self, call: &Rc<Call>) -> OpenCall {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.calls.borrow_mut().insert(key, Rc::clone(call));
        OpenCall { calls: Rc::clone(&self.calls), key }
    }

    /// Takes out all calls.
    pub fn take(&self) -> Vec<Rc<Call>> {
        self.calls.take().into_values().collect()
    }

    /// Whether `is_sought` holds for any of the calls.
    pub fn any(&self, is_sought: impl Fn(&Call) -> bool) -> bool {
        self.calls.borrow().values().any(|call| is_sought(call))
    }

    /// Does something with each of the calls that `is_sought` holds for.
    pub fn each(&self, is_sought: impl Fn(&Call) -> bool, act: impl Fn(&Call)) {
        self.calls.borrow().values().filter(|call| is_sought(call)).for_each(|call| act(call));
    }

    /// Time since the earliest begin of the calls of a route, where `begin` gives that of a call; zero
    /// if there is none.
    pub fn longest(
        &self,
        now: TimePoint,
        route: &RouteRule,
        begin: impl Fn(&Call) -> Option<TimePoint>,
    ) -> TimeSpan {
        let calls = self.calls.borrow();
        let of_route = calls.values().filter(|call| call.route.name == route.name);
        let earliest = of_route.filter_map(|call| begin(call)).min();
        earliest.map_or_else(TimeSpan::default, |begin| now.since(begin))
    }
}

/// A call under way; it has ended at the latest when this is dropped.
pub struct OpenCall {
    calls: Rc<RefCell<BTreeMap<u64, Rc<Call>>>>,
    key: u64,
}

impl OpenCall {
    /// Counts the call as ended.
    pub fn end(&self) {
        self.calls.borrow_mut().remove(&self.key);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.end();
    }
}
