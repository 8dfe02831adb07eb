//! Availability of the node's dependencies, with one log line per change.

use std::cell::{Cell, RefCell};
use std::fmt::Display;

/// Availability of one dependency.
pub struct DependencyState {
    name: &'static str,
    lost: Cell<bool>,
    /// Text of the last logged failure.
    last_error: RefCell<String>,
}

impl DependencyState {
    /// Creates a dependency that counts as available until a failure is recorded.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: Cell::new(false), last_error: RefCell::default() }
    }

    /// Records a successful exchange; logs it if the dependency was lost before.
    pub fn record_success(&self) {
        if self.lost.replace(false) {
            tracing::info!(event = "dependency_regained", dependency = self.name);
        }
    }

    /// Records a failed exchange; logs it if the dependency was available before or the
    /// error has changed.
    pub fn record_failure(&self, error: &impl Display) {
        let text = error.to_string();
        let changed = *self.last_error.borrow() != text;
        if !self.lost.replace(true) || changed {
            tracing::warn!(event = "dependency_lost", dependency = self.name, error = %text);
            *self.last_error.borrow_mut() = text;
        }
    }
}
