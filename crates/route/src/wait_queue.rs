//! Queue of calls that wait at the entry. Calls that can still meet their first-token target
//! go first, then calls of higher priority, then by weighted fair queueing among workspaces
//! (self-clocked fair queueing; Golestani, 1994).

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use config::CallPriority;

use crate::send_rate::SendRate;
use crate::{CallId, RouteCall};

/// Sort key of a call in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitKey {
    late: bool,
    priority: CallPriority,
    finish_tag: u64,
    call: CallId,
}

/// A waiting call and its estimated work in tokens.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    key: WaitKey,
    work: u64,
    target: Option<TimePoint>,
}

/// Wait queue of one service and model.
#[derive(Debug, Default)]
pub struct WaitQueue {
    order: BTreeMap<WaitKey, CallId>,
    waiting: BTreeMap<CallId, WaitingCall>,
    /// Calls that are not late, by first-token target.
    targets: BTreeSet<(TimePoint, CallId)>,
    /// Late calls, by the time at which they become overdue.
    expiries: BTreeSet<(TimePoint, CallId)>,
    last_finish_tag: BTreeMap<(CallPriority, WorkspaceId), u64>,
    virtual_time: BTreeMap<CallPriority, u64>,
    work: BTreeMap<CallPriority, u64>,
    send_rate: SendRate,
    /// When this entry may next compete with others for free capacity.
    pub next_turn: TimePoint,
}

/// Time for which a call stays queued after its first-token target, since capacity that is
/// freed soon can still serve it.
const LATE_GRACE: TimeSpan = TimeSpan::millis(1_000);

impl WaitQueue {
    /// Enqueues a call of `work` estimated tokens; `share` is the weight of its workspace.
    pub fn push(&mut self, waiting: &RouteCall, work: u64, share: u32) {
        let RouteCall { id: call, priority, workspace, first_token_target: target, .. } = waiting;
        let (call, priority) = (*call, *priority);
        if let Some(target) = target {
            self.targets.insert((*target, call));
        }
        let virtual_time = self.virtual_time.get(&priority).copied().unwrap_or(0);
        let last_tag = self.last_finish_tag.entry((priority, workspace.clone())).or_default();
        let finish_tag = virtual_time.max(*last_tag) + work.max(1) / u64::from(share.max(1)) + 1;
        *last_tag = finish_tag;
        let key = WaitKey { late: false, priority, finish_tag, call };
        self.order.insert(key, call);
        self.waiting.insert(call, WaitingCall { key, work, target: *target });
        *self.work.entry(priority).or_default() += work;
    }

    /// Returns the call at the head of the queue.
    #[must_use]
    pub fn first(&self) -> Option<CallId> {
        self.order.first_key_value().map(|(_, call)| *call)
    }

    /// Marks the calls whose first-token target is before `limit` as late, which moves them
    /// behind all others.
    pub fn mark_late(&mut self, limit: TimePoint) {
        while let Some(&(target, call)) = self.targets.first() {
            if target >= limit {
                break;
            }
            self.targets.remove(&(target, call));
            let Some(waiting) = self.waiting.get_mut(&call) else { continue };
            self.order.remove(&waiting.key);
            waiting.key.late = true;
            self.order.insert(waiting.key, call);
            self.expiries.insert((target + LATE_GRACE, call));
        }
    }

    /// Returns the calls that have been late for so long that they are to be refused.
    #[must_use]
    pub fn overdue(&self, now: TimePoint) -> Vec<CallId> {
        self.expiries
            .iter()
            .take_while(|(expiry, _)| *expiry <= now)
            .map(|(_, call)| *call)
            .collect()
    }

    /// Returns whether the queue is not empty and all its calls are late.
    #[must_use]
    pub fn is_all_late(&self) -> bool {
        self.order.first_key_value().is_some_and(|(key, _)| key.late)
    }

    /// Removes a call that is not sent; the order of the others is unchanged. Returns
    /// whether the call was queued.
    pub fn remove(&mut self, call: CallId) -> bool {
        let Some(waiting) = self.waiting.remove(&call) else {
            return false;
        };
        let priority = waiting.key.priority;
        self.order.remove(&waiting.key);
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

    /// Removes a call that is sent now, and counts its work towards the send rate.
    pub fn dequeue(&mut self, now: TimePoint, call: CallId) {
        if let Some(waiting) = self.waiting.get(&call) {
            self.send_rate.record_sent(now, waiting.work);
            let virtual_time = self.virtual_time.entry(waiting.key.priority).or_default();
            *virtual_time = (*virtual_time).max(waiting.key.finish_tag);
        }
        self.remove(call);
    }

    /// Records whether calls wait after all has been sent that can be. The send rate counts only
    /// while some do.
    pub fn record_waiting(&mut self, now: TimePoint) {
        self.send_rate.record_waiting(now, !self.is_empty());
    }

    /// Returns the expected wait of a call of this priority that arrives now; zero while the
    /// send rate is unknown.
    #[must_use]
    pub fn expected_wait(&self, priority: CallPriority) -> TimeSpan {
        let ahead = self.work_ahead(priority) as f64;
        let seconds = self.send_rate.get().map_or(0.0, |rate| ahead / rate);
        TimeSpan::micros((seconds * 1e6) as u64)
    }

    /// Iterates over all waiting calls in queue order with their expected waits; empty while
    /// the send rate is unknown.
    pub fn expected_waits(&self) -> impl Iterator<Item = (CallId, TimeSpan)> + '_ {
        let rate = self.send_rate.get();
        let mut ahead = 0;
        rate.into_iter().flat_map(move |_| self.order.values()).filter_map(move |call| {
            let wait = TimeSpan::micros((ahead as f64 / rate? * 1e6) as u64);
            ahead += self.waiting.get(call)?.work;
            Some((*call, wait))
        })
    }

    /// Iterates over all waiting calls in queue order.
    pub fn calls(&self) -> impl Iterator<Item = CallId> + '_ {
        self.order.values().copied()
    }

    /// Returns the queued work of calls of this or a higher priority, in tokens.
    #[must_use]
    pub fn work_ahead(&self, priority: CallPriority) -> u64 {
        self.work.range(..=priority).map(|(_, work)| *work).sum()
    }

    /// Returns the number of waiting calls that go before a new one of this priority.
    #[must_use]
    pub fn calls_ahead(&self, priority: CallPriority) -> usize {
        self.order.keys().filter(|key| !key.late && key.priority <= priority).count()
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
