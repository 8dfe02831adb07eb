//! Who holds a place.

mod common;

use base::{FencingNumber, prelude::*};
use common::*;
use insta::assert_snapshot;
use orders::{ClaimTable, OrderClaim, OrderController, OrderEvent};

/// The controllers of `a`, which is the first choice and has claimed, and of `b`.
fn claimed(checks_fencing: bool) -> (FakeStream, OrderController, OrderController) {
    let mut stream = FakeStream::default();
    let mut controllers = ["a", "b", "c"].map(|name| controller(name, checks_fencing));
    for controller in &mut controllers {
        stream.read_by(at(1), controller);
    }
    let actions: Vec<_> =
        controllers.iter_mut().map(|controller| tick(controller, at(1))).collect();
    assert_eq!(actions.iter().map(Vec::len).collect::<Vec<_>>(), [1, 0, 0]);
    stream.append(&actions[0]);
    let [mut holder, mut other, _] = controllers;
    for controller in [&mut holder, &mut other] {
        stream.read_by(at(2), controller);
    }
    (stream, holder, other)
}

/// As `claimed`; then `a` and `c` fall silent for `b`, which claims.
fn taken_over(checks_fencing: bool) -> (FakeStream, OrderController, OrderController) {
    let (mut stream, old, mut other) = claimed(checks_fencing);
    other.handle(at(60), members(&[("a", true), ("b", false), ("c", true)]));
    stream.append(&tick(&mut other, at(60)));
    (stream, old, other)
}

#[test]
fn the_first_choice_claims_and_the_offset_is_its_number() {
    let (stream, mut holder, other) = claimed(true);
    let record = r#"{"version":1,"place":"caerdydd","vm":"a","incarnation":"0000000000000061","seen":0,"earlier":[]}"#;
    assert_eq!(&*stream.records[0].1, record);
    assert_eq!(fence(&holder), Some(FencingNumber(1)));
    assert_eq!(fence(&other), None);
    assert_eq!(text(&tick(&mut holder, at(3))), "order r1 #1 m; order r2 #1 m");
}

#[test]
fn a_claim_counts_only_once_it_is_read_back() {
    let mut stream = FakeStream::default();
    let mut controller = controller("a", true);
    stream.read_by(at(1), &mut controller);
    let actions = tick(&mut controller, at(1));
    assert_eq!(actions.len(), 1);
    assert_eq!(
        text(&tick(&mut controller, at(2))),
        "",
        "the answer was lost, the effect not known"
    );
    assert_eq!(tick(&mut controller, at(6)), actions, "it is appended again");
    stream.append(&actions);
    stream.append(&actions);
    stream.read_by(at(7), &mut controller);
    assert_eq!(fence(&controller), Some(FencingNumber(2)));
}

