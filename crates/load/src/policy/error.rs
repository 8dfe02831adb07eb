//! What can go wrong in the bench's command.

use thiserror::Error;

/// A result of the policy bench.
pub type Result<T> = std::result::Result<T, PolicyError>;

/// Why the bench's command failed.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// A name or number of the command line is not known.
    #[error("reading the command line: {what} {text:?} is not known")]
    UnknownName {
        /// What was being read.
        what: &'static str,
        /// The text.
        text: String,
    },
    /// The plot could not be written.
    #[error("writing the plot {file}: {reason}")]
    Plot {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The figures could not be written as JSON.
    #[error("writing the figures: {0}")]
    Json(#[from] serde_json::Error),
}
