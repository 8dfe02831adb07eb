//! The tokens of a generation that an entry keeps.

use base::prelude::*;

/// Memory of a kept token besides its text: its pointer, its counts and the allocator's share.
const TOKEN_OVERHEAD_BYTES: usize = 48;

/// Tokens from the first on, without gaps, up to a bound in bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(crate) struct TokenPrefix {
    tokens: Vec<Arc<str>>,
    bytes: usize,
    overflowed: bool,
}

impl TokenPrefix {
    /// Keeps the token at `index` if it is the next one and fits; a prefix that has
    /// outgrown its bound is given up whole.
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

    /// Whether it holds exactly the first `count` tokens.
    pub(crate) fn holds(&self, count: u32) -> bool {
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
