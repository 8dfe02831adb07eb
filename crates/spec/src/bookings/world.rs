//! Three processes, one booking and its target, and the network between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use base::prelude::*;
use booking::{
    BookingAction, BookingCall, BookingCoordinator, BookingEvent, BookingFault, BookingKey,
    BookingLimits, BookingReply, CoordinatorPhase, HomeAddress, HomeTag, SendNumber, StoredAnswer,
    TableHandover, TagClaim, TicketId,
};

use super::BookingVariant;

/// Each process that a call was passed on by adds a decimal digit to its ticket.
const HOP: u64 = 10;
/// Status by which the target says that it did not run a call.
const DECLINED: u16 = 503;
/// The clock of each process is this much ahead of the one before, in seconds.
const CLOCK_SKEW: u64 = 1000;

/// A process, by number; 0 is the home that issued the tag.
pub(super) type Process = usize;

/// How much may happen in a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct BookingBounds {
    /// Requests of the one booking.
    pub(super) calls: u64,
    /// Processes that crash.
    pub(super) crashes: u32,
    /// Crashed processes that are started again, at the same address.
    pub(super) restarts: u32,
    /// Processes that are stopped as planned.
    pub(super) stops: u32,
    /// Seconds that pass; the tag ends after 1 s, its key is evicted after 2 s.
    pub(super) seconds: u64,
}

/// What is on its way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Packet {
    /// A call that is passed on; one that was given up on may still arrive.
    Forward { from: Process, to: Process, ticket: u64, given_up: bool },
    /// A request on its way to the target.
    Run { from: Process, send: SendNumber, reported: bool },
    /// The target's answer.
    Answer { to: Process, send: SendNumber },
    /// A table; may arrive any number of times.
    Table { from: Process, to: Process, asked: VmIncarnation },
    /// The adopter's word, taken for that of the start that was asked; may arrive any
    /// number of times.
    Taken { to: Process, asked: VmIncarnation, accepted: bool },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct BookingWorld {
    pub(super) left: BookingBounds,
    pub(super) seconds: u64,
    /// Shared with earlier states until they change.
    pub(super) coordinators: Vec<Option<Arc<BookingCoordinator>>>,
    pub(super) wire: BTreeSet<Packet>,
    /// The table that each process has sent to each adopter.
    pub(super) tables: BTreeMap<(Process, VmIncarnation), Arc<TableHandover>>,
    /// The start that a hand-over being answered was meant for.
    pub(super) asked: VmIncarnation,
    /// How often each process was started again.
    starts: [u64; 3],
    /// The first home before its stop, for the variants that undo it.
    pub(super) saved: Option<Arc<BookingCoordinator>>,
    pub(super) runs: u32,
    tag: HomeTag,
    pub(super) violation: Option<&'static str>,
}

/// Incarnations of one process lie this far apart.
const START_STEP: u64 = 10;

/// The first start of a process.
pub(super) fn first_start(process: Process) -> HomeAddress {
    start_address(process, 0)
}

fn start_address(process: Process, starts: u64) -> HomeAddress {
    let number = process as u64 + 1;
    let peer = SocketAddr::from(([10, 0, 0, number as u8], 4000));
    HomeAddress { incarnation: VmIncarnation(number + START_STEP * starts), peer }
}

fn process_of(incarnation: VmIncarnation) -> Process {
    (incarnation.0 % START_STEP) as usize - 1
}

fn new_coordinator(home: HomeAddress) -> BookingCoordinator {
    let limits = BookingLimits {
        tag_lifetime: TimeSpan::seconds(1),
        max_deadline: TimeSpan::seconds(1),
        handover_retry_interval: TimeSpan::seconds(100_000),
        ..BookingLimits::default()
    };
    BookingCoordinator::new(home.incarnation, home.peer, limits)
}

impl BookingWorld {
    pub(super) fn new(bounds: BookingBounds) -> Self {
        let mut coordinators: Vec<BookingCoordinator> =
            (0..3).map(|process| new_coordinator(first_start(process))).collect();
        let tag = coordinators[0].issue_tag(TimePoint::default(), &workspace());
        Self {
            left: bounds,
            seconds: 0,
            coordinators: coordinators
                .into_iter()
                .map(|coordinator| Some(Arc::new(coordinator)))
                .collect(),
            wire: BTreeSet::new(),
            tables: BTreeMap::new(),
            asked: VmIncarnation(0),
            starts: [0; 3],
            saved: None,
            runs: 0,
            tag,
            violation: None,
        }
    }

    pub(super) fn now(&self, process: Process) -> TimePoint {
        let seconds = self.seconds + CLOCK_SKEW * process as u64;
        TimePoint::default() + TimeSpan::seconds(seconds)
    }

    /// The present start of a process.
    pub(super) fn address(&self, process: Process) -> HomeAddress {
        start_address(process, self.starts[process])
    }

    /// A new process listens at the address of a crashed one.
    pub(super) fn restart(&mut self, process: Process) {
        self.starts[process] += 1;
        self.coordinators[process] = Some(Arc::new(new_coordinator(self.address(process))));
    }

    pub(super) fn is_live(&self, process: Process) -> bool {
        self.coordinators[process].is_some()
    }

