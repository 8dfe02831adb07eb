//! Decoding of JSON into a type that reports all errors, not only the first.
//!
//! Serde stops at the first error. After each one, the invalid value is replaced by that of the
//! example and decoding restarts.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::SharedFields;
use crate::field_path::FieldPath;

/// Maximum number of errors reported for one document.
const MAX_ERRORS: usize = 100;
/// Minimum Jaro-Winkler similarity of a field name for it to be suggested.
const MIN_SIMILARITY: f64 = 0.7;
/// Length to which a displayed value is truncated, in characters.
const MAX_SHOWN_CHARS: usize = 60;
/// Fields whose values are redacted in diagnostics.
const SECRET_FIELDS: [&str; 2] = ["secret_hex", "private_key"];

/// An error at a field, not yet attributed to a file and line.
#[derive(Debug, PartialEq)]
pub(crate) struct DecodeError {
    pub path: FieldPath,
    pub found: String,
    pub expected: String,
}

/// Decodes `value` and returns every error found. The decoded value is `None` if the errors
/// could not all be repaired with values of `example`.
pub(crate) fn decode_all<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
    shared: Option<SharedFields>,
) -> (Option<T>, Vec<DecodeError>) {
    let mut errors = Vec::new();
    while errors.len() < MAX_ERRORS {
        let source = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(decoded) => return (Some(decoded), errors),
            Err(error) => error,
        };
        let path = FieldPath::parse(&source.path().to_string());
        let message = source.inner().to_string();
        let (error, repaired) = match parse_message(&message) {
            SerdeMessage::UnknownField(name, known) => {
                let path = if path.last_key() == Some(name) { path } else { path.child(name) };
                let repaired = remove_field(&mut value, &path);
                (unknown_field(path, name, &known, shared), repaired)
            }
            SerdeMessage::MissingField(name) => {
                let path = path.child(name);
                let repaired = insert_example(&mut value, &path, example);
                let expected = "a value, since the field has no default".to_owned();
                (DecodeError { path, found: "nothing".to_owned(), expected }, repaired)
            }
            SerdeMessage::InvalidValue { expected } => {
                let found = path
                    .get(&value)
                    .map_or_else(|| "nothing".to_owned(), |found| display_field(&path, found));
                let repaired = insert_example(&mut value, &path, example);
                (DecodeError { path, found, expected }, repaired)
            }
        };
        // An error that recurs was not repaired by the value of the example.
        if !repaired || errors.contains(&error) {
            errors.push(error);
            errors.dedup();
            return (None, errors);
        }
        errors.push(error);
    }
    (None, errors)
}

/// Formats the value of the field at `path` for a diagnostic; secrets are redacted.
pub(crate) fn display_field(path: &FieldPath, value: &Value) -> String {
    if path.last_key().is_some_and(|name| SECRET_FIELDS.contains(&name)) {
        return "a redacted value".to_owned();
    }
    display_value(value)
}

/// Formats a value for a diagnostic: containers by their type, other values as truncated JSON.
pub(crate) fn display_value(value: &Value) -> String {
    let text = match value {
        Value::Object(_) => return "an object".to_owned(),
        Value::Array(_) => return "an array".to_owned(),
        scalar => scalar.to_string(),
    };
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    text.chars().take(MAX_SHOWN_CHARS).chain("…".chars()).collect()
}

/// An error message of serde, parsed.
enum SerdeMessage<'a> {
    UnknownField(&'a str, Vec<&'a str>),
    MissingField(&'a str),
    InvalidValue { expected: String },
}

/// Parses the text of a serde error, since serde does not expose its parts.
fn parse_message(message: &str) -> SerdeMessage<'_> {
    let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    if message.starts_with("unknown field") && !quoted.is_empty() {
        return SerdeMessage::UnknownField(quoted[0], quoted[1..].to_vec());
    }
    if message.starts_with("missing field") && !quoted.is_empty() {
        return SerdeMessage::MissingField(quoted[0]);
    }
    let expected = message.split_once(", expected ").map_or(message, |(_, expected)| expected);
    SerdeMessage::InvalidValue { expected: describe_expected(expected) }
}

/// Replaces the Rust terms in serde's description of an expected value by those of JSON.
fn describe_expected(expected: &str) -> String {
    let description = match expected {
        "u16" => "an integer from 0 to 65535",
        "u32" => "an integer from 0 to 4294967295",
        "u64" | "usize" => "an integer of at least 0",
        "f64" => "a number",
        "a string" | "a borrowed string" | "string" => "a string",
        "a boolean" => "true or false",
        "a sequence" => "an array",
        "invalid socket address syntax" | "socket address" => "a socket address IP:PORT",
        text if text.starts_with("struct ") => "an object",
        text => text,
    };
    match description.strip_prefix("not a ").and_then(|text| text.split_once(": ")) {
        Some((kind, reason)) => format!("a {kind}, but {reason}"),
        None => description.replace('`', ""),
    }
}

fn unknown_field(
    path: FieldPath,
    name: &str,
    known: &[&str],
    shared: Option<SharedFields>,
) -> DecodeError {
    let mut names = known.to_vec();
    if let (1, Some(shared)) = (path.0.len(), shared) {
        names.retain(|name| *name != shared.inner);
        names.extend(shared.fields);
    }
    let nearest = names
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), *known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let expected = match nearest {
        Some((_, nearest)) => format!("a known field; did you mean {nearest}?"),
        None => format!("one of {}", names.join(", ")),
    };
    DecodeError { path, found: "an unknown field".to_owned(), expected }
}

/// Removes a field. Returns whether it was there.
fn remove_field(value: &mut Value, path: &FieldPath) -> bool {
    let parent =
        path.parent().and_then(|parent| parent.get_mut(value).and_then(Value::as_object_mut));
    match (parent, path.last_key()) {
        (Some(fields), Some(name)) => fields.remove(name).is_some(),
        _ => false,
    }
}

/// Sets the field at `path` to its value in `example`. Returns false if the example has none or
/// the parent is not an object.
fn insert_example(value: &mut Value, path: &FieldPath, example: &Value) -> bool {
    let Some(replacement) = path.with_first_elements().get(example).cloned() else { return false };
    if let Some(slot) = path.get_mut(value) {
        *slot = replacement;
        return true;
    }
    let parent =
        path.parent().and_then(|parent| parent.get_mut(value).and_then(Value::as_object_mut));
    match (parent, path.last_key()) {
        (Some(fields), Some(name)) => fields.insert(name.to_owned(), replacement).is_none(),
        _ => false,
    }
}
