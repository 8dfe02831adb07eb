//! Optional sections of a heartbeat.
//!
//! A section is a tag and opaque bytes, so that nodes of different builds can exchange heartbeats:
//! a reader skips tags that it does not know, and a section that cannot be decoded does not affect
//! the others. A missing section means that the sender states nothing about its subject.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::MessageError;
use crate::peer_codec::Result;

/// Maximum size of one section, in bytes; all sections share a datagram with the heartbeat.
pub const MAX_SECTION_BYTES: usize = 4 << 10;

/// Identifies the subject of a section.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionTag(u8);

impl SectionTag {
    /// Evacuated failure domains.
    pub const EVACUATIONS: Self = Self(1);
    /// Cold runners.
    pub const COLD_RUNNERS: Self = Self(2);
    /// Brittle runners.
    pub const BRITTLE_RUNNERS: Self = Self(3);
    /// Speeds of runners.
    pub const RUNNER_SPEEDS: Self = Self(4);
    /// Hedged requests.
    pub const HEDGES: Self = Self(5);
    /// Services of which the sender does not reach all runners.
    pub const RUNNER_REACH: Self = Self(6);
}

/// The sections of one heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatSections(BTreeMap<SectionTag, Vec<u8>>);

impl HeartbeatSections {
    /// Adds or replaces a section.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the content cannot be serialized,
    /// [`MessageError::SectionTooLong`] if it exceeds [`MAX_SECTION_BYTES`]. The section is then
    /// left as it was.
    pub fn put(&mut self, tag: SectionTag, content: &impl Serialize) -> Result<()> {
        let bytes = postcard::to_stdvec(content)?;
        if bytes.len() > MAX_SECTION_BYTES {
            return Err(MessageError::SectionTooLong(bytes.len()));
        }
        self.0.insert(tag, bytes);
        Ok(())
    }

    /// Decodes a section; `None` if it is missing.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] if the section cannot be decoded.
    pub fn get<T: DeserializeOwned>(&self, tag: SectionTag) -> Result<Option<T>> {
        let section = self.0.get(&tag);
        Ok(section.map(|bytes| postcard::from_bytes(bytes)).transpose()?)
    }

    /// Whether there is no section.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
