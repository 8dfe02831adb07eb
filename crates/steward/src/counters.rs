//! What the steward counts: kept for the state dump, and sent by `cadence` over UDP.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{MetricError, NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of all metric names.
const PREFIX: &str = "yard.steward";

/// Counters and gauges of one steward.
pub struct StewardCounters {
    client: StatsdClient,
    values: RefCell<BTreeMap<&'static str, u64>>,
}

impl StewardCounters {
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
        Ok(Self { client, values: RefCell::default() })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        *self.values.borrow_mut().entry(name).or_default() += amount;
        // A metric that cannot be sent must not harm the work.
        let _ = self.client.count(name, i64::try_from(amount).unwrap_or(i64::MAX));
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
}
