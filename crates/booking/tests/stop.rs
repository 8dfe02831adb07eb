//! Other homes, planned stops and adoption.

mod common;

use base::prelude::*;
use booking::{
    BookingAction, BookingDesk, BookingEvent, BookingReply, HomeTag, TableHandover, TagClaim,
    TicketId,
};
use common::*;

/// A home with one answered and one lost booking, frozen at 10 s, and its hand-over.
fn stopped_home() -> (BookingDesk, HomeTag, TableHandover) {
    let mut desk = desk(HOME);
    let tag = desk.issue_tag(at(0), &workspace());
    ask(&mut desk, at(1), 1, tagged("kept", &tag));
    desk.handle(at(1), answered("kept", 1, 200));
    ask(&mut desk, at(1), 2, tagged("open", &tag));
    desk.handle(at(10), BookingEvent::Freeze);
    let start = BookingEvent::StartHandover { adopter: address(OTHER) };
    let actions = desk.handle(at(10), start);
    assert_eq!(text(&actions), "hand 2 entries to 10.0.0.11:4000");
    let Some(BookingAction::SendHandover { handover, .. }) = actions.into_iter().next() else {
        panic!("no hand-over")
    };
    (desk, tag, TableHandover::clone(&handover))
}

#[test]
fn a_call_of_another_home_is_forwarded_and_never_said_to_be_not_run() {
    let mut desk = desk(HOME);
    let tag = common::desk(OTHER).issue_tag(at(0), &workspace());
    let forwarded = ask(&mut desk, at(1), 1, tagged("k", &tag));
    assert_eq!(forwarded, "forward 1 to 10.0.0.11:4000");
    let gone = desk.handle(at(1), BookingEvent::ForwardFailed { ticket: TicketId(1) });
    assert_eq!(text(&gone), "reply 1: 504 unknown");
    let reply = BookingReply::not_run(RefusalReason::TableFull, None);
    let event = BookingEvent::ForwardAnswered { ticket: TicketId(2), reply };
    assert_eq!(text(&desk.handle(at(1), event)), "reply 2: 503 not_run table_full");
}

#[test]
fn a_new_start_at_the_address_of_a_dead_home_answers_unknown() {
    let tag = desk(HOME).issue_tag(at(0), &workspace());
    let mut restarted = desk(OTHER);
    let mut call = tagged("k", &tag);
    call.forwarded = true;
    assert_eq!(ask(&mut restarted, at(1), 1, call), "reply 1: 504 unknown");
}

#[test]
fn a_frozen_home_drains_but_sends_nothing_new() {
    let mut desk = desk(HOME);
    let tag = desk.issue_tag(at(0), &workspace());
    ask(&mut desk, at(1), 1, tagged("k", &tag));
    desk.handle(at(2), BookingEvent::Freeze);
    assert_eq!(ask(&mut desk, at(2), 2, tagged("new", &tag)), "reply 2: 503 not_run stopping");
    assert_eq!(ask(&mut desk, at(2), 3, tagged("k", &tag)), "", "a retry waits");
    let replies = text(&desk.handle(at(3), answered("k", 1, 200)));
    assert_eq!(replies, "reply 1: 200 done; reply 3: 200 done");
    assert_eq!(desk.in_flight(), 0);
}

#[test]
fn a_home_that_sent_its_table_away_passes_unseen_keys_on() {
    let (mut old, tag, _) = stopped_home();
    assert_eq!(ask(&mut old, at(11), 3, tagged("new", &tag)), "forward 3 to 10.0.0.11:4000");
    assert_eq!(ask(&mut old, at(11), 4, tagged("kept", &tag)), "reply 4: 200 done");
    let resend = text(&old.handle(at(12), BookingEvent::Tick));
    assert_eq!(resend, "hand 2 entries to 10.0.0.11:4000", "its confirmation was lost");
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    assert_eq!(text(&old.handle(at(12), start)), "", "no second adopter");
    old.handle(at(13), BookingEvent::HandoverAccepted { adopter: VmIncarnation(OTHER) });
    assert_eq!(ask(&mut old, at(14), 5, tagged("new", &tag)), "forward 5 to 10.0.0.11:4000");
}

#[test]
fn the_adopter_answers_old_keys_and_runs_new_ones() {
    let (_, tag, handover) = stopped_home();
    let mut adopter = desk(OTHER);
    let taken = adopter.handle(at(500), BookingEvent::Adopt(handover.clone()));
    assert_eq!(text(&taken), "adoption: true");
    assert_eq!(ask(&mut adopter, at(500), 1, tagged("kept", &tag)), "reply 1: 200 done");
    assert_eq!(ask(&mut adopter, at(500), 2, tagged("open", &tag)), "reply 2: 504 unknown");
    assert_eq!(ask(&mut adopter, at(500), 3, tagged("new", &tag)), "send new #1");
    // The tag had 50 s left when the table was made.
    assert_eq!(ask(&mut adopter, at(550), 4, tagged("late", &tag)), "reply 4: 504 unknown");
}

