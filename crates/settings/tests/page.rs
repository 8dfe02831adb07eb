//! Checks that `docs/SETTINGS.md` lists every field with its default, and no other field.

use serde_json::Value;
use settings::{COMMON_FIELDS, EntrySettings, NodeSettings, SettingsSchema, StewardSettings};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

/// Names of all fields in `value`, recursively.
fn field_names(value: &Value) -> Vec<String> {
    match value {
        Value::Object(fields) => {
            let own = fields.keys().cloned();
            own.chain(fields.values().flat_map(field_names)).collect()
        }
        Value::Array(elements) => elements.iter().flat_map(field_names).collect(),
        _ => Vec::new(),
    }
}

/// The table row of a field, without the cell of its name.
fn row(name: &str) -> Option<&'static str> {
    PAGE.lines().find_map(|line| line.strip_prefix(&format!("| `{name}` |")))
}

#[test]
fn the_page_lists_every_field() {
    for name in field_names(&NodeSettings::example()) {
        assert!(row(&name).is_some(), "{name} has no row");
    }
    let examples = [EntrySettings::example(), StewardSettings::example()];
    for name in examples.iter().flat_map(field_names) {
        assert!(row(&name).is_some(), "{name} has no row");
    }
    for name in COMMON_FIELDS {
        assert!(row(name).is_some(), "{name} has no row");
        assert!(examples.iter().all(|example| example.get(name).is_some()), "{name}");
    }
}

#[test]
fn the_page_lists_every_default() {
    let defaults =
        [EntrySettings::defaults(), StewardSettings::defaults(), NodeSettings::defaults()];
    for defaults in defaults {
        for (name, value) in defaults.as_object().unwrap() {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            let cell = format!("| `{text}` |");
            assert!(row(name).unwrap().contains(&cell), "{name}: {cell}");
        }
    }
}

#[test]
fn the_page_lists_no_other_field() {
    let examples = [EntrySettings::example(), StewardSettings::example(), NodeSettings::example()];
    let known: Vec<String> = examples.iter().flat_map(field_names).collect();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    for name in rows {
        assert!(known.iter().any(|known| known == name), "{name} is not a field");
    }
}
