//! Orders that a holder sends to its runners, and the assignment of models.

mod common;

use std::collections::BTreeMap;

use base::{FencingNumber, prelude::*};
use common::*;
use insta::assert_snapshot;
use orders::{OrderController, OrderEvent, assign_models};

/// Creates the controller of the only VM, which holds the place and has ordered `m`, which
/// both runners have reported.
fn holding_controller() -> OrderController {
    let mut stream = FakeStream::default();
    let mut controller = controller("a", true);
    controller.handle(at(0), members(&[("a", false)]));
    stream.read_by(at(0), &mut controller);
    stream.append(&tick(&mut controller, at(0)));
    stream.read_by(at(0), &mut controller);
    assert_eq!(text(&tick(&mut controller, at(1))), "order r1 #1 m; order r2 #1 m");
    controller
}

#[test]
fn orders_are_repeated_until_a_report_reflects_them() {
    let mut controller = holding_controller();
    assert_eq!(text(&tick(&mut controller, at(2))), "");
    controller.handle(at(3), OrderEvent::Report(report("r1", 2, &[])));
    let resent = text(&tick(&mut controller, at(11)));
    assert_eq!(resent, "order r1 #1 m");
    assert_eq!(text(&tick(&mut controller, at(12))), "");
    controller.handle(at(13), OrderEvent::Report(report("r1", 3, &["m"])));
    assert_eq!(text(&tick(&mut controller, at(30))), "");
}

#[test]
fn a_report_with_an_older_sequence_is_ignored() {
    let mut controller = holding_controller();
    controller.handle(at(3), OrderEvent::Report(report("r1", 3, &["m"])));
    controller.handle(at(4), OrderEvent::Report(report("r1", 2, &[])));
    assert_eq!(text(&tick(&mut controller, at(30))), "");
}

#[test]
fn loads_of_all_runners_share_one_budget() {
    let mut controller = holding_controller();
    controller.handle(at(2), OrderEvent::Plan(plan(true, &[("m", 0), ("n", 0)])));
    let log: Vec<String> = (2..6).map(|second| text(&tick(&mut controller, at(second)))).collect();
    assert_snapshot!(log.join("\n"), @r"
    order r1 #1 m+n

    order r2 #1 m+n
    ");
}

#[test]
fn the_load_budget_is_divided_by_places() {
    let mut controller = holding_controller();
    let mut runners = vec![runner("r1", "caerdydd"), runner("r2", "caerdydd")];
    runners.push(runner("r3", "wrecsam"));
    controller.handle(at(2), OrderEvent::Members(Vec::new()));
    controller.handle(at(2), OrderEvent::Runners(runners));
    controller.handle(at(2), OrderEvent::Plan(plan(true, &[("m", 0), ("n", 0)])));
    let log: Vec<String> = (2..8).map(|second| text(&tick(&mut controller, at(second)))).collect();
    assert_snapshot!(log.join("\n"), @r"
    order r1 #1 m+n



    order r2 #1 m+n
    ");
}

#[test]
fn a_model_is_unloaded_once_the_runner_was_idle_after_the_drain_notice() {
    let mut controller = holding_controller();
    controller.handle(at(2), OrderEvent::Plan(plan(true, &[])));
    let busy = |sequence| RunnerReport { running: 1, ..report("r1", sequence, &["m"]) };
    let mut log = vec![text(&tick(&mut controller, at(2)))];
    assert_eq!(controller.draining().count(), 2);
    controller.handle(at(4), OrderEvent::Report(report("r1", 2, &["m"])));
    log.push(format!("idle before the notice has passed: {}", text(&tick(&mut controller, at(4)))));
    controller.handle(at(6), OrderEvent::Report(busy(3)));
    log.push(format!("busy: {}", text(&tick(&mut controller, at(6)))));
    controller.handle(at(7), OrderEvent::Report(report("r1", 4, &["m"])));
    log.push(format!("idle: {}", text(&tick(&mut controller, at(7)))));
    controller.handle(at(8), OrderEvent::Report(report("r1", 5, &[])));
    log.push(format!("unloaded: {}", text(&tick(&mut controller, at(30)))));
    assert_snapshot!(log.join("\n"), @r"

    idle before the notice has passed: 
    busy: 
    idle: order r1 #1 
    unloaded: 
    ");
    assert_eq!(controller.draining().count(), 1, "r2 has not unloaded the model");
}

#[test]
fn no_orders_go_to_a_runner_that_accepted_a_higher_fencing_number() {
    let mut controller = holding_controller();
    let event = OrderEvent::Refused { runner: "r1".parse().unwrap(), fence: FencingNumber(5) };
    controller.handle(at(2), event);
    for runner in ["r1", "r2"] {
        controller.handle(at(2), OrderEvent::Report(report(runner, 2, &[])));
    }
    assert_eq!(text(&tick(&mut controller, at(30))), "order r2 #1 m");
}

#[test]
fn a_restarted_runner_is_sent_the_order_again() {
    let mut controller = holding_controller();
    let restarted = RunnerReport { incarnation: 2, ..report("r1", 1, &[]) };
    controller.handle(at(2), OrderEvent::Report(restarted));
    assert_eq!(text(&tick(&mut controller, at(2))), "order r1 #1 m");
}

#[test]
fn models_are_assigned_across_places() {
    let names = ["caerdydd", "abertawe", "wrecsam"];
    let runner = |number: usize| runner(&format!("r{number:02}"), names[number % 3]);
    let mut runners: Vec<_> = (0..12).map(runner).collect();
    let plan = plan(true, &[("all", 0), ("few", 4), ("one", 1)]);
    let count = |runners: &[orders::OrderRunner]| {
        let assigned = assign_models(&plan, runners);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for runner in runners {
            for model in assigned.get(&runner.runner).into_iter().flatten() {
                *counts.entry(format!("{model} in {}", runner.place)).or_default() += 1;
            }
        }
        counts.iter().map(|(name, count)| format!("{name}: {count}")).collect::<Vec<_>>()
    };
    assert_snapshot!(count(&runners).join("\n"), @r"
    all in abertawe: 4
    all in caerdydd: 4
    all in wrecsam: 4
    few in abertawe: 1
    few in caerdydd: 1
    few in wrecsam: 2
    one in wrecsam: 1
    ");
    let before = assign_models(&plan, &runners);
    runners[0].leaving = true;
    let after = assign_models(&plan, &runners);
    let changed = after.iter().filter(|(runner, models)| before.get(*runner) != Some(models));
    assert!(changed.count() <= 2, "only models of the leaving runner are reassigned");
}
