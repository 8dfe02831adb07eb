//! Home tags: what a caller carries to name the process that may run its bookings.

use std::net::SocketAddr;
use std::str::FromStr;

use base::{SigningKeys, join_fields, prelude::*, split_fields};
use serde::{Deserialize, Serialize};

use crate::{BookingError, Result};

/// Purpose under which tags are signed.
const PURPOSE: &str = "home";

/// First field of the text form; changes with the format.
const FORMAT: &str = "h1";

/// The right of one process to run the bookings of callers that carry this tag.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeTag {
    /// The only workspace that may use it.
    pub workspace: WorkspaceId,
    /// The home's start.
    pub incarnation: VmIncarnation,
    /// UDP address of the home for peers.
    pub peer: SocketAddr,
    /// Number of the tag at its home.
    pub serial: u64,
    /// When it ends, on the home's own clock: only the home (or its adopter, by
    /// [`crate::HomeClock`]) may judge it.
    pub expires: TimePoint,
}

impl HomeTag {
    /// The signed text, which fits into an HTTP header.
    #[must_use]
    pub fn encode(&self, keys: &SigningKeys) -> String {
        let payload = join_fields(&[
            FORMAT,
            &self.incarnation.to_string(),
            &self.peer.to_string(),
            &self.serial.to_string(),
            &self.expires.0.to_string(),
            self.workspace.as_str(),
        ]);
        keys.sign(PURPOSE, &payload)
    }

    /// Reads a signed text.
    ///
    /// # Errors
    /// [`BookingError`] if the signature or a field is wrong.
    pub fn decode(keys: &SigningKeys, text: &str) -> Result<Self> {
        let payload = keys.verify(PURPOSE, text)?;
        let [format, incarnation, peer, serial, expires, workspace] =
            split_fields(payload).ok_or(BookingError::Malformed { field: "count" })?;
        if format != FORMAT {
            return Err(BookingError::Malformed { field: "format" });
        }
        Ok(Self {
            workspace: parse("workspace", &workspace)?,
            incarnation: parse("incarnation", &incarnation)?,
            peer: parse("peer", &peer)?,
            serial: parse("serial", &serial)?,
            expires: TimePoint(parse("expires", &expires)?),
        })
    }
}

fn parse<T: FromStr>(field: &'static str, text: &str) -> Result<T> {
    text.parse().map_err(|_| BookingError::Malformed { field })
}

/// What a request says about its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TagClaim {
    /// It carries no tag.
    Missing,
    /// It carries a text that does not verify here.
    Unverified,
    /// It carries this tag, whose signature is right.
    Verified(HomeTag),
}

impl TagClaim {
    /// Reads the text that a request carries, if any.
    #[must_use]
    pub fn verify(keys: &SigningKeys, text: Option<&str>) -> Self {
        match text {
            None => Self::Missing,
            Some(text) => HomeTag::decode(keys, text).map_or(Self::Unverified, Self::Verified),
        }
    }
}
