//! Where a run goes on that a node has taken from another one, as it says with its answer.
//!
//! Load pattern: the node that took the run is lost in its turn. The other one then finds the run, or the copy
//! of its memory, without it.

use base::prelude::*;
use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};

use crate::streams::StreamSource;

/// Id of the runner that works on the run. Missing in the answers of builds that do not say so.
const SITE_RUNNER: HeaderName = HeaderName::from_static("x-yard-site-runner");
/// Id of the runner that keeps a copy of its memory under the id of the call; missing if there is none.
const SITE_COPY: HeaderName = HeaderName::from_static("x-yard-site-copy");

/// Where a run goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunSite {
    /// The runner that works on it.
    pub runner: RunnerId,
    /// The runner that keeps a copy of its memory.
    pub copy: Option<RunnerId>,
}

impl RunSite {
    /// The site of a run whose stream comes from `source`.
    #[must_use]
    pub fn of_source(source: &StreamSource) -> Self {
        let copy = source.backup.as_ref().map(|backup| backup.runner.clone());
        Self { runner: source.runner.runner.clone(), copy }
    }

    /// Adds the site to the headers of an answer to a node. They concern this connection only, so that
    /// builds that do not know them pass none on to a caller.
    pub fn write(&self, headers: &mut HeaderMap) {
        let mut add = |name: HeaderName, runner: &RunnerId| {
            if let Ok(value) = HeaderValue::from_str(runner.as_str()) {
                headers.append(CONNECTION, HeaderValue::from_name(name.clone()));
                headers.insert(name, value);
            }
        };
        add(SITE_RUNNER, &self.runner);
        if let Some(copy) = &self.copy {
            add(SITE_COPY, copy);
        }
    }

    /// Reads the site from the headers of a node's answer; `None` if it is missing or malformed.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let read = |name| headers.get(name)?.to_str().ok()?.parse().ok();
        let (runner, copy): (Option<RunnerId>, _) = (read(SITE_RUNNER), read(SITE_COPY));
        Some(Self { runner: runner?, copy })
    }
}
