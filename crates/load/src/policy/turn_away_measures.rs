//! What a run measures of calls that were turned away by a runner or refused by an entry.

use std::collections::BTreeMap;

use base::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::policy::bench_measures::{empty_histogram, millis};

/// Time after its answer within which a runner may still get requests that were in flight.
const ANSWER_DELAY: TimeSpan = TimeSpan::millis(500);

/// A request that a runner turned away.
#[derive(Debug, Clone, Copy)]
pub struct TurnedAway {
    /// The entry that sent it.
    pub entry: usize,
    /// The runner.
    pub runner: usize,
    /// Time before which the runner accepts no calls.
    pub until: TimePoint,
    /// The call was turned away or refused before.
    pub again: bool,
}

/// Counters of a run.
#[derive(Debug)]
pub struct TurnAwayMeasures {
    requests: u64,
    again: u64,
    late: u64,
    /// When each runner first turned a request of each entry away, by the end that it named.
    answers: BTreeMap<(usize, usize, TimePoint), TimePoint>,
    first_tokens: Histogram<u64>,
}

/// Figures of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TurnAwayFigures {
    /// Requests that runners turned away, per 1,000 calls.
    pub requests: f64,
    /// Calls that came back and were turned away or refused once more, per 1,000 calls.
    pub again: f64,
    /// Requests that reached a runner more than 0.5 s after it had turned away one of the
    /// same entry, and before the time that it named, per 1,000 calls.
    pub late: f64,
    /// First token of the calls that were turned away or refused, in milliseconds, from the
    /// first arrival.
    pub first_token_p50: f64,
    /// The same, 95th percentile.
    pub first_token_p95: f64,
}

impl Default for TurnAwayMeasures {
    fn default() -> Self {
        Self {
            requests: 0,
            again: 0,
            late: 0,
            answers: BTreeMap::new(),
            first_tokens: empty_histogram(),
        }
    }
}

impl TurnAwayMeasures {
    /// A runner turned a request away.
    pub fn turned_away(&mut self, now: TimePoint, request: TurnedAway) {
        let key = (request.entry, request.runner, request.until);
        let answered = *self.answers.entry(key).or_insert(now);
        self.requests += 1;
        self.again += u64::from(request.again);
        self.late += u64::from(answered + ANSWER_DELAY < now);
    }

    /// An entry refused a call that was turned away or refused before.
    pub fn refused_again(&mut self) {
        self.again += 1;
    }

    /// The first token of a call that was turned away or refused came after `wait`, or its
    /// caller gave up then.
    pub fn first_token(&mut self, wait: TimeSpan) {
        self.first_tokens.saturating_record(wait.0);
    }

    /// The figures, for this number of calls.
    #[must_use]
    pub fn figures(&self, calls: u64) -> TurnAwayFigures {
        let per_thousand = |count: u64| 1_000.0 * count as f64 / calls.max(1) as f64;
        TurnAwayFigures {
            requests: per_thousand(self.requests),
            again: per_thousand(self.again),
            late: per_thousand(self.late),
            first_token_p50: millis(&self.first_tokens, 0.5),
            first_token_p95: millis(&self.first_tokens, 0.95),
        }
    }
}
