//! Calls that wait at the entry: those that can still be served in time first, then by
//! priority, then by fair share among workspaces (self-clocked fair queueing; Golestani,
//! 1994).

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use config::CallPriority;

use crate::{CallId, RouteCall};

/// Place of a call in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitTag {
    late: bool,
    priority: CallPriority,
    finish: u64,
    call: CallId,
}

/// A call that waits and the work that it stands for.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    tag: WaitTag,
    work: u64,
    target: Option<TimePoint>,
}

/// The queue of one service and model.
#[derive(Debug, Default)]
pub struct WaitQueue {
    order: BTreeMap<WaitTag, CallId>,
    waiting: BTreeMap<CallId, WaitingCall>,
    /// Calls that are not late yet, by the time at which they are.
    targets: BTreeSet<(TimePoint, CallId)>,
    /// Calls that are late, by the time at which they are given up.
    expiries: BTreeSet<(TimePoint, CallId)>,
    last_finish_tag: BTreeMap<(CallPriority, WorkspaceId), u64>,
    virtual_time: BTreeMap<CallPriority, u64>,
    work: BTreeMap<CallPriority, u64>,
    sent_work: u64,
    sent_since: TimePoint,
    rate: Option<f64>,
}

/// Time after a call's target for which it waits on: room that opens soon serves it still.
const LATE_GRACE: TimeSpan = TimeSpan::millis(1_000);

/// Time over which the rate of sending is counted.
const RATE_PERIOD: TimeSpan = TimeSpan::seconds(2);
/// Weight of the newest period in the averaged rate.
const RATE_WEIGHT: f64 = 0.3;

impl WaitQueue {
    /// Puts a call in that stands for `work` tokens; its workspace has `share`.
    pub fn push(&mut self, waiting: &RouteCall, work: u64, share: u32) {
        let RouteCall { id: call, priority, workspace, first_token_target: target, .. } = waiting;
        let (call, priority) = (*call, *priority);
        if let Some(target) = target {
            self.targets.insert((*target, call));
        }
        let virtual_time = self.virtual_time.get(&priority).copied().unwrap_or(0);
        let last_tag = self.last_finish_tag.entry((priority, workspace.clone())).or_default();
        let finish = virtual_time.max(*last_tag) + work.max(1) / u64::from(share.max(1)) + 1;
        *last_tag = finish;
        let tag = WaitTag { late: false, priority, finish, call };
        self.order.insert(tag, call);
        self.waiting.insert(call, WaitingCall { tag, work, target: *target });
        *self.work.entry(priority).or_default() += work;
    }

    /// The call whose turn it is.
    #[must_use]
    pub fn first(&self) -> Option<CallId> {
        self.order.first_key_value().map(|(_, call)| *call)
    }

    /// Puts the calls behind all others whose first token would have been due before
    /// `limit`.
    pub fn mark_late(&mut self, limit: TimePoint) {
        while let Some(&(target, call)) = self.targets.first() {
            if target >= limit {
                break;
            }
            self.targets.remove(&(target, call));
            let Some(waiting) = self.waiting.get_mut(&call) else { continue };
            self.order.remove(&waiting.tag);
            waiting.tag.late = true;
            self.order.insert(waiting.tag, call);
            self.expiries.insert((target + LATE_GRACE, call));
        }
    }

    /// Calls that have been late for so long that they are given up.
    #[must_use]
    pub fn overdue(&self, now: TimePoint) -> Vec<CallId> {
        self.expiries
            .iter()
            .take_while(|(expiry, _)| *expiry <= now)
            .map(|(_, call)| *call)
            .collect()
    }

    /// Whether all calls that wait are late.
    #[must_use]
    pub fn is_all_late(&self) -> bool {
        self.order.first_key_value().is_some_and(|(tag, _)| tag.late)
    }

    /// Takes a call out before its turn; the others keep their turns.
    pub fn remove(&mut self, call: CallId) -> bool {
        let Some(waiting) = self.waiting.remove(&call) else {
            return false;
        };
        let priority = waiting.tag.priority;
        self.order.remove(&waiting.tag);
        if let Some(target) = waiting.target {
            self.targets.remove(&(target, call));
            self.expiries.remove(&(target + LATE_GRACE, call));
        }
        let work = self.work.entry(priority).or_default();
        *work = work.saturating_sub(waiting.work);
        if self.order.is_empty() {
            self.last_finish_tag.clear();
            self.virtual_time.clear();
        }
        true
    }

    /// Takes a call out that is sent now; its work counts for the rate of sending.
    pub fn dequeue(&mut self, now: TimePoint, call: CallId) {
        if let Some(waiting) = self.waiting.get(&call) {
            self.sent_work += waiting.work;
            let virtual_time = self.virtual_time.entry(waiting.tag.priority).or_default();
            *virtual_time = (*virtual_time).max(waiting.tag.finish);
        }
        let period = now.since(self.sent_since);
        if period >= RATE_PERIOD {
            let rate = self.sent_work as f64 / period.as_seconds();
            let before = self.rate.unwrap_or(rate);
            self.rate = Some(before + RATE_WEIGHT * (rate - before));
            self.sent_work = 0;
            self.sent_since = now;
        }
        self.remove(call);
    }

    /// Forecast wait of a call of this priority that arrives now; zero while nothing is
    /// known about the rate of sending.
    #[must_use]
    pub fn expected_wait(&self, priority: CallPriority) -> TimeSpan {
        let ahead = self.work_ahead(priority) as f64;
        let seconds = self.rate.filter(|rate| *rate > 0.0).map_or(0.0, |rate| ahead / rate);
        TimeSpan::micros((seconds * 1e6) as u64)
    }

    /// All waiting calls in order, each with the forecast of its own wait; empty while
    /// nothing is known about the rate of sending.
    pub fn expected_waits(&self) -> impl Iterator<Item = (CallId, TimeSpan)> + '_ {
        let rate = self.rate.filter(|rate| *rate > 0.0);
        let mut ahead = 0;
        rate.into_iter().flat_map(move |_| self.order.values()).filter_map(move |call| {
            let wait = TimeSpan::micros((ahead as f64 / rate? * 1e6) as u64);
            ahead += self.waiting.get(call)?.work;
            Some((*call, wait))
        })
    }

    /// All waiting calls in order.
    pub fn calls(&self) -> impl Iterator<Item = CallId> + '_ {
        self.order.values().copied()
    }

    /// Work that waits and is at least as urgent as `priority`, in tokens.
    #[must_use]
    pub fn work_ahead(&self, priority: CallPriority) -> u64 {
        self.work.range(..=priority).map(|(_, work)| *work).sum()
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
