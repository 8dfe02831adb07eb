//! What of a call may crash the runner that works on it.

use std::fmt;
use std::str::FromStr;

use base::IdError;
use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of a request's text; the hash of a part holds no colon.
const REQUEST_PREFIX: &str = "request:";

/// What of a call may crash the runner that works on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallInput {
    /// A part of its prompt, which other prompts may share.
    Part(PromptPart),
    /// The request as a whole, which its caller may send again.
    Request(RequestFingerprint),
}

impl fmt::Display for CallInput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(fingerprint) => write!(f, "{REQUEST_PREFIX}{fingerprint}"),
        }
    }
}

impl FromStr for CallInput {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(fingerprint) => fingerprint.parse().map(Self::Request),
            None => text.parse().map(Self::Part),
        }
    }
}
