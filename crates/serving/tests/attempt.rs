//! What may be said of a request, for every order of outcomes of its sends.

use serving::{AttemptTracker, FinalStatus, RouteKind, SendOutcome};

const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::Refused, SendOutcome::Failed, SendOutcome::Unknown];
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream];

/// Visits every run of outcomes that the tracker allows, up to `depth` sends.
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

fn may_have_run(history: &[SendOutcome]) -> usize {
    let ran =
        |outcome: &&SendOutcome| matches!(outcome, SendOutcome::Failed | SendOutcome::Unknown);
    history.iter().filter(ran).count()
}

#[test]
fn not_run_is_said_only_if_no_send_can_have_run() {
    for kind in KINDS {
        for attempts in 1..=3 {
            let tracker = AttemptTracker::new(kind, attempts);
            visit(&tracker, &mut Vec::new(), 6, &mut |tracker, history| {
                let not_run = tracker.final_status() == FinalStatus::NotRun;
                assert_eq!(not_run, may_have_run(history) == 0, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn only_idempotent_requests_run_again_and_never_on_more_runners_than_allowed() {
    for kind in KINDS {
        for attempts in 1..=3 {
            let tracker = AttemptTracker::new(kind, attempts);
            visit(&tracker, &mut Vec::new(), 6, &mut |tracker, history| {
                let runs = may_have_run(history);
                let most = if kind == RouteKind::Idempotent { attempts as usize } else { 1 };
                assert!(runs <= most, "{kind:?} {history:?}");
                assert!(!tracker.may_send() || runs < most, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn refusals_end_after_a_few() {
    let mut tracker = AttemptTracker::new(RouteKind::AtMostOnce, 1);
    let mut sends = 0;
    while tracker.may_send() {
        tracker.record_send(SendOutcome::Refused);
        sends += 1;
    }
    assert_eq!(sends, 4);
}

#[test]
fn connections_that_fail_end_after_a_few() {
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
