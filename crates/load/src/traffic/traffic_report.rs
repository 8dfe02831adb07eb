//! What a load found.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::traffic::{BookingTally, ClassTally, FinalOutcome, Violation, ViolationKind};

/// Microseconds of a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Percentiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct SpanReport {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Greatest value.
    pub max_ms: f64,
}

impl SpanReport {
    fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / MICROS_PER_MILLI,
        }
    }
}

impl fmt::Display for SpanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 0 {
            return f.pad("-");
        }
        let text = format!("{:.1}/{:.1}/{:.1}", self.p50_ms, self.p95_ms, self.p99_ms);
        f.pad(&text)
    }
}

/// What became of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Calls that arrived.
    pub started: u64,
    /// Calls that had no last word when the load gave up waiting.
    pub unfinished: u64,
    /// Last words.
    pub outcomes: BTreeMap<FinalOutcome, u64>,
    /// Reasons of refusals, retried ones included.
    pub reasons: BTreeMap<String, u64>,
    /// Further tries.
    pub retries: u64,
    /// Streams taken up again.
    pub resumes: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Tokens that came again.
    pub duplicates: u64,
    /// First tries to first tokens.
    pub first_token: SpanReport,
    /// Gaps between tokens.
    pub gap: SpanReport,
    /// First tries to whole answers.
    pub whole: SpanReport,
    /// Sum of what gaps have beyond 48 ms, in seconds.
    pub stall_seconds: f64,
}

impl ClassReport {
    /// The report of one class.
    #[must_use]
    pub fn new(name: &str, tally: &ClassTally) -> Self {
        Self {
            name: name.to_owned(),
            started: tally.started,
            unfinished: tally.started - tally.ended(),
            outcomes: tally.outcomes.clone(),
            reasons: tally.reasons.clone(),
            retries: tally.retries,
            resumes: tally.resumes,
            tokens: tally.tokens,
            duplicates: tally.duplicates,
            first_token: SpanReport::new(&tally.first_token),
            gap: SpanReport::new(&tally.gap),
            whole: SpanReport::new(&tally.whole),
            stall_seconds: tally.stall.as_seconds(),
        }
    }

    fn outcome(&self, outcome: FinalOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// What a load found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TrafficReport {
    /// Seed of the load.
    pub seed: u64,
    /// Time for which calls arrived, in seconds.
    pub seconds: u64,
    /// All classes.
    pub classes: Vec<ClassReport>,
    /// Bookings against the services' counts.
    pub bookings: BookingTally,
    /// Look-ups of addresses.
    pub lookups: u64,
    /// Look-ups that failed.
    pub failed_lookups: u64,
    /// Preemptions in the engines that answer; none if no engine was named.
    pub preemptions: Option<u64>,
    /// Tokens computed again in the engines that answer.
    pub recomputed: Option<u64>,
    /// Broken promises by kind.
    pub violations: BTreeMap<ViolationKind, u64>,
    /// The first broken promises.
    pub examples: Vec<Violation>,
}

impl TrafficReport {
    /// Whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.violations.is_empty()
    }

    /// The report as a table for people.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<12}{:>8}{:>8}{:>9}{:>9}{:>11}{:>10}{:>11}{:>8}{:>8}  {:<22}{:<22}{:<22}{:>8}\n",
            "class",
            "started",
            "done",
            "not_run",
            "unknown",
            "incomplete",
            "no_answer",
            "unfinished",
            "retries",
            "resumes",
            "first token [ms]",
            "gap [ms]",
            "whole [ms]",
            "stall[s]"
        );
        for class in &self.classes {
            write_class(&mut text, class);
        }
        let _ = writeln!(text, "times are the 50th/95th/99th percentile");
        let _ = writeln!(text, "look-ups {}, failed {}", self.lookups, self.failed_lookups);
        if let (Some(preemptions), Some(recomputed)) = (self.preemptions, self.recomputed) {
            let _ = writeln!(text, "preemptions {preemptions}, tokens computed again {recomputed}");
        }
        let tally = self.bookings;
        let _ = writeln!(
            text,
            "bookings: done {}, not run {}, unknown but ran {}, unknown and not run {}, unchecked {}",
            tally.done, tally.not_run, tally.unknown_ran, tally.unknown_not_run, tally.unchecked
        );
        self.write_violations(&mut text);
        text
    }

    fn write_violations(&self, text: &mut String) {
        let total: u64 = self.violations.values().sum();
        let _ = writeln!(text, "broken promises: {total} (seed {})", self.seed);
        for (kind, count) in &self.violations {
            let _ = writeln!(text, "  {kind:?}: {count}");
        }
        for example in &self.examples {
            let _ = writeln!(text, "  {:?}: {}", example.kind, example.detail);
        }
    }
}

fn write_class(text: &mut String, class: &ClassReport) {
    let _ = writeln!(
        text,
        "{:<12}{:>8}{:>8}{:>9}{:>9}{:>11}{:>10}{:>11}{:>8}{:>8}  {:<22}{:<22}{:<22}{:>8.2}",
        class.name,
        class.started,
        class.outcome(FinalOutcome::Done),
        class.outcome(FinalOutcome::NotRun),
        class.outcome(FinalOutcome::Unknown),
        class.outcome(FinalOutcome::Incomplete),
        class.outcome(FinalOutcome::NoAnswer),
        class.unfinished,
        class.retries,
        class.resumes,
        class.first_token,
        class.gap,
        class.whole,
        class.stall_seconds,
    );
}
