//! Newtypes for counts, sizes and positions; each name says the unit.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the value plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number! {
    /// Offset of a record in the platform's log; offsets only increase.
    LogOffset, u64
}
number! {
    /// Era of the platform's store: one higher after each return from a copy, which loses the
    /// newest records and gives their offsets out again. 0 where the store names none.
    StoreEra, u64
}
number! {
    /// A number of tokens.
    TokenCount, u32
}
number! {
    /// Index of a token in a generation, from 0.
    TokenIndex, u32
}
number! {
    /// Number of an attempt at one generation, from 0.
    AttemptNumber, u32
}
number! {
    /// A number of KV cache blocks of an engine.
    BlockCount, u32
}
number! {
    /// A size in bytes.
    ByteSize, u64
}
number! {
    /// A fencing token: the log offset of the record that named the holder. Called a number here
    /// to keep it apart from the tokens of a generation.
    FencingNumber, u64
}
