//! `yard check-plan`: each rule on the fixture with one fault, differences and exit codes.

use std::path::PathBuf;

use insta::assert_snapshot;
use serde_json::{Value, json};

use crate::platform::{Run, run};

/// A configuration in which nothing is found, with every field that a rule reads.
fn fixture() -> Value {
    json!({
        "version": 7,
        "routes": [
            { "name": "r1", "hostname": "desk.example", "pathPrefix": "/a/", "routeType": "idempotent",
              "timeoutMs": 1000, "targetLatencyMs": 1000, "service": "s1", "maxAttempts": 2 },
            { "name": "r2", "hostname": "desk.example", "pathPrefix": "/", "routeType": "streaming",
              "gapTargetMs": 48, "streamResume": true, "public": true,
              "trafficSplit": [{ "service": "s1", "weight": 9 }, { "service": "s2", "weight": 1 }] },
            { "name": "r3", "hostname": "other.example", "pathPrefix": "/a/", "service": "s1",
              "routeType": "non_idempotent", "maxAttempts": 1 },
        ],
        "services": [
            { "name": "s1", "maxConnections": 8, "healthPath": "/health", "coldStartS": 1, "coldPerS": 20 },
            { "name": "s2", "engine": { "slots": 4, "kvCapacity": 1000 } },
        ],
        "limits": { "maxHeaderBytes": 2000, "maxBodyBytes": 1000 },
        "tenants": [
            { "name": "t1", "apiKeys": ["sk-secret-1", "sk-secret-2"] },
            { "name": "t2", "apiKeys": ["sk-secret-3"] },
        ],
    })
}

/// The fixture with the value at each JSON pointer replaced. A `null` reads as an absent field.
fn edit(edits: &[(&str, Value)]) -> String {
    let mut config = fixture();
    for (pointer, value) in edits {
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        match config.pointer_mut(parent).unwrap() {
            Value::Array(entries) if field == "-" => entries.push(value.clone()),
            Value::Array(entries) => entries[field.parse::<usize>().unwrap()] = value.clone(),
            object => object[field] = value.clone(),
        }
    }
    config.to_string()
}

fn write(test: &str, content: &str) -> String {
    let name = format!("yard-check-plan-{}-{test}.json", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, content).unwrap();
    path.display().to_string()
}

/// Runs the command on `content`; no output may contain an API key.
fn check(test: &str, content: &str, more: &[&str]) -> Run {
    let path = write(test, content);
    let run = run(&[&["check-plan", &path], more].concat(), &[]);
    assert!(!run.out.contains("sk-secret") && !run.err.contains("sk-secret"), "{}", run.out);
    run
}

/// Exit codes and findings of the fixture with each of `edits` alone.
fn findings(test: &str, edits: &[(&str, Value)]) -> String {
    let show = |(pointer, value): &(&str, Value)| {
        let run = check(test, &edit(&[(pointer, value.clone())]), &[]);
        let lines: Vec<&str> = run.out.lines().filter(|line| line.contains(": ")).collect();
        format!("{} {}", run.code, lines.join("\n  "))
    };
    edits.iter().map(show).collect::<Vec<_>>().join("\n")
}

/// Guards against false alarms, such as one for a header limit above the body limit.
#[test]
fn a_configuration_without_fault_has_no_finding() {
    assert_snapshot!(check("clean", &edit(&[]), &[]).show());
}

