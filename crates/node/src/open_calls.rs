//! The plain calls that are under way, from which a stopping node sees that calls have become slower.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use serving::RouteRule;

use crate::call::Call;

/// The plain calls under way.
#[derive(Default)]
pub struct OpenCalls {
    calls: RefCell<BTreeMap<u64, Rc<Call>>>,
    next_key: Cell<u64>,
}

impl OpenCalls {
    /// Counts a call as under way until the returned guard is dropped.
    pub fn open(&self, call: &Rc<Call>) -> OpenCall<'_> {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        self.calls.borrow_mut().insert(key, Rc::clone(call));
        OpenCall { calls: self, key }
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

/// A call under way; it has ended when this is dropped.
pub struct OpenCall<'a> {
    calls: &'a OpenCalls,
    key: u64,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.calls.calls.borrow_mut().remove(&self.key);
    }
}
