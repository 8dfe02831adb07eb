//! What a stopping node takes, and how long calls are expected to take.

use std::sync::Arc;

use base::{TimePoint, TimeSpan};
use serving::{CallTimes, RouteKind, RouteRule, StopRefusal, StopWindow};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

fn book_route() -> RouteRule {
    RouteRule {
        name: Arc::from("book"),
        host: Arc::from("yard.example"),
        prefix: Arc::from("/book/"),
        targets: Vec::new(),
        kind: RouteKind::AtMostOnce,
        timeout: TimeSpan::seconds(8),
        target_latency: TimeSpan::millis(500),
        gap_target: None,
        priority: 1,
        max_attempts: 1,
        is_public: false,
        stream_resume: false,
    }
}

/// Guards against calls that are taken although an eighth more than their time would not be left.
#[test]
fn a_call_that_cannot_end_in_time_is_refused() {
    let window = StopWindow::new(at(6_200), at(7_600));
    let work = TimeSpan::seconds(3);
    assert_eq!(window.refusal(at(4_225), work), None);
    assert_eq!(window.refusal(at(4_226), work), Some(StopRefusal::TooLong));
    let endless = TimeSpan(u64::MAX);
    assert_eq!(window.refusal(at(0), endless), Some(StopRefusal::TooLong));
}

/// Guards against an expected time that a single slow call among many decides, or that ignores slow calls.
#[test]
fn the_expected_time_covers_all_but_the_slowest_calls() {
    let (mut times, book) = (CallTimes::default(), book_route());
    assert_eq!(times.expected(&book), Some(TimeSpan::seconds(2)));
    times.record(at(0), &book.name, TimeSpan::seconds(3));
    assert_eq!(times.expected(&book), Some(TimeSpan::seconds(3)));
    for number in 0..99 {
        times.record(at(1), &book.name, TimeSpan::millis(100 + number));
    }
    assert_eq!(times.expected(&book), Some(TimeSpan::millis(197)));
}
