//! What a node that does not go on with a run has left of it, as it tells the node that asked.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use base::prelude::*;
use hyper::header::HeaderValue;

/// Where the memory of a run is found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunHandle {
    /// Address of the runner.
    pub address: SocketAddr,
    /// Handle of the memory there.
    pub handle: Arc<str>,
}

impl RunHandle {
    /// Reads what [`Display`] writes; `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let (address, handle) = text.split_once('/')?;
        Some(Self { address: address.parse().ok()?, handle: Arc::from(handle) })
    }
}

impl Display for RunHandle {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.handle)
    }
}

/// A run that lives, though the node did not go on with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunTrace {
    /// It was not stopped.
    Works,
    /// It was stopped, and its runner keeps its memory.
    Stopped(RunHandle),
    /// It was ordered to stop, and the node that gave the order does not know yet what is left. It keeps what
    /// the answer names, and goes on from there when it is asked again.
    Ordered,
}

/// The header of a run that was not stopped.
const WORKS: &str = "works";
/// The header of a run that was ordered to stop. Builds that do not know it take it for none.
const ORDERED: &str = "ordered";

impl RunTrace {
    /// Reads the header; `None` if it is malformed.
    #[must_use]
    pub fn decode(header: &HeaderValue) -> Option<Self> {
        match header.to_str().ok()? {
            WORKS => Some(Self::Works),
            ORDERED => Some(Self::Ordered),
            text => RunHandle::decode(text).map(Self::Stopped),
        }
    }

    /// The header; `None` if the handle does not fit into one.
    #[must_use]
    pub fn encode(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&self.to_string()).ok()
    }
}

impl Display for RunTrace {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Works => formatter.write_str(WORKS),
            Self::Ordered => formatter.write_str(ORDERED),
            Self::Stopped(memory) => memory.fmt(formatter),
        }
    }
}

/// Why a node does not go on with a run.
#[derive(Debug)]
pub struct ResumeRefusal {
    /// Reason, for the log.
    pub reason: &'static str,
    /// What is left of the run, if this node knows.
    pub trace: Option<RunTrace>,
}

impl ResumeRefusal {
    /// The run was not stopped.
    #[must_use]
    pub fn works(reason: &'static str) -> Self {
        Self { reason, trace: Some(RunTrace::Works) }
    }
}

impl From<&'static str> for ResumeRefusal {
    fn from(reason: &'static str) -> Self {
        Self { reason, trace: None }
    }
}
