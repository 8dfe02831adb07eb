//! State machine that makes all decisions about the bookings of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::table::BookingTable;
use crate::{
    BookingAction, BookingCounters, BookingEntry, BookingEvent, BookingFault, BookingKey,
    BookingReply, BookingState, CoordinatorPhase, HomeAddress, HomeClock, HomeTag, SendNumber,
    StoredAnswer, TicketId,
};

/// Limits and times of a [`BookingCoordinator`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BookingLimits {
    /// Maximum number of bookings in the table.
    pub max_entries: usize,
    /// Maximum number of requests that wait for one booking.
    pub max_waiters: usize,
    /// Total size of stored answers, in bytes, from which on new keys are refused.
    pub max_stored_bytes: usize,
    /// Lifetime of a new tag.
    pub tag_lifetime: TimeSpan,
    /// Maximum time until a call's deadline; an entry outlives its tag by this time.
    pub max_deadline: TimeSpan,
    /// Interval between retransmissions of a handover.
    pub handover_retry_interval: TimeSpan,
}

impl Default for BookingLimits {
    fn default() -> Self {
        Self {
            max_entries: 100_000,
            max_waiters: 8,
            max_stored_bytes: 32 << 20,
            tag_lifetime: TimeSpan::seconds(600),
            max_deadline: TimeSpan::seconds(120),
            handover_retry_interval: TimeSpan::millis(500),
        }
    }
}

/// Decides which bookings one process sends and how it replies to their callers, for its own
/// incarnation and those that it has adopted. It performs no I/O and reads no clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookingCoordinator {
    pub(crate) address: HomeAddress,
    pub(crate) limits: BookingLimits,
    pub(crate) table: BookingTable,
    pub(crate) phase: CoordinatorPhase,
    /// Incarnations that this process answers for, with their clocks.
    pub(crate) homes: BTreeMap<VmIncarnation, HomeClock>,
    /// Processes that answer for incarnations that have stopped.
    pub(crate) adopters: BTreeMap<VmIncarnation, HomeAddress>,
    pub(crate) counters: BookingCounters,
    pub(crate) send: SendNumber,
    tag_serial: u64,
}

impl BookingCoordinator {
    /// Creates a coordinator with an empty table. Each start of the process must use a new
    /// `incarnation`.
    #[must_use]
    pub fn new(incarnation: VmIncarnation, peer: SocketAddr, limits: BookingLimits) -> Self {
        let clock = HomeClock { home_time: TimePoint::default(), local_time: TimePoint::default() };
        Self {
            address: HomeAddress { incarnation, peer },
            limits,
            table: BookingTable::default(),
            phase: CoordinatorPhase::Serving,
            homes: BTreeMap::from([(incarnation, clock)]),
            adopters: BTreeMap::new(),
            counters: BookingCounters::default(),
            tag_serial: 0,
            send: SendNumber(0),
        }
    }

    /// Issues a new tag for a lookup. Must not be called once the coordinator is frozen.
    pub fn issue_tag(&mut self, now: TimePoint, workspace: &WorkspaceId) -> HomeTag {
        self.tag_serial += 1;
        HomeTag {
            workspace: workspace.clone(),
            incarnation: self.address.incarnation,
            peer: self.address.peer,
            serial: self.tag_serial,
            expires: now + self.limits.tag_lifetime,
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, now: TimePoint, event: BookingEvent) -> Vec<BookingAction> {
        let actions = match event {
            BookingEvent::Request { ticket, call } => {
                self.handle_request(now, ticket, call).into_iter().collect()
            }
            BookingEvent::Answered { key, send, answer } => self.handle_answer(&key, send, answer),
            BookingEvent::Failed { key, send, fault } => self.handle_failure(&key, send, fault),
            BookingEvent::CallerLeft { ticket } => {
                self.table.remove_waiter(ticket);
                Vec::new()
            }
            BookingEvent::ForwardAnswered { ticket, reply } => {
                vec![BookingAction::Reply { ticket, reply }]
            }
            BookingEvent::ForwardFailed { ticket } => {
                vec![BookingAction::Reply { ticket, reply: BookingReply::unknown() }]
            }
            BookingEvent::Tick => self.handle_tick(now),
            BookingEvent::Freeze => {
                self.freeze();
                Vec::new()
            }
            BookingEvent::StartHandover { adopter } => self.start_handover(now, adopter),
            BookingEvent::HandoverAccepted { adopter } => {
                self.handover_accepted(adopter);
                Vec::new()
            }
            BookingEvent::HandoverRefused { adopter } => {
                self.handover_refused(adopter);
                Vec::new()
            }
            BookingEvent::Adopt(handover) => self.adopt(now, handover).into_iter().collect(),
            BookingEvent::Adopted { home, adopter } => {
                self.adopters.insert(home, adopter);
                Vec::new()
            }
        };
        self.count_actions(&actions);
        actions
    }

    /// Number of sends in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.table.in_flight()
    }

