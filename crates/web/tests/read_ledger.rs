//! Decisions about who may keep bytes that were read.

use std::net::SocketAddr;

use web::{CONNECTION_BYTES, ReadLedger, ReadLimits, ReadPart};

const LIMIT: usize = 1_200;
const RESERVE: usize = 300;
const LIMITS: ReadLimits =
    ReadLimits { kept: LIMIT, reserve: RESERVE, shared: LIMIT + 10 * CONNECTION_BYTES };

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Takes for `peer` in steps of one byte until there is no room; gives the bytes that it has then.
fn fill(ledger: &mut ReadLedger, peer: SocketAddr) -> usize {
    (0..LIMIT).find(|_| !ledger.take(ReadPart::Call, peer, 1)).unwrap()
}

/// Guards against a peer whose answers do not end and that leaves nothing to the others.
#[test]
fn a_peer_takes_no_more_than_it_leaves_free() {
    let mut ledger = ReadLedger::new(LIMITS);
    assert_eq!(fill(&mut ledger, peer(1)), LIMIT / 2);
    assert_eq!(fill(&mut ledger, peer(2)), LIMIT / 4);
    assert!(ledger.take(ReadPart::Call, peer(3), LIMIT / 8));
}

/// Guards against calls that keep a node from the state that it works by.
#[test]
fn the_reserve_is_left_to_state() {
    let mut ledger = ReadLedger::new(LIMITS);
    for number in 1..20 {
        fill(&mut ledger, peer(number));
    }
    assert!(ledger.held() <= LIMIT);
    assert!(ledger.take(ReadPart::State, peer(100), RESERVE));
    assert!(!ledger.take(ReadPart::State, peer(100), LIMIT));
}

#[test]
fn what_is_given_back_can_be_taken_again() {
    let mut ledger = ReadLedger::new(LIMITS);
    let taken = fill(&mut ledger, peer(1));
    ledger.give_back(peer(1), taken);
    assert_eq!(ledger.held(), 0);
    assert_eq!(fill(&mut ledger, peer(1)), taken);
}

/// Guards against answers that take what many connections need.
#[test]
fn connections_beyond_their_share_leave_less_for_answers() {
    let mut ledger = ReadLedger::new(LIMITS);
    for _ in 0..10 {
        ledger.open_connection();
    }
    assert!(ledger.take(ReadPart::Call, peer(1), LIMIT / 2));
    ledger.open_connection();
    assert!(!ledger.take(ReadPart::Call, peer(2), 1));
    ledger.close_connection();
    assert!(ledger.take(ReadPart::Call, peer(2), 1));
}
