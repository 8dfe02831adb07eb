//! What a document has to say about itself to be read in layers.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::FieldCheck;

/// Fields that stand at the top of a document but belong to an inner structure.
#[derive(Debug, Clone, Copy)]
pub struct SharedFields {
    /// Name of the inner structure's field.
    pub inner: &'static str,
    /// Its fields.
    pub fields: &'static [&'static str],
}

/// A document that can be read by [`read_layers`](crate::read_layers).
pub trait SettingsSchema: DeserializeOwned {
    /// The built-in defaults: the lowest layer.
    #[must_use]
    fn defaults() -> Value;

    /// A complete and valid document; its values stand in for faulty ones, so that the
    /// check can go on to the next fault.
    #[must_use]
    fn example() -> Value;

    /// Fields that are shared with other documents.
    #[must_use]
    fn shared_fields() -> Option<SharedFields> {
        None
    }

    /// Checks limits that the types do not carry.
    fn check(&self, check: &mut FieldCheck);
}
