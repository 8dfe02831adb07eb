//! Bookings at their home: sends, stored answers, retention and tags.

mod common;

use base::prelude::*;
use booking::{BookingEvent, BookingFault, TagClaim, TicketId};
use common::*;
use insta::assert_snapshot;

#[test]
fn a_booking_is_sent_once_and_its_answer_is_stored() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    let log = [
        request(&mut coordinator, at(1), 1, tagged("k", &tag)),
        request(&mut coordinator, at(2), 2, tagged("k", &tag)),
        describe(&coordinator.handle(at(3), answered("k", 1, 200))),
        request(&mut coordinator, at(4), 3, tagged("k", &tag)),
    ];
    assert_snapshot!(log.join("\n"), @r"
    send k #1

    reply 1: 200 done; reply 2: 200 done
    reply 3: 200 done
    ");
}

#[test]
fn a_waiting_retry_gets_unknown_at_its_own_deadline() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    let mut retry = tagged("k", &tag);
    retry.deadline = at(5);
    request(&mut coordinator, at(2), 2, retry);
    assert_eq!(coordinator.next_tick(), Some(at(5)));
    assert_eq!(describe(&coordinator.handle(at(4), BookingEvent::Tick)), "");
    assert_eq!(describe(&coordinator.handle(at(5), BookingEvent::Tick)), "reply 2: 504 unknown");
    assert_eq!(describe(&coordinator.handle(at(6), answered("k", 1, 200))), "reply 1: 200 done");
}

#[test]
fn waiters_are_limited_and_can_disconnect() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    request(&mut coordinator, at(1), 2, tagged("k", &tag));
    assert_eq!(request(&mut coordinator, at(1), 3, tagged("k", &tag)), "reply 3: 504 unknown");
    coordinator.handle(at(1), BookingEvent::CallerLeft { ticket: TicketId(1) });
    assert_eq!(request(&mut coordinator, at(1), 4, tagged("k", &tag)), "");
    let replies = describe(&coordinator.handle(at(2), answered("k", 1, 200)));
    assert_eq!(replies, "reply 2: 200 done; reply 4: 200 done");
}

#[test]
fn a_send_of_unknown_outcome_is_settled_by_a_late_answer() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    let lost = coordinator.handle(at(2), failed("k", 1, BookingFault::MaybeSent));
    assert_eq!(describe(&lost), "reply 1: 504 unknown");
    assert_eq!(request(&mut coordinator, at(3), 2, tagged("k", &tag)), "reply 2: 504 unknown");
    coordinator.handle(at(4), answered("k", 1, 200));
    assert_eq!(request(&mut coordinator, at(5), 3, tagged("k", &tag)), "reply 3: 200 done");
}

#[test]
fn only_an_unwritten_send_or_the_published_status_is_not_run() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    let log = [
        request(&mut coordinator, at(1), 1, tagged("k", &tag)),
        describe(&coordinator.handle(at(1), failed("k", 1, NOT_SENT))),
        request(&mut coordinator, at(2), 2, tagged("k", &tag)),
        describe(&coordinator.handle(at(2), answered("k", 2, 503))),
        request(&mut coordinator, at(3), 3, tagged("k", &tag)),
        describe(&coordinator.handle(at(3), answered("k", 3, 500))),
    ];
    assert_snapshot!(log.join("\n"), @r"
    send k #1
    reply 1: 503 not_run no_runner
    send k #2
    reply 2: 503 not_run no_runner
    send k #3
    reply 3: 500 done
    ");
}

#[test]
fn events_of_an_earlier_send_are_ignored() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    coordinator.handle(at(1), failed("k", 1, NOT_SENT));
    request(&mut coordinator, at(2), 2, tagged("k", &tag));
    assert_eq!(describe(&coordinator.handle(at(3), failed("k", 1, NOT_SENT))), "");
    assert_eq!(
        request(&mut coordinator, at(3), 3, tagged("k", &tag)),
        "",
        "send 2 is still in progress"
    );
    assert_eq!(coordinator.take_counters().stale, 1);
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    let mut other = tagged("k", &tag);
    other.body = b"{\"boots\":2}".to_vec();
    assert_eq!(request(&mut coordinator, at(1), 2, other), "reply 2: 422 not_run bad_request");
}

