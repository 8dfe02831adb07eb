//! Test coordinators and calls, and a compact text form of booking actions.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;

use base::{KeyId, SigningKey, SigningKeys, prelude::*};
use booking::{
    BookingAction, BookingCall, BookingCoordinator, BookingEvent, BookingFault, BookingKey,
    BookingLimits, HomeAddress, HomeTag, SendNumber, StoredAnswer, TagClaim, TicketId,
};

/// Incarnation of the home under test.
pub const HOME: u64 = 0xa;
/// Incarnation of another process.
pub const OTHER: u64 = 0xb;

pub fn keys() -> SigningKeys {
    SigningKeys::new(vec![SigningKey { id: KeyId(1), secret: vec![7; 32] }]).unwrap()
}

pub fn address(incarnation: u64) -> HomeAddress {
    let peer = SocketAddr::from(([10, 0, 0, incarnation as u8], 4000));
    HomeAddress { incarnation: VmIncarnation(incarnation), peer }
}

pub fn limits() -> BookingLimits {
    BookingLimits {
        max_entries: 3,
        max_waiters: 2,
        max_stored_bytes: 1000,
        tag_lifetime: TimeSpan::seconds(60),
        max_deadline: TimeSpan::seconds(10),
        handover_retry_interval: TimeSpan::seconds(1),
    }
}

pub fn coordinator(incarnation: u64) -> BookingCoordinator {
    let home = address(incarnation);
    BookingCoordinator::new(home.incarnation, home.peer, limits())
}

pub fn at(seconds: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::seconds(seconds)
}

pub fn workspace() -> WorkspaceId {
    "cobblers".parse().unwrap()
}

pub fn call(key: &str, tag: TagClaim) -> BookingCall {
    BookingCall {
        workspace: workspace(),
        service: "counter".parse().unwrap(),
        key: key.parse().unwrap(),
        tag,
        method: Arc::from("POST"),
        path: Arc::from("/bookings"),
        content_type: Arc::from("application/json"),
        body: b"{}".to_vec(),
        deadline: at(1000),
        not_run_status: 503,
        forwarded: false,
    }
}

pub fn tagged(key: &str, tag: &HomeTag) -> BookingCall {
    call(key, TagClaim::Verified(tag.clone()))
}

pub fn request(
    coordinator: &mut BookingCoordinator,
    now: TimePoint,
    ticket: u64,
    call: BookingCall,
) -> String {
    describe(&coordinator.handle(now, BookingEvent::Request { ticket: TicketId(ticket), call }))
}

pub fn booking_key(home: u64, key: &str) -> BookingKey {
    call(key, TagClaim::Missing).key_at(VmIncarnation(home))
}

pub fn answer(status: u16) -> StoredAnswer {
    StoredAnswer { status, content_type: Arc::from("text/plain"), body: Arc::from(*b"booked") }
}

pub fn answered(key: &str, send: u64, status: u16) -> BookingEvent {
    let key = booking_key(HOME, key);
    BookingEvent::Answered { key, send: SendNumber(send), answer: answer(status) }
}

pub fn failed(key: &str, send: u64, fault: BookingFault) -> BookingEvent {
    BookingEvent::Failed { key: booking_key(HOME, key), send: SendNumber(send), fault }
}

pub const NOT_SENT: BookingFault =
    BookingFault::NotSent { reason: RefusalReason::NoRunner, retry_after: None };

/// Describes all actions on one line.
pub fn describe(actions: &[BookingAction]) -> String {
    let line = |action: &BookingAction| match action {
        BookingAction::Send { key, send, .. } => format!("send {} #{send}", key.key),
        BookingAction::Reply { ticket, reply } => {
            let reason = reply.reason.map(|reason| format!(" {reason}")).unwrap_or_default();
            let tag = reply.tag.as_ref().map(|tag| format!(" tag {}", tag.serial));
            let tag = tag.unwrap_or_default();
            format!("reply {ticket}: {} {}{reason}{tag}", reply.status, reply.outcome)
        }
        BookingAction::Forward { ticket, home, .. } => format!("forward {ticket} to {}", home.peer),
        BookingAction::SendHandover { adopter, handover } => {
            format!("hand over {} entries to {}", handover.entries.len(), adopter.peer)
        }
        BookingAction::AnswerHandover { accepted, .. } => {
            format!("answer handover: accepted {accepted}")
        }
    };
    actions.iter().map(line).collect::<Vec<_>>().join("; ")
}
