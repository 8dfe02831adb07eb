//! Checks the final status and the retry decision of a request for every sequence of send
//! outcomes.

use base::prelude::*;
use serving::{AttemptTracker, FinalStatus, RouteKind, RouteRule, SendOutcome};

const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::Refused, SendOutcome::Failed, SendOutcome::Unknown];
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream];

/// Calls `check` for every sequence of up to `depth` outcomes that the tracker allows.
fn visit(
    tracker: &AttemptTracker,
    history: &mut Vec<SendOutcome>,
    depth: usize,
    check: &mut impl FnMut(&AttemptTracker, &[SendOutcome]),
) {
    check(tracker, history);
    if depth == 0 || !tracker.may_send() {
        return;
    }
    for outcome in OUTCOMES {
        let mut next = tracker.clone();
        next.record_send(outcome);
        history.push(outcome);
        visit(&next, history, depth - 1, check);
        history.pop();
    }
}

/// Number of sends after which the request may have been executed.
fn possible_runs(history: &[SendOutcome]) -> usize {
    let may_have_run =
        |outcome: &&SendOutcome| matches!(outcome, SendOutcome::Failed | SendOutcome::Unknown);
    history.iter().filter(may_have_run).count()
}

#[test]
fn not_run_is_reported_exactly_if_no_send_may_have_run() {
    for kind in KINDS {
        for attempts in 1..=3 {
            let tracker = AttemptTracker::new(kind, attempts);
            visit(&tracker, &mut Vec::new(), 6, &mut |tracker, history| {
                let not_run = tracker.final_status() == FinalStatus::NotRun;
                assert_eq!(not_run, possible_runs(history) == 0, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn only_idempotent_requests_are_repeated_and_only_up_to_the_attempt_limit() {
    for kind in KINDS {
        for attempts in 1..=3 {
            let tracker = AttemptTracker::new(kind, attempts);
            visit(&tracker, &mut Vec::new(), 6, &mut |tracker, history| {
                let runs = possible_runs(history);
                let max_runs = if kind == RouteKind::Idempotent { attempts as usize } else { 1 };
                assert!(runs <= max_runs, "{kind:?} {history:?}");
                assert!(!tracker.may_send() || runs < max_runs, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn a_request_is_abandoned_after_a_few_refusals() {
    let mut tracker = AttemptTracker::new(RouteKind::AtMostOnce, 1);
    let mut sends = 0;
    while tracker.may_send() {
        tracker.record_send(SendOutcome::Refused);
        sends += 1;
    }
    assert_eq!(sends, 4);
}

#[test]
fn a_request_is_abandoned_after_a_few_failed_connections() {
    for kind in KINDS {
        let mut tracker = AttemptTracker::new(kind, 2);
        let mut connections = 0;
        while tracker.may_send() && connections < 1_000 {
            tracker.record_send(SendOutcome::NotSent);
            connections += 1;
        }
        assert_eq!(connections, 6, "{kind:?}");
        assert_eq!(tracker.final_status(), FinalStatus::NotRun);
    }
}

/// Guards against a second run of a booking, or of a stream without `streamResume`, and against a
/// resumable stream that is given up after its first failure.
#[test]
fn of_the_streams_only_resumable_ones_are_repeated() {
    for (kind, stream_resume, repeats) in [
        (RouteKind::Idempotent, false, true),
        (RouteKind::AtMostOnce, false, false),
        (RouteKind::AtMostOnce, true, false),
        (RouteKind::Stream, false, false),
        (RouteKind::Stream, true, true),
    ] {
        let route = RouteRule {
            gap_target: None,
            name: Arc::from("route"),
            host: Arc::from("h"),
            prefix: Arc::from("/"),
            targets: Vec::new(),
            kind,
            timeout: TimeSpan::seconds(1),
            target_latency: TimeSpan::seconds(1),
            priority: 1,
            max_attempts: 2,
            is_public: true,
            stream_resume,
        };
        assert_eq!(route.may_repeat(), repeats, "{kind:?} {stream_resume}");
        let mut tracker = AttemptTracker::for_route(&route);
        tracker.record_send(SendOutcome::Unknown);
        assert_eq!(tracker.may_send(), repeats, "{kind:?} {stream_resume}");
        tracker.record_send(SendOutcome::Unknown);
        assert!(!tracker.may_send(), "{kind:?} {stream_resume}");
    }
}
