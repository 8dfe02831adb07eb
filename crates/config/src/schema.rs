//! Defaults, examples and checks of the operators' files, field by field.

use serde_json::{Value, json};
use settings::{FieldCheck, SettingsSchema};

use crate::{OverridesFile, ServiceFile, ServiceKind, WorkspacesFile};

/// Largest share of a workspace.
const MAX_SHARE: u32 = 1_000_000;
/// Largest weight.
const MAX_WEIGHT: f64 = 1e6;
/// Characters of a SHA-256 sum in hexadecimal.
const HASH_CHARS: usize = 64;
/// HTTP methods that a call may name.
const METHODS: [&str; 7] = ["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

impl SettingsSchema for ServiceFile {
    fn defaults() -> Value {
        json!({})
    }

    fn example() -> Value {
        json!({
            "service": "summaries",
            "kind": "model",
            "models": [{ "name": "summary", "continues_from_prefix": false, "runners": 0 }],
            "workspaces": [{ "workspace": "counter", "share": 1, "priority": "normal" }],
            "calls": [
                { "path": "/", "method": "GET", "repeatable": false, "not_run_status": 0 }
            ],
            "weights": { "preemptions": 1.0, "gap_tail": 1.0, "stall": 1.0 },
            "checks_fencing": false,
        })
    }

    fn check(&self, check: &mut FieldCheck) {
        check_kind(self, check);
        check_models(self, check);
        check_workspaces(self, check);
        check_calls(self, check);
        let weights = [
            (self.weights.preemptions, "weights.preemptions"),
            (self.weights.gap_tail, "weights.gap_tail"),
            (self.weights.stall, "weights.stall"),
        ];
        for (weight, field) in weights {
            check.require_range(weight, field, 0.0, MAX_WEIGHT);
        }
    }
}

fn check_kind(file: &ServiceFile, check: &mut FieldCheck) {
    match file.kind {
        ServiceKind::Model => {
            check.require(!file.models.is_empty(), "models", "at least one model");
            check.require(file.calls.is_empty(), "calls", "no calls in a model service");
        }
        ServiceKind::Plain => {
            check.require(file.models.is_empty(), "models", "no models in a plain service");
            check.require(!file.calls.is_empty(), "calls", "at least one call");
        }
    }
}

fn check_models(file: &ServiceFile, check: &mut FieldCheck) {
    for (at, model) in file.models.iter().enumerate() {
        let twice = file.models[..at].iter().any(|other| other.name == model.name);
        check.require(!twice, &format!("models[{at}].name"), "each model once");
    }
}

fn check_workspaces(file: &ServiceFile, check: &mut FieldCheck) {
    check.require(!file.workspaces.is_empty(), "workspaces", "at least one workspace");
    let mut seen = std::collections::BTreeSet::new();
    for (at, rule) in file.workspaces.iter().enumerate() {
        check.require_range(rule.share, &format!("workspaces[{at}].share"), 1, MAX_SHARE);
        let first = seen.insert(&rule.workspace);
        check.require(first, &format!("workspaces[{at}].workspace"), "each workspace once");
    }
}

fn check_calls(file: &ServiceFile, check: &mut FieldCheck) {
    for (at, call) in file.calls.iter().enumerate() {
        let path = call.path.starts_with('/') && !call.path.contains(['?', '#', ' ']);
        check.require(path, &format!("calls[{at}].path"), "a path that starts with /");
        let method = METHODS.iter().any(|method| method.eq_ignore_ascii_case(&call.method));
        check.require(
            method,
            &format!("calls[{at}].method"),
            format_args!("one of {}", METHODS.join(", ")),
        );
        let status = call.not_run_status == 0 || (400..600).contains(&call.not_run_status);
        check.require(
            status,
            &format!("calls[{at}].not_run_status"),
            "0, or a status from 400 to 599",
        );
        let same = |other: &&crate::CallRule| {
            other.path == call.path && other.method.eq_ignore_ascii_case(&call.method)
        };
        let twice = file.calls[..at].iter().any(|other| same(&other));
        check.require(!twice, &format!("calls[{at}].path"), "each path and method once");
    }
}

impl SettingsSchema for WorkspacesFile {
    fn defaults() -> Value {
        json!({})
    }

    fn example() -> Value {
        json!({ "workspaces": [{ "workspace": "counter", "key_hashes": ["0".repeat(HASH_CHARS)] }] })
    }

    fn check(&self, check: &mut FieldCheck) {
        for (at, keys) in self.workspaces.iter().enumerate() {
            let field = format!("workspaces[{at}].key_hashes");
            check.require(!keys.key_hashes.is_empty(), &field, "at least one hash");
            for (index, hash) in keys.key_hashes.iter().enumerate() {
                let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
                let good = hash.len() == HASH_CHARS && hash.bytes().all(digit);
                let expected = "a SHA-256 sum: 64 lower-case hexadecimal digits";
                check.require(good, &format!("{field}[{index}]"), expected);
            }
        }
    }
}

impl SettingsSchema for OverridesFile {
    fn defaults() -> Value {
        json!({})
    }

    fn example() -> Value {
        json!({ "drain": ["runner-1"], "drain_vms": ["vm-1"] })
    }

    fn check(&self, _check: &mut FieldCheck) {}
}
