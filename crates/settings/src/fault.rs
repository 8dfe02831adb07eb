//! Faults of a document, and all of them together.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// One fault, with all that is needed to mend it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsDiagnostic {
    /// File name, `--set NAME`, or `built-in defaults`.
    pub source: Arc<str>,
    /// Line in that file, from 1; none where there is no line.
    pub line: Option<usize>,
    /// Path of the field, such as `keys.signing[0].id`; empty for the whole document.
    pub field: Arc<str>,
    /// What stands there.
    pub found: Arc<str>,
    /// What should stand there.
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

/// Every fault of a process's settings; it cannot start.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// The faults, at least one.
    pub diagnostics: Vec<SettingsDiagnostic>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "check of settings: {} fault(s)", self.diagnostics.len())?;
        self.diagnostics.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;
