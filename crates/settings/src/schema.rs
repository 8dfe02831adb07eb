//! The trait of documents that can be read in layers.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::FieldCheck;

/// Top-level fields of a document that are decoded into a nested struct.
#[derive(Debug, Clone, Copy)]
pub struct SharedFields {
    /// Name of the field that holds the nested struct.
    pub inner: &'static str,
    /// Names of the fields of the nested struct.
    pub fields: &'static [&'static str],
}

/// A document that can be read by [`read_layers`](crate::read_layers).
pub trait SettingsSchema: DeserializeOwned {
    /// The built-in defaults, used as the lowest layer.
    #[must_use]
    fn defaults() -> Value;

    /// A complete and valid document. Its values replace invalid ones during decoding, so that
    /// decoding can continue and report the remaining errors.
    #[must_use]
    fn example() -> Value;

    /// Top-level fields that this document shares with other documents.
    #[must_use]
    fn shared_fields() -> Option<SharedFields> {
        None
    }

    /// Checks constraints that the field types do not enforce.
    fn check(&self, check: &mut FieldCheck);
}
