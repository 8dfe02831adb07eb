//! Table entry of one booking.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{SendNumber, StoredAnswer, TicketId};

/// State of a booking. A booking that was not sent has no entry: it is inserted as sent
/// before its first byte is written, and removed if no byte was written.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BookingState {
    /// The only send is in progress.
    Sent,
    /// The only send ended without an answer.
    Unknown,
    /// The target answered.
    Answered(StoredAnswer),
}

impl BookingState {
    /// Size of the stored answer in bytes; 0 if there is none.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer.size(),
            Self::Sent | Self::Unknown => 0,
        }
    }
}

/// A booking in the table of its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookingEntry {
    /// Hash of the request, from [`crate::BookingCall::fingerprint`].
    pub fingerprint: u64,
    /// State of the booking.
    pub state: BookingState,
    /// Number of its only send.
    pub send: SendNumber,
    /// Status with which the target reports that it did not run the call; 0 if there is none.
    pub not_run_status: u16,
    /// Requests that wait for the result of the send.
    pub waiters: Vec<TicketId>,
    /// Earliest time at which the entry may be evicted.
    pub retain_until: TimePoint,
}
