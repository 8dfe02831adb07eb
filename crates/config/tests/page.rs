//! `docs/CONFIGURATION.md` names every field of the published files.

use config::{OverridesFile, ServiceFile, WorkspacesFile};
use serde_json::Value;
use settings::SettingsSchema;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

fn paths(prefix: &str, value: &Value) -> Vec<String> {
    match value {
        Value::Object(fields) => fields
            .iter()
            .flat_map(|(name, value)| {
                let path =
                    if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                [vec![path.clone()], paths(&path, value)].concat()
            })
            .collect(),
        Value::Array(elements) => {
            elements.iter().flat_map(|element| paths(&format!("{prefix}[]"), element)).collect()
        }
        _ => Vec::new(),
    }
}

#[test]
fn the_page_names_every_field() {
    let examples = [ServiceFile::example(), WorkspacesFile::example(), OverridesFile::example()];
    let known: Vec<String> = examples.iter().flat_map(|example| paths("", example)).collect();
    for path in &known {
        assert!(PAGE.contains(&format!("| `{path}` |")), "{path} has no row");
    }
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    for name in rows.filter(|name| !name.contains(' ') && *name != "in") {
        assert!(known.iter().any(|path| path == name), "{name} is no field");
    }
}
