//! Follows the published configuration: from the log, or from peers.
//!
//! A state machine without I/O: the steward passes [`FollowerEvent`]s to
//! [`handle`](ConfigFollower::handle) and carries out the [`FollowerAction`]s that it
//! returns. It starts with a `Tick`, and gets the next one at
//! [`next_wake`](ConfigFollower::next_wake). Each `Read`, `RequestDelta` and
//! `WriteCheckpoint` must be followed by its event, also when it failed.
//!
//! Only a few stewards of each failure domain read the log continuously; the others request
//! a delta from a peer as soon as a digest carries a newer offset, and poll the log rarely. A
//! digest carries [`accepted`](ConfigFollower::accepted), and a peer replies with
//! [`ConfigState::delta`]. The configuration in force never goes back: a lower offset is
//! never applied, and where records are missing the last state stays in force until a usable
//! checkpoint, a reset or a peer's later state is found.

use std::sync::Arc;

use base::{LogOffset, LogPage, LogRecord, TimePoint, TimeSpan};

use crate::checkpoint_writer::CheckpointWriter;
use crate::exchange_timer::ExchangeTimer;
use crate::fold::reset_outcome;
use crate::log_search::{FoundStart, LogSearch, SearchStep, usable_start};
use crate::reader_role::ReaderRole;
use crate::{
    CheckpointRecord, ConfigFold, ConfigPlan, ConfigRecord, ConfigState, FoldOutcome,
    FollowerAction, FollowerEvent, FollowerMember, FollowerSettings, PlanBuilder, PublishHistory,
};

/// Time for which the log may hold a read that waits for a record.
const LONG_POLL: TimeSpan = TimeSpan::seconds(5);
/// Least time between two reads that find nothing.
const EMPTY_POLL: TimeSpan = TimeSpan::millis(100);
/// Time between two polls of the log by a steward that is not among its readers.
const SLOW_POLL: TimeSpan = TimeSpan::seconds(60);
/// Time that a reader gives its own read of the log before it requests a delta from a peer
/// that has more.
const READER_REQUEST_DELAY: TimeSpan = TimeSpan::seconds(1);
/// Time over which the requests to peers after a publish are spread.
const REQUEST_SPREAD: TimeSpan = TimeSpan::millis(500);
/// Most records of one read.
const PAGE_RECORDS: usize = 256;
/// Records behind the log's end beyond which a checkpoint is searched before reading on.
const SEARCH_BACKLOG_RECORDS: u64 = 1_000;

/// The state of reading the log.
#[derive(Debug, Clone, PartialEq)]
enum ReadPhase {
    /// Forwards, record by record.
    Following,
    /// Backwards, for a checkpoint.
    Searching(LogSearch),
    /// Records are missing, and there is no usable checkpoint or reset before this offset.
    AwaitingStart(LogOffset),
}

/// The offsets of the records that the log held at the last read.
#[derive(Debug, Clone, Copy)]
struct RetainedRange {
    first: LogOffset,
    /// The end, not included.
    next: LogOffset,
}

/// Follows the configuration; see the module's description.
#[derive(Debug)]
pub struct ConfigFollower {
    settings: FollowerSettings,
    fold: ConfigFold,
    builder: PlanBuilder,
    plan: Arc<ConfigPlan>,
    history: PublishHistory,
    phase: ReadPhase,
    /// The backlog was searched for a checkpoint; not again before this reader caught up.
    has_searched: bool,
    has_read: bool,
    range: RetainedRange,
    reads: ExchangeTimer,
    delta_requests: ExchangeTimer,
    /// The highest offset that a peer's digest carried.
    peer_offset: LogOffset,
    role: ReaderRole,
    writer: CheckpointWriter,
}

impl ConfigFollower {
    /// A follower that has nothing yet.
    #[must_use]
    pub fn new(settings: FollowerSettings) -> Self {
        let seed = settings.seed;
        Self {
            writer: CheckpointWriter::new(settings.retention),
            settings,
            fold: ConfigFold::new(),
            builder: PlanBuilder::new(),
            plan: Arc::default(),
            history: PublishHistory::default(),
            phase: ReadPhase::Following,
            has_searched: false,
            has_read: false,
            range: RetainedRange { first: LogOffset(1), next: LogOffset(1) },
            reads: ExchangeTimer::new(seed),
            delta_requests: ExchangeTimer::new(!seed),
            peer_offset: LogOffset(0),
            role: ReaderRole::WITHOUT_PEERS,
        }
    }

    /// The files as of the last record folded.
    #[must_use]
    pub fn state(&self) -> &Arc<ConfigState> {
        self.fold.state()
    }

    /// The last accepted record folded; digests to peers carry it.
    #[must_use]
    pub fn accepted(&self) -> LogOffset {
        self.fold.state().accepted
    }

