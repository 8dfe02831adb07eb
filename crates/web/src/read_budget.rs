//! The budget of this process for bytes that were read from its peers.
//!
//! Whoever keeps such bytes charges them to the budget: heads while they are read, answers, and
//! incomplete events. A process that installs no budget has no bound.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use base::{TimePoint, TimeSpan};
use kernel::MonotonicClock;

use crate::read_ledger::{ReadLedger, ReadLimits, ReadPart};

/// Bytes of a connection that are not charged: they count as part of the connection.
pub const FREE_READ_BYTES: usize = 8 << 10;

/// Pause between two lines about bytes that were given up.
const LINE_PAUSE: TimeSpan = TimeSpan::millis(100);

thread_local! {
    static LEDGER: RefCell<ReadLedger> = RefCell::new(ReadLedger::new(ReadLimits::NONE));
    static GIVEN_UP: Cell<u64> = const { Cell::new(0) };
    static CLOCK: MonotonicClock = MonotonicClock::new();
    static NEXT_LINE: Cell<TimePoint> = Cell::default();
}

/// Bounds the bytes that all connections of this thread keep. Call it before the first connection is
/// opened.
pub fn install_read_budget(limits: ReadLimits) {
    LEDGER.set(ReadLedger::new(limits));
}

/// Counts a connection until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection;

impl OpenConnection {
    pub(crate) fn new() -> Self {
        LEDGER.with_borrow_mut(ReadLedger::open_connection);
        Self
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        LEDGER.with_borrow_mut(ReadLedger::close_connection);
    }
}

/// What was read and kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadUse {
    /// Bytes that are kept now.
    pub held: usize,
    /// Times that what was read was given up for its size.
    pub given_up: u64,
}

/// What is kept now, and what was given up.
#[must_use]
pub fn read_use() -> ReadUse {
    let held = LEDGER.with_borrow(ReadLedger::held);
    ReadUse { held, given_up: GIVEN_UP.get() }
}

/// Why bytes are given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFault {
    /// The budget has no room for them.
    MemoryFull,
    /// There are more of them than there may be.
    TooLong,
    /// There are more interim responses before the final one than there may be.
    TooManyInterim,
}

/// Counts that `bytes` of `peer` are given up, and logs it unless a line has just been written.
pub(crate) fn record_given_up(
    step: &'static str,
    peer: SocketAddr,
    bytes: usize,
    fault: ReadFault,
) {
    GIVEN_UP.set(GIVEN_UP.get() + 1);
    let now = CLOCK.with(MonotonicClock::now);
    if now < NEXT_LINE.get() {
        return;
    }
    NEXT_LINE.set(now + LINE_PAUSE);
    let reason = match fault {
        ReadFault::MemoryFull => "memory_full",
        ReadFault::TooLong => "too_long",
        ReadFault::TooManyInterim => "too_many_interim",
    };
    let ReadUse { held, given_up } = read_use();
    tracing::warn!(event = "bytes_given_up", step, %peer, bytes, held, reason, given_up);
}

/// The bytes that one reader keeps; given back when dropped.
#[derive(Debug)]
pub struct ReadCharge {
    part: ReadPart,
    peer: SocketAddr,
    charged: usize,
}

impl ReadCharge {
    /// Nothing of `peer` is kept yet.
    #[must_use]
    pub fn open(part: ReadPart, peer: SocketAddr) -> Self {
        Self { part, peer, charged: 0 }
    }

    /// Like [`Self::resize`], for bytes of `step`; logs and counts them if they do not fit.
    #[must_use]
    pub fn keep(&mut self, step: &'static str, kept: usize) -> bool {
        let fits = self.resize(kept);
        if !fits {
            record_given_up(step, self.peer, kept, ReadFault::MemoryFull);
        }
        fits
    }

    /// Charges `kept` bytes in all, the first [`FREE_READ_BYTES`] for nothing. Returns whether they
    /// fit; if not, the charge stays as it was.
    #[must_use]
    pub fn resize(&mut self, kept: usize) -> bool {
        let due = kept.saturating_sub(FREE_READ_BYTES);
        if due > self.charged {
            let more = due - self.charged;
            if !LEDGER.with_borrow_mut(|ledger| ledger.take(self.part, self.peer, more)) {
                return false;
            }
        } else if due < self.charged {
            let less = self.charged - due;
            LEDGER.with_borrow_mut(|ledger| ledger.give_back(self.peer, less));
        }
        self.charged = due;
        true
    }
}

impl Drop for ReadCharge {
    fn drop(&mut self) {
        let _ = self.resize(0);
    }
}
