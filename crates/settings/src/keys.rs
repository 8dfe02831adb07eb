//! Keys: signatures on what callers carry, and TLS between our processes.

use std::fmt;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;

use base::{KeyId, SigningKey, SigningKeys, from_hex};
use serde::Deserialize;

use crate::FieldCheck;

/// Start of every PEM block.
const PEM_START: &str = "-----BEGIN ";
/// Least length of a signing secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// PEM text, inline or in a file.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "Arc<str>")]
pub struct PemSource(Arc<str>);

impl PemSource {
    /// The PEM text itself; a file is read now.
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

/// One signing key, as settings write it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningSecret {
    /// Its number.
    pub id: KeyId,
    /// Its secret, at least 16 bytes in hexadecimal.
    pub secret_hex: Arc<str>,
}

impl fmt::Debug for SigningSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SigningSecret({})", self.id)
    }
}

/// All keys of a process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Signing keys: the first signs, all verify.
    pub signing: Vec<SigningSecret>,
    /// The process's certificate, for the DNS name `yard`.
    pub certificate: PemSource,
    /// The certificate's private key.
    pub private_key: PemSource,
    /// Certificates of the authorities that peers may come from; several while one
    /// replaces the other.
    pub authority: PemSource,
}

impl KeySettings {
    /// The signing keys, for use.
    ///
    /// # Panics
    /// If the settings were not checked by [`read_layers`](crate::read_layers).
    #[must_use]
    pub fn signing_keys(&self) -> SigningKeys {
        let keys = self.signing.iter().map(|key| SigningKey {
            id: key.id,
            secret: from_hex(&key.secret_hex).expect("checked at start"),
        });
        SigningKeys::new(keys.collect()).expect("checked at start")
    }

    pub(crate) fn check(&self, check: &mut FieldCheck) {
        check.require(!self.signing.is_empty(), "keys.signing", "at least one key");
        for (at, key) in self.signing.iter().enumerate() {
            let long = from_hex(&key.secret_hex).is_some_and(|key| key.len() >= MIN_SECRET_BYTES);
            let field = format!("keys.signing[{at}].secret_hex");
            check.require(long, &field, "16 bytes or more in hexadecimal");
            let twice = self.signing[..at].iter().any(|other| other.id == key.id);
            check.require(!twice, &format!("keys.signing[{at}].id"), "each number once");
        }
        let sources = [
            ("certificate", &self.certificate),
            ("private_key", &self.private_key),
            ("authority", &self.authority),
        ];
        for (name, source) in sources {
            let pem = source.read().is_ok_and(|text| text.contains(PEM_START));
            check.require(pem, &format!("keys.{name}"), "PEM text, or the path of a PEM file");
        }
    }
}
