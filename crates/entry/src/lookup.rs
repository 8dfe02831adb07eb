//! `GET /v1/addresses`: which address a caller uses, and for how long.
//!
//! The answer names several entries in different failure domains, the first by weighted
//! rendezvous hashing (Schindelhauer and Schomaker, 2005), so that callers spread over
//! the entries by their load, and carries the home tag for bookings.

use base::prelude::*;
use peers::EntryRecord;

/// How long a caller keeps the answer.
pub const LOOKUP_TIME: TimeSpan = TimeSpan::seconds(15);
/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 4;

/// Orders the entries for one caller: first the choice, then others, each from a failure
/// domain not yet named as long as there is one.
#[must_use]
pub fn choose_entries<'a>(entries: &'a [EntryRecord], caller: &str) -> Vec<&'a EntryRecord> {
    let open = entries.iter().filter(|entry| !entry.status.leaving);
    let mut scored: Vec<(f64, &EntryRecord)> =
        open.map(|entry| (score(entry, caller), entry)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut left: Vec<&EntryRecord> = scored.into_iter().map(|(_, entry)| entry).collect();
    let mut chosen: Vec<&EntryRecord> = Vec::new();
    while !left.is_empty() && chosen.len() < MAX_ADDRESSES {
        let unused = left.iter().position(|e| chosen.iter().all(|c| c.place != e.place));
        chosen.push(left.remove(unused.unwrap_or(0)));
    }
    chosen
}

fn score(entry: &EntryRecord, caller: &str) -> f64 {
    let hash = base::rendezvous_score(caller, &entry.status.incarnation.to_string());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = 1.0 / (1.0 + f64::from(entry.status.calls));
    -weight / uniform.ln()
}