/// Guards against sending a configuration that nodes skip, and against API keys in its error.
#[test]
fn a_configuration_that_cannot_be_decoded_names_the_field_without_its_value() {
    let faults = [
        ("/routes/1/priority", json!("high")),
        ("/routes/0/pathPrefix", json!(null)),
        ("/services/0/name", json!("two words")),
        ("/tenants/0/apiKeys", json!("sk-secret-1, expected sk-secret-2")),
        ("/tenants/1/priority", json!("sk-secret-3")),
    ];
    assert_snapshot!(findings("undecodable", &faults));
    assert_snapshot!("truncated", check("truncated", r#"{"version":7,"routes":["#, &[]).out);
    let quoted = json!(edit(&[])).to_string();
    assert_snapshot!("quoted", check("quoted", &quoted, &[]).out);
}

/// Guards against routes whose requests are all refused, or handled as another type.
#[test]
fn a_route_that_cannot_work_is_an_error() {
    let faults = [
        ("/routes/0/service", json!(null)),
        ("/routes/0/service", json!("s9")),
        ("/routes/1/trafficSplit/1/service", json!("s2x")),
        ("/routes/0/pathPrefix", json!("/a")),
        ("/routes/0/pathPrefix", json!("a/")),
        ("/routes/0/routeType", json!("Idempotent")),
        ("/routes/1/trafficSplit", json!([{ "service": "s2", "weight": 0 }])),
    ];
    assert_snapshot!(findings("errors", &faults));
}

/// Guards against entries that an operator believes to be in effect. The last route of a host
/// and prefix and the last tenant of a key win, so the earlier one has to be named.
#[test]
fn an_entry_that_can_never_match_is_a_warning() {
    let same = json!({ "name": "r4", "hostname": "DESK.example", "pathPrefix": "/a/",
        "routeType": "idempotent", "service": "s1" });
    let faults = [
        ("/routes/-", same),
        ("/routes/1/trafficSplit/0/weight", json!(0)),
        ("/routes/2/trafficSplit", json!([{ "service": "s2", "weight": 0 }])),
        ("/tenants/1/apiKeys/0", json!("sk-secret-2")),
        ("/services/-", json!({ "name": "s3" })),
    ];
    assert_snapshot!(findings("unmatched", &faults));
}

/// Guards against limits that nodes accept although they cannot hold together.
#[test]
fn limits_that_contradict_each_other_are_warnings() {
    let faults = [
        ("/routes/0/timeoutMs", json!(999.5)),
        ("/routes/2/targetLatencyMs", json!(30_001)),
        ("/routes/1/gapTargetMs", json!(30_001)),
        ("/routes/0/maxAttempts", json!(0)),
        ("/routes/0/streamResume", json!(true)),
        ("/routes/2/maxAttempts", json!(2)),
        ("/services/1/engine/kvCapacity", json!(0)),
        ("/services/1/engine/slots", json!(0)),
        ("/services/0/coldPerS", json!(0)),
        ("/limits/maxHeaderBytes", json!(0)),
        ("/limits/maxBodyBytes", json!(0)),
        ("/limits/idleTimeoutMs", json!(0)),
    ];
    assert_snapshot!(findings("limits", &faults));
}

/// Guards against a change that was not intended, and against API keys in the difference.
#[test]
fn each_difference_to_the_version_in_force_is_shown() {
    let in_force = write("in-force", &edit(&[]));
    let new = edit(&[
        ("/version", json!(8)),
        ("/routes/0/timeoutMs", json!(2500)),
        ("/routes/2/name", json!("r4")),
        ("/services/1/engine/slots", json!(5)),
        ("/limits/maxBodyBytes", json!(null)),
        ("/tenants/0/apiKeys/1", json!("sk-secret-4")),
        ("/tenants/1/name", json!("t3")),
    ]);
    assert_snapshot!(check("difference", &new, &["--in-force", &in_force]).show());
    let json = check("difference-json", &new, &["--in-force", &in_force, "--json"]);
    assert_eq!(json.code, 0, "differences alone change the exit code");
    let report: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(report["changes"].as_array().unwrap().len(), 9, "{report}");
}

/// Guards against a configuration that every node ignores, since its version is not higher.
#[test]
fn a_version_that_is_not_higher_is_an_error() {
    let in_force = write("version-in-force", &edit(&[]));
    for version in [6, 7] {
        let new = edit(&[("/version", json!(version))]);
        let shown = check("version", &new, &["--in-force", &in_force]);
        assert_eq!(shown.code, 2);
        let expected = format!("error: version: {version} is not higher than 7, in force");
        assert!(shown.out.contains(&expected), "{}", shown.out);
    }
    let broken = write("broken-in-force", "{}");
    let shown = check("broken", &edit(&[]), &["--in-force", &broken]);
    assert_eq!(shown.code, 2, "a comparison that could not be made passes");
    assert!(shown.out.contains("error: in force: field .: missing field"), "{}", shown.out);
}

/// Guards against scripts that send a faulty configuration, or take a missing file for one.
#[test]
fn each_result_has_an_exit_code_of_its_own() {
    let warning = edit(&[("/limits/maxBodyBytes", json!(0))]);
    let both = edit(&[("/limits/maxBodyBytes", json!(0)), ("/routes/0/service", json!("s9"))]);
    for (text, code, levels) in
        [(edit(&[]), 0, vec![]), (warning, 1, vec!["warning"]), (both, 2, vec!["error", "warning"])]
    {
        let shown = check("exit", &text, &["--json"]);
        let report: Value = serde_json::from_str(&shown.out).unwrap();
        let found = report["findings"].as_array().unwrap();
        let found: Vec<&str> = found.iter().map(|f| f["level"].as_str().unwrap()).collect();
        assert_eq!((shown.code, found), (code, levels));
    }
    assert_eq!(run(&["check-plan", "/nowhere/config.json"], &[]).code, 3);
    let more = ["--in-force", "/nowhere/config.json"];
    assert_eq!(check("exit-in-force", &edit(&[]), &more).code, 3);
}
