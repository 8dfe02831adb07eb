//! The format of the operators' files.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Kind of the runners that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines: generations of unknown length.
    Model,
    /// Plain services: one request, one response.
    Plain,
}

/// Priority of a workspace's calls, from the most to the least urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CallPriority {
    /// Interactive: short, and a person waits for the result.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// May be late, but must complete.
    LateTolerant,
}

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRule {
    /// Its name.
    pub name: ModelName,
    /// Engines can continue a generation from the prompt and its first tokens.
    #[serde(default)]
    pub continues_from_prefix: bool,
    /// How many runners should have it loaded; 0: all.
    #[serde(default)]
    pub runners: u32,
}

/// A workspace's access to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRule {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its share under contention, relative to the other workspaces; at least 1.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Priority of calls that do not set one.
    #[serde(default)]
    pub priority: CallPriority,
}

fn default_share() -> u32 {
    1
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// Prefix of the path, such as `/bookings`.
    pub path: Arc<str>,
    /// HTTP method, or `*`.
    pub method: Arc<str>,
    /// Whether the call is idempotent: it may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// HTTP status with which the runner reports that it did not run the call; 0: none.
    #[serde(default)]
    pub not_run_status: u16,
}

/// Weights of the goals that the policy trades off; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyWeights {
    /// Weight of preemptions.
    #[serde(default = "default_weight")]
    pub preemptions: f64,
    /// Weight of tail latency between tokens.
    #[serde(default = "default_weight")]
    pub gap_tail: f64,
    /// Weight of stall time.
    #[serde(default = "default_weight")]
    pub stall: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self { preemptions: 1.0, gap_tail: 1.0, stall: 1.0 }
    }
}

/// `*.service.jsonc`: one service, kept beside its code.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceFile {
    /// Its name: unique over all files.
    pub service: ServiceName,
    /// Its kind of runner.
    pub kind: ServiceKind,
    /// Its models; empty for plain services.
    #[serde(default)]
    pub models: Vec<ModelRule>,
    /// Workspaces that may use it.
    pub workspaces: Vec<WorkspaceRule>,
    /// Its calls; empty for model services.
    #[serde(default)]
    pub calls: Vec<CallRule>,
    /// Its users' weights.
    #[serde(default)]
    pub weights: PolicyWeights,
    /// Its runners reject an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The keys of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceKeys {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// SHA-256 of each caller key, in hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
}

/// `*.workspaces.jsonc`: the workspaces and their caller keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacesFile {
    /// All workspaces of this file.
    pub workspaces: Vec<WorkspaceKeys>,
}

/// `*.overrides.jsonc`: manual overrides by operators.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverridesFile {
    /// Runners that get no new work.
    #[serde(default)]
    pub drain: Vec<RunnerId>,
    /// Entry VMs that are taken out of the lookups.
    #[serde(default)]
    pub drain_vms: Vec<VmId>,
}
