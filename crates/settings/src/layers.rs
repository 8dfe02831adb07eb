//! Layers: built-in defaults, then a file, then single values from the command line.

use std::path::Path;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::decode::{DecodeFault, decode_all, show, show_at};
use crate::document::{JSON_OPTIONS, JsonDocument};
use crate::field_path::FieldPath;
use crate::{FieldCheck, Result, SettingsDiagnostic, SettingsError, SettingsSchema, SharedFields};

/// A file's name and text.
#[derive(Debug, Clone, Copy)]
pub struct SettingsFile<'a> {
    /// Name, as faults show it.
    pub name: &'a str,
    /// Content.
    pub text: &'a str,
}

/// Reads the file at `path` and lays `sets` (each `NAME=VALUE`) over it.
///
/// # Errors
/// [`SettingsError`], also if the file cannot be read.
pub fn read_settings<T: SettingsSchema>(path: &Path, sets: &[String]) -> Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
        diagnostics: vec![SettingsDiagnostic {
            source: Arc::from(name.as_str()),
            line: None,
            field: Arc::from(""),
            found: Arc::from(error.to_string()),
            expected: Arc::from("a file that can be read"),
        }],
    })?;
    read_layers(Some(SettingsFile { name: &name, text: &text }), sets)
}

/// Reads one file without layers. A file without faults takes a short way, without the
/// lines that only faults need.
///
/// # Errors
/// [`SettingsError`] with every fault found.
pub fn read_document<T: SettingsSchema>(file: SettingsFile<'_>) -> Result<T> {
    if let Ok(document) = jsonc_parser::parse_to_serde_value::<T>(file.text, &JSON_OPTIONS) {
        let mut check = FieldCheck::default();
        document.check(&mut check);
        if check.faults.is_empty() {
            return Ok(document);
        }
    }
    read_layers(Some(file), &[])
}

/// Reads the layers, the later over the earlier, and checks the whole.
///
/// # Errors
/// [`SettingsError`] with every fault found.
pub fn read_layers<T: SettingsSchema>(
    file: Option<SettingsFile<'_>>,
    sets: &[String],
) -> Result<T> {
    let mut layers = Layers { file: file.map(|file| file.name), ..Layers::default() };
    let mut value = T::defaults();
    if let Some(file) = file {
        layers.read_file(file, &mut value)?;
    }
    layers.read_sets(sets, &mut value);
    let shared = T::shared_fields();
    let example = nest(T::example(), shared);
    let (decoded, faults) = decode_all::<T>(nest(value.clone(), shared), &example, shared);
    for fault in faults {
        layers.note(unnest(fault, shared));
    }
    let mut check = FieldCheck::default();
    if let Some(decoded) = &decoded {
        decoded.check(&mut check);
    }
    for (path, expected) in check.faults {
        let found =
            path.get(&value).map_or_else(|| "nothing".to_owned(), |value| show_at(&path, value));
        layers.note(DecodeFault { path, found, expected });
    }
    match decoded {
        Some(decoded) if layers.faults.is_empty() => Ok(decoded),
        _ => {
            layers.faults.sort_by_key(|fault| (fault.line.is_none(), fault.line));
            Err(SettingsError { diagnostics: layers.faults })
        }
    }
}

/// The line of a field of a document, from 1; for faults found by later checks.
#[must_use]
pub fn field_line(text: &str, field: &str) -> Option<usize> {
    JsonDocument::parse(text).ok()?.line(&FieldPath::parse(field))
}

#[derive(Default)]
struct Layers<'a> {
    file: Option<&'a str>,
    document: JsonDocument,
    sets: Vec<FieldPath>,
    faults: Vec<SettingsDiagnostic>,
}

