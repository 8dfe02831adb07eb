//! Process settings: JSON with comments, merged from layers and validated.
//!
//! [`read_layers`] works for every document type that implements [`SettingsSchema`]. It reports
//! all errors at once, each with file, line, field, and the found and expected value.

mod check;
mod common;
mod decode;
mod diagnostic;
mod document;
mod entry;
mod field_path;
mod keys;
mod layers;
mod millis;
mod node;
mod schema;
mod steward;

pub use check::FieldCheck;
pub use common::{COMMON_FIELDS, CommonSettings, LogFormat, LogLevel};
pub use diagnostic::{Result, SettingsDiagnostic, SettingsError};
pub use entry::EntrySettings;
pub use keys::{KeySettings, PemSource, SigningSecret};
pub use layers::{SettingsFile, field_line, read_document, read_layers, read_settings};
pub use node::NodeSettings;
pub use schema::{SettingsSchema, SharedFields};
pub use steward::StewardSettings;
