//! Errors of the stand-ins' own start.

use std::path::PathBuf;

use thiserror::Error;

/// Why a stand-in could not start or go on.
#[derive(Debug, Error)]
pub enum FakeError {
    /// The kernel failed.
    #[error("event loop: {0}")]
    Kernel(#[from] kernel::KernelError),
    /// The listening socket failed.
    #[error("start of the server: {0}")]
    Web(#[from] web::WebError),
    /// The address could not be announced.
    #[error("announcement of the address: {0}")]
    Announce(std::io::Error),
    /// A file could not be read.
    #[error("read of {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is not the JSON expected.
    #[error("JSON of {}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Result of a stand-in's own operation.
pub type Result<T> = std::result::Result<T, FakeError>;
