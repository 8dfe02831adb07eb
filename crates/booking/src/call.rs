//! Booking requests and their identifiers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::TagClaim;

macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

counter_id! {
    /// Identifies a request that waits for a reply from this process. Assigned by the
    /// adapter, which never reuses a number.
    TicketId
}
counter_id! {
    /// Identifies one permission to send; never reused by the same [`crate::BookingCoordinator`].
    SendNumber
}

/// Identity of a booking: the same key is sent to a target at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BookingKey {
    /// Incarnation named by the home tag.
    pub home: VmIncarnation,
    /// Workspace that owns the booking.
    pub workspace: WorkspaceId,
    /// Name of the service.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
}

impl fmt::Display for BookingKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}@{}", self.workspace, self.service, self.key, self.home)
    }
}

/// A request for a booking.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookingCall {
    /// Workspace of the caller, determined from its caller key or set by the forwarding entry.
    pub workspace: WorkspaceId,
    /// Name of the service.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Home tag of the request, if any.
    pub tag: TagClaim,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path within the service, including the query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time, on this process's clock, after which the caller no longer needs the answer.
    pub deadline: TimePoint,
    /// Status with which the target reports that it did not run the call; 0 if there is none.
    pub not_run_status: u16,
    /// Whether the call was forwarded by another entry.
    pub forwarded: bool,
}

impl BookingCall {
    /// Hash of method, path and body, to detect a key that is reused for another request.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [self.method.as_bytes(), self.path.as_bytes(), &self.body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }

    /// Identity of the booking if `home` is its home.
    #[must_use]
    pub fn key_at(&self, home: VmIncarnation) -> BookingKey {
        BookingKey {
            home,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
        }
    }
}
