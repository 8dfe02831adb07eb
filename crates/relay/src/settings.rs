//! Settings and limits of a relay.

use base::prelude::*;

/// Limits that apply to every relay of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RelayLimits {
    /// Maximum memory for buffered tokens, in bytes: of a prefix, or of a full answer that
    /// is not streamed.
    pub max_buffered_bytes: usize,
    /// Maximum number of attempts per call, including refused ones.
    pub max_attempts: u32,
    /// Maximum number of consecutive reads of one attempt that bring no new token.
    pub max_empty_reads: u32,
    /// Time without a token after which the stream is read again.
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

/// Settings of the call that a relay serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelaySettings {
    /// Generation that the call requests.
    pub generation: GenerationId,
    /// Whether tokens are delivered as they arrive; otherwise the answer is buffered and
    /// delivered once it is complete.
    pub streamed: bool,
    /// Whether engines of this model can continue from a given prefix, as declared in the
    /// model's published configuration file.
    pub continues_from_prefix: bool,
    /// Whether the request is available, so that it can be sent to another runner.
    pub has_prompt: bool,
    /// Time after which the caller no longer needs the answer.
    pub deadline: TimePoint,
    /// Deadline that applies once the caller has disconnected; `None` cancels the call then.
    pub detached_deadline: Option<TimePoint>,
    /// Limits of the relay.
    pub limits: RelayLimits,
}