#[test]
fn a_repeated_hand_over_undoes_nothing() {
    let (_, tag, handover) = stopped_home();
    let mut adopter = desk(OTHER);
    adopter.handle(at(500), BookingEvent::Adopt(handover.clone()));
    ask(&mut adopter, at(501), 1, tagged("new", &tag));
    let again = adopter.handle(at(502), BookingEvent::Adopt(handover));
    assert_eq!(text(&again), "adoption: true");
    assert_eq!(ask(&mut adopter, at(503), 2, tagged("new", &tag)), "", "it waits for send 1");
    assert_eq!(adopter.entries(), 3);
    let late = ask(&mut adopter, at(551), 3, tagged("late", &tag));
    assert_eq!(late, "reply 3: 504 unknown", "the tag's life did not begin anew");
}

#[test]
fn a_new_start_at_the_adopters_address_neither_takes_nor_refuses() {
    let (_, tag, handover) = stopped_home();
    let mut restarted = desk(0xc);
    assert_eq!(text(&restarted.handle(at(500), BookingEvent::Adopt(handover))), "");
    let mut call = tagged("new", &tag);
    call.forwarded = true;
    assert_eq!(ask(&mut restarted, at(501), 1, call), "reply 1: 504 unknown");
}

#[test]
fn a_refusal_by_an_earlier_adopter_has_no_effect() {
    let (mut old, _, handover) = stopped_home();
    let mut frozen = desk(OTHER);
    frozen.handle(at(0), BookingEvent::Freeze);
    let refused = frozen.handle(at(11), BookingEvent::Adopt(handover));
    assert_eq!(text(&refused), "adoption: false");
    let refusal = BookingEvent::HandoverRefused { adopter: VmIncarnation(OTHER) };
    old.handle(at(11), refusal.clone());
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    assert_eq!(text(&old.handle(at(12), start)), "hand 2 entries to 10.0.0.12:4000");
    old.handle(at(13), refusal);
    let start = BookingEvent::StartHandover { adopter: address(0xd) };
    assert_eq!(text(&old.handle(at(14), start)), "", "the second adopter may have taken it");
}

#[test]
fn adopted_tables_are_handed_on_with_their_clocks() {
    let (_, tag, handover) = stopped_home();
    let mut second = desk(OTHER);
    second.handle(at(500), BookingEvent::Adopt(handover));
    second.handle(at(510), BookingEvent::Freeze);
    let start = BookingEvent::StartHandover { adopter: address(0xc) };
    let actions = second.handle(at(510), start);
    let Some(BookingAction::SendHandover { handover, .. }) = actions.first() else {
        panic!("no hand-over")
    };
    let mut third = desk(0xc);
    third.handle(at(20), BookingEvent::Adopt(TableHandover::clone(handover)));
    assert_eq!(ask(&mut third, at(20), 1, tagged("kept", &tag)), "reply 1: 200 done");
    assert_eq!(ask(&mut third, at(59), 2, tagged("new", &tag)), "send new #1");
    assert_eq!(ask(&mut third, at(60), 3, tagged("late", &tag)), "reply 3: 504 unknown");
}

#[test]
fn other_entries_find_the_adopter() {
    let (_, tag, _) = stopped_home();
    let mut third = desk(0xc);
    let home = VmIncarnation(HOME);
    third.handle(at(0), BookingEvent::Adopted { home, adopter: address(OTHER) });
    assert_eq!(ask(&mut third, at(1), 1, tagged("k", &tag)), "forward 1 to 10.0.0.11:4000");
}

#[test]
fn a_hand_over_survives_its_encoding() {
    let (_, _, handover) = stopped_home();
    let bytes = postcard::to_stdvec(&handover).unwrap();
    assert_eq!(postcard::from_bytes::<TableHandover>(&bytes).unwrap(), handover);
}

#[test]
fn a_missing_tag_at_a_frozen_home_gets_no_fresh_one() {
    let mut desk = desk(HOME);
    desk.handle(at(0), BookingEvent::Freeze);
    let reply = ask(&mut desk, at(1), 1, call("k", TagClaim::Missing));
    assert_eq!(reply, "reply 1: 428 not_run home_tag_missing");
}
