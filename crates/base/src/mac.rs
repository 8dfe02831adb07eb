//! Signatures on texts that callers hold and return: home tags and stream cursors.
//!
//! HMAC-SHA-256 (RFC 2104) with key ids, so that keys can be rotated: the first key
//! signs, all keys verify. The `hmac` crate compares signatures in constant time.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::{from_hex, to_hex};

/// Length of a signature in bytes; HMAC-SHA-256 is truncated to it.
const MAC_BYTES: usize = 16;

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Id of a signing key, part of each signed text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyId(pub u16);

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for KeyId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Why a set of keys or a signed text was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MacError {
    /// The set of keys is empty.
    #[error("no signing key")]
    NoKey,
    /// A key is shorter than 16 bytes.
    #[error("signing key {0} is shorter than 16 bytes")]
    ShortKey(KeyId),
    /// The text is not of the form `payload.key.signature`.
    #[error("not a signed text")]
    Malformed,
    /// No key has this id.
    #[error("unknown key {0}")]
    UnknownKey(KeyId),
    /// The signature does not match.
    #[error("wrong signature")]
    WrongSignature,
}

/// A signing key.
#[derive(Clone, Serialize, Deserialize)]
pub struct SigningKey {
    /// Id of the key.
    pub id: KeyId,
    /// The secret.
    pub secret: Vec<u8>,
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SigningKey({})", self.id)
    }
}

/// All valid signing keys: the first signs, all verify.
#[derive(Debug, Clone)]
pub struct SigningKeys {
    keys: Vec<SigningKey>,
}

impl SigningKeys {
    /// Creates the set from keys; the first one signs.
    ///
    /// # Errors
    /// [`MacError::NoKey`] if there are no keys, [`MacError::ShortKey`] if a key is shorter than
    /// 16 bytes.
    pub fn new(keys: Vec<SigningKey>) -> Result<Self, MacError> {
        if keys.is_empty() {
            return Err(MacError::NoKey);
        }
        if let Some(key) = keys.iter().find(|key| key.secret.len() < MIN_KEY_BYTES) {
            return Err(MacError::ShortKey(key.id));
        }
        Ok(Self { keys })
    }

    /// Signs `payload` for `purpose` and returns `payload.key.signature`, with the signature in
    /// hexadecimal. The purpose is signed but not part of the text, so that a text signed for
    /// one purpose is not valid for another.
    #[must_use]
    pub fn sign(&self, purpose: &str, payload: &str) -> String {
        let key = &self.keys[0];
        let mac = compute_mac(key, purpose, payload).finalize().into_bytes();
        format!("{payload}.{}.{}", key.id, to_hex(&mac[..MAC_BYTES]))
    }

    /// Verifies a text signed for `purpose` and returns its payload.
    ///
    /// # Errors
    /// [`MacError`]; the payload must not be used then.
    pub fn verify<'a>(&self, purpose: &str, text: &'a str) -> Result<&'a str, MacError> {
        let mut parts = text.rsplitn(3, '.');
        let signature = parts.next().and_then(from_hex).ok_or(MacError::Malformed)?;
        let id = parts.next().and_then(|id| id.parse().ok()).ok_or(MacError::Malformed)?;
        let payload = parts.next().ok_or(MacError::Malformed)?;
        if signature.len() != MAC_BYTES {
            return Err(MacError::Malformed);
        }
        let key = self.keys.iter().find(|key| key.id == id).ok_or(MacError::UnknownKey(id))?;
        compute_mac(key, purpose, payload)
            .verify_truncated_left(&signature)
            .map_err(|_| MacError::WrongSignature)?;
        Ok(payload)
    }
}

fn compute_mac(key: &SigningKey, purpose: &str, payload: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes keys of any length");
    mac.update(purpose.as_bytes());
    mac.update(&[0]);
    mac.update(payload.as_bytes());
    mac
}
