//! The configuration in force: routes, services, workspaces and request limits.

use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::rc::Rc;
use std::str::FromStr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of a configuration; a higher version replaces a lower one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PlanVersion(pub u64);

impl fmt::Display for PlanVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for PlanVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Execution semantics of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may be executed again after any failure.
    Idempotent,
    /// A request is executed at most once.
    AtMostOnce,
    /// The answer is a stream of events. A request is executed at most once, unless the route's
    /// streams can be resumed.
    Stream,
}

/// A service that a route sends requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Relative share of the route's requests.
    pub weight: u32,
}

/// A route: which services handle the requests of one host and path prefix, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Path prefix that begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that the requests are split over.
    pub targets: Vec<RouteTarget>,
    /// Execution semantics of the requests.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request until it is answered.
    pub timeout: TimeSpan,
    /// Target time until the answer, or until the first event of a stream; a later one is of less
    /// use.
    #[serde(rename = "aim")]
    pub target_latency: TimeSpan,
    /// Longest pause between two events of a stream; a longer one is of less use. Builds that do
    /// not know it neither write nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_target: Option<TimeSpan>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of runners that may execute one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    #[serde(rename = "public")]
    pub is_public: bool,
    /// Whether a stream may run again and go on at another runner. Left out while it is false, so
    /// that the encoding is that of earlier builds, which ignore the field and do not send it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub stream_resume: bool,
}

/// Whether a field with a default of false is left out of the encoding.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
fn is_false(value: &bool) -> bool {
    !*value
}

impl RouteRule {
    /// Whether a request may be executed again after any failure.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.stream_resume,
        }
    }

    /// Picks a service by weight. `draw` is a random number, uniform in `0..1`.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Capacity and capabilities of the engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Generations that one engine runs in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    #[serde(rename = "memory")]
    pub kv_capacity: TokenCount,
    /// Size of one token in the KV cache, in bytes.
    #[serde(rename = "token_bytes")]
    pub kv_token_bytes: u64,
    /// Network bandwidth of an engine, in Mbit/s.
    pub link_mbps: f64,
    /// Whether a running generation can be moved to another engine.
    #[serde(rename = "moves")]
    pub supports_moves: bool,
    /// Whether another engine can keep a backup of a running generation's KV cache.
    #[serde(rename = "backups")]
    pub supports_backups: bool,
    /// Tokens in each event of a stream.
    pub event_tokens: u32,
}

/// What the runners of a service can take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdPlan {
    /// Time for which a runner is cold after its start.
    pub span: TimeSpan,
    /// Requests a second that a cold runner can take.
    pub rate: RequestRate,
}

/// Limits of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Connections that one runner accepts, over all clients.
    pub max_connections: u32,
    /// Path of the health check of its runners.
    #[serde(default)]
    pub health_path: Option<Arc<str>>,
    /// Limits of its engines; `None` for plain services.
    pub engine: Option<EngineLimits>,
    /// What its cold runners can take; `None` if it has no cold runners.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdPlan>,
}

/// A workspace whose API key is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRule {
    /// The workspace that the key belongs to.
    pub workspace: WorkspaceId,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum idle time of a keep-alive connection.
    #[serde(rename = "idle")]
    pub idle_timeout: TimeSpan,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServingPlan {
    /// Version of the configuration.
    pub version: PlanVersion,
    /// Routes by host, then by path prefix.
    pub routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Rc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Workspaces by API key; `None` if requests carry no keys.
    pub keys: Option<BTreeMap<Arc<str>, TenantRule>>,
    /// Limits on requests and connections.
    pub limits: RequestLimits,
}

impl ServingPlan {
    /// Finds the route of `host` with the longest prefix of `path`.
    ///
    /// The host is matched without its port and case-insensitively.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Finds the workspace that `key` belongs to.
    #[must_use]
    pub fn find_tenant(&self, key: &str) -> Option<&TenantRule> {
        self.keys.as_ref()?.get(key)
    }
}
