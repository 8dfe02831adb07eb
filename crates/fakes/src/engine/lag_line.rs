//! A line on which values arrive late.

use std::collections::VecDeque;

use base::{TimePoint, TimeSpan};

/// Values that become visible some time after they were put in, in order.
#[derive(Debug, Clone)]
pub struct LagLine<T> {
    values: VecDeque<(TimePoint, T)>,
}

impl<T> Default for LagLine<T> {
    fn default() -> Self {
        Self { values: VecDeque::new() }
    }
}

impl<T> LagLine<T> {
    /// Puts a value in, visible `lag` after `now`.
    pub fn put(&mut self, now: TimePoint, lag: TimeSpan, value: T) {
        self.values.push_back((now + lag, value));
    }

    /// The oldest value, if it is visible.
    pub fn take(&mut self, now: TimePoint) -> Option<T> {
        let visible = self.values.front().is_some_and(|(at, _)| *at <= now);
        if visible { self.values.pop_front().map(|(_, value)| value) } else { None }
    }

    /// The newest visible value; older ones are dropped.
    pub fn take_newest(&mut self, now: TimePoint) -> Option<T> {
        let mut newest = None;
        while let Some(value) = self.take(now) {
            newest = Some(value);
        }
        newest
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        self.values.clear();
    }
}
