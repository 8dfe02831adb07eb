//! Retries prefer runners that the call has not tried yet.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, runner};
use config::CallPriority;
use route::{CallEnd, RouteAction, RouteEvent};

const RUNNERS: usize = 2;

fn sent_to(actions: &[RouteAction]) -> RunnerId {
    match actions {
        [RouteAction::Send { runner, .. }] => runner.clone(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn retry_avoids_the_runner_that_refused_the_call() {
    for seed in 1..40 {
        let mut harness = SchedulerHarness::new(RUNNERS);
        let first = sent_to(&harness.arrive(call(seed, CallPriority::Urgent)));
        harness.tell(RouteEvent::Ended { call: id(seed), end: CallEnd::Refused });
        let mut retry = call(seed + 100, CallPriority::Urgent);
        retry.tried_runners = vec![first.clone()];
        let second = sent_to(&harness.arrive(retry));
        assert_ne!(first, second);
    }
}

#[test]
fn call_that_has_tried_all_runners_is_still_sent() {
    let mut harness = SchedulerHarness::new(RUNNERS);
    let mut call = call(1, CallPriority::Urgent);
    call.tried_runners = (0..RUNNERS).map(runner).collect();
    sent_to(&harness.arrive(call));
}
