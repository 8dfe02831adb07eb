//! What a relay is made for.

use base::prelude::*;

/// Bounds of every relay of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RelayLimits {
    /// Bytes of memory for the tokens kept: of a prefix, or of a whole answer that is held.
    pub max_buffered_bytes: usize,
    /// Attempts at one call, refused ones included.
    pub max_attempts: u32,
    /// Reads of one attempt in a row that bring no new token.
    pub max_empty_reads: u32,
    /// Time without a token after which the stream is read anew.
    pub stall_timeout: TimeSpan,
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            max_buffered_bytes: 4 << 20,
            max_attempts: 4,
            max_empty_reads: 2,
            stall_timeout: TimeSpan::seconds(20),
        }
    }
}

/// The call that a relay serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelaySettings {
    /// Its generation.
    pub generation: GenerationId,
    /// Tokens go to the caller as they come; otherwise the answer is held until it is whole.
    pub streamed: bool,
    /// The model's published file says that engines continue from a given prefix.
    pub continues_from_prefix: bool,
    /// The request is at hand, so that it can be sent again.
    pub has_prompt: bool,
    /// When the caller has no more use for the answer.
    pub deadline: TimePoint,
    /// Until when the answer is wanted after the caller has left; none: cancel then.
    pub detached_deadline: Option<TimePoint>,
    /// Bounds.
    pub limits: RelayLimits,
}
