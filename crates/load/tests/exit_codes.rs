//! Exit codes of the program.

use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_yard-load")).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text + &String::from_utf8_lossy(&output.stderr))
}

#[test]
fn arguments_that_cannot_be_used_give_2() {
    for arguments in [
        &["traffic"][..],
        &["traffic", "--entries", "127.0.0.1:1"],
        &["traffic", "--entries", "somewhere", "--caller", "agency=key"],
        &["traffic", "--entries", "127.0.0.1:1", "--caller", "agency"],
        &["traffic", "--entries", "127.0.0.1:1", "--caller", "a=k", "--mix", "no-such-file"],
        &["traffic", "--entries", "127.0.0.1:1", "--caller", "not-of-the-mix=k"],
        &["nothing"],
    ] {
        let (code, text) = run(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {text}");
    }
}

#[test]
fn a_load_that_breaks_nothing_gives_0_and_a_report() {
    let mix = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/open_mix.jsonc");
    let arguments = ["traffic", "--entries", "127.0.0.1:1", "--caller", "a=k", "--seconds", "0"];
    let (code, text) = run(&[&arguments[..], &["--mix", mix, "--format", "json"]].concat());
    assert_eq!(code, Some(0), "{text}");
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["classes"].as_array().unwrap().len(), 1);
    assert_eq!(run(&["traffic", "--help"]).0, Some(0));
}
