//! Settings of a process: JSON with comments, read in layers and checked in full.
//!
//! The core, [`read_layers`], serves any document that implements [`SettingsSchema`]: it
//! reports every fault with file, line, field, what was found and what was expected.

mod check;
mod common;
mod decode;
mod document;
mod entry;
mod fault;
mod field_path;
mod keys;
mod layers;
mod millis;
mod node;
mod schema;
mod steward;

pub use check::FieldCheck;
pub use common::{COMMON_FIELDS, CommonSettings, LogFormat, LogLevel};
pub use entry::EntrySettings;
pub use fault::{Result, SettingsDiagnostic, SettingsError};
pub use keys::{KeySettings, PemSource, SigningSecret};
pub use layers::{SettingsFile, field_line, read_document, read_layers, read_settings};
pub use node::NodeSettings;
pub use schema::{SettingsSchema, SharedFields};
pub use steward::StewardSettings;
