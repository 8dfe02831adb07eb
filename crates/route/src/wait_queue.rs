//! Calls that wait at the entry: by priority, then by fair share among workspaces
//! (self-clocked fair queueing; Golestani, 1994).

use std::collections::BTreeMap;

use base::prelude::*;
use config::CallPriority;

use crate::CallId;

/// Place of a call in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitTag {
    priority: CallPriority,
    finish: u64,
    call: CallId,
}

/// A call that waits and the work that it stands for.
#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    tag: WaitTag,
    work: u64,
}

/// The queue of one service and model.
#[derive(Debug, Default)]
pub struct WaitQueue {
    order: BTreeMap<WaitTag, CallId>,
    waiting: BTreeMap<CallId, WaitingCall>,
    last_finish: BTreeMap<(CallPriority, WorkspaceId), u64>,
    clock: BTreeMap<CallPriority, u64>,
    work: BTreeMap<CallPriority, u64>,
}

impl WaitQueue {
    /// Puts a call in that stands for `work` tokens; its workspace has `share`.
    pub fn push(
        &mut self,
        call: CallId,
        priority: CallPriority,
        workspace: &WorkspaceId,
        work: u64,
        share: u32,
    ) {
        let clock = self.clock.get(&priority).copied().unwrap_or(0);
        let last = self.last_finish.entry((priority, workspace.clone())).or_default();
        let finish = clock.max(*last) + work.max(1) / u64::from(share.max(1)) + 1;
        *last = finish;
        let tag = WaitTag { priority, finish, call };
        self.order.insert(tag, call);
        self.waiting.insert(call, WaitingCall { tag, work });
        *self.work.entry(priority).or_default() += work;
    }

    /// The call whose turn it is.
    #[must_use]
    pub fn first(&self) -> Option<CallId> {
        self.order.first_key_value().map(|(_, call)| *call)
    }

    /// The first call of each priority, the most urgent first.
    #[must_use]
    pub fn heads(&self) -> Vec<CallId> {
        const PRIORITIES: [CallPriority; 3] =
            [CallPriority::Urgent, CallPriority::Normal, CallPriority::LateTolerant];
        let head = |priority| {
            let from = WaitTag { priority, finish: 0, call: CallId(0) };
            let (tag, call) = self.order.range(from..).next()?;
            (tag.priority == priority).then_some(*call)
        };
        PRIORITIES.into_iter().filter_map(head).collect()
    }

    /// Takes a call out, whether its turn has come or not.
    pub fn remove(&mut self, call: CallId) -> bool {
        let Some(waiting) = self.waiting.remove(&call) else {
            return false;
        };
        let priority = waiting.tag.priority;
        self.order.remove(&waiting.tag);
        let clock = self.clock.entry(priority).or_default();
        *clock = (*clock).max(waiting.tag.finish);
        let work = self.work.entry(priority).or_default();
        *work = work.saturating_sub(waiting.work);
        if self.order.is_empty() {
            self.last_finish.clear();
            self.clock.clear();
        }
        true
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
