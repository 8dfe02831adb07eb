//! CPU time per booking (request, answer, retry) by table size, and resident memory per key.

use std::fs;
use std::net::SocketAddr;

use base::prelude::*;
use booking::{
    BookingAction, BookingCall, BookingCoordinator, BookingEvent, BookingLimits, HomeTag,
    StoredAnswer, TagClaim, TicketId,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Numbers of bookings already in the table.
const TABLE_SIZES: [u64; 3] = [1_000, 10_000, 100_000];
/// Number of keys over which the memory measurement is averaged.
const MEMORY_KEYS: u64 = 100_000;
/// Size of the body of each stored answer.
const ANSWER_BYTES: usize = 100;
const PAGE_BYTES: u64 = 4_096;

fn new_coordinator() -> BookingCoordinator {
    let limits = BookingLimits { max_entries: 1_000_000, ..BookingLimits::default() };
    BookingCoordinator::new(VmIncarnation(1), SocketAddr::from(([10, 0, 0, 1], 4000)), limits)
}

fn request(number: u64, ticket: u64, tag: &HomeTag) -> BookingEvent {
    let call = BookingCall {
        workspace: tag.workspace.clone(),
        service: "counter".parse().expect("a valid name"),
        key: format!("booking-{number:016x}").parse().expect("a valid key"),
        tag: TagClaim::Verified(tag.clone()),
        method: Arc::from("POST"),
        path: Arc::from("/bookings"),
        content_type: Arc::from("application/json"),
        body: vec![b'x'; 200],
        deadline: TimePoint::NEVER,
        not_run_status: 503,
        forwarded: false,
    };
    BookingEvent::Request { ticket: TicketId(ticket), call }
}

/// Runs one booking: its request, the target's answer and a retry that gets the stored answer.
fn book(coordinator: &mut BookingCoordinator, number: u64, tag: &HomeTag) {
    let now = TimePoint::default();
    let actions = coordinator.handle(now, request(number, 2 * number, tag));
    for action in actions {
        if let BookingAction::Send { key, send, .. } = action {
            let body = Arc::from(vec![b'y'; ANSWER_BYTES]);
            let answer = StoredAnswer { status: 200, content_type: Arc::from("text/plain"), body };
            coordinator.handle(now, BookingEvent::Answered { key, send, answer });
        }
    }
    coordinator.handle(now, request(number, 2 * number + 1, tag));
}

/// A coordinator whose table holds `keys` answered bookings, and a tag issued by it.
fn filled_coordinator(keys: u64) -> (BookingCoordinator, HomeTag) {
    let mut coordinator = new_coordinator();
    let tag =
        coordinator.issue_tag(TimePoint::default(), &"cobblers".parse().expect("a valid name"));
    for number in 0..keys {
        book(&mut coordinator, number, &tag);
    }
    (coordinator, tag)
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn booking_cost(criterion: &mut Criterion) {
    let before = resident_bytes();
    let (coordinator, _) = filled_coordinator(MEMORY_KEYS);
    let bytes = resident_bytes().saturating_sub(before) / MEMORY_KEYS;
    println!("memory per key: {bytes} bytes, including {ANSWER_BYTES} bytes of its answer's body");
    drop(coordinator);
    let mut group = criterion.benchmark_group("booking");
    for keys in TABLE_SIZES {
        let (mut coordinator, tag) = filled_coordinator(keys);
        let mut number = keys;
        group.bench_function(BenchmarkId::from_parameter(keys), |bencher| {
            bencher.iter(|| {
                number += 1;
                book(&mut coordinator, number, &tag);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, booking_cost);
criterion_main!(benches);
