//! Keys by which callers are known.

use std::path::Path;
use std::str::FromStr;

use base::prelude::*;

use crate::traffic::{Result, TrafficError};

/// A workspace's key.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its secret.
    pub secret: Arc<str>,
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "CallerKey({})", self.workspace)
    }
}

impl FromStr for CallerKey {
    type Err = TrafficError;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || TrafficError::CallerKey(text.split('=').next().unwrap_or("").to_owned());
        let (workspace, secret) = text.split_once('=').ok_or_else(malformed)?;
        let workspace = workspace.trim().parse().map_err(|_| malformed())?;
        Ok(Self { workspace, secret: Arc::from(secret.trim()) })
    }
}

impl CallerKey {
    /// Reads a file of one `WORKSPACE=KEY` a line; empty lines and `#` comments are skipped.
    ///
    /// # Errors
    /// [`TrafficError::File`], [`TrafficError::CallerKey`].
    pub fn read_file(path: &Path) -> Result<Vec<Self>> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| TrafficError::File { path: path.to_owned(), source })?;
        let lines = text.lines().map(str::trim);
        lines.filter(|line| !line.is_empty() && !line.starts_with('#')).map(str::parse).collect()
    }
}
