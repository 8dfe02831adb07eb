//! Forwarding to other homes, planned stops and adoption.

mod common;

use base::prelude::*;
use booking::{
    BookingAction, BookingCoordinator, BookingEvent, BookingReply, HomeTag, TableHandover,
    TagClaim, TicketId,
};
use common::*;

/// A home that was frozen at 10 s with one answered booking and one send in flight, a tag that
/// it issued at 0 s, and the handover of its table.
fn stopped_home() -> (BookingCoordinator, HomeTag, TableHandover) {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("kept", &tag));
    coordinator.handle(at(1), answered("kept", 1, 200));
    request(&mut coordinator, at(1), 2, tagged("open", &tag));
    coordinator.handle(at(10), BookingEvent::Freeze);
    let start = BookingEvent::StartHandover { adopter: address(OTHER) };
    let actions = coordinator.handle(at(10), start);
    assert_eq!(describe(&actions), "hand over 2 entries to 10.0.0.11:4000");
    let Some(BookingAction::SendHandover { handover, .. }) = actions.into_iter().next() else {
        panic!("expected a handover")
    };
    (coordinator, tag, TableHandover::clone(&handover))
}

#[test]
fn a_failed_forward_to_another_home_is_unknown_and_never_not_run() {
    let mut coordinator = coordinator(HOME);
    let tag = common::coordinator(OTHER).issue_tag(at(0), &workspace());
    let forwarded = request(&mut coordinator, at(1), 1, tagged("k", &tag));
    assert_eq!(forwarded, "forward 1 to 10.0.0.11:4000");
    let gone = coordinator.handle(at(1), BookingEvent::ForwardFailed { ticket: TicketId(1) });
    assert_eq!(describe(&gone), "reply 1: 504 unknown");
    let reply = BookingReply::not_run(RefusalReason::TableFull, None);
    let event = BookingEvent::ForwardAnswered { ticket: TicketId(2), reply };
    assert_eq!(describe(&coordinator.handle(at(1), event)), "reply 2: 503 not_run table_full");
}

#[test]
fn a_process_restarted_at_the_address_of_a_dead_home_answers_unknown() {
    let tag = coordinator(HOME).issue_tag(at(0), &workspace());
    let mut restarted = coordinator(OTHER);
    let mut call = tagged("k", &tag);
    call.forwarded = true;
    assert_eq!(request(&mut restarted, at(1), 1, call), "reply 1: 504 unknown");
}

#[test]
fn a_frozen_home_drains_sends_but_starts_none() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    coordinator.handle(at(2), BookingEvent::Freeze);
    assert_eq!(
        request(&mut coordinator, at(2), 2, tagged("new", &tag)),
        "reply 2: 503 not_run stopping"
    );
    assert_eq!(request(&mut coordinator, at(2), 3, tagged("k", &tag)), "", "a retry waits");
    let replies = describe(&coordinator.handle(at(3), answered("k", 1, 200)));
    assert_eq!(replies, "reply 1: 200 done; reply 3: 200 done");
    assert_eq!(coordinator.in_flight(), 0);
}

#[test]
fn a_home_that_handed_its_table_over_forwards_unknown_keys() {
    let (mut old, tag, _) = stopped_home();
    assert_eq!(request(&mut old, at(11), 3, tagged("new", &tag)), "forward 3 to 10.0.0.11:4000");
    assert_eq!(request(&mut old, at(11), 4, tagged("kept", &tag)), "reply 4: 200 done");
    let resend = describe(&old.handle(at(12), BookingEvent::Tick));
    assert_eq!(resend, "hand over 2 entries to 10.0.0.11:4000", "the confirmation was lost");
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    assert_eq!(describe(&old.handle(at(12), start)), "", "no second adopter");
    old.handle(at(13), BookingEvent::HandoverAccepted { adopter: VmIncarnation(OTHER) });
    assert_eq!(request(&mut old, at(14), 5, tagged("new", &tag)), "forward 5 to 10.0.0.11:4000");
}

#[test]
fn the_adopter_answers_adopted_keys_and_sends_new_ones() {
    let (_, tag, handover) = stopped_home();
    let mut adopter = coordinator(OTHER);
    let accepted = adopter.handle(at(500), BookingEvent::Adopt(handover.clone()));
    assert_eq!(describe(&accepted), "answer handover: accepted true");
    assert_eq!(request(&mut adopter, at(500), 1, tagged("kept", &tag)), "reply 1: 200 done");
    assert_eq!(request(&mut adopter, at(500), 2, tagged("open", &tag)), "reply 2: 504 unknown");
    assert_eq!(request(&mut adopter, at(500), 3, tagged("new", &tag)), "send new #1");
    // The tag had 50 s left when the table was exported.
    assert_eq!(request(&mut adopter, at(550), 4, tagged("late", &tag)), "reply 4: 504 unknown");
}

