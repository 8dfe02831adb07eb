//! Errors of the kernel.

use thiserror::Error;

/// An error of the event loop, the service registry or signal handling.
#[derive(Debug, Error)]
pub enum KernelError {
    /// The event loop could not be created.
    #[error("failed to create the event loop: {0}")]
    EventLoop(std::io::Error),
    /// Another service is already registered under this name.
    #[error("failed to register service {0}: the name is already taken")]
    NameTaken(&'static str),
    /// No service is registered under this name, or one of another type is.
    #[error("service {0} is not registered with the requested type")]
    ServiceNotFound(&'static str),
    /// The signal handlers could not be installed, or waiting for a signal failed.
    #[error("failed to wait for signals: {0}")]
    Signal(std::io::Error),
}

/// Result of a kernel operation.
pub type Result<T> = std::result::Result<T, KernelError>;
