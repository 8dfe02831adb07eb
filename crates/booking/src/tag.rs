//! Home tags, with which callers name the process that may send their bookings.

use std::net::SocketAddr;
use std::str::FromStr;

use base::{SigningKeys, join_fields, prelude::*, split_fields};
use serde::{Deserialize, Serialize};

use crate::{BookingError, Result};

/// Signing purpose of tags; a signature for another purpose does not verify.
const PURPOSE: &str = "home";

/// Version of the text format, written as its first field.
const FORMAT: &str = "h1";

/// Names the one process that may send the bookings of callers that present this tag.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeTag {
    /// The only workspace that may use the tag.
    pub workspace: WorkspaceId,
    /// Incarnation of the home.
    pub incarnation: VmIncarnation,
    /// UDP address at which peers reach the home.
    pub peer: SocketAddr,
    /// Serial number of the tag, unique within the home's incarnation.
    pub serial: u64,
    /// Expiry time on the home's own clock. Only the home, or its adopter by means of
    /// [`crate::HomeClock`], may evaluate it.
    pub expires: TimePoint,
}

impl HomeTag {
    /// Encodes and signs the tag; the text is a valid HTTP header value.
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

    /// Verifies and decodes a signed tag.
    ///
    /// # Errors
    /// [`BookingError`] if the signature or a field is invalid.
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

/// The home tag of a request, after verification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TagClaim {
    /// The request has no tag.
    Missing,
    /// The request has a tag that does not verify.
    Unverified,
    /// The request has this tag, whose signature is valid.
    Verified(HomeTag),
}

impl TagClaim {
    /// Verifies the tag text of a request, if it has one.
    #[must_use]
    pub fn verify(keys: &SigningKeys, text: Option<&str>) -> Self {
        match text {
            None => Self::Missing,
            Some(text) => HomeTag::decode(keys, text).map_or(Self::Unverified, Self::Verified),
        }
    }
}
