//! Each promise, kept and broken.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fakes::platform::{RunnerRequest, RunnerVisit};
use soak::{CallerKind, CallerRecord, check_answers, check_leaving, check_limit, check_part};

const EVENTS: u64 = 3;

fn record(kind: CallerKind, status: u16, text: &str, complete: bool) -> CallerRecord {
    let now = Instant::now();
    CallerRecord {
        kind,
        attempt: "a1".to_owned(),
        node: 0,
        from: now,
        until: now,
        status,
        text: text.to_owned(),
        complete,
    }
}

fn visit(ran: bool, resumed: bool) -> RunnerVisit {
    let mut headers = BTreeMap::new();
    headers.insert("x-dotterelyard-attempt-id".to_owned(), "a1".to_owned());
    if resumed {
        headers.insert("kv-from".to_owned(), "10.0.0.1:80/a1".to_owned());
    }
    let request = RunnerRequest { headers, ..RunnerRequest::default() };
    RunnerVisit { request, ran, at: Instant::now() }
}

/// The promise that is broken; empty if all are kept.
fn broken(record: CallerRecord, visits: &[RunnerVisit]) -> &'static str {
    let breaches = check_answers(&[record], visits, EVENTS);
    breaches.first().map_or("", |breach| breach.promise)
}

fn events(numbers: &[u64]) -> String {
    let event = |number: &u64| format!("id: {number}\ndata: token {number} of a1\n\n");
    numbers.iter().map(event).collect::<Vec<String>>().concat()
}

#[test]
fn a_second_run_is_a_breach_unless_the_request_may_be_repeated() {
    let twice = [visit(true, false), visit(true, false)];
    let breach = "a booking or a stream runs at most once";
    assert_eq!(broken(record(CallerKind::Booking, 502, "", true), &twice), breach);
    assert_eq!(broken(record(CallerKind::Stream, 200, "", false), &twice), breach);
    assert_eq!(broken(record(CallerKind::Lookup, 200, "to a1", true), &twice), "");
    let moved = [visit(true, false), visit(true, true)];
    assert_eq!(broken(record(CallerKind::Stream, 200, "", false), &moved), "");
}

#[test]
fn a_refusal_of_what_has_run_is_a_breach() {
    let breach = "not run means not run";
    for status in [429, 503] {
        let refusal = || record(CallerKind::Booking, status, "", true);
        assert_eq!(broken(refusal(), &[visit(true, false)]), breach);
        assert_eq!(broken(refusal(), &[visit(false, false)]), "");
    }
    assert_eq!(broken(record(CallerKind::Booking, 502, "", true), &[visit(true, false)]), "");
}

#[test]
fn events_come_once_in_order_and_a_part_does_not_look_whole() {
    let breach = "each event once, in order, of one generation";
    let stream = |numbers: &[u64], complete| {
        broken(record(CallerKind::Stream, 200, &events(numbers), complete), &[visit(true, false)])
    };
    assert_eq!(stream(&[1, 2, 3], true), "");
    assert_eq!(stream(&[1, 2], false), "");
    for wrong in [[1, 3, 2], [1, 1, 2], [2, 3, 4]] {
        assert_eq!(stream(&wrong, false), breach);
    }
    assert_eq!(stream(&[1, 2], true), breach);
}

#[test]
fn an_answer_to_another_is_a_breach() {
    let breach = "the whole answer to the right caller";
    assert_eq!(broken(record(CallerKind::Lookup, 200, "to b2", true), &[]), breach);
    assert_eq!(broken(record(CallerKind::Lookup, 200, "to", false), &[]), "");
}

#[test]
fn work_that_reaches_a_leaving_runner_late_is_a_breach() {
    let told = Instant::now();
    let (early, late) = (visit(true, false), visit(true, false));
    let visits = [
        RunnerVisit { at: told + Duration::from_millis(900), ..early },
        RunnerVisit { at: told + Duration::from_millis(1_100), ..late },
    ];
    assert_eq!(check_leaving("llm-1", told, Duration::from_secs(1), &visits).len(), 1);
}

#[test]
fn more_than_a_limit_allows_in_some_window_is_a_breach() {
    let named = Instant::now();
    let visits = |count: u64, pause: u64| -> Vec<RunnerVisit> {
        let at = |number| named + Duration::from_millis(number * pause);
        (0..count).map(|number| RunnerVisit { at: at(number), ..visit(true, false) }).collect()
    };
    // Allowed are 11 in 4 s.
    assert!(check_limit("desk-1", 1.0, named, &visits(40, 364)).is_none());
    assert!(check_limit("desk-1", 1.0, named, &visits(12, 200)).is_some());
    let later = named + Duration::from_millis(250);
    assert!(check_limit("desk-1", 1.0, later, &visits(12, 200)).is_none());
}

#[test]
fn a_fourth_request_with_a_part_that_is_known_to_crash_runners_is_a_breach() {
    let known = Instant::now();
    let with_part = |millis: u64| {
        let mut visit = visit(true, false);
        let parts = "dead0001:350,beef0001:500".to_owned();
        visit.request.headers.insert("x-dotterelyard-prefix-hash".to_owned(), parts);
        RunnerVisit { at: known + Duration::from_millis(millis), ..visit }
    };
    let mut visits: Vec<RunnerVisit> = [0, 1, 2, 3].map(with_part).into();
    visits.extend((0..9).map(|_| visit(true, false)));
    assert!(check_part("dead0001", known, &visits).is_none());
    visits.push(with_part(4));
    assert!(check_part("dead0001", known, &visits).is_some());
    assert!(check_part("dead0002", known, &visits).is_none());
}