#[test]
fn a_full_table_refuses_new_keys_and_evicts_none_early() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    for (ticket, key) in [(1, "a"), (2, "b"), (3, "c")] {
        request(&mut coordinator, at(1), ticket, tagged(key, &tag));
        coordinator.handle(at(1), answered(key, ticket, 200));
    }
    assert_eq!(
        request(&mut coordinator, at(2), 4, tagged("d", &tag)),
        "reply 4: 503 not_run table_full"
    );
    assert_eq!(request(&mut coordinator, at(2), 5, tagged("a", &tag)), "reply 5: 200 done");
    // The tag expires at 60 s, and entries are retained for the maximum deadline of 10 s more.
    coordinator.handle(at(69), BookingEvent::Tick);
    assert_eq!(coordinator.entries(), 3);
    coordinator.handle(at(70), BookingEvent::Tick);
    assert_eq!(coordinator.entries(), 0);
}

#[test]
fn stored_answers_are_limited_in_bytes() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("a", &tag));
    let mut large = answer(200);
    large.body = Arc::from(vec![0; 1000]);
    let send = booking::SendNumber(1);
    coordinator
        .handle(at(1), BookingEvent::Answered { key: booking_key(HOME, "a"), send, answer: large });
    assert_eq!(
        request(&mut coordinator, at(2), 2, tagged("b", &tag)),
        "reply 2: 503 not_run table_full"
    );
}

#[test]
fn an_expired_tag_is_unknown_unless_the_key_is_in_the_table() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    coordinator.handle(at(2), answered("k", 1, 200));
    assert_eq!(request(&mut coordinator, at(60), 2, tagged("k", &tag)), "reply 2: 200 done");
    assert_eq!(request(&mut coordinator, at(60), 3, tagged("new", &tag)), "reply 3: 504 unknown");
    coordinator.handle(at(70), BookingEvent::Tick);
    assert_eq!(request(&mut coordinator, at(71), 4, tagged("k", &tag)), "reply 4: 504 unknown");
}

#[test]
fn a_later_tag_extends_the_retention_of_a_key() {
    let mut coordinator = coordinator(HOME);
    let first = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &first));
    coordinator.handle(at(1), answered("k", 1, 200));
    let second = coordinator.issue_tag(at(50), &workspace());
    request(&mut coordinator, at(50), 2, tagged("k", &second));
    coordinator.handle(at(100), BookingEvent::Tick);
    assert_eq!(request(&mut coordinator, at(100), 3, tagged("k", &second)), "reply 3: 200 done");
}

#[test]
fn a_send_in_progress_is_never_evicted() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 1, tagged("k", &tag));
    coordinator.handle(at(500), BookingEvent::Tick);
    assert_eq!(coordinator.in_flight(), 1);
    coordinator.handle(at(501), answered("k", 1, 200));
    assert_eq!(request(&mut coordinator, at(502), 2, tagged("k", &tag)), "reply 2: 200 done");
}

#[test]
fn a_booking_without_a_tag_is_refused_with_a_new_tag() {
    let mut coordinator = coordinator(HOME);
    let missing = || call("k", TagClaim::Missing);
    let first = request(&mut coordinator, at(0), 1, missing());
    assert_eq!(first, "reply 1: 428 not_run home_tag_missing tag 1");
    let tag = coordinator.issue_tag(at(0), &workspace());
    request(&mut coordinator, at(1), 2, tagged("k", &tag));
    coordinator.handle(at(1), failed("k", 1, BookingFault::MaybeSent));
    assert_eq!(request(&mut coordinator, at(2), 3, missing()), "reply 3: 504 unknown");
}

#[test]
fn an_unverified_tag_is_unknown_and_one_of_another_workspace_is_refused() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &"harmattan".parse().unwrap());
    let unverified = call("k", TagClaim::Unverified);
    assert_eq!(request(&mut coordinator, at(1), 1, unverified), "reply 1: 504 unknown");
    assert_eq!(
        request(&mut coordinator, at(1), 2, tagged("k", &tag)),
        "reply 2: 422 not_run bad_request"
    );
}

#[test]
fn tags_are_signed_and_verified() {
    let mut coordinator = coordinator(HOME);
    let tag = coordinator.issue_tag(at(0), &"caerdydd/ŵ.1".parse().unwrap());
    let text = tag.encode(&keys());
    assert_snapshot!(text, @"h1/000000000000000a/10.0.0.10:4000/1/60000000/caerdydd%2F%C5%B5.1.1.bb586ae852dfdac02d4f4a2beaa3bf70");
    assert_eq!(TagClaim::verify(&keys(), Some(&text)), TagClaim::Verified(tag));
    let forged = text.replacen("/1/", "/2/", 1);
    assert_eq!(TagClaim::verify(&keys(), Some(&forged)), TagClaim::Unverified);
    assert_eq!(TagClaim::verify(&keys(), None), TagClaim::Missing);
}
