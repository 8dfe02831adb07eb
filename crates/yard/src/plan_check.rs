//! Rules for a configuration as operators write it, without I/O. No finding contains an API key.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base::ServiceName;
use platform::{
    DEFAULT_TIMEOUT_MS, LimitsEntry, OperatorConfig, RouteEntry, ServiceEntry, TenantEntry,
};
use serde::Serialize;

/// How severe a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FindingLevel {
    /// An entry has no effect, or contradicts another one.
    Warning,
    /// The configuration, or a route of it, cannot work.
    Error,
}

/// What is wrong with an entry.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Finding {
    pub level: FindingLevel,
    /// Kind and name of the entry.
    pub entry: String,
    pub message: String,
}

impl Finding {
    pub fn error(entry: impl Into<String>, message: impl Into<String>) -> Self {
        Self { level: FindingLevel::Error, entry: entry.into(), message: message.into() }
    }

    fn warning(entry: impl Into<String>, message: impl Into<String>) -> Self {
        Self { level: FindingLevel::Warning, entry: entry.into(), message: message.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            FindingLevel::Warning => "warning",
            FindingLevel::Error => "error",
        };
        write!(f, "{level}: {}: {}", self.entry, self.message)
    }
}

/// Checks all entries of `config`.
pub(crate) fn check_config(config: &OperatorConfig) -> Vec<Finding> {
    let services: BTreeSet<&str> = config.services.iter().map(|s| s.name.as_str()).collect();
    let mut findings: Vec<Finding> =
        config.routes.iter().flat_map(|route| check_route(route, &services)).collect();
    findings.extend(find_replaced_routes(&config.routes));
    findings.extend(config.services.iter().flat_map(check_service));
    findings.extend(find_unused_services(config));
    findings.extend(find_shared_keys(config.tenants.as_deref().unwrap_or_default()));
    findings.extend(check_limits(&config.limits));
    findings
}

/// Checks that nodes which have `in_force` take `config`: they ignore a version that is not higher.
pub(crate) fn check_version(config: &OperatorConfig, in_force: &OperatorConfig) -> Option<Finding> {
    let (new, old) = (config.version, in_force.version);
    (new <= old)
        .then(|| Finding::error("version", format!("{new} is not higher than {old}, in force")))
}

fn check_route(route: &RouteEntry, services: &BTreeSet<&str>) -> Vec<Finding> {
    let entry = format!("route {}", route.name);
    let error = |message: String| Finding::error(&*entry, message);
    let warning = |message: String| Finding::warning(&*entry, message);
    let mut findings = Vec::new();
    let kind = &*route.route_type;
    if !["idempotent", "non_idempotent", "streaming"].contains(&kind) {
        findings.push(error(format!("unknown routeType {kind:?}")));
    }
    let prefix = &*route.path_prefix;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        findings.push(error(format!("pathPrefix {prefix:?} does not begin and end with /")));
    }
    let split = &route.traffic_split;
    if route.service.is_none() && split.is_empty() {
        findings.push(error("names no service".into()));
    }
    for name in targets(route).filter(|name| !services.contains(name)) {
        findings.push(error(format!("service {name} is not listed")));
    }
    // A service beside the split takes part in it with weight 1.
    if route.service.is_none() && !split.is_empty() && split.iter().all(|part| part.weight == 0) {
        findings.push(error("all weights of trafficSplit are 0".into()));
    } else {
        let unused = split.iter().filter(|part| part.weight == 0);
        findings.extend(unused.map(|part| {
            warning(format!("service {} has weight 0 and gets no requests", part.service))
        }));
    }
    let timeout = route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    if let Some(target) = route.target_latency_ms.filter(|target| timeout < *target) {
        findings.push(warning(format!("timeout {timeout} ms is below targetLatencyMs {target}")));
    }
    if let Some(gap) = route.gap_target_ms.filter(|gap| *gap > timeout) {
        findings.push(warning(format!("gapTargetMs {gap} is above the timeout {timeout} ms")));
    }
    match route.max_attempts {
        Some(0) => findings.push(warning("maxAttempts 0 is treated as 1".into())),
        Some(2..) if kind == "non_idempotent" => findings.push(warning(
            "maxAttempts above 1 on a non_idempotent route: only refused sends may be repeated"
                .into(),
        )),
        _ => {}
    }
    if route.stream_resume == Some(true) && kind != "streaming" {
        findings.push(warning("streamResume on a route that is no stream".into()));
    }
    findings
}

/// Names of the services of a route.
fn targets(route: &RouteEntry) -> impl Iterator<Item = &str> {
    let split = route.traffic_split.iter().map(|part| &part.service);
    route.service.iter().chain(split).map(ServiceName::as_str)
}

/// Finds routes that never match, since nodes keep the last one of a host and prefix.
fn find_replaced_routes(routes: &[RouteEntry]) -> Vec<Finding> {
    let mut last = BTreeMap::new();
    let mut findings = Vec::new();
    for route in routes {
        let address = (route.hostname.to_ascii_lowercase(), &route.path_prefix);
        if let Some(earlier) = last.insert(address, &route.name) {
            let message = format!("never matches: route {} has its host and prefix", route.name);
            findings.push(Finding::warning(format!("route {earlier}"), message));
        }
    }
    findings
}

fn check_service(service: &ServiceEntry) -> Vec<Finding> {
    let engine = service.engine.as_ref();
    let faults = [
        (engine.is_some_and(|engine| engine.slots == 0), "engine has slots 0"),
        (engine.is_some_and(|engine| engine.kv_capacity == 0), "engine has kvCapacity 0"),
        (
            service.cold_start_s > Some(0.0) && service.cold_per_s.unwrap_or_default() <= 0.0,
            "coldStartS has no effect without coldPerS",
        ),
    ];
    let found = faults.into_iter().filter(|(is_found, _)| *is_found);
    found
        .map(|(_, message)| Finding::warning(format!("service {}", service.name), message))
        .collect()
}

fn find_unused_services(config: &OperatorConfig) -> Vec<Finding> {
    let named: BTreeSet<&str> = config.routes.iter().flat_map(targets).collect();
    let unused = config.services.iter().filter(|service| !named.contains(service.name.as_str()));
    unused
        .map(|service| Finding::warning(format!("service {}", service.name), "no route names it"))
        .collect()
}

/// Finds API keys of several tenants, of which nodes accept the key for the last one. A key is
/// shown as its position in `apiKeys`.
fn find_shared_keys(tenants: &[TenantEntry]) -> Vec<Finding> {
    let mut last: BTreeMap<&str, (&TenantEntry, usize)> = BTreeMap::new();
    let mut findings = Vec::new();
    for tenant in tenants {
        for (index, key) in tenant.api_keys.iter().enumerate() {
            let earlier = last.insert(key, (tenant, index));
            let Some((holder, index)) = earlier.filter(|(holder, _)| holder.name != tenant.name)
            else {
                continue;
            };
            let message =
                format!("apiKeys[{index}] belongs to tenant {}, a later one", tenant.name);
            findings.push(Finding::warning(format!("tenant {}", holder.name), message));
        }
    }
    findings
}

fn check_limits(limits: &LimitsEntry) -> Vec<Finding> {
    let faults = [
        (limits.max_header_bytes == Some(0), "maxHeaderBytes"),
        (limits.max_body_bytes == Some(0), "maxBodyBytes"),
        (limits.idle_timeout_ms == Some(0.0), "idleTimeoutMs"),
    ];
    let found = faults.into_iter().filter(|(is_found, _)| *is_found);
    found.map(|(_, field)| Finding::warning("limits", format!("{field} is 0"))).collect()
}
