//! Metrics of a process: kept for the state dump and sent to statsd over UDP by `cadence`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use base::TimeSpan;
use cadence::prelude::*;
use cadence::{MetricError, NopMetricSink, StatsdClient, UdpMetricSink};

/// Counters, timers and gauges of one process.
pub struct MetricCounters {
    client: StatsdClient,
    values: RefCell<BTreeMap<&'static str, u64>>,
}

impl MetricCounters {
    /// Creates metrics that are sent to `target` with `prefix`, or not sent if there is no target.
    ///
    /// # Errors
    /// [`MetricError`] if the UDP socket cannot be created.
    pub fn new(prefix: &str, target: Option<SocketAddr>) -> Result<Self, MetricError> {
        let client = match target {
            Some(target) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                StatsdClient::from_sink(prefix, UdpMetricSink::from(target, socket)?)
            }
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Ok(Self { client, values: RefCell::default() })
    }

    /// Increments a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        self.accumulate(name, amount);
        // Metrics are best effort: a send error must not fail the operation that is counted.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Increments a counter and sends the increment with a tag; the state dump has the sum over
    /// all tags.
    pub fn count_tagged(&self, name: &'static str, tag: &str, value: &str) {
        self.accumulate(name, 1);
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Records a duration, sent in microseconds; the state dump has the number of durations.
    pub fn time(&self, name: &'static str, span: TimeSpan) {
        self.accumulate(name, 1);
        let _ = self.client.histogram(name, span.0);
    }

    /// Sets a gauge; it is sent only when its value changes.
    pub fn gauge(&self, name: &'static str, value: u64) {
        if self.values.borrow_mut().insert(name, value) != Some(value) {
            let _ = self.client.gauge(name, value);
        }
    }

    /// Returns all values by name.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.values.borrow().clone()
    }

    fn accumulate(&self, name: &'static str, amount: u64) {
        *self.values.borrow_mut().entry(name).or_default() += amount;
    }
}
