//! The configuration in force: routes, services, workspaces and request limits.

use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::rc::Rc;
use std::str::FromStr;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of a configuration; a higher one replaces a lower one.
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

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// It may run again after any failure.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// It runs at most once, and its answer is a series of events.
    Stream,
}

/// A service that a route may go to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the others.
    pub weight: u32,
}

/// A route: where the requests of one path prefix go, and how.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Its name.
    pub name: Arc<str>,
    /// Host name, in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that serve it.
    pub targets: Vec<RouteTarget>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout: TimeSpan,
    /// Time in which an answer (of a stream: its first event) is of full use.
    #[serde(rename = "aim")]
    pub target_latency: TimeSpan,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Runners to which one request may be sent.
    pub max_attempts: u32,
    /// Requests need no key.
    #[serde(rename = "public")]
    pub is_public: bool,
}

impl RouteRule {
    /// The service for a request; `draw` is uniform in 0..1.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// What the engines of a service can hold and do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Generations in one batch.
    pub slots: u32,
    /// Tokens that fit into the KV cache.
    #[serde(rename = "memory")]
    pub kv_capacity: TokenCount,
    /// Size of one token in the KV cache, in bytes.
    #[serde(rename = "token_bytes")]
    pub kv_token_bytes: u64,
    /// Link of an engine, in Mbit/s.
    pub link_mbps: f64,
    /// Running generations can be copied to another engine.
    #[serde(rename = "moves")]
    pub supports_moves: bool,
    /// Running generations can be backed up on another engine.
    #[serde(rename = "backups")]
    pub supports_backups: bool,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Connections that one runner accepts from all callers.
    pub max_connections: u32,
    /// Limits of its engines; none for plain services.
    pub engine: Option<EngineLimits>,
}

/// A workspace that may call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRule {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Rank of its requests, in place of their route's.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Size of a request's head, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: usize,
    /// Size of a request's body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time that a kept connection may stay idle.
    #[serde(rename = "idle")]
    pub idle_timeout: TimeSpan,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServingPlan {
    /// Its version.
    pub version: PlanVersion,
    /// Routes by host, then by path prefix.
    pub routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Rc<RouteRule>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Workspaces by key; none if requests carry no keys at all.
    pub keys: Option<BTreeMap<Arc<str>, TenantRule>>,
    /// Limits on requests.
    pub limits: RequestLimits,
}

impl ServingPlan {
    /// The route of the longest prefix that begins `path`, among those of `host`.
    ///
    /// A port in `host` is ignored, as is the case of its letters.
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

    /// The workspace that holds `key`.
    #[must_use]
    pub fn find_tenant(&self, key: &str) -> Option<&TenantRule> {
        self.keys.as_ref()?.get(key)
    }
}
