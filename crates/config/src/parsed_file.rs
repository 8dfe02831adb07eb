//! A published file, parsed by its kind.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use settings::{SettingsError, SettingsFile, read_document};
use thiserror::Error;

use crate::{OverridesFile, ServiceFile, WorkspacesFile};

/// Kind of a published file, given by its name's suffix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FileKind {
    /// `*.service.jsonc`.
    Service,
    /// `*.workspaces.jsonc`.
    Workspaces,
    /// `*.overrides.jsonc`.
    Overrides,
}

/// A name that no kind of published file has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not named *.service.jsonc, *.workspaces.jsonc or *.overrides.jsonc")]
pub struct KindError;

impl FromStr for FileKind {
    type Err = KindError;

    fn from_str(path: &str) -> Result<Self, KindError> {
        let kinds = [Self::Service, Self::Workspaces, Self::Overrides];
        kinds.into_iter().find(|kind| path.ends_with(&kind.to_string())).ok_or(KindError)
    }
}

impl fmt::Display for FileKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => ".service.jsonc",
            Self::Workspaces => ".workspaces.jsonc",
            Self::Overrides => ".overrides.jsonc",
        })
    }
}

/// A published file that this release can use.
#[derive(Debug, Clone, PartialEq)]
pub enum ParsedFile {
    /// One service.
    Service(Arc<ServiceFile>),
    /// Workspaces and their keys.
    Workspaces(WorkspacesFile),
    /// Manual overrides by operators.
    Overrides(OverridesFile),
}

impl ParsedFile {
    /// Parses the file as that kind.
    ///
    /// # Errors
    /// [`SettingsError`] with every fault of the file.
    pub fn read(kind: FileKind, path: &str, text: &str) -> Result<Self, SettingsError> {
        let file = SettingsFile { name: path, text };
        match kind {
            FileKind::Service => read_document(file).map(|file| Self::Service(Arc::new(file))),
            FileKind::Workspaces => read_document(file).map(Self::Workspaces),
            FileKind::Overrides => read_document(file).map(Self::Overrides),
        }
    }
}
