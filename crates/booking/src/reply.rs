//! Replies to booking requests.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::HomeTag;

/// Status of a refusal after which the caller may retry.
const STATUS_UNAVAILABLE: u16 = 503;
/// Status of an unknown outcome.
const STATUS_UNKNOWN: u16 = 504;
/// Status of a booking without a home tag (RFC 6585, section 3).
const STATUS_TAG_REQUIRED: u16 = 428;
/// Status of a key that was reused for another request (IETF idempotency-key draft).
const STATUS_KEY_REUSED: u16 = 422;

/// A target's complete answer, stored for retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Size of the content type and body in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.content_type.len() + self.body.len()
    }
}

/// Reply to the caller of a booking.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BookingReply {
    /// HTTP status.
    pub status: u16,
    /// Outcome of the booking.
    pub outcome: CallOutcome,
    /// Why the booking was refused, if it was.
    pub reason: Option<RefusalReason>,
    /// Content type of the body; empty unless the outcome is done.
    pub content_type: Arc<str>,
    /// The target's body; empty unless the outcome is done.
    pub body: Arc<[u8]>,
    /// How long to wait before a retry, if a retry can help.
    pub retry_after: Option<TimeSpan>,
    /// A new tag for the next try; the adapter signs it.
    pub tag: Option<HomeTag>,
}

impl BookingReply {
    /// Replies with the target's stored answer.
    #[must_use]
    pub fn done(answer: &StoredAnswer) -> Self {
        Self {
            status: answer.status,
            outcome: CallOutcome::Done,
            reason: None,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
            retry_after: None,
            tag: None,
        }
    }

    /// Reports that the booking was not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason, retry_after: Option<TimeSpan>) -> Self {
        let status = match reason {
            RefusalReason::BadRequest => STATUS_KEY_REUSED,
            RefusalReason::HomeTagMissing => STATUS_TAG_REQUIRED,
            _ => STATUS_UNAVAILABLE,
        };
        Self { reason: Some(reason), retry_after, ..Self::empty(status, CallOutcome::NotRun) }
    }

    /// Reports that the booking was sent at most once and may or may not have run.
    #[must_use]
    pub fn unknown() -> Self {
        Self::empty(STATUS_UNKNOWN, CallOutcome::Unknown)
    }

    fn empty(status: u16, outcome: CallOutcome) -> Self {
        Self {
            status,
            outcome,
            reason: None,
            content_type: Arc::from(""),
            body: Arc::from([]),
            retry_after: None,
            tag: None,
        }
    }
}