    /// The plan in force.
    #[must_use]
    pub fn plan(&self) -> &Arc<ConfigPlan> {
        &self.plan
    }

    /// The last publish records that were read from the log.
    #[must_use]
    pub fn history(&self) -> &PublishHistory {
        &self.history
    }

    /// Whether some configuration is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.accepted().0 > 0
    }

    /// Whether records are missing and no usable checkpoint or reset has been found.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        matches!(self.phase, ReadPhase::AwaitingStart(_))
    }

    /// Whether this steward is among the log's readers of its failure domain.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.role.is_reader
    }

    /// When the next `Tick` is due.
    #[must_use]
    pub fn next_wake(&self) -> TimePoint {
        let request =
            if self.wants_delta() { self.delta_requests.next_start() } else { TimePoint::NEVER };
        let write = if self.may_write() { self.writer.next_wake() } else { TimePoint::NEVER };
        self.reads.next_start().min(request).min(write)
    }

    /// Applies one event and returns the actions to carry out now.
    pub fn handle(&mut self, now: TimePoint, event: FollowerEvent) -> Vec<FollowerAction> {
        let before = self.accepted();
        match event {
            FollowerEvent::Tick => (),
            FollowerEvent::Page(page) => self.take_page(now, &page),
            FollowerEvent::ReadFailed => self.reads.fail(now),
            FollowerEvent::PeerOffset(offset) => self.take_peer_offset(now, offset),
            FollowerEvent::PeerDelta(delta) => {
                let adopted = delta.is_some_and(|delta| self.fold.adopt(&delta));
                self.end_delta_request(now, adopted);
            }
            FollowerEvent::Members(members) => self.take_members(&members),
            FollowerEvent::CheckpointEnded => self.writer.end_write(now),
        }
        let mut actions = Vec::new();
        if self.accepted() > before {
            self.plan = Arc::new(self.builder.build(self.fold.state()));
            actions.push(FollowerAction::InForce(self.plan.in_force));
        }
        self.start_exchanges(now, &mut actions);
        actions
    }

    fn take_page(&mut self, now: TimePoint, page: &LogPage) {
        self.has_read = true;
        self.range = RetainedRange { first: page.first, next: page.next };
        match std::mem::replace(&mut self.phase, ReadPhase::Following) {
            ReadPhase::Following => self.follow(now, page),
            ReadPhase::Searching(search) => self.search(now, search, page),
            ReadPhase::AwaitingStart(from) => self.await_start(now, from, page),
        }
        let pause = match (self.is_caught_up(), page.records.is_empty()) {
            (true, _) if !self.role.is_reader => SLOW_POLL,
            (_, true) => EMPTY_POLL,
            _ => TimeSpan(0),
        };
        self.reads.succeed(pause);
    }

    fn follow(&mut self, now: TimePoint, page: &LogPage) {
        let behind = page.next.0.saturating_sub(self.fold.next().0);
        let gap = page.first > self.fold.next();
        if gap || (behind > SEARCH_BACKLOG_RECORDS && !self.has_searched) {
            let search = LogSearch::new(page.first, page.next, self.fold.next());
            self.phase = ReadPhase::Searching(search);
            return;
        }
        for record in &page.records {
            // A read in flight while a peer's state was adopted starts before the fold's offset.
            if record.offset == self.fold.next() {
                self.apply(now, record);
            }
        }
        self.has_searched &= !self.is_caught_up();
    }

    fn apply(&mut self, now: TimePoint, record: &LogRecord) {
        let Ok(content) = ConfigRecord::decode(&record.text) else {
            self.fold.apply(record.offset, &record.text);
            return;
        };
        let outcome = self.fold.apply_record(record.offset, &content);
        if let Some(heading) = content.heading() {
            self.history.push(now, record.age(), record.offset, heading, outcome);
        } else if let ConfigRecord::Checkpoint(checkpoint) = content {
            let as_of = checkpoint.state.offset;
            if as_of < record.offset {
                self.writer.observe(now, record.offset, as_of, record.age());
            }
        }
    }

    fn search(&mut self, now: TimePoint, mut search: LogSearch, page: &LogPage) {
        match search.take(page) {
            SearchStep::More => self.phase = ReadPhase::Searching(search),
            SearchStep::Found(found) => self.start_from(now, &found, page.first),
            SearchStep::Exhausted => {
                self.has_searched = true;
                if page.first > self.fold.next() {
                    self.phase = ReadPhase::AwaitingStart(search.top);
                }
            }
        }
    }

    fn await_start(&mut self, now: TimePoint, from: LogOffset, page: &LogPage) {
        if page.first <= self.fold.next() {
            return;
        }
        let mut at = from;
        for record in &page.records {
            at = at.max(record.offset.next());
            if let Some(found) = usable_start(record, page.first, self.fold.next()) {
                self.start_from(now, &found, page.first);
                return;
            }
            self.record_rejected_reset(now, record);
        }
        self.phase = ReadPhase::AwaitingStart(at);
    }

    /// Adds a rejected reset to the history, for the operator who waits for its outcome.
    fn record_rejected_reset(&mut self, now: TimePoint, record: &LogRecord) {
        let Ok(content) = ConfigRecord::decode(&record.text) else { return };
        if let (ConfigRecord::Reset(reset), Some(heading)) = (&content, content.heading()) {
            let outcome = reset_outcome(record.offset, reset);
            self.history.push(now, record.age(), record.offset, heading, outcome);
        }
    }

    fn start_from(&mut self, now: TimePoint, found: &FoundStart, first: LogOffset) {
        self.has_searched = true;
        match &found.record {
            ConfigRecord::Checkpoint(checkpoint) => {
                self.writer.observe(now, found.offset, found.as_of, found.age);
                self.fold.start_from(checkpoint, found.offset, first);
            }
            ConfigRecord::Reset(reset) => {
                self.fold.start_from_reset(reset, found.offset);
            }
            ConfigRecord::Publish(_) => (),
        }
        if let Some(heading) = found.record.heading() {
            self.history.push(now, found.age, found.offset, heading, FoldOutcome::Accepted);
        }
    }

    fn take_peer_offset(&mut self, now: TimePoint, offset: LogOffset) {
        if offset <= self.peer_offset {
            return;
        }
        let is_new = offset > self.accepted() && self.peer_offset <= self.accepted();
        self.peer_offset = offset;
        if is_new {
            let delay = if self.is_healthy_reader() { READER_REQUEST_DELAY } else { TimeSpan(0) };
            self.delta_requests.delay(now + delay, REQUEST_SPREAD);
        }
    }

    fn end_delta_request(&mut self, now: TimePoint, adopted: bool) {
        if !adopted {
            self.delta_requests.fail(now);
            return;
        }
        self.delta_requests.succeed(TimeSpan(0));
        self.writer.skip_records(now);
        self.phase = ReadPhase::Following;
    }

    fn take_members(&mut self, members: &[FollowerMember]) {
        let was_reader = self.role.is_reader;
        self.role = ReaderRole::choose(&self.settings.vm, members);
        if self.role.is_reader && !was_reader {
            self.reads.clear_delay();
        }
    }

    /// Whether all records that the log held at the last read are folded.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        matches!(self.phase, ReadPhase::Following) && self.fold.next() >= self.range.next
    }

    fn is_healthy_reader(&self) -> bool {
        self.role.is_reader
            && !self.reads.is_failing()
            && matches!(self.phase, ReadPhase::Following)
    }

    fn wants_delta(&self) -> bool {
        let peer_has_more = self.peer_offset > self.accepted();
        peer_has_more || self.has_gap() || (self.reads.is_failing() && !self.is_ready())
    }

    fn may_write(&self) -> bool {
        let has_records = self.range.next > LogOffset(1);
        has_records && self.role.is_reader && self.is_caught_up() && self.is_ready()
    }

    fn start_exchanges(&mut self, now: TimePoint, actions: &mut Vec<FollowerAction>) {
        if self.wants_delta() && self.delta_requests.start(now) {
            actions.push(FollowerAction::RequestDelta { above: self.fold.offset() });
        }
        if self.reads.start(now) {
            actions.push(self.next_read());
        }
        let RetainedRange { first, next } = self.range;
        if self.may_write() && self.writer.start_write(now, first, next, self.role.rank) {
            let state = (**self.fold.state()).clone();
            let record = ConfigRecord::Checkpoint(CheckpointRecord { state });
            actions.push(FollowerAction::WriteCheckpoint(record.encode()));
        }
    }

    /// The next read; after failures it asks for fewer records, since a page may be too long
    /// for the exchange.
    fn next_read(&self) -> FollowerAction {
        let most = (PAGE_RECORDS >> self.reads.failures().min(usize::BITS - 1)).max(1);
        let may_wait = self.role.is_reader && self.has_read;
        let (from, wait, max) = match &self.phase {
            ReadPhase::Following if may_wait => (self.fold.next(), LONG_POLL, most),
            ReadPhase::Following => (self.fold.next(), TimeSpan(0), most),
            ReadPhase::AwaitingStart(from) => (*from, LONG_POLL, most),
            ReadPhase::Searching(search) => {
                let (from, max) = search.read();
                (from, TimeSpan(0), max.min(most))
            }
        };
        FollowerAction::Read { from, wait, max }
    }
}
