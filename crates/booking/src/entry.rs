//! What a home knows about one booking.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{SendNumber, StoredAnswer, TicketId};

/// State of a booking. One that is not sent has no entry: a booking enters the table as
/// sent before its first byte, and leaves it if no byte was written.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BookingState {
    /// The only send is under way.
    Sent,
    /// The only send ended without an answer.
    Unknown,
    /// The target's answer.
    Answered(StoredAnswer),
}

impl BookingState {
    /// Bytes of a kept answer.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.size(),
            Self::Sent | Self::Unknown => 0,
        }
    }
}

/// A booking in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookingEntry {
    /// Hash of its request.
    pub fingerprint: u64,
    /// What is known.
    pub state: BookingState,
    /// Its only send.
    pub send: SendNumber,
    /// Status by which the target says that it did not run the call; 0: none.
    pub not_run_status: u16,
    /// Requests that wait for the answer.
    pub waiters: Vec<TicketId>,
    /// It must not be evicted before.
    pub retain_until: TimePoint,
}
