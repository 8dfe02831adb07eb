//! The prompt prefix by which engines name what they have cached.

use xxhash_rust::xxh3::xxh3_64;

/// Start of a prompt that is hashed, in bytes.
pub const PROMPT_PREFIX_BYTES: usize = 256;

/// Hash of a prompt's start, as it stands in cache events.
#[must_use]
pub fn prompt_prefix_hash(prompt: &str) -> u64 {
    xxh3_64(&prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)])
}
