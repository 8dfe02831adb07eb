//! Merging of layers: built-in defaults, then a file, then `--set` overrides.

use std::path::Path;
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::decode::{DecodeError, decode_all, display_field, display_value};
use crate::document::{JSON_OPTIONS, JsonDocument};
use crate::field_path::FieldPath;
use crate::{FieldCheck, Result, SettingsDiagnostic, SettingsError, SettingsSchema, SharedFields};

/// Name and text of a settings file.
#[derive(Debug, Clone, Copy)]
pub struct SettingsFile<'a> {
    /// Name, as shown in diagnostics.
    pub name: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// Reads the file at `path` and applies `overrides` (each `NAME=VALUE`) to it.
///
/// # Errors
/// [`SettingsError`] if the file cannot be read or the merged settings are invalid.
pub fn read_settings<T: SettingsSchema>(path: &Path, overrides: &[String]) -> Result<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
        diagnostics: vec![SettingsDiagnostic {
            source: Arc::from(name.as_str()),
            line: None,
            field: Arc::from(""),
            found: Arc::from(error.to_string()),
            expected: Arc::from("a readable file"),
        }],
    })?;
    read_layers(Some(SettingsFile { name: &name, text: &text }), overrides)
}

/// Reads a file without overrides. It is decoded directly if that succeeds; otherwise it goes
/// through [`read_layers`], which also tracks the lines that diagnostics need.
///
/// # Errors
/// [`SettingsError`] with a diagnostic for every error found.
pub fn read_document<T: SettingsSchema>(file: SettingsFile<'_>) -> Result<T> {
    if let Ok(document) = jsonc_parser::parse_to_serde_value::<T>(file.text, &JSON_OPTIONS) {
        let mut check = FieldCheck::default();
        document.check(&mut check);
        if check.violations.is_empty() {
            return Ok(document);
        }
    }
    read_layers(Some(file), &[])
}

/// Merges the defaults, `file` and `overrides` in this order, later values replacing earlier
/// ones, then decodes and validates the result.
///
/// # Errors
/// [`SettingsError`] with a diagnostic for every error found.
pub fn read_layers<T: SettingsSchema>(
    file: Option<SettingsFile<'_>>,
    overrides: &[String],
) -> Result<T> {
    let mut reader = LayerReader { file: file.map(|file| file.name), ..LayerReader::default() };
    let mut value = T::defaults();
    if let Some(file) = file {
        reader.read_file(file, &mut value)?;
    }
    reader.apply_overrides(overrides, &mut value);
    let shared = T::shared_fields();
    let example = nest(T::example(), shared);
    let (decoded, errors) = decode_all::<T>(nest(value.clone(), shared), &example, shared);
    for error in errors {
        reader.add_diagnostic(unnest(error, shared));
    }
    let mut check = FieldCheck::default();
    if let Some(decoded) = &decoded {
        decoded.check(&mut check);
    }
    for (path, expected) in check.violations {
        let found = path
            .get(&value)
            .map_or_else(|| "nothing".to_owned(), |value| display_field(&path, value));
        reader.add_diagnostic(DecodeError { path, found, expected });
    }
    match decoded {
        Some(decoded) if reader.diagnostics.is_empty() => Ok(decoded),
        _ => {
            reader
                .diagnostics
                .sort_by_key(|diagnostic| (diagnostic.line.is_none(), diagnostic.line));
            Err(SettingsError { diagnostics: reader.diagnostics })
        }
    }
}

/// The 1-based line of a field of the document `text`, for checks that run after reading it.
#[must_use]
pub fn field_line(text: &str, field: &str) -> Option<usize> {
    JsonDocument::parse(text).ok()?.line(&FieldPath::parse(field))
}

#[derive(Default)]
struct LayerReader<'a> {
    file: Option<&'a str>,
    document: JsonDocument,
    /// Paths that `--set` has written, in the order of the command line.
    overridden: Vec<FieldPath>,
    diagnostics: Vec<SettingsDiagnostic>,
}

