//! The check of published files.

use std::path::Path;

use base::{VmRecord, VmRole, VmState};
use config::{FileFault, check_drains, check_files, hash_key};

fn lines(faults: &[FileFault]) -> String {
    let lines: Vec<String> = faults.iter().map(FileFault::to_string).collect();
    lines.join("\n")
}

fn show(files: &[(&str, &str)]) -> String {
    lines(&check_files(files))
}

#[test]
fn the_samples_have_no_fault() {
    for user in ["cobbler", "harmattan"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(user);
        let mut files = Vec::new();
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            files.push((name, std::fs::read_to_string(&path).unwrap()));
        }
        let files: Vec<_> = files.iter().map(|(name, text)| (&**name, &**text)).collect();
        assert_eq!(files.len(), 4);
        assert_eq!(show(&files), "");
    }
}

#[test]
fn the_keys_of_the_samples_are_the_documented_ones() {
    let text = include_str!("../../../samples/cobbler/cobbler.workspaces.jsonc");
    let documented = text.lines().filter_map(|line| line.trim().strip_prefix("// sample-key-"));
    let mut count = 0;
    for workspace in documented {
        assert!(text.contains(&*hash_key(&format!("sample-key-{workspace}"))), "{workspace}");
        count += 1;
    }
    assert_eq!(count, 10);
}

#[test]
fn faults_within_a_file() {
    let service = r#"{
    "service": "one",
    "kind": "plain",
    "models": [{ "name": "m" }],
    "workspaces": [
        { "workspace": "w", "share": 0 },
        { "workspace": "w", "priority": "late" }
    ],
    "calls": [
        { "path": "bookings", "method": "PUSH", "repeatable": true, "not_run_status": 200 },
        { "path": "/a", "method": "GET" }
    ],
    "weights": { "preemptions": -1 },
    "check_fencing": true
}"#;
    let workspaces = r#"{ "workspaces": [{ "workspace": "w", "key_hashes": ["SHA256"] }] }"#;
    insta::assert_snapshot!(show(&[
        ("a/one.service.jsonc", service),
        ("a/w.workspaces.jsonc", workspaces),
        ("a/notes.txt", ""),
        ("a/x.overrides.jsonc", "{ \"drain\": [1], }\n{"),
    ]));
}

#[test]
fn faults_between_files() {
    let service = |name: &str, workspace: &str| {
        format!(
            "{{\n \"service\": \"{name}\",\n \"kind\": \"model\",\n \"models\": [{{ \"name\": \"m\" }}],\n \
             \"workspaces\": [\n  {{ \"workspace\": \"{workspace}\" }}\n ]\n}}"
        )
    };
    let hash = hash_key("key");
    let workspaces = |name: &str| {
        format!(
            "{{ \"workspaces\": [{{ \"workspace\": \"{name}\", \"key_hashes\": [\"{hash}\"] }}] }}"
        )
    };
    insta::assert_snapshot!(show(&[
        ("a.service.jsonc", &service("one", "counter-1")),
        ("b.service.jsonc", &service("one", "countre")),
        ("c.workspaces.jsonc", &workspaces("counter-1")),
        ("d.workspaces.jsonc", &workspaces("other")),
        ("e.workspaces.jsonc", &workspaces("other")),
    ]));
}

#[test]
fn a_drain_of_an_unknown_machine_is_a_warning() {
    let vm = |name: &str, role: VmRole| VmRecord {
        vm: name.parse().unwrap(),
        place: "p".parse().unwrap(),
        role,
        service: None,
        address: "127.0.0.1:1".parse().unwrap(),
        steward: None,
        state: VmState::Live,
    };
    let vms = [vm("runner-1", VmRole::Runner), vm("vm-1", VmRole::Entry)];
    let text = "{\n \"drain\": [\"runner-1\", \"vm-1\"],\n \"drain_vms\": [\"vm-1\", \"vm-2\"]\n}";
    let faults = check_drains(&[("s.overrides.jsonc", text)], &vms);
    insta::assert_snapshot!(lines(&faults));
}
