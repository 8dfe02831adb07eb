//! Claims of places: election, takeover, renewal and expired history.

mod common;

use base::{FencingNumber, prelude::*};
use common::*;
use insta::assert_snapshot;
use orders::{ClaimTable, OrderClaim, OrderController, OrderEvent};

/// Creates the controllers of `a`, which ranks first and has claimed the place, and of `b`.
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

/// Like `claimed`, but `b` then sees `a` and `c` as silent and appends a claim, which neither
/// has read yet.
fn taken_over(checks_fencing: bool) -> (FakeStream, OrderController, OrderController) {
    let (mut stream, old, mut other) = claimed(checks_fencing);
    other.handle(at(60), members(&[("a", true), ("b", false), ("c", true)]));
    stream.append(&tick(&mut other, at(60)));
    (stream, old, other)
}

#[test]
fn the_first_ranked_vm_claims_and_its_fencing_number_is_the_offset() {
    let (stream, mut holder, other) = claimed(true);
    let record = r#"{"version":1,"place":"caerdydd","vm":"a","incarnation":"0000000000000061","seen":0,"earlier":[]}"#;
    assert_eq!(&*stream.records[0].1, record);
    assert_eq!(fence(&holder), Some(FencingNumber(1)));
    assert_eq!(fence(&other), None);
    assert_eq!(text(&tick(&mut holder, at(3))), "order r1 #1 m; order r2 #1 m");
}

#[test]
fn a_claim_takes_effect_once_it_is_read_back() {
    let mut stream = FakeStream::default();
    let mut controller = controller("a", true);
    stream.read_by(at(1), &mut controller);
    let actions = tick(&mut controller, at(1));
    assert_eq!(actions.len(), 1);
    assert_eq!(
        text(&tick(&mut controller, at(2))),
        "",
        "the claim was not read back, and its retry is not due"
    );
    assert_eq!(tick(&mut controller, at(6)), actions, "the claim is appended again");
    stream.append(&actions);
    stream.append(&actions);
    stream.read_by(at(7), &mut controller);
    assert_eq!(fence(&controller), Some(FencingNumber(2)));
}

#[test]
fn a_holder_that_reads_a_later_claim_stops_its_orders() {
    let (stream, mut old, mut new) = taken_over(true);
    assert!(
        text(&tick(&mut old, at(61))).starts_with("order"),
        "the old holder has not read the claim"
    );
    assert_eq!(stream.read_by(at(62), &mut old), "stop caerdydd");
    assert_eq!(text(&tick(&mut old, at(62))), "");
    stream.read_by(at(62), &mut new);
    assert_eq!(text(&tick(&mut new, at(62))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn runners_without_fencing_get_no_orders_until_the_old_holder_is_unlisted() {
    let (stream, _, mut new) = taken_over(false);
    stream.read_by(at(62), &mut new);
    assert_eq!(text(&tick(&mut new, at(62))), "");
    apply_vm_list(&mut new, &["a", "b", "c"]);
    assert_eq!(text(&tick(&mut new, at(63))), "", "the old holder is still listed");
    apply_vm_list(&mut new, &["b", "c"]);
    assert_eq!(text(&tick(&mut new, at(64))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn a_vm_list_is_no_proof_if_requested_before_the_claim_or_without_this_vm() {
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
    assert_eq!(
        text(&tick(&mut controller, at(2))),
        "",
        "the list was requested before the claim at 2 was read"
    );
    controller.handle(at(3), OrderEvent::VmList { after: LogOffset(2), vms: vec![vm("b")] });
    assert_eq!(text(&tick(&mut controller, at(3))), "");
    controller.handle(at(4), OrderEvent::VmList { after: LogOffset(2), vms });
    assert_eq!(text(&tick(&mut controller, at(4))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn an_available_holder_keeps_its_place_and_renews_its_claim() {
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
fn a_restarted_process_of_the_holder_claims_again() {
    let (mut stream, _, _) = claimed(false);
    let mut restarted = OrderController::new(settings("a", 0xff));
    let runners = vec![runner("r1", "caerdydd")];
    restarted.handle(at(0), OrderEvent::Runners(runners));
    apply_vm_list(&mut restarted, &["a", "b", "c"]);
    stream.read_by(at(1), &mut restarted);
    assert_eq!(fence(&restarted), None);
    stream.append(&tick(&mut restarted, at(1)));
    stream.read_by(at(2), &mut restarted);
    assert_eq!(fence(&restarted), Some(FencingNumber(2)));
}

#[test]
fn with_expired_records_every_listed_vm_counts_as_an_earlier_claimant() {
    let (mut stream, _, _) = claimed(false);
    stream.expire(1);
    let mut late = controller("c", false);
    late.handle(at(0), members(&[("c", false)]));
    stream.read_by(at(1), &mut late);
    assert_eq!(
        text(&tick(&mut late, at(1))),
        "",
        "the list was requested before the expired claim was known"
    );
    apply_vm_list(&mut late, &["a", "b", "c"]);
    stream.append(&tick(&mut late, at(1)));
    stream.read_by(at(2), &mut late);
    let state = late.claim_table().get(&place("caerdydd")).unwrap();
    assert_eq!(state.earlier.keys().map(VmId::as_str).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(text(&tick(&mut late, at(2))), "", "a and b may still send orders");
    apply_vm_list(&mut late, &["c"]);
    assert_eq!(text(&tick(&mut late, at(3))), "order r1 #2 m; order r2 #2 m");
}

#[test]
fn without_the_log_no_vm_claims_and_the_holder_continues() {
    let mut fresh = controller("a", true);
    fresh.handle(at(0), members(&[("a", false)]));
    assert_eq!(text(&tick(&mut fresh, at(1))), "", "the log was never read");
    let (_, mut holder, _) = claimed(true);
    tick(&mut holder, at(3));
    holder.handle(at(4), OrderEvent::Report(report("r1", 2, &[])));
    assert_eq!(text(&tick(&mut holder, at(5_000)).split_off(1)), "order r1 #1 m");
}

#[test]
fn records_that_are_not_claims_are_skipped() {
    let mut table = ClaimTable::default();
    table.apply(LogOffset(1), OrderClaim::decode(LogOffset(1), "{}").ok());
    assert_eq!(table.offset(), LogOffset(1));
    let newer = r#"{"version":2,"place":"p","vm":"a","incarnation":"0000000000000001","seen":0,"earlier":[]}"#;
    let error = OrderClaim::decode(LogOffset(2), newer).unwrap_err();
    assert_snapshot!(error, @"claim at offset 2 has unsupported version 2");
}
