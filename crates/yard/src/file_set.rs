//! The files of the folders that are checked or published.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;

use config::FileKind;

use crate::{Result, YardError};

/// Longest published file, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Files by the path under which they are published: the folder's name, then the path
/// inside it.
#[derive(Debug, Clone, Default)]
pub(crate) struct FileSet {
    /// Names of the folders.
    pub roots: BTreeSet<String>,
    /// Texts by path.
    pub files: BTreeMap<Arc<str>, Arc<str>>,
}

impl FileSet {
    /// Collects the published files of all folders, with those below them.
    pub fn collect(folders: &[PathBuf]) -> Result<Self> {
        let mut set = Self::default();
        if folders.is_empty() {
            return Err(argument("at least one folder is needed".to_owned()));
        }
        for folder in folders {
            let root = root_name(folder)?;
            if !set.roots.insert(root.clone()) {
                return Err(argument(format!("two folders are named {root}")));
            }
            let before = set.files.len();
            set.collect_folder(folder, &root)?;
            if set.files.len() == before {
                let folder = folder.display();
                return Err(argument(format!("{folder} holds no file that can be published")));
            }
        }
        Ok(set)
    }

    /// Whether a published path belongs to one of the folders.
    pub fn owns(&self, path: &str) -> bool {
        path.split_once('/').is_some_and(|(root, _)| self.roots.contains(root))
    }

    fn collect_folder(&mut self, folder: &Path, prefix: &str) -> Result<()> {
        let listing = std::fs::read_dir(folder).map_err(file_error("read folder", folder))?;
        for entry in listing {
            let path = entry.map_err(file_error("read folder", folder))?.path();
            let Some(name) = path.file_name().and_then(|name| name.to_str()) else { continue };
            let published = format!("{prefix}/{name}");
            if path.is_dir() {
                if !name.starts_with('.') {
                    self.collect_folder(&path, &published)?;
                }
            } else if FileKind::from_str(name).is_ok() {
                let text = read_file(&path)?;
                self.files.insert(Arc::from(published), Arc::from(text));
            }
        }
        Ok(())
    }
}

fn root_name(folder: &Path) -> Result<String> {
    let full = folder.canonicalize().map_err(file_error("find folder", folder))?;
    let name = full.file_name().and_then(|name| name.to_str()).map(str::to_owned);
    name.ok_or_else(|| argument(format!("{} has no name", folder.display())))
}

fn read_file(path: &Path) -> Result<String> {
    let error = file_error("read file", path);
    match std::fs::metadata(path) {
        Ok(metadata) if metadata.len() > MAX_FILE_BYTES => {
            Err(argument(format!("{} is longer than {MAX_FILE_BYTES} bytes", path.display())))
        }
        _ => std::fs::read_to_string(path).map_err(error),
    }
}

fn file_error(step: &'static str, path: &Path) -> impl Fn(std::io::Error) -> YardError {
    let path = path.display().to_string();
    move |source| YardError::File { step, path: path.clone(), source }
}

fn argument(reason: String) -> YardError {
    YardError::Argument { step: "collect files", reason }
}
