//! The check of one generation's tokens, as the stand-in of an engine marks them.

use xxhash_rust::xxh3::xxh3_64;

use crate::traffic::{Violation, ViolationKind};

/// Follows one generation; a token is the text `NONCE-TAG-INDEX `.
#[derive(Debug, Clone)]
pub struct TokenCheck {
    tag: u32,
    length: u32,
    nonce: Option<String>,
    next: u32,
}

impl TokenCheck {
    /// Expects `length` tokens in answer to `prompt`.
    #[must_use]
    pub fn new(prompt: &str, length: u32) -> Self {
        Self { tag: xxh3_64(prompt.as_bytes()) as u32, length, nonce: None, next: 0 }
    }

    /// Tokens taken so far.
    #[must_use]
    pub fn taken(&self) -> u32 {
        self.next
    }

    /// Takes the next token that reached the caller.
    ///
    /// # Errors
    /// What is wrong with it; the check goes on after it.
    pub fn take(&mut self, index: u32, token: &str) -> Result<(), Violation> {
        let expected = self.next;
        if index < expected {
            return Err(self.violation(ViolationKind::TokenRepeated, index, token));
        }
        self.next = index + 1;
        if index > expected {
            return Err(self.violation(ViolationKind::TokenSkipped, index, token));
        }
        let mut parts = token.trim_end_matches(' ').split('-');
        let (nonce, tag, place) = (parts.next(), parts.next(), parts.next());
        let (Some(nonce), Some(tag), Some(place), None) = (nonce, tag, place, parts.next()) else {
            return Err(self.violation(ViolationKind::Malformed, index, token));
        };
        if tag != format!("{:08x}", self.tag) {
            return Err(self.violation(ViolationKind::ForeignAnswer, index, token));
        }
        if place != index.to_string() {
            return Err(self.violation(ViolationKind::TokenSkipped, index, token));
        }
        if self.nonce.get_or_insert_with(|| nonce.to_owned()) != nonce {
            return Err(self.violation(ViolationKind::GenerationMixed, index, token));
        }
        Ok(())
    }

    /// Takes the tokens of a whole answer.
    ///
    /// # Errors
    /// The first thing wrong with it.
    pub fn take_text(&mut self, text: &str) -> Result<(), Violation> {
        for (index, token) in (0..).zip(text.split_terminator(' ')) {
            self.take(index, token)?;
        }
        Ok(())
    }

    /// Ends the generation as done.
    ///
    /// # Errors
    /// [`ViolationKind::AnswerShort`] unless exactly the expected tokens came.
    pub fn finish(&self) -> Result<(), Violation> {
        if self.next == self.length {
            return Ok(());
        }
        let detail = format!("done after {} of {} tokens", self.next, self.length);
        Err(Violation::new(ViolationKind::AnswerShort, detail))
    }

    fn violation(&self, kind: ViolationKind, index: u32, token: &str) -> Violation {
        let nonce = self.nonce.as_deref().unwrap_or("none yet");
        let detail = format!(
            "index {index}, token {token:?}; expected nonce {nonce}, tag {:08x}, index below or at {}",
            self.tag, self.next
        );
        Violation::new(kind, detail)
    }
}
