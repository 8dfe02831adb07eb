//! The promises, checked against what callers and runners saw.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use fakes::platform::RunnerVisit;

/// What kind of request it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// It may be repeated.
    Lookup,
    /// It runs at most once.
    Booking,
    /// A stream of numbered events.
    Stream,
}

/// One attempt as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// Its kind.
    pub kind: CallerKind,
    /// Its id.
    pub attempt: String,
    /// The node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub from: Instant,
    /// When its answer ended.
    pub until: Instant,
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// What came of the body.
    pub text: String,
    /// The body came to its end.
    pub complete: bool,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromiseBreach {
    /// Which one.
    pub promise: &'static str,
    /// Of which request, runner or node.
    pub subject: String,
}

impl fmt::Display for PromiseBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.subject)
    }
}

/// Checks what can be judged after a run: answers against runs.
#[must_use]
pub fn check_answers(
    records: &[CallerRecord],
    visits: &[RunnerVisit],
    events: u64,
) -> Vec<PromiseBreach> {
    let runs = count_runs(visits);
    let mut breaches = Vec::new();
    for record in records {
        let ran = runs.get(record.attempt.as_str()).copied().unwrap_or(0);
        let subject = || format!("{} (status {}, ran {ran})", record.attempt, record.status);
        let mut breach = |promise| breaches.push(PromiseBreach { promise, subject: subject() });
        if record.kind != CallerKind::Lookup && ran > 1 {
            breach("a booking or a stream runs at most once");
        }
        let refused = matches!(record.status, 408 | 421 | 429 | 503);
        if refused && record.kind != CallerKind::Lookup && ran > 0 {
            breach("not run means not run");
        }
        if record.status != 200 {
            continue;
        }
        match record.kind {
            CallerKind::Stream if !is_in_order(record, events) => {
                breach("each event once, in order, of one generation");
            }
            CallerKind::Lookup | CallerKind::Booking
                if record.complete && !record.text.contains(&record.attempt) =>
            {
                breach("the whole answer to the right caller");
            }
            _ => (),
        }
    }
    breaches
}

/// Runs of each attempt; going on from a copy is the same run.
fn count_runs(visits: &[RunnerVisit]) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for visit in visits.iter().filter(|visit| visit.ran) {
        if !visit.request.headers.contains_key("kv-from") {
            *runs.entry(visit.request.header("x-dotterelyard-attempt-id")).or_default() += 1;
        }
    }
    runs
}

fn is_in_order(record: &CallerRecord, events: u64) -> bool {
    let event = |number| format!("id: {number}\ndata: token {number} of {}\n\n", record.attempt);
    let whole: String = (1..=events).map(event).collect();
    if record.complete { record.text == whole } else { whole.starts_with(&record.text) }
}

/// Checks that no new work reached a runner later than `drain` after it was told to leave.
#[must_use]
pub fn check_leaving(
    runner: &str,
    told: Instant,
    drain: Duration,
    visits: &[RunnerVisit],
) -> Vec<PromiseBreach> {
    let is_late = |visit: &&RunnerVisit| visit.at > told + drain;
    let promise = "a leaving runner gets no new work";
    let late = visits.iter().filter(is_late);
    late.map(|visit| PromiseBreach {
        promise,
        subject: format!("{runner} {}", visit.request.header("x-dotterelyard-attempt-id")),
    })
    .collect()
}

/// Checks that a runner gets in no window of 4 s from `from` on more than one and a half times what
/// its limit, in requests a second, allows, and five.
#[must_use]
pub fn check_limit(
    runner: &str,
    limit: f64,
    from: Instant,
    visits: &[RunnerVisit],
) -> Option<PromiseBreach> {
    const WINDOW: Duration = Duration::from_secs(4);
    const SLACK: f64 = 5.0;
    let times = || visits.iter().map(|visit| visit.at).filter(|at| *at >= from);
    let in_window = |begin| times().filter(|at| *at >= begin && *at < begin + WINDOW).count();
    let most = times().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + SLACK;
    let subject = || format!("{runner}: {most} in 4 s, allowed {allowed}");
    let promise = "a runner gets no more than the limit that it names";
    (most as f64 > allowed).then(|| PromiseBreach { promise, subject: subject() })
}

/// Checks that a part that crashes runners reaches no more than three once `known`.
#[must_use]
pub fn check_part(part: &str, known: Instant, visits: &[RunnerVisit]) -> Option<PromiseBreach> {
    const ALLOWED: usize = 3;
    let is_late = |visit: &&RunnerVisit| visit.at > known && visit.request.has_part(part);
    let late = visits.iter().filter(is_late).count();
    let promise = "a part that crashes runners is kept from them";
    (late > ALLOWED).then(|| PromiseBreach { promise, subject: format!("{part}: {late} requests") })
}
