//! Errors of the command line, and how it exits.

use std::process::ExitCode;

use platform::PlatformError;
use thiserror::Error;
use web::WebError;

/// How the command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Rejected, not in force everywhere in time, or only warnings.
    Rejected = 1,
    /// Arguments or files are wrong; nothing was done.
    BadInput = 2,
    /// The platform cannot be reached or a configuration to check cannot be read, so that the
    /// result is not known.
    Unreachable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why the command could not be carried out.
#[derive(Debug, Error)]
pub enum YardError {
    /// A file or folder cannot be read.
    #[error("{step} {path}: {source}")]
    File {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A configuration to check cannot be read.
    #[error("read {path}: {source}")]
    PlanFile {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// An argument is wrong.
    #[error("{step}: {reason}")]
    Argument {
        /// What was being done.
        step: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The log or the VM list failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// Records of the log are missing, and no checkpoint makes up for them.
    #[error("read of the log at {0}: records have expired and there is no usable checkpoint")]
    LogGap(std::net::SocketAddr),
    /// An entry failed.
    #[error("{step}: {source}")]
    Entry {
        /// What was being done, with whom.
        step: String,
        /// The cause.
        source: Box<WebError>,
    },
    /// A certificate could not be made.
    #[error("make certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The loop could not be set up.
    #[error(transparent)]
    Kernel(#[from] kernel::KernelError),
}

impl YardError {
    /// How the command exits after this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. } | Self::Argument { .. } | Self::Certificate(_) => {
                ExitStatus::BadInput
            }
            Self::PlanFile { .. }
            | Self::Platform(_)
            | Self::LogGap(_)
            | Self::Entry { .. }
            | Self::Kernel(_) => ExitStatus::Unreachable,
        }
    }
}

/// Result of a command or a part of it.
pub type Result<T> = std::result::Result<T, YardError>;
