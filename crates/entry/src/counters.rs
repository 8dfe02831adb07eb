//! What the entry counts: kept for the state dump, and sent by `cadence` over UDP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use base::prelude::*;
use cadence::prelude::*;
use cadence::{MetricError, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all metric names.
const PREFIX: &str = "yard.entry";

/// Names of the entry's metrics; `docs/METRICS.md` lists them with unit and meaning.
pub const METRIC_NAMES: &[&str] = &[
    "call.started",
    "call.done",
    "call.not_run",
    "call.unknown",
    "call.incomplete",
    "refused",
    "token.delivered",
    "token.dropped",
    "token.gap_us",
    "token.first_us",
    "stall_us",
    "attempt.started",
    "attempt.failed",
    "attempt.withdrawn",
    "stream.resumed",
    "booking.sent",
    "booking.forwarded",
    "booking.repeated",
    "runner.leaving_refusal",
    "view.applied",
    "view.failed",
];

/// Counters and timers of one entry.
pub struct EntryCounters {
    client: StatsdClient,
    counts: RefCell<BTreeMap<&'static str, u64>>,
}

impl EntryCounters {
    /// Sends to `target`, or nowhere.
    ///
    /// # Errors
    /// If no UDP socket can be had.
    pub fn new(target: Option<SocketAddr>) -> Result<Self, MetricError> {
        let client = match target {
            Some(target) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                StatsdClient::from_sink(PREFIX, UdpMetricSink::from(target, socket)?)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Self { client, counts: RefCell::default() })
    }

    /// Adds one.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount`.
    pub fn add(&self, name: &'static str, amount: u64) {
        *self.counts.borrow_mut().entry(name).or_default() += amount;
        // A metric that cannot be sent must not harm a call.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Notes a length of time.
    pub fn time(&self, name: &'static str, span: TimeSpan) {
        *self.counts.borrow_mut().entry(name).or_default() += 1;
        let _ = self.client.histogram(name, span.0);
    }

    /// Counts the outcome of a call, and its reason if it was refused.
    pub fn outcome(&self, outcome: CallOutcome, reason: Option<RefusalReason>) {
        self.count(match outcome {
            CallOutcome::Done => "call.done",
            CallOutcome::NotRun => "call.not_run",
            CallOutcome::Unknown => "call.unknown",
            CallOutcome::Incomplete => "call.incomplete",
        });
        if let Some(reason) = reason {
            *self.counts.borrow_mut().entry("refused").or_default() += 1;
            let reason = reason.to_string();
            self.client.count_with_tags("refused", 1).with_tag("reason", &reason).send();
        }
    }

    /// All counts, by name; those of timers say how often they were noted.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        let mut counts: BTreeMap<&'static str, u64> =
            METRIC_NAMES.iter().map(|name| (*name, 0)).collect();
        counts.extend(self.counts.borrow().iter());
        counts
    }
}
