//! The runs that this node has lately ordered runners to stop.
//!
//! A runner that does not have a run answers 404, whether the run has ended or was stopped. The node that had
//! it stopped can tell.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use base::prelude::*;
use platform::AttemptId;

/// Most orders that are kept.
const MAX_ORDERS: usize = 1_024;

/// What a runner answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Nothing yet.
    Open,
    /// It has stopped the run.
    Stopped,
    /// It has not, or that is not known.
    Failed,
}

impl OrderOutcome {
    /// Name of the outcome, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Stopped => "stopped",
            Self::Failed => "failed",
        }
    }
}

/// The latest order to stop a run.
#[derive(Debug, Clone, Copy)]
pub struct OrderRecord {
    /// Address of the runner.
    pub source: SocketAddr,
    /// When it was given.
    pub given_at: TimePoint,
    /// What the runner answered.
    pub outcome: OrderOutcome,
}

/// The latest orders, by run.
#[derive(Debug, Default)]
pub struct OrderedRuns {
    orders: BTreeMap<AttemptId, OrderRecord>,
    /// Oldest first.
    queue: VecDeque<AttemptId>,
}

impl OrderedRuns {
    /// Records that the runner at `source` is ordered to stop a run. Returns the order before, if it is kept.
    pub fn begin(
        &mut self,
        now: TimePoint,
        attempt: &AttemptId,
        source: SocketAddr,
    ) -> Option<OrderRecord> {
        let order = OrderRecord { source, given_at: now, outcome: OrderOutcome::Open };
        let earlier = self.orders.insert(attempt.clone(), order);
        if earlier.is_none() {
            self.queue.push_back(attempt.clone());
        }
        if self.queue.len() > MAX_ORDERS
            && let Some(oldest) = self.queue.pop_front()
        {
            self.orders.remove(&oldest);
        }
        earlier
    }

    /// Records what the runner answered.
    pub fn end(&mut self, attempt: &AttemptId, outcome: OrderOutcome) {
        if let Some(order) = self.orders.get_mut(attempt) {
            order.outcome = outcome;
        }
    }

    /// The latest order to stop a run, if it is kept.
    #[must_use]
    pub fn find(&self, attempt: &AttemptId) -> Option<OrderRecord> {
        self.orders.get(attempt).copied()
    }
}
