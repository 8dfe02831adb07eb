//! Prompts whose hidden lengths the stand-in of an engine knows.

use base::PROMPT_PREFIX_BYTES;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;

use crate::traffic::{MixClass, TokenCheck};

/// One request for a generation.
pub struct CompletionText {
    /// Its JSON body.
    pub body: String,
    /// The check of its answer.
    pub check: TokenCheck,
}

impl CompletionText {
    /// Draws a request of `class`; `call` makes its prompt unique.
    pub fn draw(class: &MixClass, call: &str, streamed: bool, random: &mut StdRng) -> Self {
        let prefix = random.random_range(0..class.prefixes.max(1));
        let [least, greatest] = class.prompt_tokens;
        let prompt_tokens = random.random_range(least..=greatest);
        let length = draw_length(class.length, random);
        let start = format!("{} dossier {prefix} ", class.name);
        let prompt = format!(
            "{start:.<PROMPT_PREFIX_BYTES$}[[prompt {prompt_tokens}]] [[length {length}]] {call}"
        );
        let check = TokenCheck::new(&prompt, length.min(class.max_tokens));
        let mut body = json!({
            "model": class.model,
            "prompt": prompt,
            "max_tokens": class.max_tokens,
            "stream": streamed,
            "deadline_ms": class.deadline_ms,
        });
        if let Some(priority) = class.priority {
            body["priority"] = json!(priority);
        }
        Self { body: body.to_string(), check }
    }
}

fn draw_length([least, greatest]: [u32; 2], random: &mut StdRng) -> u32 {
    let (low, high) = (f64::from(least).ln(), f64::from(greatest).ln());
    let share: f64 = random.random();
    ((low + share * (high - low)).exp().round() as u32).clamp(least, greatest)
}
