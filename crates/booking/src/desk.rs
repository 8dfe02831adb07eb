//! The desk: every decision about the bookings of one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::table::BookingTable;
use crate::{
    BookingAction, BookingCounters, BookingEntry, BookingEvent, BookingFault, BookingKey,
    BookingReply, BookingState, DeskPhase, HomeAddress, HomeClock, HomeTag, SendNumber,
    StoredAnswer, TicketId,
};

/// Bounds of a desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BookingLimits {
    /// Bookings of one table.
    pub max_entries: usize,
    /// Requests that wait for one booking.
    pub max_waiters: usize,
    /// Bytes of kept answers beyond which new keys are refused.
    pub max_stored_bytes: usize,
    /// Life of a new tag.
    pub tag_lifetime: TimeSpan,
    /// Longest deadline of a call; an entry outlives its tag by this.
    pub max_deadline: TimeSpan,
    /// Time between two sends of the same hand-over.
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

/// The bookings of one process: of its own incarnation and of those that it adopted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BookingDesk {
    pub(crate) address: HomeAddress,
    pub(crate) limits: BookingLimits,
    pub(crate) table: BookingTable,
    pub(crate) phase: DeskPhase,
    /// Incarnations that this desk answers for.
    pub(crate) homes: BTreeMap<VmIncarnation, HomeClock>,
    /// Who answers for incarnations that have stopped.
    pub(crate) adopters: BTreeMap<VmIncarnation, HomeAddress>,
    pub(crate) counters: BookingCounters,
    pub(crate) send: SendNumber,
    tag_serial: u64,
}

impl BookingDesk {
    /// An empty desk; `incarnation` must be new with each start of the process.
    #[must_use]
    pub fn new(incarnation: VmIncarnation, peer: SocketAddr, limits: BookingLimits) -> Self {
        let clock = HomeClock { home_time: TimePoint::default(), local_time: TimePoint::default() };
        Self {
            address: HomeAddress { incarnation, peer },
            limits,
            table: BookingTable::default(),
            phase: DeskPhase::Serving,
            homes: BTreeMap::from([(incarnation, clock)]),
            adopters: BTreeMap::new(),
            counters: BookingCounters::default(),
            tag_serial: 0,
            send: SendNumber(0),
        }
    }

    /// A fresh tag for a lookup. A frozen desk must not be asked.
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

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, now: TimePoint, event: BookingEvent) -> Vec<BookingAction> {
        let actions = match event {
            BookingEvent::Request { ticket, call } => {
                self.request(now, ticket, call).into_iter().collect()
            }
            BookingEvent::Answered { key, send, answer } => self.answered(&key, send, answer),
            BookingEvent::Failed { key, send, fault } => self.failed(&key, send, fault),
            BookingEvent::CallerLeft { ticket } => {
                self.table.leave(ticket);
                Vec::new()
            }
            BookingEvent::ForwardAnswered { ticket, reply } => {
                vec![BookingAction::Reply { ticket, reply }]
            }
            BookingEvent::ForwardFailed { ticket } => {
                vec![BookingAction::Reply { ticket, reply: BookingReply::unknown() }]
            }
            BookingEvent::Tick => self.tick(now),
            BookingEvent::Freeze => {
                self.freeze();
                Vec::new()
            }
            BookingEvent::StartHandover { adopter } => self.start_hand_over(now, adopter),
            BookingEvent::HandoverAccepted { adopter } => {
                self.hand_over_done(adopter);
                Vec::new()
            }
            BookingEvent::HandoverRefused { adopter } => {
                self.hand_over_refused(adopter);
                Vec::new()
            }
            BookingEvent::Adopt(handover) => self.adopt(now, handover).into_iter().collect(),
            BookingEvent::Adopted { home, adopter } => {
                self.adopters.insert(home, adopter);
                Vec::new()
            }
        };
        self.count(&actions);
        actions
    }

    /// Sends under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.table.in_flight()
    }

    /// Bookings in the table.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.table.len()
    }

    /// Its phase.
    #[must_use]
    pub fn phase(&self) -> &DeskPhase {
        &self.phase
    }

    /// Incarnations that it answers for, its own among them.
    pub fn homes(&self) -> impl Iterator<Item = VmIncarnation> {
        self.homes.keys().copied()
    }

    /// When the next [`BookingEvent::Tick`] is due, if any is.
    #[must_use]
    pub fn next_tick(&self) -> Option<TimePoint> {
        let resend = match &self.phase {
            DeskPhase::HandingOver { resend_at, .. } => Some(*resend_at),
            _ => None,
        };
        self.table.next_end().into_iter().chain(resend).min()
    }

    /// The counts since they were last taken.
    pub fn take_counters(&mut self) -> BookingCounters {
        std::mem::take(&mut self.counters)
    }

    fn answered(
        &mut self,
        key: &BookingKey,
        send: SendNumber,
        answer: StoredAnswer,
    ) -> Vec<BookingAction> {
        let Some(entry) = self.current(key, send) else { return Vec::new() };
        if entry.not_run_status != 0 && entry.not_run_status == answer.status {
            return self.withdraw(key, RefusalReason::NoRunner, None);
        }
        let replies = BookingReply::done(&answer);
        let waiters = self.table.settle(key, &BookingState::Answered(answer));
        reply_all(waiters, &replies)
    }

    fn failed(
        &mut self,
        key: &BookingKey,
        send: SendNumber,
        fault: BookingFault,
    ) -> Vec<BookingAction> {
        if self.current(key, send).is_none() {
            return Vec::new();
        }
        match fault {
            BookingFault::NotSent { reason, retry_after } => {
                self.withdraw(key, reason, retry_after)
            }
            BookingFault::MaybeSent => {
                let waiters = self.table.settle(key, &BookingState::Unknown);
                reply_all(waiters, &BookingReply::unknown())
            }
        }
    }

    /// The entry whose only send is `send`, unless its answer is already kept.
    fn current(&mut self, key: &BookingKey, send: SendNumber) -> Option<&BookingEntry> {
        let entry = self.table.get(key).filter(|entry| entry.send == send);
        let entry = entry.filter(|entry| !matches!(entry.state, BookingState::Answered(_)));
        if entry.is_none() {
            self.counters.stale += 1;
        }
        entry
    }

    /// The only send of this booking did not run: the key is as good as never seen.
    fn withdraw(
        &mut self,
        key: &BookingKey,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) -> Vec<BookingAction> {
        let waiters = self.table.remove(key).map(|entry| entry.waiters).unwrap_or_default();
        reply_all(waiters, &BookingReply::not_run(reason, retry_after))
    }

    fn tick(&mut self, now: TimePoint) -> Vec<BookingAction> {
        let mut actions = Vec::new();
        while let Some(ticket) = self.table.overdue(now) {
            self.table.leave(ticket);
            actions.push(BookingAction::Reply { ticket, reply: BookingReply::unknown() });
        }
        while let Some(key) = self.table.ended(now) {
            if self.table.get(&key).is_some_and(|entry| entry.state == BookingState::Sent) {
                self.table.extend(&key, now + self.limits.max_deadline);
            } else {
                self.table.remove(&key);
                self.counters.evicted += 1;
            }
        }
        actions.extend(self.resend_hand_over(now));
        actions
    }

    fn count(&mut self, actions: &[BookingAction]) {
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
    let answer = |ticket| BookingAction::Reply { ticket, reply: reply.clone() };
    tickets.into_iter().map(answer).collect()
}
