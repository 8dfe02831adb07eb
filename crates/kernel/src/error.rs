//! Errors of the kernel.

use thiserror::Error;

/// What can go wrong in the kernel.
#[derive(Debug, Error)]
pub enum KernelError {
    /// The loop could not be set up.
    #[error("start of the event loop: {0}")]
    Loop(std::io::Error),
    /// A second service asked for a name.
    #[error("registration of service {0}: the name is taken")]
    NameTaken(&'static str),
    /// No service of this name, or one of another type.
    #[error("look-up of service {0}: not registered with this type")]
    NoService(&'static str),
    /// Signals could not be awaited.
    #[error("wait for signals: {0}")]
    Signal(std::io::Error),
}

/// Result of a kernel operation.
pub type Result<T> = std::result::Result<T, KernelError>;
