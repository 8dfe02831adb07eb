//! Hashes of caller keys and operator tokens.

use std::fmt::Write as _;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// SHA-256 of a key, in lower-case hexadecimal, as in files and settings.
#[must_use]
pub fn hash_key(key: &str) -> Arc<str> {
    let mut text = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        let _ = write!(text, "{byte:02x}");
    }
    Arc::from(text)
}
