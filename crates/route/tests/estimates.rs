//! Tests of length estimates, memory forecasts and queue order.

mod common;

use base::prelude::*;
use common::call;
use config::CallPriority;
use route::{LengthEstimate, LengthTable, MemoryForecast, RouteCall, WaitQueue};

#[test]
fn censored_generations_count_as_at_least_their_length() {
    let mut censored = LengthEstimate::default();
    let mut uncensored = LengthEstimate::default();
    for index in 0..800 {
        let length = 50 + index % 400;
        if length > 200 {
            censored.observe_censored(200);
        } else {
            censored.observe_complete(length);
            uncensored.observe_complete(length);
        }
    }
    let expected = 0.625;
    assert!((censored.survival(200) - expected).abs() < 0.1, "{}", censored.survival(200));
    assert!(uncensored.survival(200) < 0.1);
}

#[test]
fn long_running_generation_is_expected_to_continue() {
    let mut estimate = LengthEstimate::default();
    for index in 0..1_000_u32 {
        estimate.observe_complete(if index.is_multiple_of(10) { 4_000 } else { 100 });
    }
    assert!(estimate.expected_remaining(0) < 800.0);
    assert!(estimate.expected_remaining(200) > 2_000.0);
}

#[test]
fn overflow_probability_falls_with_capacity() {
    let mut load = MemoryForecast::default();
    let sure = MemoryForecast::for_generation(1_000, [1.0, 0.9, 0.6, 0.2, 0.0]);
    for _ in 0..10 {
        load += sure;
    }
    let room = load.overflow_probability(20_000.0);
    let tight = load.overflow_probability(10_500.0);
    let over = load.overflow_probability(9_000.0);
    assert!(room < 0.01 && room < tight && tight <= over && over > 0.99, "{room} {tight} {over}");
    for _ in 0..10 {
        load -= sure;
    }
    assert!(load.mean.iter().all(|mean| mean.abs() < 1e-6));
}

#[test]
fn workspaces_share_the_queue_by_weight() {
    let mut queue = WaitQueue::default();
    let large: WorkspaceId = "large".parse().unwrap();
    let small: WorkspaceId = "small".parse().unwrap();
    for number in 0..60 {
        let waiting = RouteCall { workspace: large.clone(), ..call(number, CallPriority::Normal) };
        queue.push(&waiting, 100, 2);
    }
    for number in 60..120 {
        let waiting = RouteCall { workspace: small.clone(), ..call(number, CallPriority::Normal) };
        queue.push(&waiting, 100, 1);
    }
    let mut of_large = 0;
    for _ in 0..60 {
        let call = queue.first().unwrap();
        of_large += u32::from(call.0 < 60);
        queue.dequeue(TimePoint::default(), call);
    }
    assert_eq!(of_large, 40);
}

#[test]
fn length_table_is_bounded_and_backs_off_to_wider_groups() {
    let mut table = LengthTable::default();
    for number in 0..10_000 {
        let mut call = call(number, CallPriority::Normal);
        call.workspace = format!("workspace-{number}").parse().unwrap();
        table.observe(&call, 100, true);
    }
    assert!(table.len() <= 8_194, "{}", table.len());
    let late = call(1, CallPriority::Normal);
    let survival = table.survival_at_horizons(&late, 0);
    assert!(survival[2] < 0.1, "longer than 128 tokens: {survival:?}");
}

#[test]
fn short_and_long_calls_of_a_workspace_are_separated_by_output_limit() {
    let mut table = LengthTable::default();
    let mut short = call(1, CallPriority::Normal);
    short.max_tokens = TokenCount(40);
    let long = call(4, CallPriority::Normal);
    assert_eq!(short.workspace, long.workspace);
    for _ in 0..100 {
        table.observe(&short, 12, true);
        table.observe(&long, 900, true);
    }
    let ahead = |call| table.expected_remaining(call);
    assert!(ahead(&short) < 40.0, "{}", ahead(&short));
    assert!(ahead(&long) > 600.0, "{}", ahead(&long));
}

#[test]
fn hint_and_limit_stand_in_for_lengths_that_were_not_observed() {
    let table = LengthTable::default();
    let stated = |limit, hint: Option<u32>| RouteCall {
        max_tokens: TokenCount(limit),
        length_hint: hint.map(TokenCount),
        ..call(1, CallPriority::Normal)
    };
    let [short, long] =
        [200, 1_600].map(|hint| table.expected_remaining(&stated(2_200, Some(hint))));
    assert!(300.0 < short && short < long && long < 1_400.0, "{short} {long}");
    let label = table.expected_remaining(&stated(40, Some(8)));
    assert!(label < 40.0, "{label}");
    let running = table.survival_at_horizons(&stated(2_200, Some(800)), 2_300);
    assert!(
        (running[0] - 1.0).abs() < f64::EPSILON,
        "what runs beyond its limit still holds its memory"
    );
    let unstated = table.expected_remaining(&stated(2_200, None));
    assert!(unstated < short, "a limit alone says little: {unstated}");
}
