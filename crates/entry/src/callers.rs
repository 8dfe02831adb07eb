//! Who calls: the caller's key, and what its workspace may do.

use base::prelude::*;
use config::{ConfigPlan, ServicePlan, WorkspaceRule};
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::refusal::CallRefusal;

/// Scheme of the header that carries a caller's key.
const BEARER: &str = "Bearer ";

/// The workspace that the request's key belongs to.
///
/// # Errors
/// `unauthorized` without a known key. Keys are looked up by hash, so that neither the
/// configuration nor the time that a comparison takes tells them.
pub fn authenticate(plan: &ConfigPlan, headers: &HeaderMap) -> Result<WorkspaceId, CallRefusal> {
    let key = bearer(headers).ok_or_else(|| CallRefusal::unauthorized("no caller key"))?;
    let hash = config::hash_key(key);
    let workspace = plan.keys.get(&*hash);
    workspace.cloned().ok_or_else(|| CallRefusal::unauthorized("unknown caller key"))
}

/// The text of the bearer key.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix(BEARER)
}

/// What `workspace` may do with the service.
///
/// # Errors
/// `not_found` where it may do nothing: the answer does not tell that the service exists.
pub fn authorize<'a>(
    service: &'a ServicePlan,
    workspace: &WorkspaceId,
) -> Result<&'a WorkspaceRule, CallRefusal> {
    service.workspace(workspace).ok_or_else(|| CallRefusal::not_found("no such service or model"))
}
