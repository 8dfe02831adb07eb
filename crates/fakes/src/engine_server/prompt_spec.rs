//! What a prompt asks for: its size, the hidden length of its output, and its tag.

use base::{PROMPT_PREFIX_BYTES, TokenCount, prompt_prefix_hash};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Shortest output of a prompt that states no length.
const LEAST_LENGTH: u32 = 16;
/// Number of different lengths of prompts that state none.
const LENGTH_SPREAD: u64 = 240;

/// A prompt as the stand-in reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSpec {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens of the output, before any limit.
    pub length: TokenCount,
    /// Mark of the prompt in each token.
    pub tag: u32,
    /// Hash of its start.
    pub prefix: u64,
    /// Tokens of its start.
    pub prefix_tokens: TokenCount,
}

impl PromptSpec {
    /// Reads `prompt`; `[[length N]]` and `[[prompt N]]` state what otherwise follows from
    /// the text.
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        let hash = xxh3_64(prompt.as_bytes());
        let text_tokens = prompt.len().div_ceil(TOKEN_BYTES).max(1) as u32;
        let prompt_tokens = read_mark(prompt, "[[prompt ").unwrap_or(text_tokens).max(1);
        let text_length = LEAST_LENGTH + (hash % LENGTH_SPREAD) as u32;
        let length = read_mark(prompt, "[[length ").unwrap_or(text_length).max(1);
        let shared = prompt.len().min(PROMPT_PREFIX_BYTES) as u64;
        let prefix_tokens = u64::from(prompt_tokens) * shared / prompt.len().max(1) as u64;
        Self {
            prompt_tokens: TokenCount(prompt_tokens),
            length: TokenCount(length),
            tag: hash as u32,
            prefix: prompt_prefix_hash(prompt),
            prefix_tokens: TokenCount(prefix_tokens as u32),
        }
    }
}

fn read_mark(prompt: &str, mark: &str) -> Option<u32> {
    let start = prompt.find(mark)? + mark.len();
    let end = prompt[start..].find("]]")? + start;
    prompt[start..end].trim().parse().ok()
}
