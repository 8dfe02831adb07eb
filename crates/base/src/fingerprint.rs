//! Fingerprint of a request, by which its repeats are recognised whatever their attempt ids.

use xxhash_rust::xxh3::Xxh3;

use crate::{RequestFingerprint, WorkspaceId};

/// The content of a request that its repeats have in common.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Workspace of the caller; `None` if the request belongs to none.
    pub workspace: Option<&'a WorkspaceId>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Hashes the content. Requests of different callers, paths or bodies have different
    /// fingerprints, but for collisions of a hash of 64 bits.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3::new();
        let workspace = self.workspace.map_or("", WorkspaceId::as_str);
        let host = self.host.to_ascii_lowercase();
        for field in [host.as_bytes(), self.path.as_bytes(), workspace.as_bytes(), self.body] {
            // The length keeps apart what only the bounds of the fields tell apart.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        RequestFingerprint(hasher.digest())
    }
}