impl Layers<'_> {
    fn read_file(&mut self, file: SettingsFile<'_>, value: &mut Value) -> Result<()> {
        self.document = JsonDocument::parse(file.text).map_err(|fault| SettingsError {
            diagnostics: vec![SettingsDiagnostic {
                source: Arc::from(file.name),
                line: Some(fault.line),
                field: Arc::from(""),
                found: Arc::from(fault.found),
                expected: Arc::from("JSON with comments"),
            }],
        })?;
        for (path, line) in &self.document.repeated {
            self.faults.push(SettingsDiagnostic {
                source: Arc::from(file.name),
                line: Some(*line),
                field: Arc::from(path.to_string()),
                found: Arc::from("a second value"),
                expected: Arc::from("each field once"),
            });
        }
        if !self.document.value.is_object() {
            let found = show(&self.document.value);
            let expected = "an object".to_owned();
            self.note(DecodeFault { path: FieldPath::default(), found, expected });
            return Err(SettingsError { diagnostics: std::mem::take(&mut self.faults) });
        }
        merge(value, self.document.value.clone());
        Ok(())
    }

    fn read_sets(&mut self, sets: &[String], value: &mut Value) {
        for set in sets {
            let Some((name, text)) = set.split_once('=') else {
                self.faults.push(SettingsDiagnostic {
                    source: Arc::from(format!("--set {set}")),
                    line: None,
                    field: Arc::from(""),
                    found: Arc::from("no ="),
                    expected: Arc::from("NAME=VALUE"),
                });
                continue;
            };
            let path = FieldPath::parse(name);
            let leaf = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
            place(value, &path, leaf);
            self.sets.push(path);
        }
    }

    fn note(&mut self, fault: DecodeFault) {
        let set = self.sets.iter().rfind(|set| fault.path.0.starts_with(&set.0));
        let (source, line) = match (set, self.file) {
            (Some(set), _) => (format!("--set {set}"), None),
            (None, Some(file)) => (file.to_owned(), self.document.line(&fault.path)),
            (None, None) => ("built-in defaults".to_owned(), None),
        };
        self.faults.push(SettingsDiagnostic {
            source: Arc::from(source),
            line,
            field: Arc::from(fault.path.to_string()),
            found: Arc::from(fault.found),
            expected: Arc::from(fault.expected),
        });
    }
}

/// One object out of several, the later over the earlier.
pub(crate) fn lay(layers: &[Value]) -> Value {
    let mut whole = Value::Object(Map::new());
    for layer in layers {
        merge(&mut whole, layer.clone());
    }
    whole
}

/// Lays `upper` over `lower`: objects field by field, everything else whole.
fn merge(lower: &mut Value, upper: Value) {
    match (lower, upper) {
        (Value::Object(lower), Value::Object(upper)) => {
            for (name, value) in upper {
                merge(lower.entry(name).or_insert(Value::Null), value);
            }
        }
        (lower, upper) => *lower = upper,
    }
}

/// Puts `leaf` at `path`; objects on the way are made, list elements must exist.
fn place(value: &mut Value, path: &FieldPath, leaf: Value) {
    if let Some(slot) = path.get_mut(value) {
        *slot = leaf;
        return;
    }
    let (Some(parent), Some(name)) = (path.parent(), path.last_key()) else { return };
    if parent.get(value).is_none() {
        place(value, &parent, Value::Object(Map::new()));
    }
    if let Some(fields) = parent.get_mut(value).and_then(Value::as_object_mut) {
        fields.insert(name.to_owned(), leaf);
    }
}

/// Moves the shared fields into the structure that they belong to.
fn nest(mut value: Value, shared: Option<SharedFields>) -> Value {
    let (Some(shared), Some(fields)) = (shared, value.as_object_mut()) else { return value };
    let take = |name: &&str| fields.remove(*name).map(|value| ((*name).to_owned(), value));
    let inner: Map<String, Value> = shared.fields.iter().filter_map(take).collect();
    fields.insert(shared.inner.to_owned(), Value::Object(inner));
    value
}

/// Gives a fault the path that stands in the document.
fn unnest(mut fault: DecodeFault, shared: Option<SharedFields>) -> DecodeFault {
    let inner = shared.map(|shared| FieldPath::default().child(shared.inner));
    if let Some(inner) = inner
        && fault.path.0.starts_with(&inner.0)
    {
        fault.path.0.drain(..inner.0.len());
    }
    fault
}
