//! Callers that call all the time, and keep what they saw.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use harness::CallerRequest;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::NODES;
use crate::promises::{CallerKind, CallerRecord};
use crate::site::SoakSite;

/// Callers of each kind.
const CALLERS: u64 = 4;
/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE_MS: u64 = 120;
/// One stream in this many is left by its caller.
const LEAVE_DIVISOR: u32 = 10;
/// When it is left.
const LEAVE_AFTER: Duration = Duration::from_millis(300);

/// Calls until `end`; gives what all callers saw.
pub async fn call_until(site: &SoakSite, seed: u64, end: Instant) -> Vec<CallerRecord> {
    let records = RefCell::new(Vec::new());
    let kinds = [CallerKind::Lookup, CallerKind::Booking, CallerKind::Stream];
    let callers = kinds.into_iter().flat_map(|kind| (0..CALLERS).map(move |number| (kind, number)));
    let calling = callers.map(|(kind, number)| {
        let seed = seed ^ (number << 8 | kind as u64) << 32;
        call_in_turn(site, kind, number, seed, end, &records)
    });
    futures_util::future::join_all(calling).await;
    records.into_inner()
}

async fn call_in_turn(
    site: &SoakSite,
    kind: CallerKind,
    number: u64,
    seed: u64,
    end: Instant,
    records: &RefCell<Vec<CallerRecord>>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let node = random.random_range(0..NODES);
        let attempt = format!("{kind:?}-{number}-{count}").to_lowercase();
        if kind == CallerKind::Stream && random.random_ratio(1, LEAVE_DIVISOR) {
            leave_stream(site, node, &attempt).await;
        } else {
            let record = call(site, node, kind, attempt, random.random()).await;
            records.borrow_mut().push(record);
        }
        compio::time::sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
    }
}

async fn call(
    site: &SoakSite,
    node: usize,
    kind: CallerKind,
    attempt: String,
    short: bool,
) -> CallerRecord {
    let request = match kind {
        CallerKind::Lookup => CallerRequest::lookup(&attempt),
        CallerKind::Booking => CallerRequest::booking(&attempt),
        // A short one gets no copy from its start.
        CallerKind::Stream if short => {
            CallerRequest::stream(&attempt).with("x-dotterelyard-length-hint", "10")
        }
        CallerKind::Stream => CallerRequest::stream(&attempt),
    };
    let from = Instant::now();
    let answer = site.fleet.send(node, &request).await;
    let (status, text, complete) = (answer.status, answer.text, answer.complete);
    CallerRecord { kind, attempt, node, from, until: Instant::now(), status, text, complete }
}

async fn leave_stream(site: &SoakSite, node: usize, attempt: &str) {
    let opened = site.fleet.open(node, &CallerRequest::stream(attempt)).await;
    compio::time::sleep(LEAVE_AFTER).await;
    drop(opened);
}