#[test]
fn a_holder_that_reads_a_later_claim_stops_at_once() {
    let (stream, mut old, mut new) = taken_over(true);
    assert!(text(&tick(&mut old, at(61))).starts_with("order"), "it has not read it yet");
    assert_eq!(stream.read_by(at(62), &mut old), "stop caerdydd");
    assert_eq!(text(&tick(&mut old, at(62))), "");
    stream.read_by(at(62), &mut new);
    assert_eq!(text(&tick(&mut new, at(62))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn targets_that_do_not_check_wait_until_the_old_holder_is_gone() {
    let (stream, _, mut new) = taken_over(false);
    stream.read_by(at(62), &mut new);
    assert_eq!(text(&tick(&mut new, at(62))), "");
    list(&mut new, &["a", "b", "c"]);
    assert_eq!(text(&tick(&mut new, at(63))), "", "it is still on the list");
    list(&mut new, &["b", "c"]);
    assert_eq!(text(&tick(&mut new, at(64))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn a_list_proves_nothing_if_it_is_older_than_the_claim_or_lacks_this_vm() {
    let claim = |name: &str, seen: u64| {
        let place = place("caerdydd");
        let incarnation = VmIncarnation(u64::from(name.as_bytes()[0]));
        OrderClaim::new(place, vm(name), incarnation, LogOffset(seen), [].into()).encode()
    };
    let records = vec![(LogOffset(1), claim("z", 0)), (LogOffset(2), claim("a", 1))];
    let stream = FakeStream { records, appended: 2 };
    let mut controller = controller("a", false);
    stream.read_by(at(1), &mut controller);
    let vms = vec![vm("a")];
    controller.handle(at(2), OrderEvent::VmList { after: LogOffset(1), vms: vms.clone() });
    assert_eq!(text(&tick(&mut controller, at(2))), "", "z may have claimed at 1 and 2");
    controller.handle(at(3), OrderEvent::VmList { after: LogOffset(2), vms: vec![vm("b")] });
    assert_eq!(text(&tick(&mut controller, at(3))), "");
    controller.handle(at(4), OrderEvent::VmList { after: LogOffset(2), vms });
    assert_eq!(text(&tick(&mut controller, at(4))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn a_serving_holder_keeps_its_place_and_renews() {
    let (mut stream, mut holder, mut other) = claimed(true);
    assert_eq!(text(&tick(&mut other, at(500))), "");
    tick(&mut holder, at(500));
    let renewal = tick(&mut holder, at(602));
    assert!(text(&renewal).starts_with("append"));
    stream.append(&renewal);
    stream.read_by(at(603), &mut holder);
    assert_eq!(fence(&holder), Some(FencingNumber(2)));
    assert_eq!(text(&tick(&mut holder, at(604))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn a_new_process_of_the_holders_vm_claims_again() {
    let (mut stream, _, _) = claimed(false);
    let mut restarted = OrderController::new(settings("a", 0xff));
    let runners = vec![runner("r1", "caerdydd")];
    restarted.handle(at(0), OrderEvent::Runners(runners));
    list(&mut restarted, &["a", "b", "c"]);
    stream.read_by(at(1), &mut restarted);
    assert_eq!(fence(&restarted), None);
    stream.append(&tick(&mut restarted, at(1)));
    stream.read_by(at(2), &mut restarted);
    assert_eq!(fence(&restarted), Some(FencingNumber(2)));
}

#[test]
fn a_reader_of_an_expired_log_takes_every_vm_for_an_earlier_claimant() {
    let (mut stream, _, _) = claimed(false);
    stream.expire(1);
    let mut late = controller("c", false);
    late.handle(at(0), members(&[("c", false)]));
    stream.read_by(at(1), &mut late);
    assert_eq!(text(&tick(&mut late, at(1))), "", "its list may be older than the lost claim");
    list(&mut late, &["a", "b", "c"]);
    stream.append(&tick(&mut late, at(1)));
    stream.read_by(at(2), &mut late);
    let state = late.claim_table().get(&place("caerdydd")).unwrap();
    assert_eq!(state.earlier.keys().map(VmId::as_str).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(text(&tick(&mut late, at(2))), "", "a or b may wake");
    list(&mut late, &["c"]);
    assert_eq!(text(&tick(&mut late, at(3))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn without_a_log_nobody_takes_over_and_the_holder_goes_on() {
    let mut fresh = controller("a", true);
    fresh.handle(at(0), members(&[("a", false)]));
    assert_eq!(text(&tick(&mut fresh, at(1))), "", "the log was never read");
    let (_, mut holder, _) = claimed(true);
    tick(&mut holder, at(3));
    holder.handle(at(4), OrderEvent::Report(report("r1", 2, &[])));
    assert_eq!(text(&tick(&mut holder, at(5_000)).split_off(1)), "order r1 #1 m");
}

#[test]
fn records_that_are_no_claims_are_passed_over() {
    let mut table = ClaimTable::default();
    table.apply(LogOffset(1), OrderClaim::decode(LogOffset(1), "{}").ok());
    assert_eq!(table.offset(), LogOffset(1));
    let newer = r#"{"version":2,"place":"p","vm":"a","incarnation":"0000000000000001","seen":0,"earlier":[]}"#;
    let error = OrderClaim::decode(LogOffset(2), newer).unwrap_err();
    assert_snapshot!(error, @"read claim at offset 2: version 2 is not known");
}
