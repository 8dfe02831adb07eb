//! Short runs of real processes: a seed for each check in, and those that have failed.

use std::time::Duration;

use soak::{SoakPlan, run_soak};

fn play(seed: u64, seconds: u64) {
    let plan = SoakPlan::draw(seed, Duration::from_secs(seconds));
    let report = kernel::run(run_soak(&plan)).unwrap().unwrap();
    assert!(report.breaches.is_empty(), "seed {seed}: {report}");
    assert!(report.served > 20, "seed {seed}: {report}");
}

#[test]
fn a_short_run_keeps_all_promises() {
    play(1, 17);
}

/// A stop of a frozen node: the run itself did not wake it, and took it for a stop that did
/// not end.
#[test]
fn a_frozen_node_that_is_stopped_ends_in_time() {
    play(2, 8);
}

/// On code that knew no eras, all nodes passed over the configuration that got the offset of a
/// lost one.
#[test]
fn a_store_that_comes_back_older_hides_no_configuration() {
    play(19, 21);
}

/// On code that did not read limits, a runner that takes 5 a second got 93 requests in 4 s.
#[test]
fn a_runner_that_names_a_limit_gets_no_more() {
    play(31, 23);
}

/// On code that knew no such parts, all requests with one reached runners.
#[test]
fn a_part_that_crashes_runners_is_kept_from_them() {
    play(32, 23);
}
