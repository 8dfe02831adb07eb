//! Errors at the entry's start.

use thiserror::Error;

/// Why an entry cannot run.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are not usable.
    #[error("{0}")]
    Settings(#[from] settings::SettingsError),
    /// A setting cannot be put to use.
    #[error("setting {field}: {reason}")]
    Setting {
        /// The field.
        field: &'static str,
        /// Why.
        reason: String,
    },
    /// The kernel failed.
    #[error(transparent)]
    Kernel(#[from] kernel::KernelError),
    /// The way to peers cannot be opened.
    #[error(transparent)]
    Peers(#[from] peers::PeerError),
    /// The address for callers cannot be opened.
    #[error(transparent)]
    Web(#[from] web::WebError),
    /// Metrics cannot be sent.
    #[error("metrics: {0}")]
    Metrics(#[from] cadence::MetricError),
}

/// Result of an entry's start.
pub type Result<T> = std::result::Result<T, EntryError>;
