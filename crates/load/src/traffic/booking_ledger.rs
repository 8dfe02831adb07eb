//! What callers were told about their bookings, against how often each ran.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::traffic::{FinalOutcome, PromiseCheck, Violation, ViolationKind};

/// Bookings by key, with the last word that the caller got.
#[derive(Debug, Clone, Default)]
pub struct BookingLedger {
    outcomes: BTreeMap<String, FinalOutcome>,
}

/// How the bookings ended at the services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct BookingTally {
    /// Keys that were told as done.
    pub done: u64,
    /// Keys that were told as not run.
    pub not_run: u64,
    /// Keys without a certain outcome that did run.
    pub unknown_ran: u64,
    /// Keys without a certain outcome that did not run.
    pub unknown_not_run: u64,
    /// Keys told as done that cannot be checked, because a service's counts are gone.
    pub unchecked: u64,
}

impl BookingLedger {
    /// Records the last word on a key.
    pub fn record(&mut self, key: String, outcome: FinalOutcome) {
        self.outcomes.insert(key, outcome);
    }

    /// Compares with the services' counts; `complete` if no service lost its counts.
    #[must_use]
    pub fn check(
        &self,
        counts: &BTreeMap<String, u64>,
        complete: bool,
        promises: &PromiseCheck,
    ) -> BookingTally {
        let mut tally = BookingTally::default();
        for (key, outcome) in &self.outcomes {
            let count = counts.get(key).copied().unwrap_or(0);
            let broken = |kind| {
                promises
                    .add(Violation::new(kind, format!("booking {key}: {outcome}, ran {count}")));
            };
            if count > 1 {
                broken(ViolationKind::BookingRepeated);
            }
            match outcome {
                FinalOutcome::Done => {
                    tally.done += 1;
                    if count == 0 && complete {
                        broken(ViolationKind::BookingLost);
                    } else if count == 0 {
                        tally.unchecked += 1;
                    }
                }
                FinalOutcome::NotRun => {
                    tally.not_run += 1;
                    if count > 0 {
                        broken(ViolationKind::BookingRanRefused);
                    }
                }
                _ if count > 0 => tally.unknown_ran += 1,
                _ => tally.unknown_not_run += 1,
            }
        }
        tally
    }
}
