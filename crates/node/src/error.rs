//! Errors that end a node.

use settings::SettingsFaults;
use thiserror::Error;

/// What can keep a node from serving.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings are not usable.
    #[error(transparent)]
    Settings(#[from] SettingsFaults),
    /// The loop or a signal failed.
    #[error(transparent)]
    Kernel(#[from] kernel::KernelError),
    /// A socket could not be opened.
    #[error(transparent)]
    Web(#[from] web::WebError),
    /// The socket for the other nodes could not be opened.
    #[error("socket for the other nodes: {0}")]
    Peers(std::io::Error),
}

/// Result of a step of the node.
pub type Result<T> = std::result::Result<T, NodeError>;