    pub(super) fn phase(&self, process: Process) -> Option<&CoordinatorPhase> {
        self.coordinators[process].as_deref().map(BookingCoordinator::phase)
    }

    pub(super) fn call(&self, ticket: u64) -> BookingEvent {
        let call = BookingCall {
            workspace: workspace(),
            service: "counter".parse().expect("a valid name"),
            key: "key".parse().expect("a valid key"),
            tag: TagClaim::Verified(self.tag.clone()),
            method: Arc::from("POST"),
            path: Arc::from("/bookings"),
            content_type: Arc::from(""),
            body: Vec::new(),
            deadline: TimePoint::NEVER,
            not_run_status: DECLINED,
            forwarded: ticket >= HOP,
        };
        BookingEvent::Request { ticket: TicketId(ticket), call }
    }

    pub(super) fn key(&self) -> BookingKey {
        let BookingEvent::Request { call, .. } = self.call(0) else { unreachable!() };
        call.key_at(self.tag.incarnation)
    }

    pub(super) fn answered(&self, send: SendNumber, declined: bool) -> BookingEvent {
        let status = if declined { DECLINED } else { 200 };
        let answer = StoredAnswer { status, content_type: Arc::from(""), body: Arc::from([]) };
        BookingEvent::Answered { key: self.key(), send, answer }
    }

    pub(super) fn failed(&self, send: SendNumber, fault: BookingFault) -> BookingEvent {
        BookingEvent::Failed { key: self.key(), send, fault }
    }

    /// Gives an event to a process that lives, and its actions to the network.
    pub(super) fn give(&mut self, process: Process, event: BookingEvent, variant: BookingVariant) {
        let now = self.now(process);
        let is_own_claim = !matches!(event, BookingEvent::ForwardAnswered { .. });
        let Some(coordinator) = &mut self.coordinators[process] else { return };
        let coordinator = Arc::make_mut(coordinator);
        let actions = coordinator.handle(now, event);
        coordinator.take_counters();
        for action in actions {
            self.perform(process, action, is_own_claim, variant);
        }
    }

    fn perform(
        &mut self,
        process: Process,
        action: BookingAction,
        is_own_claim: bool,
        variant: BookingVariant,
    ) {
        match action {
            BookingAction::Send { send, .. } => {
                self.wire.insert(Packet::Run { from: process, send, reported: false });
            }
            BookingAction::Reply { reply, .. } => {
                self.reply(&reply, is_own_claim);
            }
            BookingAction::Forward { .. }
                if variant == BookingVariant::OldHomeSaysNotRun && process == 0 =>
            {
                let reply = BookingReply::not_run(RefusalReason::Stopping, None);
                self.reply(&reply, true);
            }
            BookingAction::Forward { ticket, home, .. } => {
                let to = process_of(home.incarnation);
                let ticket = ticket.0;
                self.wire.insert(Packet::Forward { from: process, to, ticket, given_up: false });
            }
            BookingAction::SendHandover { adopter, handover } => {
                let asked = adopter.incarnation;
                self.tables.insert((process, asked), handover);
                let to = process_of(asked);
                self.wire.insert(Packet::Table { from: process, to, asked });
            }
            BookingAction::AnswerHandover { home, accepted } => {
                let (to, asked) = (process_of(home), self.asked);
                self.wire.insert(Packet::Taken { to, asked, accepted });
                if accepted {
                    self.announce(process, home, variant);
                }
            }
        }
    }

    /// Word of an adoption only tells where to ask, so it may as well arrive at once.
    fn announce(&mut self, process: Process, home: VmIncarnation, variant: BookingVariant) {
        let adopter = self.address(process);
        for other in (1..self.coordinators.len()).filter(|other| *other != process) {
            self.give(other, BookingEvent::Adopted { home, adopter }, variant);
        }
    }

    /// *Not run* is judged where it is said first; passing an answer back changes no state.
    fn reply(&mut self, reply: &BookingReply, is_own_claim: bool) {
        let under_way = self.wire.iter().any(|packet| matches!(packet, Packet::Run { .. }));
        if is_own_claim && reply.outcome == CallOutcome::NotRun && (self.runs > 0 || under_way) {
            self.violation = Some("not run was said of a booking that has run or may run");
        }
        if reply.outcome == CallOutcome::Done && self.runs == 0 {
            self.violation = Some("an answer without a run");
        }
    }

    /// The ticket that a call from `from` gets at its next process.
    pub(super) fn next_ticket(from: Process, ticket: u64) -> u64 {
        ticket * HOP + from as u64 + 1
    }

    pub(super) fn check(&mut self) {
        if self.runs > 1 {
            self.violation = Some("a booking ran twice");
        }
        let first = first_start(0).incarnation;
        let others = self.coordinators.iter().skip(1).flatten();
        // A process that has handed the table on no longer runs keys of it.
        let runs_them = |coordinator: &&Arc<BookingCoordinator>| {
            coordinator.phase().adopter().is_none() && coordinator.homes().any(|home| home == first)
        };
        if others.filter(runs_them).count() > 1 {
            self.violation = Some("two processes answer for one home");
        }
    }
}

fn workspace() -> WorkspaceId {
    "cobblers".parse().expect("a valid name")
}
