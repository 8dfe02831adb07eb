//! A small set of the most recently inserted values.

use std::collections::VecDeque;

/// Distinct values in the order of insertion; at its capacity it evicts the oldest.
pub(crate) struct BoundedSet<T> {
    values: VecDeque<T>,
    capacity: usize,
}

impl<T: PartialEq> BoundedSet<T> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { values: VecDeque::new(), capacity }
    }

    pub(crate) fn contains(&self, value: &T) -> bool {
        self.values.contains(value)
    }

    /// Inserts `value` as the newest; no change if it is there.
    pub(crate) fn insert(&mut self, value: T) {
        if self.contains(&value) {
            return;
        }
        if self.values.len() >= self.capacity {
            self.values.pop_front();
        }
        self.values.push_back(value);
    }

    pub(crate) fn remove(&mut self, value: &T) {
        self.values.retain(|known| known != value);
    }
}