impl LayerReader<'_> {
    fn read_file(&mut self, file: SettingsFile<'_>, value: &mut Value) -> Result<()> {
        self.document = JsonDocument::parse(file.text).map_err(|error| SettingsError {
            diagnostics: vec![SettingsDiagnostic {
                source: Arc::from(file.name),
                line: Some(error.line),
                field: Arc::from(""),
                found: Arc::from(error.message),
                expected: Arc::from("JSON with comments"),
            }],
        })?;
        for (path, line) in &self.document.duplicates {
            self.diagnostics.push(SettingsDiagnostic {
                source: Arc::from(file.name),
                line: Some(*line),
                field: Arc::from(path.to_string()),
                found: Arc::from("a duplicate field"),
                expected: Arc::from("each field at most once"),
            });
        }
        if !self.document.value.is_object() {
            let found = display_value(&self.document.value);
            let expected = "an object".to_owned();
            self.add_diagnostic(DecodeError { path: FieldPath::default(), found, expected });
            return Err(SettingsError { diagnostics: std::mem::take(&mut self.diagnostics) });
        }
        merge(value, self.document.value.clone());
        Ok(())
    }

    fn apply_overrides(&mut self, overrides: &[String], value: &mut Value) {
        for entry in overrides {
            let Some((name, text)) = entry.split_once('=') else {
                self.diagnostics.push(SettingsDiagnostic {
                    source: Arc::from(format!("--set {entry}")),
                    line: None,
                    field: Arc::from(""),
                    found: Arc::from("no \"=\""),
                    expected: Arc::from("NAME=VALUE"),
                });
                continue;
            };
            let path = FieldPath::parse(name);
            let leaf = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
            set_value(value, &path, leaf);
            self.overridden.push(path);
        }
    }

    /// Adds a diagnostic that names the layer from which the field comes.
    fn add_diagnostic(&mut self, error: DecodeError) {
        let override_path = self.overridden.iter().rfind(|path| error.path.0.starts_with(&path.0));
        let (source, line) = match (override_path, self.file) {
            (Some(path), _) => (format!("--set {path}"), None),
            (None, Some(file)) => (file.to_owned(), self.document.line(&error.path)),
            (None, None) => ("built-in defaults".to_owned(), None),
        };
        self.diagnostics.push(SettingsDiagnostic {
            source: Arc::from(source),
            line,
            field: Arc::from(error.path.to_string()),
            found: Arc::from(error.found),
            expected: Arc::from(error.expected),
        });
    }
}

/// Merges objects into one; later values replace earlier ones.
pub(crate) fn merge_all(layers: &[Value]) -> Value {
    let mut merged = Value::Object(Map::new());
    for layer in layers {
        merge(&mut merged, layer.clone());
    }
    merged
}

/// Merges `upper` into `lower`: objects recursively, any other value is replaced.
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

/// Sets the value at `path`. Missing objects along the path are created; array elements must
/// exist, otherwise nothing is changed.
fn set_value(value: &mut Value, path: &FieldPath, leaf: Value) {
    if let Some(slot) = path.get_mut(value) {
        *slot = leaf;
        return;
    }
    let (Some(parent), Some(name)) = (path.parent(), path.last_key()) else { return };
    if parent.get(value).is_none() {
        set_value(value, &parent, Value::Object(Map::new()));
    }
    if let Some(fields) = parent.get_mut(value).and_then(Value::as_object_mut) {
        fields.insert(name.to_owned(), leaf);
    }
}

/// Moves the shared top-level fields into the object of the nested struct.
fn nest(mut value: Value, shared: Option<SharedFields>) -> Value {
    let (Some(shared), Some(fields)) = (shared, value.as_object_mut()) else { return value };
    let take = |name: &&str| fields.remove(*name).map(|value| ((*name).to_owned(), value));
    let inner: Map<String, Value> = shared.fields.iter().filter_map(take).collect();
    fields.insert(shared.inner.to_owned(), Value::Object(inner));
    value
}

/// Reverses [`nest`] for the path of an error, so that it matches the document.
fn unnest(mut error: DecodeError, shared: Option<SharedFields>) -> DecodeError {
    let inner = shared.map(|shared| FieldPath::default().child(shared.inner));
    if let Some(inner) = inner
        && error.path.0.starts_with(&inner.0)
    {
        error.path.0.drain(..inner.0.len());
    }
    error
}
