//! Turning JSON into a type with all faults found, not just the first.
//!
//! After each fault the value of the example stands in for the faulty one, and the
//! reading starts again.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::SharedFields;
use crate::field_path::FieldPath;

/// Most faults that are reported for one document.
const MAX_FAULTS: usize = 100;
/// Least similarity of a name that is suggested.
const MIN_SIMILARITY: f64 = 0.7;
/// Longest part of a found value that is shown, in characters.
const MAX_SHOWN_CHARS: usize = 60;
/// Fields whose values are never shown.
const SECRET_FIELDS: [&str; 2] = ["secret_hex", "private_key"];

/// A fault before its place in a file is known.
#[derive(Debug, PartialEq)]
pub(crate) struct DecodeFault {
    pub path: FieldPath,
    pub found: String,
    pub expected: String,
}

/// Reads `value` as `T`, with every fault; none only if the faults could not be mended.
pub(crate) fn decode_all<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
    shared: Option<SharedFields>,
) -> (Option<T>, Vec<DecodeFault>) {
    let mut faults = Vec::new();
    while faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(decoded) => return (Some(decoded), faults),
            Err(error) => error,
        };
        let path = FieldPath::parse(&error.path().to_string());
        let message = error.inner().to_string();
        let (fault, mended) = match read_message(&message) {
            Message::UnknownField(name, known) => {
                let path = if path.last_key() == Some(name) { path } else { path.child(name) };
                let mended = remove(&mut value, &path);
                (unknown_field(path, name, &known, shared), mended)
            }
            Message::MissingField(name) => {
                let path = path.child(name);
                let mended = insert(&mut value, &path, example);
                let expected = "this field, which has no default".to_owned();
                (DecodeFault { path, found: "nothing".to_owned(), expected }, mended)
            }
            Message::Wrong { expected } => {
                let found = path
                    .get(&value)
                    .map_or_else(|| "nothing".to_owned(), |found| show_at(&path, found));
                let mended = insert(&mut value, &path, example);
                (DecodeFault { path, found, expected }, mended)
            }
        };
        // A fault seen before comes back when the example cannot mend it.
        if !mended || faults.contains(&fault) {
            faults.push(fault);
            faults.dedup();
            return (None, faults);
        }
        faults.push(fault);
    }
    (None, faults)
}

/// A value as it is shown in a fault of the field at `path`.
pub(crate) fn show_at(path: &FieldPath, value: &Value) -> String {
    if path.last_key().is_some_and(|name| SECRET_FIELDS.contains(&name)) {
        return "a value that is not shown".to_owned();
    }
    show(value)
}

/// A value as it is shown in a fault.
pub(crate) fn show(value: &Value) -> String {
    let text = match value {
        Value::Object(_) => return "an object".to_owned(),
        Value::Array(_) => return "a list".to_owned(),
        simple => simple.to_string(),
    };
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    text.chars().take(MAX_SHOWN_CHARS).chain("…".chars()).collect()
}

enum Message<'a> {
    UnknownField(&'a str, Vec<&'a str>),
    MissingField(&'a str),
    Wrong { expected: String },
}

/// Reads an error text of `serde`, whose parts have no other access.
fn read_message(message: &str) -> Message<'_> {
    let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    if message.starts_with("unknown field") && !quoted.is_empty() {
        return Message::UnknownField(quoted[0], quoted[1..].to_vec());
    }
    if message.starts_with("missing field") && !quoted.is_empty() {
        return Message::MissingField(quoted[0]);
    }
    let expected = message.split_once(", expected ").map_or(message, |(_, expected)| expected);
    Message::Wrong { expected: plain_words(expected) }
}

fn plain_words(expected: &str) -> String {
    let plain = match expected {
        "u16" => "a whole number from 0 to 65535",
        "u32" => "a whole number from 0 to 4294967295",
        "u64" | "usize" => "a whole number from 0",
        "f64" => "a number",
        "a string" | "a borrowed string" | "string" => "a text",
        "a boolean" => "true or false",
        "a sequence" => "a list",
        "invalid socket address syntax" | "socket address" => "an address IP:PORT",
        text if text.starts_with("struct ") => "an object",
        text => text,
    };
    match plain.strip_prefix("not a ").and_then(|text| text.split_once(": ")) {
        Some((kind, reason)) => format!("a {kind}, but {reason}"),
        None => plain.replace('`', ""),
    }
}

fn unknown_field(
    path: FieldPath,
    name: &str,
    known: &[&str],
    shared: Option<SharedFields>,
) -> DecodeFault {
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
    DecodeFault { path, found: "an unknown field".to_owned(), expected }
}

fn remove(value: &mut Value, path: &FieldPath) -> bool {
    let parent =
        path.parent().and_then(|parent| parent.get_mut(value).and_then(Value::as_object_mut));
    match (parent, path.last_key()) {
        (Some(fields), Some(name)) => fields.remove(name).is_some(),
        _ => false,
    }
}

fn insert(value: &mut Value, path: &FieldPath, example: &Value) -> bool {
    let Some(good) = path.first_elements().get(example).cloned() else { return false };
    if let Some(slot) = path.get_mut(value) {
        *slot = good;
        return true;
    }
    let parent =
        path.parent().and_then(|parent| parent.get_mut(value).and_then(Value::as_object_mut));
    match (parent, path.last_key()) {
        (Some(fields), Some(name)) => fields.insert(name.to_owned(), good).is_none(),
        _ => false,
    }
}
