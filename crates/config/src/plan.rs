//! The configuration in force, resolved for use by the other services.

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{CallRule, OverridesFile, ServiceFile, WorkspaceRule, WorkspacesFile};

/// One service in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The file it came from.
    pub file: Arc<ServiceFile>,
}

impl ServicePlan {
    /// The rule for `workspace`; none if it may not use the service.
    #[must_use]
    pub fn workspace(&self, workspace: &WorkspaceId) -> Option<&WorkspaceRule> {
        self.file.workspaces.iter().find(|rule| rule.workspace == *workspace)
    }

    /// The rule for a call; the longest matching path wins.
    #[must_use]
    pub fn call(&self, method: &str, path: &str) -> Option<&CallRule> {
        let matches = |rule: &&CallRule| {
            (&*rule.method == "*" || rule.method.eq_ignore_ascii_case(method))
                && path.starts_with(&*rule.path)
        };
        self.file.calls.iter().filter(matches).max_by_key(|rule| rule.path.len())
    }
}

/// A published file whose version in force this release cannot use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableFile {
    /// Name of the file.
    pub path: Arc<str>,
    /// The version that cannot be used.
    pub version: LogOffset,
    /// Why not.
    pub reason: Arc<str>,
    /// The older version that is used in its place, if there is one.
    pub serving: Option<LogOffset>,
}

/// The whole configuration in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ConfigPlan {
    /// Offset of the last accepted log record that it includes; two plans with the same
    /// offset are the same.
    pub offset: LogOffset,
    /// Up to here every accepted file is used as published; lower than `offset` if a file
    /// is unusable. A process reports this offset as in force.
    pub in_force: LogOffset,
    /// Files that are not used as published.
    pub unusable: Vec<UnusableFile>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Workspaces by the hash of a caller key.
    pub keys: BTreeMap<Arc<str>, WorkspaceId>,
    /// Runners that get no new work.
    pub drained: BTreeSet<RunnerId>,
    /// Entry VMs that are taken out of the lookups.
    pub drained_vms: BTreeSet<VmId>,
}

impl ConfigPlan {
    /// Combines checked files. Of two files for one service the first one is used.
    #[must_use]
    pub fn new(
        offset: LogOffset,
        services: Vec<impl Into<Arc<ServiceFile>>>,
        workspaces: Vec<WorkspacesFile>,
        overrides: Vec<OverridesFile>,
    ) -> Self {
        let mut plan = Self { offset, in_force: offset, ..Self::default() };
        for file in services {
            let file: Arc<ServiceFile> = file.into();
            plan.services.entry(file.service.clone()).or_insert(ServicePlan { file });
        }
        for keys in workspaces.into_iter().flat_map(|file| file.workspaces) {
            for hash in keys.key_hashes {
                plan.keys.insert(hash, keys.workspace.clone());
            }
        }
        for file in overrides {
            plan.drained.extend(file.drain);
            plan.drained_vms.extend(file.drain_vms);
        }
        plan
    }

    /// The service that serves `model`.
    #[must_use]
    pub fn service_of_model(&self, model: &ModelName) -> Option<&ServicePlan> {
        self.services.values().find(|plan| plan.file.models.iter().any(|rule| rule.name == *model))
    }
}
