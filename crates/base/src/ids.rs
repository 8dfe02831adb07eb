//! Identifiers: short texts and random numbers, each with its own type.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Longest accepted text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A text or number that is not an identifier of the wanted kind.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a valid {kind}: {reason}")]
pub struct IdError {
    /// Name of the identifier's type.
    pub kind: &'static str,
    /// What is wrong with the text.
    pub reason: &'static str,
}

fn check_text(kind: &'static str, text: &str) -> Result<(), IdError> {
    let reason = if text.is_empty() {
        "it is empty"
    } else if text.len() > MAX_ID_BYTES {
        "it is longer than 128 bytes"
    } else if text.chars().any(|c| c.is_control() || c.is_whitespace()) {
        "it contains white space or control characters"
    } else {
        return Ok(());
    };
    Err(IdError { kind, reason })
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>", into = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_text(stringify!($name), text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = IdError;

            fn try_from(text: Arc<str>) -> Result<Self, IdError> {
                check_text(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Arc<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id! {
    /// A customer of the operators: the unit of fairness and isolation.
    WorkspaceId
}
text_id! {
    /// A model that engines serve.
    ModelName
}
text_id! {
    /// A service that callers name: a group of runners of one kind.
    ServiceName
}
text_id! {
    /// A back end: one engine or one instance of a plain service.
    RunnerId
}
text_id! {
    /// A machine of the platform.
    VmId
}
text_id! {
    /// A failure domain.
    PlaceName
}
text_id! {
    /// The caller's idempotency key for a call that must not be repeated.
    IdempotencyKey
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Written as 16 hexadecimal digits, and as a number only in binary formats: a
        /// JSON number of 64 bits is not safe everywhere.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u64);

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    serializer.serialize_u64(self.0)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return u64::deserialize(deserializer).map(Self);
                }
                let text = <std::borrow::Cow<'_, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                let number = u64::from_str_radix(text, 16).map_err(|_| IdError {
                    kind: stringify!($name),
                    reason: "it is not a hexadecimal number of 64 bits",
                })?;
                Ok(Self(number))
            }
        }
    };
}

number_id! {
    /// One start of one of our processes: random, never reused.
    VmIncarnation
}
number_id! {
    /// One generation, over all its attempts: random.
    GenerationId
}
number_id! {
    /// One publish command: random, to find its record after a lost answer.
    PublishId
}
