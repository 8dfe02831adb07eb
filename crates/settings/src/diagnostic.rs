//! Diagnostics of a document, and the error that collects them.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// An invalid or missing value: where it is, what was found and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsDiagnostic {
    /// File name, `--set NAME`, or `built-in defaults`.
    pub source: Arc<str>,
    /// 1-based line in that file. `None` for `--set`, the defaults and unreadable files.
    pub line: Option<usize>,
    /// Path of the field, such as `keys.signing[0].id`; empty for the whole document.
    pub field: Arc<str>,
    /// The value found, as shown to the operator.
    pub found: Arc<str>,
    /// Description of the accepted values.
    pub expected: Arc<str>,
}

impl fmt::Display for SettingsDiagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": field {}", self.field)?;
        }
        write!(f, ": found {}, expected {}", self.found, self.expected)
    }
}

/// The document is invalid. Lists every diagnostic, not only the first.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// The diagnostics, at least one.
    pub diagnostics: Vec<SettingsDiagnostic>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {} error(s)", self.diagnostics.len())?;
        self.diagnostics.iter().try_for_each(|diagnostic| write!(f, "\n  {diagnostic}"))
    }
}

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, SettingsError>;
