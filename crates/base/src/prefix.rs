//! Hash of a prompt prefix, by which engines identify the entries of their prefix cache.

use xxhash_rust::xxh3::xxh3_64;

/// Length of the hashed prefix of a prompt, in bytes.
pub const PROMPT_PREFIX_BYTES: usize = 256;

/// Hashes the first [`PROMPT_PREFIX_BYTES`] bytes of a prompt, as engines do in cache events.
#[must_use]
pub fn prompt_prefix_hash(prompt: &str) -> u64 {
    xxh3_64(&prompt.as_bytes()[..prompt.len().min(PROMPT_PREFIX_BYTES)])
}
