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

fn look_route() -> RouteRule {
    RouteRule { name: Arc::from("look"), kind: RouteKind::Idempotent, ..book_route() }
}

/// Guards against an expected time of calls that may be repeated which a single slow call among many
/// decides, or that ignores slow calls.
#[test]
fn the_expected_time_of_lookups_covers_all_but_the_slowest() {
    let (mut times, look) = (CallTimes::default(), look_route());
    assert_eq!(times.expected(&look, TimeSpan::default()), Some(TimeSpan::seconds(2)));
    times.record(at(0), &look.name, TimeSpan::seconds(3));
    assert_eq!(times.expected(&look, TimeSpan::default()), Some(TimeSpan::seconds(3)));
    for number in 0..99 {
        times.record(at(1), &look.name, TimeSpan::millis(100 + number));
    }
    assert_eq!(times.expected(&look, TimeSpan::default()), Some(TimeSpan::millis(197)));
}

/// Guards against bookings that a stopping node takes and cuts since only the slowest take so long.
#[test]
fn the_expected_time_of_bookings_covers_the_slowest() {
    let (mut times, book) = (CallTimes::default(), book_route());
    assert_eq!(times.expected(&book, TimeSpan::default()), Some(TimeSpan::seconds(2)));
    times.record(at(0), &book.name, TimeSpan::seconds(3));
    for number in 0..99 {
        times.record(at(1), &book.name, TimeSpan::millis(100 + number));
    }
    assert_eq!(times.expected(&book, TimeSpan::default()), Some(TimeSpan::seconds(3)));
}

/// Guards against bookings that a stopping node takes by the times of a few that were quick.
#[test]
fn a_few_quick_calls_do_not_lower_the_expected_time() {
    let (mut times, book) = (CallTimes::default(), book_route());
    for number in 0..15 {
        times.record(at(number), &book.name, TimeSpan::millis(30));
        assert_eq!(times.expected(&book, TimeSpan::default()), Some(TimeSpan::seconds(2)));
        assert_eq!(times.expected(&book, TimeSpan::millis(1_500)), Some(TimeSpan::seconds(3)));
    }
    times.record(at(15), &book.name, TimeSpan::millis(30));
    assert_eq!(times.expected(&book, TimeSpan::default()), Some(TimeSpan::millis(30)));
}

/// Guards against bookings that a stopping node takes although its runners have become slower.
#[test]
fn calls_under_way_for_longer_than_known_raise_the_expected_time() {
    let (mut times, book) = (CallTimes::default(), book_route());
    for number in 0..16 {
        times.record(at(number), &book.name, TimeSpan::millis(800));
    }
    let expected = |millis| times.expected(&book, TimeSpan::millis(millis));
    assert_eq!(expected(900), Some(TimeSpan::millis(800)));
    assert_eq!(expected(901), Some(TimeSpan::millis(1_802)));
}
