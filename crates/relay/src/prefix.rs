//! Buffer for the tokens of a generation.

use base::prelude::*;

/// Memory of a buffered token besides its text: its pointer, its reference counts and the
/// allocator's overhead.
const TOKEN_OVERHEAD_BYTES: usize = 48;

/// A size-limited buffer of the first tokens of a generation, without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct TokenPrefix {
    tokens: Vec<Arc<str>>,
    bytes: usize,
    overflowed: bool,
}

impl TokenPrefix {
    /// Appends the token if `index` is the next position. If the buffer would exceed `limit`
    /// bytes, all tokens are dropped and later ones are ignored.
    pub(crate) fn push(&mut self, index: u32, text: &Arc<str>, limit: usize) {
        if self.overflowed || self.tokens.len() != index as usize {
            return;
        }
        let bytes = self.bytes + text.len() + TOKEN_OVERHEAD_BYTES;
        if bytes > limit {
            *self = Self { overflowed: true, ..Self::default() };
            return;
        }
        self.bytes = bytes;
        self.tokens.push(text.clone());
    }

    /// Whether the buffer holds exactly the first `count` tokens.
    pub(crate) fn is_complete(&self, count: u32) -> bool {
        !self.overflowed && self.tokens.len() == count as usize
    }

    pub(crate) fn has_overflowed(&self) -> bool {
        self.overflowed
    }

    pub(crate) fn tokens(&self) -> &[Arc<str>] {
        &self.tokens
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
