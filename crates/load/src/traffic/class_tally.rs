//! Counts and times of one class of calls.

use std::collections::BTreeMap;
use std::fmt;

use base::TimeSpan;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Gap between tokens beyond which a stream stalls.
const STALL_GAP: TimeSpan = TimeSpan::millis(48);
/// Precision of histograms, in significant decimal digits.
const PRECISION: u8 = 3;
/// Longest time that is told apart from longer ones.
const LONGEST_SPAN: TimeSpan = TimeSpan::seconds(3_600);

/// The last word that a caller got on its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalOutcome {
    /// The whole answer came.
    Done,
    /// Refused, not run.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
    /// The stream ended early.
    Incomplete,
    /// No answer came.
    NoAnswer,
}

impl fmt::Display for FinalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Incomplete => "incomplete",
            Self::NoAnswer => "no_answer",
        })
    }
}

/// Counts and times of one class.
#[derive(Debug, Clone)]
pub struct ClassTally {
    /// Calls that arrived.
    pub started: u64,
    /// Last words.
    pub outcomes: BTreeMap<FinalOutcome, u64>,
    /// Reasons of refusals, retried ones included.
    pub reasons: BTreeMap<String, u64>,
    /// Further tries after refusals and lost answers.
    pub retries: u64,
    /// Streams taken up again after a cut.
    pub resumes: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Tokens that came again.
    pub duplicates: u64,
    /// Times in microseconds from the first try to the first token.
    pub first_token: Histogram<u64>,
    /// Gaps in microseconds between consecutive tokens.
    pub gap: Histogram<u64>,
    /// Times in microseconds from the first try to the last word on calls that are done.
    pub whole: Histogram<u64>,
    /// Sum of what gaps have beyond 48 ms.
    pub stall: TimeSpan,
}

impl Default for ClassTally {
    fn default() -> Self {
        Self {
            started: 0,
            outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            retries: 0,
            resumes: 0,
            tokens: 0,
            duplicates: 0,
            first_token: new_histogram(),
            gap: new_histogram(),
            whole: new_histogram(),
            stall: TimeSpan::default(),
        }
    }
}

impl ClassTally {
    /// Records the last word on a call.
    pub fn end(&mut self, outcome: FinalOutcome, span: TimeSpan) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if outcome == FinalOutcome::Done {
            self.whole.saturating_record(span.0);
        }
    }

    /// Records a gap between two tokens.
    pub fn record_gap(&mut self, gap: TimeSpan) {
        self.gap.saturating_record(gap.0);
        self.stall = self.stall + TimeSpan(gap.0.saturating_sub(STALL_GAP.0));
    }

    /// Calls that have had their last word.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.outcomes.values().sum()
    }
}

fn new_histogram() -> Histogram<u64> {
    let longest = LONGEST_SPAN.0;
    Histogram::new_with_bounds(1, longest, PRECISION).expect("bounds and precision are valid")
}
