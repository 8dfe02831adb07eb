//! `docs/METRICS.md` names exactly the metrics that the programs use.

use std::collections::BTreeSet;
use std::path::Path;

/// Calls by which code names a metric.
const CALLS: [&str; 5] = ["count(", "add(", "time(", "gauge(", "count_tagged("];

/// The first text in quotation marks of each call on counters in a folder's sources.
fn used_names(program: &str) -> BTreeSet<String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(program).join("src");
    let mut names = BTreeSet::new();
    for file in std::fs::read_dir(folder).unwrap().flatten() {
        let text = std::fs::read_to_string(file.path()).unwrap();
        for part in text.split('"').skip(1).step_by(2).filter(|part| is_metric(&text, part)) {
            names.insert(part.to_owned());
        }
    }
    names
}

fn is_metric(text: &str, name: &str) -> bool {
    let quoted = format!("\"{name}\"");
    let called = CALLS.iter().any(|call| text.contains(&format!(".{call}{quoted}")));
    // The outcome's counter is chosen by a match inside the call.
    let outcome = name.starts_with("call.") && text.contains(&format!("=> {quoted}"));
    called || outcome
}

fn documented_names(heading: &str) -> BTreeSet<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let section = page.split("\n## ").find(|part| part.starts_with(heading)).unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split('`').next().unwrap().to_owned()).collect()
}

#[test]
fn the_page_names_the_entrys_metrics() {
    assert_eq!(documented_names("Entry"), used_names("entry"));
}

#[test]
fn the_page_names_the_stewards_metrics() {
    assert_eq!(documented_names("Steward"), used_names("steward"));
}

#[test]
fn the_page_names_the_nodes_metrics() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../node/src/metrics");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let sources: String = files.map(|file| std::fs::read_to_string(file).unwrap()).collect();
    let calls = sources.split("registry.register(").skip(1);
    let names = calls.filter_map(|call| call.split('"').nth(1)).map(str::to_owned);
    assert_eq!(documented_names("Node"), names.collect::<BTreeSet<_>>());
}
