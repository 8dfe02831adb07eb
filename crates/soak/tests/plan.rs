//! Plans: the same seed gives the same faults.

use std::time::Duration;

use soak::SoakPlan;

#[test]
fn a_seed_gives_one_plan() {
    let plan = SoakPlan::draw(7, Duration::from_secs(10));
    assert_eq!(plan, SoakPlan::draw(7, Duration::from_secs(10)));
    let lines: Vec<String> = plan.steps.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_longer_plan_begins_as_the_shorter_one() {
    let short = SoakPlan::draw(3, Duration::from_secs(5));
    let long = SoakPlan::draw(3, Duration::from_secs(20));
    assert!(long.steps.len() > short.steps.len());
    assert_eq!(short.steps[..], long.steps[..short.steps.len()]);
}