    /// Number of bookings in the table.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.table.len()
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> &CoordinatorPhase {
        &self.phase
    }

    /// Incarnations that this process answers for, including its own.
    pub fn homes(&self) -> impl Iterator<Item = VmIncarnation> {
        self.homes.keys().copied()
    }

    /// Time at which the next [`BookingEvent::Tick`] is due, if any.
    #[must_use]
    pub fn next_tick(&self) -> Option<TimePoint> {
        let resend = match &self.phase {
            CoordinatorPhase::HandingOver { resend_at, .. } => Some(*resend_at),
            _ => None,
        };
        self.table.next_expiry().into_iter().chain(resend).min()
    }

    /// Returns the counters and resets them.
    pub fn take_counters(&mut self) -> BookingCounters {
        std::mem::take(&mut self.counters)
    }

    fn handle_answer(
        &mut self,
        key: &BookingKey,
        send: SendNumber,
        answer: StoredAnswer,
    ) -> Vec<BookingAction> {
        let Some(entry) = self.current_entry(key, send) else { return Vec::new() };
        if entry.not_run_status != 0 && entry.not_run_status == answer.status {
            return self.remove_not_run(key, RefusalReason::NoRunner, None);
        }
        let reply = BookingReply::done(&answer);
        let waiters = self.table.set_state(key, &BookingState::Answered(answer));
        reply_all(waiters, &reply)
    }

    fn handle_failure(
        &mut self,
        key: &BookingKey,
        send: SendNumber,
        fault: BookingFault,
    ) -> Vec<BookingAction> {
        if self.current_entry(key, send).is_none() {
            return Vec::new();
        }
        match fault {
            BookingFault::NotSent { reason, retry_after } => {
                self.remove_not_run(key, reason, retry_after)
            }
            BookingFault::MaybeSent => {
                let waiters = self.table.set_state(key, &BookingState::Unknown);
                reply_all(waiters, &BookingReply::unknown())
            }
        }
    }

    /// The entry of `key` if its only send is `send` and no answer is stored yet.
    fn current_entry(&mut self, key: &BookingKey, send: SendNumber) -> Option<&BookingEntry> {
        let entry = self.table.get(key).filter(|entry| entry.send == send);
        let entry = entry.filter(|entry| !matches!(entry.state, BookingState::Answered(_)));
        if entry.is_none() {
            self.counters.stale += 1;
        }
        entry
    }

    /// Removes a booking whose only send did not run, as if its key had never been seen.
    fn remove_not_run(
        &mut self,
        key: &BookingKey,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) -> Vec<BookingAction> {
        let waiters = self.table.remove(key).map(|entry| entry.waiters).unwrap_or_default();
        reply_all(waiters, &BookingReply::not_run(reason, retry_after))
    }

    fn handle_tick(&mut self, now: TimePoint) -> Vec<BookingAction> {
        let mut actions = Vec::new();
        while let Some(ticket) = self.table.first_overdue(now) {
            self.table.remove_waiter(ticket);
            actions.push(BookingAction::Reply { ticket, reply: BookingReply::unknown() });
        }
        while let Some(key) = self.table.first_expired(now) {
            if self.table.get(&key).is_some_and(|entry| entry.state == BookingState::Sent) {
                self.table.extend_retention(&key, now + self.limits.max_deadline);
            } else {
                self.table.remove(&key);
                self.counters.evicted += 1;
            }
        }
        actions.extend(self.resend_handover(now));
        actions
    }

    fn count_actions(&mut self, actions: &[BookingAction]) {
        for action in actions {
            match action {
                BookingAction::Send { .. } => self.counters.sends += 1,
                BookingAction::Reply { reply, .. } => match reply.outcome {
                    CallOutcome::Done => self.counters.done += 1,
                    CallOutcome::NotRun => self.counters.not_run += 1,
                    _ => self.counters.unknown += 1,
                },
                _ => (),
            }
        }
    }
}

fn reply_all(tickets: Vec<TicketId>, reply: &BookingReply) -> Vec<BookingAction> {
    let reply_to = |ticket| BookingAction::Reply { ticket, reply: reply.clone() };
    tickets.into_iter().map(reply_to).collect()
}
