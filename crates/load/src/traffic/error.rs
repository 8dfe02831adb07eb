//! Why a load could not be run at all.

use std::path::PathBuf;

use thiserror::Error;

/// What can be wrong with a load's arguments or its start.
#[derive(Debug, Error)]
pub enum TrafficError {
    /// The kernel failed.
    #[error("event loop: {0}")]
    Kernel(#[from] kernel::KernelError),
    /// A file could not be read.
    #[error("read of {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A mix is not JSON with comments of the expected shape.
    #[error("mix {name}: {message}")]
    Mix {
        /// Name of the mix.
        name: String,
        /// What is wrong.
        message: String,
    },
    /// A caller's key is not of the form `WORKSPACE=KEY`.
    #[error("caller key {0:?}: expected WORKSPACE=KEY")]
    CallerKey(String),
    /// An argument is missing or wrong.
    #[error("{0}")]
    Argument(&'static str),
}

/// Result of the set-up of a load.
pub type Result<T> = std::result::Result<T, TrafficError>;
