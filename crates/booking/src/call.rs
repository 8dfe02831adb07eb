//! Bookings as they arrive, and their keys.

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
    /// One request that waits for a reply at this process; chosen by the binding, which
    /// never uses a number twice.
    TicketId
}
counter_id! {
    /// One permission to send; numbers of one desk are never used twice.
    SendNumber
}

/// Identity of a booking.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BookingKey {
    /// Incarnation that the tag names.
    pub home: VmIncarnation,
    /// Whose booking it is.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceName,
    /// The caller's key.
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
    /// Whose call it is, by its caller key (or by the forwarding entry).
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// What it says about its home.
    pub tag: TagClaim,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path within the service, with its query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Vec<u8>,
    /// When the caller has no more use for the answer, on this process's clock.
    pub deadline: TimePoint,
    /// Status by which the target says that it did not run the call; 0: none.
    pub not_run_status: u16,
    /// It came from another entry and not from the caller.
    pub forwarded: bool,
}

impl BookingCall {
    /// Hash of what is asked for: a key must not be used for another request.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [self.method.as_bytes(), self.path.as_bytes(), &self.body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }

    /// Identity of the booking at `home`.
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
