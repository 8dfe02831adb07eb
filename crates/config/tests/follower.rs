//! Followers of the configuration under failures, in virtual time.

mod common;

use std::sync::Arc;

use base::{LogOffset, PublishId, TimePoint, TimeSpan};
use common::Bench;
use config::{CheckpointRecord, ConfigRecord, FoldOutcome, ResetFile, ResetRecord};

const OVERRIDES: &str = "shift.overrides.jsonc";

fn drain(runner: u64) -> String {
    format!(r#"{{ "drain": ["runner-{runner}"] }}"#)
}

/// Every live follower has the log's newest files in force.
fn assert_all_agree(bench: &Bench) {
    let truth = bench.truth();
    for (at, node) in bench.nodes.iter().enumerate().filter(|(_, node)| node.alive) {
        let follower = &node.follower;
        assert_eq!(follower.state().files, truth.files, "node {at}");
        assert_eq!(follower.plan().offset, truth.accepted, "node {at}");
        assert_eq!(follower.plan().in_force, truth.accepted, "node {at}");
    }
}

#[test]
fn a_publish_is_in_force_everywhere_within_seconds() {
    let mut bench = Bench::new(40, 4);
    bench.run(TimeSpan::seconds(10));
    let readers = bench.nodes.iter().filter(|node| node.follower.is_reader()).count();
    assert_eq!(readers, 12);
    let offset = bench.publish(OVERRIDES, &drain(1));
    bench.run(TimeSpan::seconds(2));
    assert_all_agree(&bench);
    assert!(bench.nodes.iter().all(|node| node.in_force.last() == Some(&offset)));
    assert!(bench.nodes[0].follower.plan().drained.contains(&"runner-1".parse().unwrap()));
}

#[test]
fn an_idle_log_is_polled_rarely() {
    let mut bench = Bench::new(10, 2);
    bench.publish(OVERRIDES, &drain(1));
    bench.run(TimeSpan::seconds(300));
    for node in &bench.nodes {
        let most = if node.follower.is_reader() { 75 } else { 10 };
        assert!(node.reads <= most, "{} reads", node.reads);
    }
    let checkpoints: u64 = bench.nodes.iter().map(|node| node.checkpoints).sum();
    assert_eq!(checkpoints, 1);
}

#[test]
fn in_an_outage_of_the_log_a_fresh_vm_adopts_the_state_of_peers() {
    let mut bench = Bench::new(3, 1);
    bench.publish(OVERRIDES, &drain(1));
    bench.run(TimeSpan::seconds(20));
    bench.log.down = true;
    let fresh = bench.add_node();
    bench.run(TimeSpan::seconds(5));
    assert!(bench.nodes[fresh].follower.is_ready());
    assert_all_agree(&bench);
    let reads = bench.nodes[0].reads;
    bench.run(TimeSpan::seconds(60));
    assert!(bench.nodes[0].reads - reads <= 40, "back-off: {}", bench.nodes[0].reads - reads);
    bench.log.down = false;
    bench.publish(OVERRIDES, &drain(2));
    bench.run(TimeSpan::seconds(6));
    assert_all_agree(&bench);
}

#[test]
fn with_neither_log_nor_peers_a_vm_is_not_ready() {
    let mut bench = Bench::new(1, 1);
    bench.log.down = true;
    bench.run(TimeSpan::seconds(30));
    assert!(!bench.nodes[0].follower.is_ready());
    assert!(bench.nodes[0].in_force.is_empty());
}

#[test]
fn a_reader_behind_the_retention_starts_from_a_checkpoint() {
    let mut bench = Bench::new(2, 1);
    for runner in 0..40 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    bench.run(TimeSpan::seconds(20));
    let checkpoint = LogOffset(bench.log.texts.len() as u64);
    for runner in 40..60 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    bench.run(TimeSpan::seconds(2));
    bench.log.trim(checkpoint);
    for node in &mut bench.nodes {
        node.alive = false;
    }
    let fresh = bench.add_node();
    bench.run(TimeSpan::seconds(2));
    assert_eq!(bench.nodes[fresh].follower.state().offset.0, bench.log.texts.len() as u64);
    assert_all_agree(&bench);
}

#[test]
fn a_gap_without_checkpoint_stops_the_reader_until_a_peer_has_the_state() {
    let mut bench = Bench::new(2, 1);
    bench.publish(OVERRIDES, &drain(1));
    bench.run(TimeSpan::seconds(1));
    bench.peers_connected = false;
    bench.nodes[1].alive = false;
    for runner in 2..20 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    let ahead = bench.truth();
    bench.log.trim(LogOffset(10));
    bench.nodes[1].alive = true;
    let fresh = bench.add_node();
    bench.nodes[0].alive = false;
    bench.run(TimeSpan::seconds(3));
    // The fresh follower has nothing, the old one keeps its state.
    assert!(bench.nodes[fresh].follower.has_gap());
    assert!(!bench.nodes[fresh].follower.is_ready());
    assert!(bench.nodes[1].follower.state().offset < ahead.offset);
    bench.nodes[0].alive = true;
    let delta = ahead.delta(LogOffset(0));
    bench.feed(0, config::FollowerEvent::PeerDelta(Some(Arc::new(delta))));
    bench.peers_connected = true;
    bench.run(TimeSpan::seconds(20));
    assert_all_agree(&bench);
    assert!(!bench.nodes[fresh].follower.has_gap());
}

#[test]
fn a_stale_checkpoint_changes_nothing() {
    let mut bench = Bench::new(1, 1);
    for runner in 0..10 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    let stale = ConfigRecord::Checkpoint(CheckpointRecord { state: bench.truth() });
    for runner in 10..20 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    bench.run(TimeSpan::seconds(5));
    // A writer that was paused since record 10 resumes.
    bench.log.append(bench.now, stale.encode());
    bench.publish(OVERRIDES, &drain(20));
    bench.run(TimeSpan::seconds(2));
    assert_all_agree(&bench);
    bench.log.trim(LogOffset(15));
    let fresh = bench.add_node();
    bench.nodes[0].alive = false;
    bench.run(TimeSpan::seconds(2));
    assert_all_agree(&bench);
    assert_eq!(bench.nodes[fresh].follower.plan().drained.len(), 1);
}

#[test]
fn a_stale_checkpoint_alone_does_not_start_a_reader() {
    let mut bench = Bench::new(0, 1);
    bench.publish(OVERRIDES, &drain(0));
    let stale = ConfigRecord::Checkpoint(CheckpointRecord { state: bench.truth() });
    bench.publish(OVERRIDES, &drain(1));
    bench.publish(OVERRIDES, &drain(2));
    bench.log.append(TimePoint(0), stale.encode());
    bench.log.trim(LogOffset(3));
    let fresh = bench.add_node();
    bench.run(TimeSpan::seconds(10));
    assert!(bench.nodes[fresh].follower.has_gap());
    assert!(!bench.nodes[fresh].follower.is_ready());
}

#[test]
fn checkpoints_are_renewed_before_they_expire() {
    let mut bench = Bench::new(5, 1);
    let mut written = 0;
    for runner in 0..1_000 {
        bench.publish(OVERRIDES, &drain(runner));
        bench.run(TimeSpan::millis(200));
        let kept = bench.log.texts.len().saturating_sub(200) as u64;
        bench.log.trim(LogOffset(kept + 1));
        written = bench.nodes.iter().map(|node| node.checkpoints).sum();
    }
    bench.run(TimeSpan::seconds(1));
    assert_all_agree(&bench);
    assert!((4..40).contains(&written), "{written} checkpoints for 1000 records");
    for node in &mut bench.nodes {
        node.alive = false;
    }
    bench.add_node();
    bench.run(TimeSpan::seconds(2));
    assert_all_agree(&bench);
}

#[test]
fn where_all_records_have_expired_a_reset_starts_over() {
    let mut bench = Bench::new(0, 1);
    for runner in 0..10 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    bench.log.trim(LogOffset(11));
    let nodes = [bench.add_node(), bench.add_node()];
    bench.run(TimeSpan::seconds(2));
    assert!(nodes.iter().all(|node| bench.nodes[*node].follower.has_gap()));
    let reset = |after: u64, runner: u64| {
        let file = ResetFile { path: OVERRIDES.into(), text: drain(runner).into() };
        ConfigRecord::Reset(ResetRecord {
            id: PublishId(after),
            author: "shift".into(),
            note: "".into(),
            after: LogOffset(after),
            files: vec![file],
        })
    };
    // Of two concurrent resets that saw the same end of the log, the first is accepted.
    for (after, runner) in [(9, 1), (11, 2), (11, 3)] {
        bench.log.append(bench.now, reset(after, runner).encode());
    }
    bench.run(TimeSpan::seconds(2));
    assert_all_agree(&bench);
    let follower = &bench.nodes[nodes[0]].follower;
    assert_eq!(follower.accepted(), LogOffset(12));
    assert!(follower.plan().drained.contains(&"runner-2".parse().unwrap()));
    let outcomes: Vec<bool> =
        follower.history().entries().map(|entry| entry.outcome == FoldOutcome::Accepted).collect();
    assert_eq!(outcomes, [false, true, false]);
}

#[test]
fn a_page_too_long_for_an_exchange_is_requested_in_parts() {
    let mut bench = Bench::new(0, 1);
    bench.log.max_page_bytes = 20_000;
    for runner in 0..300 {
        bench.publish(OVERRIDES, &drain(runner));
    }
    bench.add_node();
    bench.run(TimeSpan::seconds(30));
    assert_all_agree(&bench);
}

#[test]
fn a_file_that_cannot_be_used_keeps_its_last_usable_version() {
    let mut bench = Bench::new(1, 1);
    let good = bench.publish(OVERRIDES, &drain(1));
    bench.run(TimeSpan::seconds(1));
    let bad = bench.publish(OVERRIDES, r#"{ "drian": [] }"#);
    bench.run(TimeSpan::seconds(1));
    let plan = Arc::clone(bench.nodes[0].follower.plan());
    assert_eq!((plan.offset, plan.in_force), (bad, LogOffset(bad.0 - 1)));
    assert_eq!(plan.unusable[0].serving, Some(good));
    assert!(plan.unusable[0].reason.contains("did you mean drain?"), "{:?}", plan.unusable);
    assert!(plan.drained.contains(&"runner-1".parse().unwrap()));
    let repaired = bench.publish(OVERRIDES, &drain(2));
    bench.run(TimeSpan::seconds(1));
    let plan = bench.nodes[0].follower.plan();
    assert_eq!((plan.offset, plan.in_force), (repaired, repaired));
    assert!(plan.unusable.is_empty());
}

#[test]
fn of_two_files_for_one_service_the_first_is_used() {
    let mut bench = Bench::new(1, 1);
    let service = |share: u32| {
        format!(
            r#"{{ "service": "s", "kind": "model", "models": [{{ "name": "m" }}],
                "workspaces": [{{ "workspace": "w", "share": {share} }}] }}"#
        )
    };
    let first = bench.publish("a.service.jsonc", &service(1));
    let second = bench.publish("b.service.jsonc", &service(2));
    bench.run(TimeSpan::seconds(1));
    let plan = Arc::clone(bench.nodes[0].follower.plan());
    let share = plan.services.values().next().unwrap().file.workspaces[0].share;
    assert_eq!((plan.services.len(), share), (1, 1));
    assert_eq!((plan.offset, plan.in_force), (second, first));
    assert_eq!(&*plan.unusable[0].path, "b.service.jsonc");
    let repaired = bench.publish("b.service.jsonc", &service(2).replace("\"s\"", "\"t\""));
    bench.run(TimeSpan::seconds(1));
    let plan = bench.nodes[0].follower.plan();
    assert_eq!((plan.services.len(), plan.in_force), (2, repaired));
}