#[test]
fn a_repeated_handover_is_not_imported_again() {
    let (_, tag, handover) = stopped_home();
    let mut adopter = coordinator(OTHER);
    adopter.handle(at(500), BookingEvent::Adopt(handover.clone()));
    request(&mut adopter, at(501), 1, tagged("new", &tag));
    let again = adopter.handle(at(502), BookingEvent::Adopt(handover));
    assert_eq!(describe(&again), "answer handover: accepted true");
    assert_eq!(request(&mut adopter, at(503), 2, tagged("new", &tag)), "", "it waits for send 1");
    assert_eq!(adopter.entries(), 3);
    let late = request(&mut adopter, at(551), 3, tagged("late", &tag));
    assert_eq!(late, "reply 3: 504 unknown", "the tag's lifetime was not restarted");
}

#[test]
fn a_process_restarted_at_the_adopters_address_neither_accepts_nor_refuses() {
    let (_, tag, handover) = stopped_home();
    let mut restarted = coordinator(0xc);
    assert_eq!(describe(&restarted.handle(at(500), BookingEvent::Adopt(handover))), "");
    let mut call = tagged("new", &tag);
    call.forwarded = true;
    assert_eq!(request(&mut restarted, at(501), 1, call), "reply 1: 504 unknown");
}

#[test]
fn a_refusal_by_an_earlier_adopter_has_no_effect() {
    let (mut old, _, handover) = stopped_home();
    let mut frozen = coordinator(OTHER);
    frozen.handle(at(0), BookingEvent::Freeze);
    let refused = frozen.handle(at(11), BookingEvent::Adopt(handover));
    assert_eq!(describe(&refused), "answer handover: accepted false");
    let refusal = BookingEvent::HandoverRefused { adopter: VmIncarnation(OTHER) };
    old.handle(at(11), refusal.clone());
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    assert_eq!(describe(&old.handle(at(12), start)), "hand over 2 entries to 10.0.0.12:4000");
    old.handle(at(13), refusal);
    let start = BookingEvent::StartHandover { adopter: address(0xd) };
    assert_eq!(
        describe(&old.handle(at(14), start)),
        "",
        "the second adopter may have accepted the table"
    );
}

#[test]
fn an_adopted_table_keeps_its_clocks_in_a_second_handover() {
    let (_, tag, handover) = stopped_home();
    let mut second = coordinator(OTHER);
    second.handle(at(500), BookingEvent::Adopt(handover));
    second.handle(at(510), BookingEvent::Freeze);
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    let actions = second.handle(at(510), start);
    let Some(BookingAction::SendHandover { handover, .. }) = actions.first() else {
        panic!("expected a handover")
    };
    let mut third = coordinator(0xc);
    third.handle(at(20), BookingEvent::Adopt(TableHandover::clone(handover)));
    assert_eq!(request(&mut third, at(20), 1, tagged("kept", &tag)), "reply 1: 200 done");
    assert_eq!(request(&mut third, at(59), 2, tagged("new", &tag)), "send new #1");
    assert_eq!(request(&mut third, at(60), 3, tagged("late", &tag)), "reply 3: 504 unknown");
}

#[test]
fn other_entries_forward_to_the_adopter() {
    let (_, tag, _) = stopped_home();
    let mut third = coordinator(0xc);
    let home = VmIncarnation(HOME);
    third.handle(at(0), BookingEvent::Adopted { home, adopter: address(OTHER) });
    assert_eq!(request(&mut third, at(1), 1, tagged("k", &tag)), "forward 1 to 10.0.0.11:4000");
}

#[test]
fn a_handover_survives_encoding_and_decoding() {
    let (_, _, handover) = stopped_home();
    let bytes = postcard::to_stdvec(&handover).unwrap();
    assert_eq!(postcard::from_bytes::<TableHandover>(&bytes).unwrap(), handover);
}

#[test]
fn a_frozen_home_issues_no_tag_for_a_request_without_one() {
    let mut coordinator = coordinator(HOME);
    coordinator.handle(at(0), BookingEvent::Freeze);
    let reply = request(&mut coordinator, at(1), 1, call("k", TagClaim::Missing));
    assert_eq!(reply, "reply 1: 428 not_run home_tag_missing");
}
