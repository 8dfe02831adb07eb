//! What may be said of a request, for every order of outcomes of its sends.

use serving::{AttemptTrack, FinalStatus, RouteKind, SendOutcome};

const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::Refused, SendOutcome::Failed, SendOutcome::Unknown];
const KINDS: [RouteKind; 3] = [RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream];

/// Visits every run of outcomes that the track allows, up to `depth` sends.
fn visit(
    track: &AttemptTrack,
    history: &mut Vec<SendOutcome>,
    depth: usize,
    check: &mut impl FnMut(&AttemptTrack, &[SendOutcome]),
) {
    check(track, history);
    if depth == 0 || !track.may_send() {
        return;
    }
    for outcome in OUTCOMES {
        let mut next = track.clone();
        next.note(outcome);
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
            let track = AttemptTrack::new(kind, attempts);
            visit(&track, &mut Vec::new(), 6, &mut |track, history| {
                let not_run = track.final_status() == FinalStatus::NotRun;
                assert_eq!(not_run, may_have_run(history) == 0, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn only_idempotent_requests_run_again_and_never_on_more_runners_than_allowed() {
    for kind in KINDS {
        for attempts in 1..=3 {
            let track = AttemptTrack::new(kind, attempts);
            visit(&track, &mut Vec::new(), 6, &mut |track, history| {
                let runs = may_have_run(history);
                let most = if kind == RouteKind::Idempotent { attempts as usize } else { 1 };
                assert!(runs <= most, "{kind:?} {history:?}");
                assert!(!track.may_send() || runs < most, "{kind:?} {history:?}");
            });
        }
    }
}

#[test]
fn refusals_end_after_a_few() {
    let mut track = AttemptTrack::new(RouteKind::AtMostOnce, 1);
    let mut sends = 0;
    while track.may_send() {
        track.note(SendOutcome::Refused);
        sends += 1;
    }
    assert_eq!(sends, 4);
}

#[test]
fn connections_that_fail_end_after_a_few() {
    for kind in KINDS {
        let mut track = AttemptTrack::new(kind, 2);
        let mut connections = 0;
        while track.may_send() && connections < 1_000 {
            track.note(SendOutcome::NotSent);
            connections += 1;
        }
        assert_eq!(connections, 6, "{kind:?}");
        assert_eq!(track.final_status(), FinalStatus::NotRun);
    }
}
