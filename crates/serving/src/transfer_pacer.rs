//! Admission and pacing of the configuration's transfers from this node to others.
//!
//! Load pattern: a configuration of a megabyte is published to a fleet whose links carry
//! 10 Mbit/s. All nodes ask the few that have it at the same time, while those relay streams and
//! move generations over the same links. A node serves few at a time, so that each gets it soon
//! and can pass it on, and leaves half of its link to callers and runners.

use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base::prelude::*;

/// Compressed transfers that are served at the same time.
const MAX_COMPRESSED: usize = 2;
/// Plain transfers that are served at the same time.
const MAX_PLAIN: usize = 1;
/// Share of the link that all transfers together may take.
const LINK_SHARE: f64 = 0.5;
/// Bytes per second of 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Time after the last scheduled chunk for which a transfer counts as in progress: a receiver
/// that has fallen silent must not keep its place.
const LEASE_SPAN: TimeSpan = TimeSpan::millis(1_000);

/// Identifies a transfer of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TransferId(pub u64);

impl fmt::Display for TransferId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TransferId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Form in which the configuration is transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferForm {
    /// Compressed, and paced.
    Compressed,
    /// Plain, for a peer that does not accept the encoding. Such a peer has a limit on the whole
    /// transfer, so it is not slowed down, and takes no place of a compressed one.
    Plain,
}

/// Limits of the transfers of one node.
#[derive(Debug)]
pub struct TransferPacer {
    /// Bytes per second of all transfers together.
    rate: f64,
    /// Form of each transfer in progress, and when its lease ends.
    leases: BTreeMap<TransferId, (TransferForm, TimePoint)>,
    next_id: TransferId,
    /// When the link has sent all chunks scheduled so far.
    free_at: TimePoint,
}

impl TransferPacer {
    /// Creates the limits of a node whose link carries `link_mbps` Mbit/s.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        Self {
            rate: link_mbps * BYTES_PER_MEGABIT * LINK_SHARE,
            leases: BTreeMap::new(),
            next_id: TransferId::default(),
            free_at: TimePoint::default(),
        }
    }

    /// Begins a transfer; `None` if enough others of the same form are in progress.
    pub fn try_begin(&mut self, now: TimePoint, form: TransferForm) -> Option<TransferId> {
        self.leases.retain(|_, (_, end)| *end > now);
        let limit = match form {
            TransferForm::Compressed => MAX_COMPRESSED,
            TransferForm::Plain => MAX_PLAIN,
        };
        if self.leases.values().filter(|(other, _)| *other == form).count() >= limit {
            return None;
        }
        let id = self.next_id;
        self.next_id = TransferId(id.0 + 1);
        self.leases.insert(id, (form, now + LEASE_SPAN));
        Some(id)
    }

    /// Ends a transfer, complete or not.
    pub fn end(&mut self, id: TransferId) {
        self.leases.remove(&id);
    }

    /// Schedules a chunk of a transfer behind those of all others of its form; returns when it may
    /// be sent. A transfer whose lease has ended goes on, but may not keep its place.
    pub fn schedule_chunk(&mut self, now: TimePoint, id: TransferId, bytes: usize) -> TimePoint {
        let lease = self.leases.get_mut(&id);
        if lease.as_ref().is_some_and(|(form, _)| *form == TransferForm::Plain) {
            return now;
        }
        let begin = self.free_at.max(now);
        self.free_at = begin + std::time::Duration::from_secs_f64(bytes as f64 / self.rate).into();
        if let Some((_, end)) = lease {
            *end = begin + LEASE_SPAN;
        }
        begin
    }
}
