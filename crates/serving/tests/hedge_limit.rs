//! Hedges stay within their share of the requests, over windows and nodes, and each denial has its
//! reason.

use base::prelude::*;
use serving::{
    BudgetSettings, HEDGE_WINDOW, HedgeDenial, HedgeLimit, HedgeRequest, HedgeTarget, RetryBudget,
};

const NODES: usize = 7;
const SHARE: f64 = 0.02;

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

/// Simulates `NODES` nodes for three windows with one request every `gap_millis`, each hedged if
/// the share allows it. Returns the times of all hedges, in milliseconds.
fn simulate(gap_millis: u64) -> Vec<u64> {
    let service: ServiceName = "desk".parse().unwrap();
    let mut limits: Vec<HedgeLimit> = (0..NODES).map(|_| HedgeLimit::new(SHARE)).collect();
    let mut hedges = Vec::new();
    let end = HEDGE_WINDOW.as_millis() * 3;
    for (step, time) in (0..end).step_by(gap_millis as usize).enumerate() {
        let limit = &mut limits[step % NODES];
        limit.record_request(at(time), &service);
        if limit.check(at(time), &service).is_ok() {
            limit.record_hedge(at(time), &service);
            hedges.push(time);
        }
    }
    hedges
}

/// Guards against nodes that use the whole share each, and against windows with more hedges than
/// the share of their requests.
#[test]
fn all_nodes_together_stay_within_the_share_in_any_window() {
    let window = HEDGE_WINDOW.as_millis();
    for gap in [5, 20, 50] {
        let allowed = SHARE * (window / gap) as f64;
        let hedges = simulate(gap);
        let count = |start: &u64| {
            hedges.iter().filter(|time| (*start..*start + window).contains(time)).count()
        };
        let most = hedges.iter().map(count).max().unwrap_or(0);
        assert!(most as f64 <= allowed, "{gap} ms apart: {most} of {allowed}");
        assert!(most as f64 > allowed / 4.0, "{gap} ms apart: {most} of {allowed}");
    }
}

/// Guards against hedges of one service that are paid for by the requests of another, and against
/// requests that count beyond their window.
#[test]
fn a_share_belongs_to_its_service_and_window() {
    let (busy, idle): (ServiceName, ServiceName) =
        ("busy".parse().unwrap(), "idle".parse().unwrap());
    let mut limit = HedgeLimit::new(0.1);
    for _ in 0..1_000 {
        limit.record_request(at(0), &busy);
    }
    assert_eq!(limit.check(at(10), &busy), Ok(()));
    assert_eq!(limit.check(at(10), &idle), Err(HedgeDenial::ShareUsed));
    let later = at(0) + HEDGE_WINDOW;
    assert_eq!(limit.check(later, &busy), Err(HedgeDenial::ShareUsed));
}

/// Guards against hedges without the operator's word.
#[test]
fn without_a_share_nothing_is_hedged() {
    let service: ServiceName = "desk".parse().unwrap();
    let mut limit = HedgeLimit::new(0.0);
    for _ in 0..1_000 {
        limit.record_request(at(0), &service);
    }
    assert!(!limit.is_on());
    assert_eq!(limit.check(at(0), &service), Err(HedgeDenial::ShareUsed));
    limit.set_share(0.1);
    assert!(limit.is_on());
}

fn request() -> HedgeRequest {
    HedgeRequest {
        may_send: true,
        whole_time: TimeSpan::millis(1_000),
        time_left: TimeSpan::millis(800),
        calls_wait: false,
        runners_restricted: false,
    }
}

/// Guards against a second send that the route, the time or the service has no room for.
#[test]
fn each_state_of_a_request_that_forbids_a_hedge_is_named() {
    assert_eq!(request().check(), Ok(()));
    let cases = [
        (HedgeRequest { may_send: false, ..request() }, HedgeDenial::AttemptsUsed),
        (HedgeRequest { time_left: TimeSpan::millis(250), ..request() }, HedgeDenial::LittleTime),
        (HedgeRequest { calls_wait: true, ..request() }, HedgeDenial::CallsWait),
        (HedgeRequest { runners_restricted: true, ..request() }, HedgeDenial::RunnersRestricted),
    ];
    for (request, denial) in cases {
        assert_eq!(request.check(), Err(denial));
    }
    let just_enough = HedgeRequest { time_left: TimeSpan::millis(251), ..request() };
    assert_eq!(just_enough.check(), Ok(()));
}

fn target() -> HedgeTarget {
    HedgeTarget {
        is_first: false,
        is_same_place: true,
        is_place_slow: false,
        is_slow: false,
        is_ejected: false,
        calls: 4,
        slots: 8,
        waiting_tokens: 1_000,
        prompt_tokens: 1_000,
    }
}

/// Guards against a second send to a runner that is no quicker than the first.
#[test]
fn each_state_of_a_runner_that_forbids_a_hedge_is_named() {
    assert_eq!(target().check(), Ok(()));
    let cases = [
        (HedgeTarget { is_first: true, ..target() }, HedgeDenial::NoOtherRunner),
        (HedgeTarget { is_place_slow: true, ..target() }, HedgeDenial::PlaceSlow),
        (HedgeTarget { is_slow: true, ..target() }, HedgeDenial::RunnerSlow),
        (HedgeTarget { is_ejected: true, ..target() }, HedgeDenial::RunnerSlow),
        (HedgeTarget { calls: 5, ..target() }, HedgeDenial::RunnerBusy),
        (HedgeTarget { calls: 2, slots: 1, ..target() }, HedgeDenial::RunnerBusy),
        (HedgeTarget { waiting_tokens: 1_001, ..target() }, HedgeDenial::RunnerBusy),
    ];
    for (target, denial) in cases {
        assert_eq!(target.check(), Err(denial), "{target:?}");
    }
    let elsewhere = HedgeTarget { is_same_place: false, is_place_slow: true, ..target() };
    assert_eq!(elsewhere.check(), Ok(()));
    assert_eq!(HedgeTarget { calls: 1, slots: 1, ..target() }.check(), Ok(()));
}

/// Guards against hedges that leave nothing of the retry budget for sends after failures.
#[test]
fn hedges_leave_half_of_the_retry_budget() {
    let settings = BudgetSettings { ratio: 0.2, slack: 0.0, window: TimeSpan::seconds(10) };
    let service: ServiceName = "desk".parse().unwrap();
    let mut budget = RetryBudget::new(settings, at(0));
    for _ in 0..100 {
        budget.record_request(at(0), &service);
    }
    let mut hedges = 0;
    while budget.try_acquire_hedge(at(1), &service, 1) {
        hedges += 1;
    }
    let mut retries = 0;
    while budget.try_acquire(at(1), &service, 1) {
        retries += 1;
    }
    assert_eq!((hedges, retries), (7, 7));
    assert!(!budget.try_acquire_hedge(at(1), &service, 1));
}
