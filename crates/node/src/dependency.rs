//! Whether something that the node depends on answers; one log line for each change.

use std::cell::{Cell, RefCell};
use std::fmt::Display;

/// One dependency.
pub struct DependencyState {
    name: &'static str,
    lost: Cell<bool>,
    reason: RefCell<String>,
}

impl DependencyState {
    /// A dependency that is taken to answer.
    #[must_use]
    pub fn new(name: &'static str) -> Self {
        Self { name, lost: Cell::new(false), reason: RefCell::default() }
    }

    /// It answered.
    pub fn record_success(&self) {
        if self.lost.replace(false) {
            tracing::info!(event = "dependency_regained", dependency = self.name);
        }
    }

    /// It failed.
    pub fn record_failure(&self, error: &impl Display) {
        let text = error.to_string();
        let changed = *self.reason.borrow() != text;
        if !self.lost.replace(true) || changed {
            tracing::warn!(event = "dependency_lost", dependency = self.name, error = %text);
            *self.reason.borrow_mut() = text;
        }
    }
}
