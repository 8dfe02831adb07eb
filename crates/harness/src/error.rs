//! Errors of the harness.

use thiserror::Error;

/// What can go wrong while processes are started and watched.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// A file or process operation failed.
    #[error("{step} of {what}: {source}")]
    Io {
        /// What was tried.
        step: &'static str,
        /// With what.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A process did not announce itself.
    #[error("{program} ended before it was ready: {output}")]
    NotReady {
        /// The program.
        program: String,
        /// What it printed.
        output: String,
    },
    /// A signal could not be sent.
    #[error("signal to {program}: {source}")]
    Signal {
        /// The program.
        program: String,
        /// The cause.
        source: rustix::io::Errno,
    },
    /// A condition did not come true.
    #[error("waited in vain: {0}")]
    Waited(String),
    /// An HTTP exchange failed.
    #[error(transparent)]
    Web(#[from] web::WebError),
    /// A certificate could not be made.
    #[error("certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A tool ended with an error.
    #[error("{program} ended with {status}: {output}")]
    Tool {
        /// The program.
        program: String,
        /// Its exit status.
        status: String,
        /// What it printed.
        output: String,
    },
}

/// Result of a harness operation.
pub type Result<T> = std::result::Result<T, HarnessError>;
