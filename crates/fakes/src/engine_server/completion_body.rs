//! Body of `POST /v1/completions`.

use base::{AttemptNumber, TokenCount, prelude::*};
use serde::Deserialize;

use crate::engine::{AttemptKey, EngineRequest};
use crate::engine_server::PromptSpec;

/// Digits of the nonce at the start of a token.
const NONCE_DIGITS: usize = 4;

/// A request for a generation.
#[derive(Debug, Deserialize)]
pub struct CompletionBody {
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// Limit of the whole output.
    pub max_tokens: TokenCount,
    /// 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The generation, in hexadecimal.
    pub generation: String,
    /// Number of the attempt.
    #[serde(default)]
    pub attempt: AttemptNumber,
    /// Tokens already produced.
    #[serde(default)]
    pub prefix: Vec<String>,
}

impl CompletionBody {
    /// The attempt; `None` if the generation is not hexadecimal.
    pub fn key(&self) -> Option<AttemptKey> {
        let generation = self.generation.parse().ok()?;
        Some(AttemptKey { generation, attempt: self.attempt })
    }

    /// The nonce of the generation that the prefix continues; `None` without one.
    pub fn nonce(&self) -> Option<u16> {
        let token = self.prefix.first()?;
        u16::from_str_radix(token.get(..NONCE_DIGITS)?, 16).ok()
    }

    /// The request to the step function.
    pub fn engine_request(&self, key: AttemptKey, spec: PromptSpec) -> EngineRequest {
        EngineRequest {
            key,
            priority: self.priority,
            prompt_tokens: spec.prompt_tokens,
            prefix: spec.prefix,
            prefix_tokens: spec.prefix_tokens,
            length: spec.length.min(self.max_tokens),
            produced: TokenCount(self.prefix.len() as u32),
        }
    }
}
