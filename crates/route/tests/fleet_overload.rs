//! Replays of the load at which a fleet of many entries is at its worst: engines whose memory is
//! nearly full, of which each entry runs only a small part, and which all entries see alike.

mod common;

use base::prelude::*;
use common::{SchedulerHarness, call, id, report, runner, service};
use config::CallPriority;
use route::{MemoryForecast, RouteAction, RouteCall, RouteEvent};

/// Memory of a runner in these tests, in tokens.
const MEMORY: f64 = 2_048.0 * 16.0;
/// Number of entries that compete.
const ENTRIES: u64 = 40;

/// Tells the scheduler what the other entries run at a runner: `now` tokens, which become `later`
/// after 512 steps.
fn tell_others(harness: &mut SchedulerHarness, number: usize, now: f64, later: f64) {
    let mean = [now, now, f64::midpoint(now, later), later, later];
    let forecast = MemoryForecast { mean, variance: [1.0; 5] };
    harness.tell(RouteEvent::OtherForecast { runner: runner(number), forecast });
    let blocks = (now / 16.0) as u32;
    harness.report(report(number, blocks, 6));
}

/// A long generation whose first token is due after `millis`.
fn long_call(harness: &SchedulerHarness, number: u64, millis: u64) -> RouteCall {
    RouteCall {
        prompt_tokens: TokenCount(3_000),
        max_tokens: TokenCount(2_200),
        length_hint: Some(TokenCount(900)),
        first_token_target: Some(harness.now + TimeSpan::millis(millis)),
        ..call(number, CallPriority::Urgent)
    }
}

/// A label of a few tokens.
fn short_call(harness: &SchedulerHarness, number: u64) -> RouteCall {
    RouteCall {
        prompt_tokens: TokenCount(2_000),
        max_tokens: TokenCount(40),
        length_hint: Some(TokenCount(8)),
        priority: CallPriority::Normal,
        ..long_call(harness, number, 1_500)
    }
}

fn is_sent(actions: &[RouteAction]) -> bool {
    matches!(actions, [RouteAction::Send { .. }])
}

#[test]
fn growth_of_the_calls_of_other_entries_is_counted() {
    let mut harness = SchedulerHarness::new(1);
    tell_others(&mut harness, 0, 0.6 * MEMORY, 1.2 * MEMORY);
    let growing = long_call(&harness, 1, 1_800);
    assert!(!is_sent(&harness.arrive(growing)));
    tell_others(&mut harness, 0, 0.6 * MEMORY, 0.5 * MEMORY);
    let shrinking = long_call(&harness, 2, 1_800);
    assert!(is_sent(&harness.arrive(shrinking)) || harness.scheduler.summary().running > 0);
}

#[test]
fn label_is_sent_beside_generations_that_fill_the_memory_after_its_end() {
    let mut harness = SchedulerHarness::new(1);
    tell_others(&mut harness, 0, 0.8 * MEMORY, 1.2 * MEMORY);
    let label = short_call(&harness, 1);
    assert!(is_sent(&harness.arrive(label)));
}

#[test]
fn call_does_not_queue_behind_prompts_that_would_make_it_late() {
    let mut harness = SchedulerHarness::new(1);
    tell_others(&mut harness, 0, 0.3 * MEMORY, 0.3 * MEMORY);
    harness.tell(RouteEvent::PendingPrefill { runner: runner(0), tokens: 12_000 });
    let waiting = long_call(&harness, 1, 1_800);
    assert!(!is_sent(&harness.arrive(waiting)), "its prompt would be read after 2.2 s");
    harness.tell(RouteEvent::PendingPrefill { runner: runner(0), tokens: 2_000 });
    assert!(is_sent(&harness.tell(RouteEvent::Tick)));
}

#[test]
fn prompt_that_no_runner_can_hold_is_refused_at_once() {
    let mut harness = SchedulerHarness::new(2);
    for number in 0..2 {
        tell_others(&mut harness, number, 0.9 * MEMORY, 0.9 * MEMORY);
    }
    let fitting =
        RouteCall { prompt_tokens: TokenCount(MEMORY as u32 - 1), ..long_call(&harness, 1, 1_800) };
    assert!(harness.arrive(fitting).is_empty(), "waits for a runner to become empty");
    let too_long =
        RouteCall { prompt_tokens: TokenCount(MEMORY as u32 + 1), ..long_call(&harness, 2, 1_800) };
    let actions = harness.arrive(too_long);
    assert!(
        matches!(
            actions[..],
            [RouteAction::Refuse { call, reason: RefusalReason::NoRunner, .. }] if call == id(2)
        ),
        "{actions:?}"
    );
}

#[test]
fn entries_with_waiting_calls_take_turns_at_a_runner_that_becomes_free() {
    let mut sent = 0;
    for seed in 1..=ENTRIES {
        let mut harness = SchedulerHarness::with_seed(1, seed);
        tell_others(&mut harness, 0, MEMORY, MEMORY);
        harness.tell(RouteEvent::PeersWaiting {
            service: service(),
            waiting_peers: ENTRIES as usize - 1,
        });
        let waiting = long_call(&harness, 1, 1_800);
        assert!(!is_sent(&harness.arrive(waiting)));
        harness.advance(TimeSpan::millis(100));
        let forecast = MemoryForecast::default();
        harness.tell(RouteEvent::OtherForecast { runner: runner(0), forecast });
        sent += u64::from(is_sent(&harness.report(report(0, 0, 0))));
    }
    assert!(sent <= 5, "{sent} of {ENTRIES} entries sent at the same instant");
}

#[test]
fn entries_relocate_their_calls_to_different_runners() {
    const RUNNERS: usize = 12;
    let mut targets: Vec<RunnerId> = Vec::new();
    for seed in 1..=ENTRIES {
        let mut harness = SchedulerHarness::with_seed(RUNNERS, seed);
        for number in 0..RUNNERS {
            let load = if number == 0 { 0.0 } else { (0.5 + 0.01 * number as f64) * MEMORY };
            tell_others(&mut harness, number, load, load);
        }
        let running = long_call(&harness, 1, 1_800);
        assert!(is_sent(&harness.arrive(running)));
        harness.tell(RouteEvent::Progress { call: id(1), index: TokenIndex(100) });
        targets.extend(harness.scheduler.relocate(harness.now, id(1)));
    }
    targets.sort();
    let most = targets.chunk_by(|a, b| a == b).map(<[RunnerId]>::len).max();
    assert!(most <= Some(25), "{most:?} of {ENTRIES} entries chose the same runner");
}
