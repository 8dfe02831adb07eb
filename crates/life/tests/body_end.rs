//! What the end of a body says about its stream, by its framing and the orders to stop its run.

use std::fmt::Write as _;

use base::prelude::*;
use life::{BodyEnd, BodyFraming, OrderOrigin, StopOrders, judge_end};

fn runner(name: &str) -> RunnerId {
    name.parse().unwrap()
}

#[test]
fn an_end_without_framing_is_whole_only_if_no_order_can_have_been_followed() {
    let mut table = String::new();
    for framing in [BodyFraming::Framed, BodyFraming::Relayed, BodyFraming::ByConnection] {
        for stopped_by in [None, Some(OrderOrigin::ThisNode), Some(OrderOrigin::OtherNode(None))] {
            for (has_event, is_in_event) in [(true, false), (true, true), (false, false)] {
                let by = stopped_by.as_ref().map_or("nobody", OrderOrigin::as_str);
                let stopped_by = stopped_by.clone();
                let end = BodyEnd { framing, has_event, is_in_event, stopped_by };
                let meaning = judge_end(&end).as_str();
                let _ = writeln!(
                    table,
                    "{:13} {by:10} event {has_event:5} inside {is_in_event:5} {meaning}",
                    framing.as_str()
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}

#[test]
fn an_order_counts_until_it_is_known_not_to_have_been_followed() {
    let (first, second) = (runner("first"), runner("second"));
    let other = |name: &str| OrderOrigin::OtherNode(Some(name.parse().unwrap()));
    let (now, later) = (TimePoint::default(), TimePoint::default() + TimeSpan::seconds(4));
    let mut orders = StopOrders::default();
    orders.note_order(&first, OrderOrigin::ThisNode, later);
    orders.note_order(&first, OrderOrigin::ThisNode, later);
    assert_eq!(orders.stopped_by(&second), None);
    orders.note_not_followed(&first, &OrderOrigin::ThisNode, now);
    assert_eq!(orders.stopped_by(&first), Some(OrderOrigin::ThisNode));
    orders.note_not_followed(&first, &OrderOrigin::ThisNode, now);
    assert_eq!(orders.stopped_by(&first), None);
    // A node that is asked again while it still handles the first offer does not know what becomes of that.
    orders.note_order(&first, other("node-1"), later);
    orders.note_order(&first, other("node-1"), later);
    orders.note_not_followed(&first, &other("node-2"), now);
    orders.note_not_followed(&first, &other("node-1"), now);
    assert_eq!(orders.stopped_by(&first), Some(other("node-1")));
    orders.note_order(&first, other("node-1"), later);
    orders.note_not_followed(&first, &other("node-1"), later);
    assert_eq!(orders.stopped_by(&first), None);
}

#[test]
fn a_run_that_returns_is_concerned_only_by_open_orders_of_this_node() {
    let first = runner("first");
    let now = TimePoint::default();
    let mut orders = StopOrders::default();
    orders.note_order(&first, OrderOrigin::ThisNode, now);
    orders.note_followed(&first, &OrderOrigin::ThisNode);
    assert_eq!(orders.stopped_by(&first), Some(OrderOrigin::ThisNode));
    orders.begin_run(&first);
    assert_eq!(orders.stopped_by(&first), None);
    orders.note_order(&first, OrderOrigin::OtherNode(None), now);
    orders.begin_run(&first);
    assert_eq!(orders.stopped_by(&first), None);
    orders.note_order(&first, OrderOrigin::ThisNode, now);
    orders.begin_run(&first);
    assert_eq!(orders.stopped_by(&first), Some(OrderOrigin::ThisNode));
}
