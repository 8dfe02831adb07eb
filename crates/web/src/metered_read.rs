//! Bounds and charges what is read from a connection.
//!
//! The HTTP library bounds one head, but reads any number of interim responses before the final
//! one, for as long as their bytes arrive and without letting other tasks run. It also reads framing
//! of a body without end that carries no data.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::interim_scan::InterimScan;
use crate::read_budget::{FREE_READ_BYTES, OpenConnection, ReadCharge, ReadFault, record_given_up};
use crate::read_ledger::ReadPart;

/// Bytes that may arrive until the head of the final response is complete, with interim responses
/// and what follows the head in one read, and then from one part of its body to the next.
pub const MAX_IDLE_READ_BYTES: usize = 64 << 10;

/// What is read of one response.
#[derive(Debug, Clone)]
pub struct ReadMeter {
    state: Rc<MeterState>,
}

#[derive(Debug)]
struct MeterState {
    peer: SocketAddr,
    part: ReadPart,
    /// Bytes since the exchange began, or since the last part of the body; `None` if nobody counts
    /// them.
    idle: Cell<Option<usize>>,
    /// Whether the head has arrived.
    has_head: Cell<bool>,
    /// Interim responses before the head.
    interim: Cell<InterimScan>,
    /// Bytes of the head.
    charge: RefCell<ReadCharge>,
    fault: Cell<Option<ReadFault>>,
    _connection: OpenConnection,
}

impl ReadMeter {
    /// The meter of a new connection to `peer`.
    pub fn new(part: ReadPart, peer: SocketAddr) -> Self {
        let charge = RefCell::new(ReadCharge::open(part, peer));
        let (idle, has_head) = (Cell::new(Some(0)), Cell::new(false));
        let interim = Cell::new(InterimScan::new());
        let (fault, connection) = (Cell::default(), OpenConnection::new());
        let state = MeterState {
            peer,
            part,
            idle,
            has_head,
            interim,
            charge,
            fault,
            _connection: connection,
        };
        Self { state: Rc::new(state) }
    }

    /// The head has arrived.
    pub fn end_head(&self) {
        self.state.has_head.set(true);
        self.renew();
    }

    /// A part of the body has arrived.
    pub fn renew(&self) {
        self.state.idle.set(self.state.idle.get().map(|_| 0));
    }

    /// Nobody tells further parts of the body.
    pub fn end(&self) {
        self.state.idle.set(None);
    }

    /// Why the connection was given up.
    pub fn fault(&self) -> Option<ReadFault> {
        self.state.fault.get()
    }

    /// A charge for what is kept of the body.
    pub fn open_charge(&self) -> ReadCharge {
        ReadCharge::open(self.state.part, self.state.peer)
    }

    /// The peer.
    pub fn peer(&self) -> SocketAddr {
        self.state.peer
    }

    /// Notes the `bytes` of a read.
    ///
    /// # Errors
    /// If the response is given up.
    pub fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let given_up = |_| io::Error::new(io::ErrorKind::InvalidData, "the response is given up");
        self.record(bytes).map_err(given_up)
    }

    fn record(&self, bytes: &[u8]) -> Result<(), ReadFault> {
        let Some(idle) = self.state.idle.get().map(|idle| idle + bytes.len()) else {
            return Ok(());
        };
        self.state.idle.set(Some(idle));
        let has_head = self.state.has_head.get();
        let fault = if idle > MAX_IDLE_READ_BYTES {
            ReadFault::TooLong
        } else if has_head {
            return Ok(());
        } else if !self.scan_interim(bytes) {
            ReadFault::TooManyInterim
        } else if self.charge_head(idle) {
            return Ok(());
        } else {
            ReadFault::MemoryFull
        };
        let step = if has_head { "body" } else { "head" };
        self.state.fault.set(Some(fault));
        record_given_up(step, self.state.peer, idle, fault);
        Err(fault)
    }

    /// Counts the interim responses in `bytes`; returns whether there may be as many.
    fn scan_interim(&self, bytes: &[u8]) -> bool {
        let mut scan = self.state.interim.get();
        let is_allowed = scan.read(bytes);
        self.state.interim.set(scan);
        is_allowed
    }

    /// Charges a head of `bytes` so far; its buffer grows by doubling.
    fn charge_head(&self, bytes: usize) -> bool {
        let further = bytes.saturating_sub(FREE_READ_BYTES);
        self.state.charge.borrow_mut().resize(bytes + further)
    }
}
