//! Errors that stop a node from starting or end it.

use settings::SettingsError;
use thiserror::Error;

/// A failure that ends the node process.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings file could not be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event loop or signal handling failed.
    #[error(transparent)]
    Kernel(#[from] kernel::KernelError),
    /// An HTTP server socket could not be bound.
    #[error(transparent)]
    Web(#[from] web::WebError),
    /// The UDP socket for peer heartbeats could not be bound.
    #[error("cannot bind the peer socket: {0}")]
    PeerSocket(std::io::Error),
}

/// Result type of the node crate.
pub type Result<T> = std::result::Result<T, NodeError>;
