//! Runners whose answers have a status that is none.

use std::time::Duration;

use fakes::platform::{RunnerFakeSettings, RunnerScript};
use harness::{CallerRequest, NodeFleet};

/// Status lines, and what comes before them, that no answer has.
const STATUS_LINES: [&str; 10] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2000 Long",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Beyond",
    "HTTP/1.1 999 Beyond",
    "HTTP/1.0 600 Beyond",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 700 Beyond",
];
/// Time after which a runner gets calls again that has answered badly.
const BACK_AFTER: Duration = Duration::from_millis(1_100);

/// Plays one request for each line; the callers get 502, and the request runs `most_runs` times at most.
fn check_odd_statuses(service: &str, most_runs: usize, make: impl Fn(&str) -> CallerRequest) {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let runner = fleet.add_runner(service, RunnerFakeSettings::new("odd-1")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        for (number, line) in STATUS_LINES.into_iter().enumerate() {
            runner.script(&[RunnerScript::StatusLine(line); 8]);
            let before = runner.runs();
            let answer = fleet.send(0, &make(&format!("a{number}"))).await;
            assert_eq!((answer.status, answer.text.contains("of odd-1")), (502, false), "{line:?}");
            assert!(runner.runs() - before <= most_runs, "{line:?}");
            runner.clear_scripts();
            compio::time::sleep(BACK_AFTER).await;
        }
    })
    .unwrap();
}

/// Guards against MIXED: a caller gets a status that is none as the answer to a booking.
#[test]
fn a_booking_is_not_answered_with_a_status_that_is_none() {
    check_odd_statuses("desk", 1, CallerRequest::booking);
}

/// Guards against MIXED: the same of a look-up, which may run twice.
#[test]
fn a_lookup_is_not_answered_with_a_status_that_is_none() {
    check_odd_statuses("desk", 2, CallerRequest::lookup);
}

/// Guards against MIXED: the same of a stream.
#[test]
fn a_stream_is_not_answered_with_a_status_that_is_none() {
    check_odd_statuses("llm", 1, CallerRequest::stream);
}
