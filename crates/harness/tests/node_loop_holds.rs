//! Metrics page and lines show for how long single steps hold a node's event loop.

use std::process::Command;
use std::time::Duration;

use harness::{NodeFleet, wait_until};
use rustix::process::Signal;

const LIMIT: Duration = Duration::from_secs(10);
/// Time for which the node waits for its settings file.
const HOLD: Duration = Duration::from_millis(400);

/// Guards against a node whose long steps nothing shows.
#[test]
fn the_longest_step_of_each_second_is_on_the_metrics_page() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        fleet.add_node().unwrap();
        wait_until("an observation", LIMIT, async || {
            let page = fleet.metrics(0).await;
            let name = "yard_node_loop_hold_seconds_count ";
            let count = page.lines().find_map(|line| line.strip_prefix(name))?;
            (count.parse::<u32>().unwrap() > 1).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

/// Guards against a node that is behind, and of which neither lines nor metrics say so.
#[test]
fn timers_that_fire_late_are_on_the_metrics_page_and_in_a_line() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        fleet.nodes[0].signal(Signal::STOP).unwrap();
        compio::time::sleep(HOLD).await;
        fleet.nodes[0].signal(Signal::CONT).unwrap();
        let line = wait_until("a line", LIMIT, async || {
            let lines = fleet.nodes[0].events("node_behind");
            lines.into_iter().find(|line| line["lag_ms"].as_u64() >= Some(200))
        });
        line.await.unwrap();
        let page = fleet.metrics(0).await;
        let name = "yard_node_loop_lag_seconds_bucket{le=\"0.128\"} ";
        let count = |name: &str| {
            let count = page.lines().find_map(|line| line.strip_prefix(name));
            count.and_then(|count| count.parse::<u32>().ok())
        };
        assert!(count(name) < count("yard_node_loop_lag_seconds_count "), "{page}");
    })
    .unwrap();
}

/// Guards against a held event loop that no line names: a settings file that gives nothing for a
/// while holds the node up.
#[test]
fn a_step_that_holds_the_loop_is_named_by_a_line() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let path = fleet.nodes[0].settings_path().to_owned();
        std::fs::remove_file(&path).unwrap();
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        fleet.nodes[0].signal(Signal::HUP).unwrap();
        compio::time::sleep(HOLD).await;
        std::fs::write(&path, fleet.settings(0).to_string()).unwrap();
        fleet.wait_event(0, "loop_held", "step", &"reload".into()).await.unwrap();
        let lines = fleet.nodes[0].events("loop_held");
        let line = lines.iter().find(|line| line["step"] == "reload").unwrap();
        assert!(line["held_ms"].as_u64().unwrap() >= 200, "{line}");
        assert!(line["task"].as_str().unwrap().contains("process.rs"), "{line}");
        assert_eq!(fleet.readiness(0).await, 200);
    })
    .unwrap();
}
