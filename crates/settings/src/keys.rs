//! Key settings: signatures on data that callers carry, and TLS between processes.

use std::fmt;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;

use base::{KeyId, SigningKey, SigningKeys, from_hex};
use serde::Deserialize;

use crate::FieldCheck;

/// Prefix of every PEM block; tells inline PEM text from a path.
const PEM_START: &str = "-----BEGIN ";
/// Minimum length of a signing secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// PEM text, given inline or as the path of a file.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "Arc<str>")]
pub struct PemSource(Arc<str>);

impl PemSource {
    /// Returns the PEM text. A file is read on every call.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn read(&self) -> std::io::Result<Arc<str>> {
        if self.is_inline() {
            return Ok(Arc::clone(&self.0));
        }
        std::fs::read_to_string(Path::new(&*self.0)).map(Arc::from)
    }

    fn is_inline(&self) -> bool {
        self.0.trim_start().starts_with(PEM_START)
    }
}

impl From<Arc<str>> for PemSource {
    fn from(text: Arc<str>) -> Self {
        Self(text)
    }
}

impl FromStr for PemSource {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(Arc::from(text)))
    }
}

impl fmt::Display for PemSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_inline() { "(inline)" } else { &self.0 })
    }
}

impl fmt::Debug for PemSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PemSource({self})")
    }
}

/// A signing key in the settings. Its `Debug` output omits the secret.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningSecret {
    /// Key id, part of each signature.
    pub id: KeyId,
    /// Secret of at least 16 bytes, in hexadecimal.
    pub secret_hex: Arc<str>,
}

impl fmt::Debug for SigningSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SigningSecret({})", self.id)
    }
}

/// Signing keys and TLS credentials of a process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Signing keys. The first one signs, all of them verify.
    pub signing: Vec<SigningSecret>,
    /// TLS certificate of the process, for the DNS name `yard`.
    pub certificate: PemSource,
    /// Private key of the certificate.
    pub private_key: PemSource,
    /// Certificates of the authorities that may have issued peer certificates; more than one
    /// while an authority is being replaced.
    pub authority: PemSource,
}

impl KeySettings {
    /// Decodes the signing keys.
    ///
    /// # Panics
    /// If the settings were not validated by [`read_layers`](crate::read_layers).
    #[must_use]
    pub fn signing_keys(&self) -> SigningKeys {
        let keys = self.signing.iter().map(|key| SigningKey {
            id: key.id,
            secret: from_hex(&key.secret_hex).expect("secret is valid after FieldCheck"),
        });
        SigningKeys::new(keys.collect()).expect("ids are unique after FieldCheck")
    }

    pub(crate) fn check(&self, check: &mut FieldCheck) {
        check.require(!self.signing.is_empty(), "keys.signing", "at least one key");
        for (at, key) in self.signing.iter().enumerate() {
            let long_enough =
                from_hex(&key.secret_hex).is_some_and(|key| key.len() >= MIN_SECRET_BYTES);
            let field = format!("keys.signing[{at}].secret_hex");
            check.require(long_enough, &field, "at least 16 bytes in hexadecimal");
            let duplicate = self.signing[..at].iter().any(|other| other.id == key.id);
            check.require(!duplicate, &format!("keys.signing[{at}].id"), "a unique id");
        }
        let sources = [
            ("certificate", &self.certificate),
            ("private_key", &self.private_key),
            ("authority", &self.authority),
        ];
        for (name, source) in sources {
            let is_pem = source.read().is_ok_and(|text| text.contains(PEM_START));
            check.require(is_pem, &format!("keys.{name}"), "PEM text, or the path of a PEM file");
        }
    }
}
