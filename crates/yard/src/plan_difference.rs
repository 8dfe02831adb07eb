//! Differences between two configurations as operators write them, without I/O. API keys are
//! counted, never shown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use platform::{OperatorConfig, TenantEntry};
use serde::Serialize;
use serde_json::{Value, json};

/// A difference to the configuration in force.
#[derive(Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub(crate) enum PlanChange {
    Added { entry: String },
    Removed { entry: String },
    Changed { entry: String, field: String, old: Value, new: Value },
}

impl fmt::Display for PlanChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { entry } => write!(f, "added: {entry}"),
            Self::Removed { entry } => write!(f, "removed: {entry}"),
            Self::Changed { entry, field, old, new } => {
                write!(f, "changed: {entry}: {field}: {} -> {}", show(old), show(new))
            }
        }
    }
}

/// A value for people; fields that are absent have the default.
fn show(value: &Value) -> String {
    match value {
        Value::Null => "default".into(),
        Value::String(text) => text.clone(),
        // Times are decoded as floating-point numbers.
        _ => value.to_string().trim_end_matches(".0").into(),
    }
}

/// Lists what `new` adds to `old`, removes from it and changes.
pub(crate) fn compare_configs(old: &OperatorConfig, new: &OperatorConfig) -> Vec<PlanChange> {
    let (old, new) = (entries(old), entries(new));
    let mut changes = Vec::new();
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let entry = name.clone();
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_fields(&entry, "", old, new, &mut changes),
            (None, _) => changes.push(PlanChange::Added { entry }),
            (_, None) => changes.push(PlanChange::Removed { entry }),
        }
    }
    changes
}

/// The entries by kind and name; several of one name are numbered.
fn entries(config: &OperatorConfig) -> BTreeMap<String, Value> {
    let mut entries = BTreeMap::new();
    let mut insert = |kind: &str, name: &str, value: Value| {
        let mut entry = format!("{kind} {name}");
        let mut number = 1;
        while entries.contains_key(&entry) {
            number += 1;
            entry = format!("{kind} {name} ({number})");
        }
        entries.insert(entry, value);
    };
    for route in &config.routes {
        insert("route", &route.name, json!(route));
    }
    for service in &config.services {
        insert("service", service.name.as_str(), json!(service));
    }
    for tenant in config.tenants.iter().flatten() {
        insert("tenant", tenant.name.as_str(), json!(tenant));
    }
    let sections = json!({
        "version": config.version,
        "limits": config.limits,
        "tenants": if config.tenants.is_some() { "listed" } else { "absent" },
    });
    entries.insert("configuration".into(), sections);
    entries
}

/// Compares objects field by field, and other values as a whole.
fn compare_fields(
    entry: &str,
    path: &str,
    old: &Value,
    new: &Value,
    changes: &mut Vec<PlanChange>,
) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        for name in names {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let [old, new] = [old, new].map(|fields| fields.get(name).unwrap_or(&Value::Null));
            compare_fields(entry, &path, old, new, changes);
        }
    } else if old != new {
        let (old, new) = (old.clone(), new.clone());
        changes.push(PlanChange::Changed { entry: entry.into(), field: path.into(), old, new });
    }
}

/// Lists the tenants whose API keys differ, with the numbers of keys added and removed.
pub(crate) fn compare_keys(old: &OperatorConfig, new: &OperatorConfig) -> Vec<PlanChange> {
    let (old, new) = (keys_by_tenant(old), keys_by_tenant(new));
    let mut changes = Vec::new();
    for (name, new) in &new {
        let Some(old) = old.get(name).filter(|old| *old != new) else { continue };
        let added = new.difference(old).count();
        let removed = old.difference(new).count();
        changes.push(PlanChange::Changed {
            entry: format!("tenant {name}"),
            field: "apiKeys".into(),
            old: json!(format!("{} keys", old.len())),
            new: json!(format!("{} keys ({added} added, {removed} removed)", new.len())),
        });
    }
    changes
}

fn keys_by_tenant(config: &OperatorConfig) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut keys: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for TenantEntry { name, api_keys, .. } in config.tenants.iter().flatten() {
        keys.entry(name.as_str()).or_default().extend(api_keys.iter().map(|key| &**key));
    }
    keys
}
