//! `yard publish`, as a process before the platform's stand-ins.

use std::sync::atomic::Ordering;

use crate::platform::{FirstAppend, TestPlatform, run, sample, set_fault};
use base::{LogOffset, PublishId};
use config::{ConfigRecord, FileChange, PublishRecord};

const SHIFT_FILE: &str = "shift.overrides.jsonc";

#[test]
fn publishes_what_changed_and_waits_until_it_is_in_force() {
    let platform = TestPlatform::start(2, FirstAppend::Plain);
    let folder = sample("cobbler", "publishes");
    let first = platform.publish(&folder, "day", &["--note", "first files"]);
    insta::assert_snapshot!("first", first.show());
    insta::assert_snapshot!("unchanged", platform.publish(&folder, "day", &[]).show());
    std::fs::write(folder.join(SHIFT_FILE), "{ \"drain_vms\": [\"vm-9\"] }").unwrap();
    std::fs::remove_file(folder.join("bookings.service.jsonc")).unwrap();
    insta::assert_snapshot!("dry_run", platform.publish(&folder, "late", &["--dry-run"]).show());
    insta::assert_snapshot!("changed", platform.publish(&folder, "late", &[]).show());
    let json = platform.publish(&folder, "late", &["--format", "json"]);
    insta::assert_snapshot!("unchanged_json", json.show());
}

#[test]
fn a_faulty_file_is_not_sent() {
    let platform = TestPlatform::start(1, FirstAppend::Plain);
    let folder = sample("cobbler", "faulty");
    std::fs::write(folder.join(SHIFT_FILE), "{ \"drian\": [] }").unwrap();
    insta::assert_snapshot!(platform.publish(&folder, "day", &[]).show());
}

#[test]
fn the_second_of_two_operators_is_told_who_was_first() {
    let change = FileChange {
        path: format!("cobbler/{SHIFT_FILE}").into(),
        base: LogOffset(0),
        text: Some("{}".into()),
    };
    let rival = ConfigRecord::Publish(PublishRecord {
        id: PublishId(1),
        author: "night".into(),
        note: "".into(),
        files: vec![change],
    });
    let platform = TestPlatform::start(1, FirstAppend::Rival(rival.encode().to_string()));
    let folder = sample("cobbler", "rival");
    insta::assert_snapshot!(platform.publish(&folder, "day", &[]).show());
}

#[test]
fn a_lost_answer_is_resolved_by_reading_on() {
    let platform = TestPlatform::start(1, FirstAppend::Plain);
    set_fault(platform.log, r#"{"lose_answer": 1}"#);
    let run = platform.publish(&sample("harmattan", "lost"), "day", &[]);
    assert_eq!(run.code, 0, "{}", run.show());
    assert!(run.out.contains("accepted at offset 1\n"), "{}", run.show());
    assert!(run.err.contains("answer was lost"), "{}", run.show());
}

#[test]
fn what_cannot_be_resolved_is_said_to_be_unknown() {
    let platform = TestPlatform::start(1, FirstAppend::Refused);
    let folder = sample("harmattan", "unknown");
    let run = platform.publish(&folder, "day", &["--platform-seconds", "1", "--format", "json"]);
    assert_eq!(run.code, 3, "{}", run.show());
    let report: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(report["result"], "unknown");
}

#[test]
fn an_outage_of_the_log_is_told_before_anything_is_sent() {
    let platform = TestPlatform::start(1, FirstAppend::Plain);
    set_fault(platform.log, r#"{"outage": "refuse"}"#);
    let run = platform.publish(&sample("harmattan", "outage"), "day", &[]);
    assert_eq!(run.code, 3, "{}", run.show());
    assert!(run.err.contains("read of the log"), "{}", run.show());
}

#[test]
fn vms_that_lag_are_named() {
    let platform = TestPlatform::start(2, FirstAppend::Plain);
    platform.in_force.store(0, Ordering::Relaxed);
    let run = platform.publish(&sample("harmattan", "lag"), "day", &["--wait-seconds", "1"]);
    insta::assert_snapshot!(run.show());
}

#[test]
fn wrong_folders_are_bad_input() {
    let platform = TestPlatform::start(1, FirstAppend::Plain);
    let empty = sample("cobbler", "empty");
    for entry in std::fs::read_dir(&empty).unwrap() {
        std::fs::remove_file(entry.unwrap().path()).unwrap();
    }
    assert_eq!(platform.publish(&empty, "day", &[]).code, 2);
    assert_eq!(platform.publish(&empty.join("nowhere"), "day", &[]).code, 2);
    assert_eq!(run(&["publish"], &[]).code, 2);
}
