//! What a process counts: kept for the state dump, and sent by `cadence` over UDP.

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
    /// Sends under `prefix` to `target`, or nowhere.
    ///
    /// # Errors
    /// If no UDP socket can be had.
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

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        self.note(name, amount);
        // A metric that cannot be sent must not harm the work.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Adds one to a counter, and sends it with a tag.
    pub fn count_tagged(&self, name: &'static str, tag: &str, value: &str) {
        self.note(name, 1);
        self.client.count_with_tags(name, 1).with_tag(tag, value).send();
    }

    /// Notes a length of time, in microseconds; the dump has how often.
    pub fn time(&self, name: &'static str, span: TimeSpan) {
        self.note(name, 1);
        let _ = self.client.histogram(name, span.0);
    }

    /// Sets a gauge; it is sent when it changes.
    pub fn gauge(&self, name: &'static str, value: u64) {
        if self.values.borrow_mut().insert(name, value) != Some(value) {
            let _ = self.client.gauge(name, value);
        }
    }

    /// All values, by name.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.values.borrow().clone()
    }

    fn note(&self, name: &'static str, amount: u64) {
        *self.values.borrow_mut().entry(name).or_default() += amount;
    }
}
