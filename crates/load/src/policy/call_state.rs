//! State of a call on the caller's side.

use base::prelude::*;

/// What the caller's side knows of a call.
#[derive(Debug, Clone, Default)]
pub(super) struct CallState {
    pub(super) number: u64,
    pub(super) entry: usize,
    pub(super) attempt: u32,
    pub(super) runner: Option<usize>,
    pub(super) produced: u32,
    pub(super) first_token: Option<TimePoint>,
    pub(super) newest: Option<TimePoint>,
    pub(super) refused: u32,
    pub(super) turned_away: u32,
    pub(super) decided: bool,
}

impl CallState {
    /// Whether a runner turned the call away, or an entry refused it.
    pub(super) fn has_returned(&self) -> bool {
        self.refused + self.turned_away > 0
    }
}
