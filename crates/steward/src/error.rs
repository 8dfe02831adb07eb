//! Errors that end a steward.

use std::path::PathBuf;

use thiserror::Error;

/// Why a steward could not start.
#[derive(Debug, Error)]
pub enum StewardError {
    /// The settings are faulty.
    #[error("settings {path}:\n{source}")]
    Settings {
        /// The file.
        path: PathBuf,
        /// All faults.
        source: settings::SettingsError,
    },
    /// A certificate or key file cannot be read.
    #[error("read of keys.{field}: {source}")]
    Keys {
        /// The setting.
        field: &'static str,
        /// The cause.
        source: std::io::Error,
    },
    /// The transport could not be set up.
    #[error(transparent)]
    Peers(#[from] peers::PeerError),
    /// The metrics could not be set up.
    #[error("start of metrics: {0}")]
    Metrics(#[from] cadence::MetricError),
    /// The loop or a service could not be set up.
    #[error(transparent)]
    Kernel(#[from] kernel::KernelError),
}

/// Result of a part of the start.
pub type Result<T> = std::result::Result<T, StewardError>;
