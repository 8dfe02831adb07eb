//! State of a call that an entry has accepted.

use base::prelude::*;

use crate::{MemoryForecast, RouteCall};

/// A call from its arrival to its end.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The request; `produced_tokens` advances as tokens arrive.
    pub call: RouteCall,
    /// Index of its runner in the scheduler's runner list; none while the call waits.
    pub slot: Option<usize>,
    /// Number of its next attempt.
    pub attempt: u32,
    /// When it arrived.
    pub arrived_at: TimePoint,
    /// When it was last sent to a runner.
    pub sent_at: TimePoint,
    /// Prompt tokens that waited for prefill at its runner when it was sent, with its own.
    pub prefill_tokens: u64,
    /// Calls at its runner when it was sent, its own not included.
    pub calls_at_send: u32,
    /// When its runner last produced tokens; none before, and after a change of runners.
    pub progress_at: Option<TimePoint>,
    /// Its contribution to the memory forecast of its runner.
    pub forecast: MemoryForecast,
}

impl CallRecord {
    /// Creates the record of a call that arrived at `now`.
    #[must_use]
    pub fn new(now: TimePoint, call: RouteCall) -> Self {
        Self {
            call,
            slot: None,
            attempt: 0,
            arrived_at: now,
            sent_at: now,
            prefill_tokens: 0,
            calls_at_send: 0,
            progress_at: None,
            forecast: MemoryForecast::default(),
        }
    }

    /// Number of prompt and output tokens so far.
    #[must_use]
    pub fn context_tokens(&self) -> u32 {
        self.call.prompt_tokens.0 + self.call.produced_tokens.0
    }
}
