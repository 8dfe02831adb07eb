//! A call that an entry has taken.

use base::prelude::*;

use crate::{MemoryForecast, RouteCall};

/// A call, from its arrival to its end.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// What was asked for; `produced_tokens` grows with its tokens.
    pub call: RouteCall,
    /// Position of its runner in the scheduler's list; none while it waits.
    pub slot: Option<usize>,
    /// Number of its next attempt.
    pub attempt: u32,
    /// When it arrived.
    pub arrived_at: TimePoint,
    /// When it was sent to its runner.
    pub sent_at: TimePoint,
    /// What it adds to the forecast of its runner.
    pub forecast: MemoryForecast,
}

impl CallRecord {
    /// A call that has just arrived.
    #[must_use]
    pub fn new(now: TimePoint, call: RouteCall) -> Self {
        Self {
            call,
            slot: None,
            attempt: 0,
            arrived_at: now,
            sent_at: now,
            forecast: MemoryForecast::default(),
        }
    }

    /// Tokens of prompt and output so far.
    #[must_use]
    pub fn context_tokens(&self) -> u32 {
        self.call.prompt_tokens.0 + self.call.produced_tokens.0
    }
}
