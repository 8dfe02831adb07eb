//! Identifiers: newtypes over short texts and random numbers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A text that cannot be parsed as an identifier of the given type.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a valid {kind}: {reason}")]
pub struct IdError {
    /// Name of the identifier type.
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
            /// Returns the identifier as text.
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
    /// A tenant: the unit of fairness and isolation.
    WorkspaceId
}
text_id! {
    /// Name of a model that engines serve.
    ModelName
}
text_id! {
    /// Content hash of one part of a prompt; prompts that share the part share the hash.
    PromptPart
}
text_id! {
    /// Name by which callers address a service, a group of runners of one kind.
    ServiceName
}
text_id! {
    /// A back end: an engine or an instance of a plain service.
    RunnerId
}
text_id! {
    /// A virtual machine of the platform.
    VmId
}
text_id! {
    /// Name of a failure domain.
    PlaceName
}
text_id! {
    /// The caller's idempotency key for a call that is not idempotent.
    IdempotencyKey
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Serialized as 16 hexadecimal digits in human-readable formats, since many JSON
        /// parsers lose precision above 53 bits, and as a number in binary formats.
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
    /// One start of a process of this system: random, never reused.
    VmIncarnation
}
number_id! {
    /// Hash of what the repeats of one request have in common: host, path, caller and body.
    RequestFingerprint
}
number_id! {
    /// One generation across all its attempts: random.
    GenerationId
}
number_id! {
    /// One publish command: random, so that its record can be found in the log if the response
    /// to the append is lost.
    PublishId
}
