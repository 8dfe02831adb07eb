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
    /// No service of this name, or one with another message type.
    #[error("look-up of service {0}: not registered with this message type")]
    NoService(&'static str),
    /// The service's mailbox is full or it has ended.
    #[error("message to service {0}: its mailbox is full or closed")]
    MailboxFull(&'static str),
    /// Signals could not be awaited.
    #[error("wait for signals: {0}")]
    Signal(std::io::Error),
}

/// Result of a kernel operation.
pub type Result<T> = std::result::Result<T, KernelError>;
